//! The HTTP server for the API and for RPCs: async-h1's decoder and encoder, with additional checks.
//!
//! The checks reject what async-h1 accepts: a body shorter than its stated length, differing lengths, a body that is
//! too large, and a head that never ends.

use crate::rpc::CALL_ID_HEADER;
use crate::{HttpStream, Runtime};
use async_h1::server::{decode, Encoder};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_safeguards::Safeguard;
use futures_lite::io::{self, AsyncReadExt, AsyncWriteExt};
use http_types::{Body, Method, StatusCode};
use std::future::Future;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

/// The pause after accepting a connection has failed.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// The most memory reserved for a body before it has arrived, in bytes. A stated length alone must not cost more.
const MAX_RESERVED_BYTES: u64 = 1 << 20;

/// A completely read request.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The query without the question mark.
    pub query: String,
    /// The body.
    pub body: Vec<u8>,
    /// The caller's address.
    pub peer: SocketAddr,
    /// When the request had been read completely.
    pub received_at: Instant,
    /// The connection of the caller, which waits for the response.
    pub caller: Caller,
}

impl Request {
    /// The value of a query parameter.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// The caller that waits for the response to a call.
#[derive(Clone, Debug)]
pub struct Caller(HttpStream);

impl Caller {
    /// Completes once the caller has closed its side of the connection: it no longer waits, and may already have made
    /// the same call elsewhere. May be awaited only while the call is being handled.
    pub async fn disconnected(&self) {
        self.0.closed_by_peer().await
    }

    /// Whether the caller has already closed its side of the connection.
    pub async fn is_disconnected(&self) -> bool {
        tokio::select! {
            biased;
            () = self.disconnected() => true,
            () = std::future::ready(()) => false,
        }
    }
}

/// A response to a call.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// Whether the body is JSON; otherwise it is an octet stream.
    pub is_json: bool,
    /// The value of `Location`, for a redirect.
    pub location: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// A response with status 200 and a JSON body.
    pub fn json(body: impl Into<Vec<u8>>) -> Response {
        Response {
            status: 200,
            is_json: true,
            location: None,
            body: body.into(),
        }
    }

    /// A response with status 200 and an octet stream as its body.
    pub fn bytes(body: impl Into<Vec<u8>>) -> Response {
        Response {
            status: 200,
            is_json: false,
            location: None,
            body: body.into(),
        }
    }
}

impl From<Error> for Response {
    fn from(error: Error) -> Response {
        let needs_replacing = |c: char| matches!(c, '"' | '\\') || c < ' ';
        let text = error.to_string().replace(needs_replacing, "'");
        Response {
            status: error.kind.status(),
            is_json: true,
            location: None,
            body: format!("{{\"error\":\"{text}\"}}").into(),
        }
    }
}

impl From<ErrorKind> for Response {
    fn from(kind: ErrorKind) -> Response {
        Error::new(kind, "").into()
    }
}

/// The limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The largest body, in bytes.
    pub max_body_bytes: u64,
    /// How long a head may take to arrive, and how long a connection may be idle.
    pub head_timeout: Duration,
    /// How long a body may take to arrive.
    pub body_timeout: Duration,
    /// The most concurrent connections. Further ones are closed at once, so that their callers try another node.
    pub max_connections: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits {
            max_body_bytes: 16 << 20,
            head_timeout: Duration::from_secs(20),
            body_timeout: Duration::from_secs(8),
            max_connections: 1500,
        }
    }
}

/// Listens on an address and passes each call to the handler. Returns only if the address cannot be bound.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn serve<H, F>(
    runtime: Runtime,
    address: SocketAddrV4,
    limits: ServerLimits,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response> + 'static,
{
    let mut listener = runtime.listen(address).await?;
    let handler = Rc::new(handler);
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("server: Accepting a connection on {address} failed: {e}.");
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        // Each open connection owns a clone of the handler, so the reference count gives the number of connections.
        if Rc::strong_count(&handler) > limits.max_connections {
            continue;
        }
        let handler = handler.clone();
        spawn_local(async move {
            let stream = HttpStream::new(stream);
            while let Ok(true) = handle_call(&stream, peer, limits, &*handler).await {}
        });
    }
}

