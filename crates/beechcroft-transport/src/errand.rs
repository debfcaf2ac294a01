//! Calls that this relay makes of another, by async-h1, on a connection kept for each.

use crate::{Ground, Wire};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_safeguards::Safeguard;
use futures_lite::io::AsyncReadExt;
use http_types::{Body, Method, Request, Url};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// Younger than any desk's patience with an idle connection.
const KEEP: Duration = Duration::from_secs(8);
/// Connections kept to one relay.
const KEPT: usize = 3;
/// The header that names a call; the desk puts it into the call's answer.
pub const CALL_ID: &str = "beechcroft-call-id";

/// Idle connections to each relay, with when they were last used.
type Kept = HashMap<SocketAddrV4, Vec<(Wire, Instant)>>;

/// Kept connections to other relays.
#[derive(Clone, Debug, Default)]
pub struct Errands {
    kept: Rc<RefCell<Kept>>,
    ground: Ground,
    /// The id of the latest call.
    latest: Rc<Cell<u64>>,
}

impl Errands {
    pub fn new(ground: Ground) -> Errands {
        Errands {
            ground,
            ..Errands::default()
        }
    }

    pub fn ground(&self) -> &Ground {
        &self.ground
    }

    /// One call; the answer's body, if its status is 200.
    pub async fn run(
        &self,
        to: SocketAddrV4,
        path: &str,
        body: Vec<u8>,
        within: Duration,
    ) -> Result<Vec<u8>, Error> {
        let lost = |said: String| Error::new(ErrorKind::ResponseLost, said);
        match timeout(within, self.call(to, path, body)).await {
            Err(_) => Err(lost(format!(
                "{to}{path}: no answer within {} ms",
                within.as_millis()
            ))),
            Ok(Err(e)) => Err(lost(format!("{to}{path}: {e}"))),
            Ok(Ok((200, body))) => Ok(body),
            Ok(Ok((status, _))) => Err(lost(format!("{to}{path}: status {status}"))),
        }
    }

    /// Another relay's copy of a register.
    pub async fn copy<T: serde::de::DeserializeOwned>(
        &self,
        from: SocketAddrV4,
        register: usize,
        within: Duration,
    ) -> Result<T, Error> {
        let bytes = self
            .run(from, "/copy", vec![register as u8], within)
            .await?;
        postcard::from_bytes(&bytes).map_err(|e| Error::new(ErrorKind::Malformed, e.to_string()))
    }

    /// The registers' revisions as a hut reads them from a majority of the core.
    pub async fn revisions(&self, from: SocketAddrV4, within: Duration) -> Result<[u64; 2], Error> {
        let bytes = self.run(from, "/revisions", Vec::new(), within).await?;
        postcard::from_bytes(&bytes).map_err(|e| Error::new(ErrorKind::Malformed, e.to_string()))
    }

    /// Whatever ends this early takes its connection with it: only one with a whole answer of its own, and nothing
    /// behind it, is kept.
    async fn call(
        &self,
        to: SocketAddrV4,
        path: &str,
        body: Vec<u8>,
    ) -> http_types::Result<(u16, Vec<u8>)> {
        let (wire, fresh) = match self.kept(to) {
            Some(wire) => (wire, false),
            None => (Wire::new(self.ground.connect(to).await?), true),
        };
        self.latest.set(self.latest.get() + 1);
        let id = format!("{:x}", self.latest.get());
        let mut request = Request::new(Method::Post, Url::parse(&format!("http://{to}{path}"))?);
        request.insert_header(CALL_ID, &id);
        request.set_body(Body::from_bytes(body));
        wire.begin();
        let mut answer = async_h1::client::connect(wire.clone(), request).await?;
        let named = answer.header(CALL_ID).map(|of| of.as_str() == id);
        // A relay of an older release names no call: the first answer on a connection is the call's all the same.
        let owned = named.unwrap_or(fresh);
        if !owned && Safeguard::RpcIds.is_enabled() {
            return Err(http_types::format_err!("an answer to another call"));
        }
        let closes = answer
            .header("connection")
            .is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
        let length = answer
            .header("content-length")
            .and_then(|v| v.as_str().parse::<usize>().ok());
        let mut body = Vec::new();
        answer.take_body().read_to_end(&mut body).await?;
        // The guard: async-h1 takes a body that breaks off for a whole one.
        if length != Some(body.len()) {
            return Err(http_types::format_err!(
                "the answer ends after {} bytes",
                body.len()
            ));
        }
        let just = !Safeguard::ClientReadAhead.is_enabled() || wire.read_just(body.len());
        if named == Some(true) && !closes && just && wire.clean() {
            let mut kept = self.kept.borrow_mut();
            let kept = kept.entry(to).or_default();
            if kept.len() < KEPT {
                kept.push((wire, Instant::now()));
            }
        }
        Ok((answer.status().into(), body))
    }

    fn kept(&self, to: SocketAddrV4) -> Option<Wire> {
        let mut kept = self.kept.borrow_mut();
        let kept = kept.get_mut(&to)?;
        while let Some((wire, since)) = kept.pop() {
            if since.elapsed() < KEEP && wire.clean() {
                return Some(wire);
            }
        }
        None
    }
}
