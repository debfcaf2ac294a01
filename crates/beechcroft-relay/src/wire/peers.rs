//! Fellow relays: datagrams out, by an actor for each and one for all, and in, known by their sender's address.

use crate::wire::budget::{NOTE_MAX, NOTE_PAUSE};
use crate::wire::sparse::Sparse;
use beechcroft::PeerId;
use beechcroft_core::{Event, Mailbox};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

pub type PeerMailbox = mpsc::UnboundedSender<Vec<u8>>;

/// Where relays are spoken to.
#[derive(Clone, Debug)]
pub struct Addresses {
    pub listen: SocketAddr,
    /// By their numbers, this relay's own included.
    pub peers: Vec<SocketAddr>,
    pub all: Option<SocketAddr>,
}

/// The mailboxes of the actors that speak with fellow relays.
#[derive(Default)]
pub struct Peers {
    relays: Vec<PeerMailbox>,
    all: Option<PeerMailbox>,
}

impl Peers {
    /// Starts the actors, and the one that listens.
    pub async fn start(addresses: Addresses, me: PeerId, module: Mailbox) -> io::Result<Peers> {
        let socket = Arc::new(UdpSocket::bind(addresses.listen).await?);
        let spawn = |to: SocketAddr| {
            let (sender, mailbox) = mpsc::unbounded_channel();
            tokio::spawn(speak(socket.clone(), to, mailbox));
            sender
        };
        let relays = addresses.peers.iter().copied().map(spawn).collect();
        let all = addresses.all.map(spawn);
        tokio::spawn(listen(
            socket.clone(),
            numbers(&addresses.peers),
            me,
            module,
        ));
        Ok(Peers { relays, all })
    }

    /// To one relay, or to all; what has no address is dropped as the network may drop it.
    pub fn tell(&self, to: Option<PeerId>, note: &[u8]) {
        let mailbox = match to {
            Some(peer) => self.relays.get(peer.0 as usize),
            None => self.all.as_ref(),
        };
        mailbox
            .into_iter()
            .for_each(|mailbox| drop(mailbox.send(note.to_vec())));
    }
}

fn numbers(peers: &[SocketAddr]) -> HashMap<SocketAddr, PeerId> {
    (0..)
        .map(PeerId)
        .zip(peers)
        .map(|(peer, &address)| (address, peer))
        .collect()
}

async fn speak(
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    mut mailbox: mpsc::UnboundedReceiver<Vec<u8>>,
) {
    let odd = Sparse::new("note to a relay");
    while let Some(note) = mailbox.recv().await {
        if note.len() > NOTE_MAX {
            odd.warn(format!("{} bytes are too many, dropped", note.len()));
        } else if let Err(error) = socket.send_to(&note, to).await {
            odd.warn(format!("{to}: {error}"));
        }
    }
}

async fn listen(
    socket: Arc<UdpSocket>,
    numbers: HashMap<SocketAddr, PeerId>,
    me: PeerId,
    module: Mailbox,
) {
    let odd = Sparse::new("note from a relay");
    let mut note = [0; NOTE_MAX + 1];
    loop {
        match socket.recv_from(&mut note).await {
            Ok((length, from)) => match numbers.get(&from) {
                Some(&from) if from == me => {}
                Some(&from) if length <= NOTE_MAX => {
                    let _ = module.send(Event::PeerMessage(from, note[..length].to_vec()));
                }
                Some(_) => odd.warn(format!("{from}: too long, ignored")),
                None => odd.warn(format!("{from} is no relay, ignored")),
            },
            // An earlier datagram was refused; the next may come all the same.
            Err(error) => {
                odd.warn(error);
                tokio::time::sleep(NOTE_PAUSE).await;
            }
        }
    }
}