/// Handles one call. Returns whether the connection may carry another one.
async fn handle_call<H, F>(
    stream: &HttpStream,
    peer: SocketAddr,
    limits: ServerLimits,
    handler: &H,
) -> http_types::Result<bool>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    stream.begin_message();
    let Ok(decoded) = timeout(limits.head_timeout, decode(stream.clone())).await else {
        return Ok(false);
    };
    let (mut request, mut rest) = match decoded {
        Ok(Some(decoded)) => decoded,
        Ok(None) => return Ok(false),
        Err(_) => {
            respond(stream, Method::Get, None, ErrorKind::Malformed.into(), true).await?;
            return Ok(false);
        }
    };
    let method = request.method();
    let call_id = request
        .header(CALL_ID_HEADER)
        .map(|id| id.as_str().to_owned());
    let connection = request.header("connection");
    let wants_close = connection.is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
    let mut keep_alive = !wants_close;
    let body = timeout(limits.body_timeout, read_body(&mut request, limits)).await;
    let response = match body {
        Ok(Ok(body)) => {
            // Bytes of a next call that async-h1 read ahead are lost. Closing the connection keeps the caller from
            // taking the response to a later call for that of the lost one.
            let read_ahead = !stream.has_read_exactly(body.len());
            keep_alive &= !read_ahead || !Safeguard::ServerReadAhead.is_enabled();
            let url = request.url();
            let request = Request {
                method: method.to_string(),
                path: url.path().to_owned(),
                query: url.query().unwrap_or("").to_owned(),
                body,
                peer,
                received_at: Instant::now(),
                caller: Caller(stream.clone()),
            };
            handler(request).await
        }
        Ok(Err(error)) => {
            keep_alive = false;
            error.into()
        }
        Err(_) => {
            keep_alive = false;
            ErrorKind::RequestTimeout.into()
        }
    };
    respond(stream, method, call_id, response, !keep_alive).await?;
    if keep_alive {
        io::copy(&mut rest, &mut io::sink()).await?;
    }
    Ok(keep_alive)
}

/// The value of `Content-Length`. If it is repeated, all values must be equal.
fn content_length(request: &http_types::Request) -> Result<Option<u64>, Error> {
    let Some(values) = request.header("content-length") else {
        return Ok(None);
    };
    let mut lengths = values
        .iter()
        .map(|value| value.as_str().trim().parse::<u64>());
    let first = lengths.next().and_then(Result::ok);
    let malformed = |detail: &str| Error::new(ErrorKind::Malformed, detail);
    let first = first.ok_or_else(|| malformed("Content-Length is not a number"))?;
    if lengths.any(|other| other != Ok(first)) {
        return Err(malformed("several lengths that differ"));
    }
    Ok(Some(first))
}

/// Reads a body and checks it against the size limit and its stated length.
async fn read_body(
    request: &mut http_types::Request,
    limits: ServerLimits,
) -> Result<Vec<u8>, Error> {
    let max = limits.max_body_bytes;
    let too_large = || Error::new(ErrorKind::BodyTooLarge, format!("more than {max} bytes"));
    let length = content_length(request)?;
    if length.is_some_and(|length| length > max) {
        return Err(too_large());
    }
    let reserved = length.unwrap_or(0).min(MAX_RESERVED_BYTES) as usize;
    let mut body = Vec::with_capacity(reserved);
    let mut reader = request.take_body().take(max + 1);
    let read = reader.read_to_end(&mut body).await;
    read.map_err(|e| Error::new(ErrorKind::Malformed, e.to_string()))?;
    if body.len() as u64 > max {
        return Err(too_large());
    }
    match length {
        Some(length) if length != body.len() as u64 => {
            let detail = format!("the body ends after {} of {length} bytes", body.len());
            Err(Error::new(ErrorKind::Malformed, detail))
        }
        _ => Ok(body),
    }
}

async fn respond(
    stream: &HttpStream,
    method: Method,
    call_id: Option<String>,
    response: Response,
    close: bool,
) -> http_types::Result<()> {
    let status = StatusCode::try_from(response.status).unwrap_or(StatusCode::InternalServerError);
    let mut message = http_types::Response::new(status);
    message.set_body(Body::from_bytes(response.body));
    let content_type = if response.is_json {
        "application/json"
    } else {
        "application/octet-stream"
    };
    message.insert_header("content-type", content_type);
    if let Some(id) = call_id {
        message.insert_header(CALL_ID_HEADER, id);
    }
    if let Some(location) = response.location {
        message.insert_header("location", location);
    }
    if close {
        message.insert_header("connection", "close");
    }
    let mut bytes = Vec::new();
    Encoder::new(message, method)
        .read_to_end(&mut bytes)
        .await?;
    stream.clone().write_all(&bytes).await?;
    Ok(())
}
