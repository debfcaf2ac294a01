//! Gossip messages, one to a datagram.

use crate::runtime::{DatagramSocket, Runtime};
use beechcroft_gossip::Message;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// The longest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// A socket for gossip messages. Clones share it.
#[derive(Clone)]
pub struct MessageSocket(Rc<DatagramSocket>);

impl MessageSocket {
    /// Binds the socket.
    pub async fn bind(runtime: &Runtime, address: SocketAddrV4) -> std::io::Result<MessageSocket> {
        runtime
            .bind_datagrams(address)
            .await
            .map(|socket| MessageSocket(Rc::new(socket)))
    }

    /// Sends a message. One that cannot be sent now is lost like any other: anti-entropy repairs that.
    pub fn send(&self, to: SocketAddrV4, message: &Message) {
        if let Ok(bytes) = postcard::to_stdvec(message) {
            self.0.send(to, bytes);
        }
    }

    /// The next valid message, and where it came from.
    pub async fn receive(&self) -> (SocketAddrV4, Message) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Some((from, length)) = self.0.receive(&mut buf).await else {
                continue;
            };
            match postcard::from_bytes(&buf[..length]) {
                Ok(message) => return (from, message),
                Err(e) => log::debug!("datagram: What {from} sent is no message: {e}."),
            }
        }
    }
}
