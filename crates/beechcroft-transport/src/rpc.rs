//! Calls from this node to other nodes, by async-h1, on connections that are kept.

use crate::{HttpStream, Runtime};
use beechcroft_consensus::{PerRegister, RegisterId, Revision, Value};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_safeguards::Safeguard;
use futures_lite::io::AsyncReadExt;
use http_types::{Body, Method, Request, Url};
use serde::de::DeserializeOwned;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// How long an idle connection is kept: less than any server's patience with one.
const MAX_IDLE: Duration = Duration::from_secs(8);
/// Idle connections to one node.
const MAX_IDLE_CONNECTIONS: usize = 3;
/// The header with the id of a call. The server returns it with the response.
pub const CALL_ID_HEADER: &str = "beechcroft-call-id";

/// Paths of the calls between nodes.
pub mod paths {
    /// A consensus request: body and response in postcard form.
    pub const CONSENSUS: &str = "/ask";
    /// The latest known value of a register: one byte with the register's index.
    pub const REGISTER: &str = "/copy";
    /// The revisions of the registers, read from a majority.
    pub const REVISIONS: &str = "/revisions";
    /// A drain or an end of an endpoint, to be stored before it is acknowledged.
    pub const ENDPOINT: &str = "/unit";
    /// A proxy's vote to roll back: the service and the rollout's id.
    pub const ROLLBACK: &str = "/back";
    /// The evidence on an endpoint, as text.
    pub const EVIDENCE: &str = "/why";
    /// What the node knows, as text.
    pub const SHOW: &str = "/show";
}

/// An idle connection, and when it was last used.
struct IdleConnection {
    stream: HttpStream,
    since: Instant,
}

/// A client of other nodes, with its idle connections. Clones share them.
#[derive(Clone, Default)]
pub struct RpcClient {
    idle: Rc<RefCell<HashMap<SocketAddrV4, Vec<IdleConnection>>>>,
    runtime: Runtime,
    last_call_id: Rc<Cell<u64>>,
}

impl RpcClient {
    /// A client on a runtime.
    pub fn new(runtime: Runtime) -> RpcClient {
        RpcClient {
            runtime,
            ..RpcClient::default()
        }
    }

