//! A listener for the system's own calls: async-h1's decoder and encoder behind a guard.
//!
//! The guard holds what async-h1 lets pass: a body that is shorter than its head says, several lengths that
//! differ, a body that is too large, a head that never ends.

use crate::errand::CALL_ID;
use crate::{Ground, Wire};
use async_h1::server::{decode, Encoder};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_safeguards::Safeguard;
use futures_lite::io::{self, AsyncReadExt};
use http_types::{Body, Request, Response, StatusCode};
use std::future::Future;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

/// A call that was read whole.
#[derive(Debug)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
    pub from: std::net::SocketAddr,
    /// When it was read whole.
    pub read: Instant,
    pub caller: Caller,
}

/// Who waits for the answer.
#[derive(Clone, Debug)]
pub struct Caller(Wire);

impl Caller {
    /// Ends once the caller has closed its side: it has stopped waiting, and may be somewhere else with the same call by now.
    /// Only while the call is worked on.
    pub async fn gone(&self) {
        self.0 .0.ended().await
    }

    /// Whether it has closed already.
    pub async fn is_gone(&self) -> bool {
        tokio::select! {
            biased;
            () = self.gone() => true,
            () = std::future::ready(()) => false,
        }
    }
}

impl Call {
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|pair| pair.0 == name)
            .map(|pair| pair.1)
    }
}

/// What is answered.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub json: bool,
    pub location: Option<String>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json(body: impl Into<Vec<u8>>) -> Answer {
        Answer {
            status: 200,
            json: true,
            location: None,
            body: body.into(),
        }
    }

    pub fn bytes(body: impl Into<Vec<u8>>) -> Answer {
        Answer {
            status: 200,
            json: false,
            location: None,
            body: body.into(),
        }
    }
}

impl From<Error> for Answer {
    fn from(fault: Error) -> Answer {
        let said: String = fault
            .to_string()
            .chars()
            .map(|c| {
                if matches!(c, '"' | '\\') || c < ' ' {
                    '\''
                } else {
                    c
                }
            })
            .collect();
        Answer {
            status: fault.kind.status(),
            json: true,
            location: None,
            body: format!("{{\"error\":\"{said}\"}}").into(),
        }
    }
}

impl From<ErrorKind> for Answer {
    fn from(kind: ErrorKind) -> Answer {
        Error::new(kind, "").into()
    }
}

/// What a desk bears.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub body_bytes: u64,
    pub head_time: Duration,
    pub body_time: Duration,
    pub connections: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        let (head_time, body_time) = (Duration::from_secs(20), Duration::from_secs(8));
        Bounds {
            body_bytes: 16 << 20,
            head_time,
            body_time,
            connections: 1500,
        }
    }
}

/// Listens and answers until the listener fails.
pub async fn serve<H, F>(
    ground: Ground,
    at: SocketAddrV4,
    bounds: Bounds,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(Call) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    let mut listener = ground.listen(at).await?;
    let handler = Rc::new(handler);
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("desk: Accepting on {at} failed: {e}.");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        if Rc::strong_count(&handler) > bounds.connections {
            continue; // closed: the caller goes to another relay
        }
        let handler = handler.clone();
        spawn_local(async move {
            let wire = Wire::new(stream);
            while let Ok(true) = one(&wire, from, bounds, &*handler).await {}
        });
    }
}

/// One call; whether another may follow on the connection.
async fn one<H, F>(
    wire: &Wire,
    from: std::net::SocketAddr,
    bounds: Bounds,
    handler: &H,
) -> http_types::Result<bool>
where
    H: Fn(Call) -> F,
    F: Future<Output = Answer>,
{
    wire.begin();
    let Ok(decoded) = timeout(bounds.head_time, decode(wire.clone())).await else {
        return Ok(false);
    };
    let (mut request, mut rest) = match decoded {
        Ok(Some(decoded)) => decoded,
        Ok(None) => return Ok(false),
        Err(_) => {
            reply(
                wire,
                http_types::Method::Get,
                None,
                ErrorKind::Malformed.into(),
                true,
            )
            .await?;
            return Ok(false);
        }
    };
    let method = request.method();
    let id = request.header(CALL_ID).map(|id| id.as_str().to_owned());
    let mut keep = !request
        .header("connection")
        .is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
    let answer = match timeout(bounds.body_time, body(&mut request, bounds)).await {
        Ok(Ok(body)) => {
            let url = request.url();
            let (path, query) = (url.path().to_owned(), url.query().unwrap_or("").to_owned());
            // A next call that was read ahead is lost: its caller must not take a later one's answer for its own.
            keep &= !Safeguard::ServerReadAhead.is_enabled() || wire.read_just(body.len());
            let read = Instant::now();
            let caller = Caller(wire.clone());
            handler(Call {
                method: method.to_string(),
                path,
                query,
                body,
                from,
                read,
                caller,
            })
            .await
        }
        Ok(Err(fault)) => {
            keep = false;
            fault.into()
        }
        Err(_) => {
            keep = false;
            ErrorKind::RequestTimeout.into()
        }
    };
    reply(wire, method, id, answer, !keep).await?;
    if keep {
        io::copy(&mut rest, &mut io::sink()).await?;
    }
    Ok(keep)
}

/// The body, counted against the head.
async fn body(request: &mut Request, bounds: Bounds) -> Result<Vec<u8>, Error> {
    let length = match request.header("content-length") {
        None => None,
        Some(values) => {
            let mut lengths = values
                .iter()
                .map(|value| value.as_str().trim().parse::<u64>());
            let first = lengths.next().and_then(Result::ok);
            let first = first.ok_or_else(|| {
                Error::new(ErrorKind::Malformed, "Content-Length is not a number")
            })?;
            if lengths.any(|other| other != Ok(first)) {
                return Err(Error::new(
                    ErrorKind::Malformed,
                    "several lengths that differ",
                ));
            }
            Some(first)
        }
    };
    if length.is_some_and(|length| length > bounds.body_bytes) {
        return Err(Error::new(
            ErrorKind::BodyTooLarge,
            format!("more than {} bytes", bounds.body_bytes),
        ));
    }
    let mut body = Vec::with_capacity(length.unwrap_or(0).min(1 << 20) as usize);
    let mut reader = request.take_body().take(bounds.body_bytes + 1);
    reader
        .read_to_end(&mut body)
        .await
        .map_err(|e| Error::new(ErrorKind::Malformed, e.to_string()))?;
    if body.len() as u64 > bounds.body_bytes {
        return Err(Error::new(
            ErrorKind::BodyTooLarge,
            format!("more than {} bytes", bounds.body_bytes),
        ));
    }
    match length {
        Some(length) if length != body.len() as u64 => Err(Error::new(
            ErrorKind::Malformed,
            format!("the body ends after {} of {length} bytes", body.len()),
        )),
        _ => Ok(body),
    }
}

async fn reply(
    wire: &Wire,
    method: http_types::Method,
    id: Option<String>,
    answer: Answer,
    close: bool,
) -> http_types::Result<()> {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(Body::from_bytes(answer.body));
    response.insert_header(
        "content-type",
        if answer.json {
            "application/json"
        } else {
            "application/octet-stream"
        },
    );
    if let Some(id) = id {
        response.insert_header(CALL_ID, id);
    }
    if let Some(location) = answer.location {
        response.insert_header("location", location);
    }
    if close {
        response.insert_header("connection", "close");
    }
    let mut bytes = Vec::new();
    Encoder::new(response, method)
        .read_to_end(&mut bytes)
        .await?;
    futures_lite::io::AsyncWriteExt::write_all(&mut wire.clone(), &bytes).await?;
    Ok(())
}
