//! Letters between relays, one to a datagram.

use crate::ground::{Datagrams, Ground};
use beechcroft_gossip::Letter;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// The longest letter taken.
const LONGEST: usize = 16 << 10;

#[derive(Clone)]
pub struct Post(Rc<Datagrams>);

impl Post {
    pub async fn open(ground: &Ground, at: SocketAddrV4) -> std::io::Result<Post> {
        ground
            .datagrams(at)
            .await
            .map(|datagrams| Post(Rc::new(datagrams)))
    }

    /// A letter that cannot go now is lost like any other: digests mend it.
    pub fn send(&self, to: SocketAddrV4, letter: &Letter) {
        if let Ok(bytes) = postcard::to_stdvec(letter) {
            self.0.send(to, bytes);
        }
    }

    /// The next sound letter.
    pub async fn next(&self) -> (SocketAddrV4, Letter) {
        let mut buf = vec![0; LONGEST];
        loop {
            let Some((from, length)) = self.0.next(&mut buf).await else {
                continue;
            };
            match postcard::from_bytes(&buf[..length]) {
                Ok(letter) => return (from, letter),
                Err(e) => log::debug!("post: A datagram from {from} is no letter: {e}."),
            }
        }
    }
}
