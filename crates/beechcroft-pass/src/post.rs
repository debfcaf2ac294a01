//! Letters between relays, one to a datagram.

use beechcroft_cairns::Letter;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use tokio::net::UdpSocket;

/// The longest letter taken.
const LONGEST: usize = 16 << 10;

#[derive(Clone, Debug)]
pub struct Post(Rc<UdpSocket>);

impl Post {
    pub async fn open(at: SocketAddrV4) -> std::io::Result<Post> {
        let mut tries = 0;
        loop {
            match UdpSocket::bind(at).await {
                Ok(socket) => return Ok(Post(Rc::new(socket))),
                Err(e) if tries > 100 => return Err(e),
                Err(_) => tries += 1,
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    }

    /// A letter that cannot go now is lost like any other: digests mend it.
    pub fn send(&self, to: SocketAddrV4, letter: &Letter) {
        if let Ok(bytes) = postcard::to_stdvec(letter) {
            let _ = self.0.try_send_to(&bytes, SocketAddr::V4(to));
        }
    }

    /// The next sound letter.
    pub async fn next(&self) -> (SocketAddrV4, Letter) {
        let mut buf = vec![0; LONGEST];
        loop {
            let Ok((length, SocketAddr::V4(from))) = self.0.recv_from(&mut buf).await else { continue };
            match postcard::from_bytes(&buf[..length]) {
                Ok(letter) => return (from, letter),
                Err(e) => log::debug!("post: A datagram from {from} is no letter: {e}."),
            }
        }
    }
}
