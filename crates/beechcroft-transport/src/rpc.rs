//! RPCs between nodes: HTTP calls through async-h1 on pooled connections.

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

/// How long an idle connection is kept. Shorter than the idle timeout of any server, so that the client closes first.
const MAX_IDLE: Duration = Duration::from_secs(8);
/// The most idle connections kept to one node.
const MAX_IDLE_CONNECTIONS: usize = 3;
/// The header with the id of a call. The server copies it into the response.
pub const CALL_ID_HEADER: &str = "beechcroft-call-id";

/// Paths of the RPCs between nodes.
pub mod paths {
    /// A consensus request. Body and response are postcard-encoded.
    pub const CONSENSUS: &str = "/ask";
    /// The latest known value of a register. The body is one byte, the register's index.
    pub const REGISTER: &str = "/copy";
    /// The revisions of all registers, read from a majority.
    pub const REVISIONS: &str = "/revisions";
    /// A drain or deregistration of an endpoint, which the receiver stores before it acknowledges it.
    pub const ENDPOINT: &str = "/unit";
    /// A proxy's vote to roll back. The body names the service and the rollout's id.
    pub const ROLLBACK: &str = "/back";
    /// The evidence on an endpoint, as text.
    pub const EVIDENCE: &str = "/why";
    /// The node's view of the system, as text.
    pub const SHOW: &str = "/show";
}

/// An idle connection, with the time at which it became idle.
struct IdleConnection {
    stream: HttpStream,
    since: Instant,
}

/// A client for RPCs to other nodes, with a pool of idle connections. Clones share the pool.
#[derive(Clone, Default)]
pub struct RpcClient {
    idle: Rc<RefCell<HashMap<SocketAddrV4, Vec<IdleConnection>>>>,
    runtime: Runtime,
    last_call_id: Rc<Cell<u64>>,
}

impl RpcClient {
    /// A client with an empty pool that connects through this runtime.
    pub fn new(runtime: Runtime) -> RpcClient {
        RpcClient {
            runtime,
            ..RpcClient::default()
        }
    }

    /// The runtime through which the client connects.
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }

    /// Makes one call and returns the body of a response with status 200.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::ResponseLost`] if no response came in time, or one with another status. The call may have been
    /// executed nevertheless.
    pub async fn call(
        &self,
        to: SocketAddrV4,
        path: &str,
        body: Vec<u8>,
        within: Duration,
    ) -> Result<Vec<u8>, Error> {
        let lost =
            |reason: String| Error::new(ErrorKind::ResponseLost, format!("{to}{path}: {reason}"));
        match timeout(within, self.exchange(to, path, body)).await {
            Err(_) => Err(lost(format!(
                "no response within {} ms",
                within.as_millis()
            ))),
            Ok(Err(e)) => Err(lost(e.to_string())),
            Ok(Ok((200, body))) => Ok(body),
            Ok(Ok((status, _))) => Err(lost(format!("status {status}"))),
        }
    }

    /// Makes a call whose response is postcard-encoded.
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

    /// Fetches the value of a register that another node has last learned.
    ///
    /// # Errors
    ///
    /// Those of [`RpcClient::call`], and [`ErrorKind::Malformed`] if the response cannot be decoded.
    pub async fn fetch_register(
        &self,
        from: SocketAddrV4,
        register: RegisterId,
        within: Duration,
    ) -> Result<Value, Error> {
        let body = vec![register.index() as u8];
        self.call_for(from, paths::REGISTER, body, within).await
    }

    /// Fetches the revisions of all registers, which a control node reads from a majority.
    ///
    /// # Errors
    ///
    /// Those of [`RpcClient::call`], and [`ErrorKind::Malformed`] if the response cannot be decoded.
    pub async fn read_revisions(
        &self,
        from: SocketAddrV4,
        within: Duration,
    ) -> Result<PerRegister<Revision>, Error> {
        self.call_for(from, paths::REVISIONS, Vec::new(), within)
            .await
    }

    /// Sends a request and reads its response. The connection returns to the pool only after a complete response to
    /// this call with nothing after it. On an error or a time-out it is closed, so that a late response cannot be taken
    /// for that of another call.
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
        // Nodes of older releases return no id. The first response on a new connection must belong to this call.
        if !has_own_id.unwrap_or(is_new) && Safeguard::RpcIds.is_enabled() {
            return Err(http_types::format_err!("response to another call"));
        }
        let connection = response.header("connection");
        let closes = connection.is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
        let length = response.header("content-length");
        let length = length.and_then(|v| v.as_str().parse::<usize>().ok());
        let mut body = Vec::new();
        response.take_body().read_to_end(&mut body).await?;
        // async-h1 accepts a truncated body as a complete one.
        if length != Some(body.len()) {
            return Err(http_types::format_err!(
                "response truncated after {} bytes",
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

/// Fetches newer values of registers from peers, with at most one fetch in flight for each register.
#[derive(Default)]
pub struct RegisterFetcher {
    /// Until when a fetch counts as in flight, in milliseconds of the state owner's clock.
    busy_until: PerRegister<u64>,
}

/// Time-out of a fetch.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long after the start of a fetch the register may be fetched from another peer, in milliseconds.
const FETCH_RETRY_MS: u64 = 750;

impl RegisterFetcher {
    /// Starts to fetch a register, unless a fetch of it is in flight at `now` (in milliseconds). `on_fetched` is called
    /// with the value.
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

    /// Ends the fetch of a register whose value has arrived, so that the next one may start at once.
    pub fn on_fetched(&mut self, register: RegisterId) {
        self.busy_until[register] = 0;
    }
}