    /// The runtime that it stands on.
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }

    /// Makes one call: the body of a response with status 200.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::ResponseLost`] if no response came in time, or one with another status. The call may have been
    /// carried out.
    pub async fn call(
        &self,
        to: SocketAddrV4,
        path: &str,
        body: Vec<u8>,
        within: Duration,
    ) -> Result<Vec<u8>, Error> {
        let lost =
            |what: String| Error::new(ErrorKind::ResponseLost, format!("{to}{path}: {what}"));
        match timeout(within, self.exchange(to, path, body)).await {
            Err(_) => Err(lost(format!("no answer within {} ms", within.as_millis()))),
            Ok(Err(e)) => Err(lost(e.to_string())),
            Ok(Ok((200, body))) => Ok(body),
            Ok(Ok((status, _))) => Err(lost(format!("status {status}"))),
        }
    }

    /// Makes a call whose response is in postcard form.
    async fn call_for<T: DeserializeOwned>(
        &self,
        to: SocketAddrV4,
        path: &str,
        body: Vec<u8>,
        within: Duration,
    ) -> Result<T, Error> {
        let bytes = self.call(to, path, body, within).await?;
        postcard::from_bytes(&bytes).map_err(|e| Error::new(ErrorKind::Malformed, e.to_string()))
    }

    /// Fetches another node's latest known value of a register.
    pub async fn fetch_register(
        &self,
        from: SocketAddrV4,
        register: RegisterId,
        within: Duration,
    ) -> Result<Value, Error> {
        let body = vec![register.index() as u8];
        self.call_for(from, paths::REGISTER, body, within).await
    }

    /// The registers' revisions, as a control node reads them from a majority.
    pub async fn read_revisions(
        &self,
        from: SocketAddrV4,
        within: Duration,
    ) -> Result<PerRegister<Revision>, Error> {
        self.call_for(from, paths::REVISIONS, Vec::new(), within)
            .await
    }

    /// Sends a request and reads its response. Whatever ends this early takes its connection with it: only a connection
    /// with a complete response to this call, and nothing behind it, is kept.
    async fn exchange(
        &self,
        to: SocketAddrV4,
        path: &str,
        body: Vec<u8>,
    ) -> http_types::Result<(u16, Vec<u8>)> {
        let (stream, is_new) = match self.take_idle(to) {
            Some(stream) => (stream, false),
            None => (HttpStream::new(self.runtime.connect(to).await?), true),
        };
        let call_id = self.next_call_id();
        let mut request = Request::new(Method::Post, Url::parse(&format!("http://{to}{path}"))?);
        request.insert_header(CALL_ID_HEADER, &call_id);
        request.set_body(Body::from_bytes(body));
        stream.begin_message();
        let mut response = async_h1::client::connect(stream.clone(), request).await?;
        let has_own_id = response
            .header(CALL_ID_HEADER)
            .map(|id| id.as_str() == call_id);
        // A node of an older release returns no id: the first response on a connection belongs to the call anyway.
        if !has_own_id.unwrap_or(is_new) && Safeguard::RpcIds.is_enabled() {
            return Err(http_types::format_err!("an answer to another call"));
        }
        let connection = response.header("connection");
        let closes = connection.is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
        let length = response.header("content-length");
        let length = length.and_then(|v| v.as_str().parse::<usize>().ok());
        let mut body = Vec::new();
        response.take_body().read_to_end(&mut body).await?;
        // async-h1 takes a body that breaks off for a complete one.
        if length != Some(body.len()) {
            return Err(http_types::format_err!(
                "the answer ends after {} bytes",
                body.len()
            ));
        }
        let read_ahead =
            Safeguard::ClientReadAhead.is_enabled() && !stream.has_read_exactly(body.len());
        if has_own_id == Some(true) && !closes && !read_ahead && stream.is_reusable() {
            self.keep(to, stream);
        }
        Ok((response.status().into(), body))
    }

    fn next_call_id(&self) -> String {
        self.last_call_id.set(self.last_call_id.get() + 1);
        format!("{:x}", self.last_call_id.get())
    }

    fn keep(&self, to: SocketAddrV4, stream: HttpStream) {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(to).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection {
                stream,
                since: Instant::now(),
            });
        }
    }

    fn take_idle(&self, to: SocketAddrV4) -> Option<HttpStream> {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&to)?;
        while let Some(IdleConnection { stream, since }) = idle.pop() {
            if since.elapsed() < MAX_IDLE && stream.is_reusable() {
                return Some(stream);
            }
        }
        None
    }
}

/// Fetches newer values of registers from peers, one fetch for each register at a time.
#[derive(Default)]
pub struct RegisterFetcher {
    /// Until when a fetch is taken to be under way, in the owner's milliseconds.
    busy_until: PerRegister<u64>,
}

/// How long a fetch may take.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// After so long another peer may be asked, in milliseconds.
const FETCH_RETRY_MS: u64 = 750;

impl RegisterFetcher {
    /// Fetches a register, unless a fetch of it is under way. `on_fetched` gets the value.
    pub fn fetch(
        &mut self,
        rpc: &RpcClient,
        now: u64,
        from: SocketAddrV4,
        register: RegisterId,
        on_fetched: impl FnOnce(Value) + 'static,
    ) {
        if now < self.busy_until[register] {
            return;
        }
        self.busy_until[register] = now + FETCH_RETRY_MS;
        let rpc = rpc.clone();
        tokio::task::spawn_local(async move {
            match rpc.fetch_register(from, register, FETCH_TIMEOUT).await {
                Ok(value) => on_fetched(value),
                Err(error) => log::info!("rpc: A register was not fetched: {error}."),
            }
        });
    }

    /// A fetched value has come.
    pub fn on_fetched(&mut self, register: RegisterId) {
        self.busy_until[register] = 0;
    }
}
