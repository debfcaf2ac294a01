//! Gossip over UDP: one postcard-encoded message per datagram.

use crate::runtime::{DatagramSocket, Runtime};
use beechcroft_gossip::Message;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Size of the receive buffer, in bytes. Longer datagrams are truncated and do not decode.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// A socket for gossip messages. Clones share it.
#[derive(Clone)]
pub struct MessageSocket(Rc<DatagramSocket>);

impl MessageSocket {
    /// Binds a socket to an address. Retries for a while, as sockets of a previous process may linger.
    pub async fn bind(runtime: &Runtime, address: SocketAddrV4) -> std::io::Result<MessageSocket> {
        runtime
            .bind_datagrams(address)
            .await
            .map(|socket| MessageSocket(Rc::new(socket)))
    }

    /// Sends a message without waiting. A message that cannot be sent now is dropped like any lost datagram;
    /// anti-entropy makes up for it.
    pub fn send(&self, to: SocketAddrV4, message: &Message) {
        if let Ok(bytes) = postcard::to_stdvec(message) {
            self.0.send(to, bytes);
        }
    }

    /// Receives the next valid message and its sender's address.
    pub async fn receive(&self) -> (SocketAddrV4, Message) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Some((from, length)) = self.0.receive(&mut buf).await else {
                continue;
            };
            match postcard::from_bytes(&buf[..length]) {
                Ok(message) => return (from, message),
                Err(e) => log::debug!("datagram: Undecodable message from {from}: {e}."),
            }
        }
    }
}
