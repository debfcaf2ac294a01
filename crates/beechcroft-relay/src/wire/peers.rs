//! The other relays of the tier: sends datagrams, by one task for each relay and one for the broadcast address, and
//! receives them, identified by the sender's address.

use crate::wire::limits::{MAX_PEER_MESSAGE_BYTES, RECEIVE_PAUSE};
use crate::wire::rate_limited_log::RateLimitedLog;
use beechcroft::PeerId;
use beechcroft_core::{Event, Mailbox};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Where messages for one address are sent.
pub type PeerMailbox = mpsc::UnboundedSender<Vec<u8>>;

/// Addresses of the relays.
#[derive(Clone, Debug)]
pub struct PeerAddresses {
    /// The address on which this relay receives.
    pub listen: SocketAddr,
    /// By the relays' ids, this relay's own included.
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all relays, if there is one.
    pub all: Option<SocketAddr>,
}

/// Mailboxes of the tasks that send to the other relays.
#[derive(Default)]
pub struct Peers {
    relays: Vec<PeerMailbox>,
    all: Option<PeerMailbox>,
}

impl Peers {
    /// Binds the socket, and starts the tasks that send and the one that receives.
    pub async fn start(
        addresses: PeerAddresses,
        own_id: PeerId,
        relay_events: Mailbox,
    ) -> io::Result<Peers> {
        let socket = Arc::new(UdpSocket::bind(addresses.listen).await?);
        let spawn = |to: SocketAddr| {
            let (sender, mailbox) = mpsc::unbounded_channel();
            tokio::spawn(send_loop(socket.clone(), to, mailbox));
            sender
        };
        let relays = addresses.peers.iter().copied().map(spawn).collect();
        let all = addresses.all.map(spawn);
        tokio::spawn(receive_loop(
            socket.clone(),
            peers_by_address(&addresses.peers),
            own_id,
            relay_events,
        ));
        Ok(Peers { relays, all })
    }

    /// Sends to one relay, or to all; a message without an address is dropped, as the network may drop it.
    pub fn send(&self, to: Option<PeerId>, message: &[u8]) {
        let mailbox = match to {
            Some(peer) => self.relays.get(peer.0 as usize),
            None => self.all.as_ref(),
        };
        mailbox
            .into_iter()
            .for_each(|mailbox| drop(mailbox.send(message.to_vec())));
    }
}

fn peers_by_address(peers: &[SocketAddr]) -> HashMap<SocketAddr, PeerId> {
    (0..)
        .map(PeerId)
        .zip(peers)
        .map(|(peer, &address)| (address, peer))
        .collect()
}

async fn send_loop(
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    mut mailbox: mpsc::UnboundedReceiver<Vec<u8>>,
) {
    let log = RateLimitedLog::new("note to a relay");
    while let Some(message) = mailbox.recv().await {
        if message.len() > MAX_PEER_MESSAGE_BYTES {
            log.warn(format!(
                "message of {} bytes is too long, dropped",
                message.len()
            ));
        } else if let Err(error) = socket.send_to(&message, to).await {
            log.warn(format!("{to}: {error}"));
        }
    }
}

async fn receive_loop(
    socket: Arc<UdpSocket>,
    peers_by_address: HashMap<SocketAddr, PeerId>,
    own_id: PeerId,
    relay_events: Mailbox,
) {
    let log = RateLimitedLog::new("note from a relay");
    let mut message = [0; MAX_PEER_MESSAGE_BYTES + 1];
    loop {
        match socket.recv_from(&mut message).await {
            Ok((length, from)) => match peers_by_address.get(&from) {
                Some(&from) if from == own_id => {}
                Some(&from) if length <= MAX_PEER_MESSAGE_BYTES => {
                    let _ = relay_events.send(Event::PeerMessage(from, message[..length].to_vec()));
                }
                Some(_) => log.warn(format!("{from}: message too long, ignored")),
                None => log.warn(format!("unknown sender {from}, ignored")),
            },
            // The error is that of an earlier datagram that was refused; the next one may arrive nevertheless.
            Err(error) => {
                log.warn(error);
                tokio::time::sleep(RECEIVE_PAUSE).await;
            }
        }
    }
}
