//! HTTP/1.1 calls of units, clients and the operator, with the parser of the programs.

use beechcroft_transport::connection::{BodyReader, Connection};
use beechcroft_transport::http_validation::{self, Parsed};
use beechcroft_transport::Runtime;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::time::timeout;

/// One call on a new connection; returns status and body of a complete response.
pub async fn call(
    runtime: &Runtime,
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &[u8],
    within: Duration,
) -> Option<(u16, Vec<u8>)> {
    call_with_location(runtime, to, method, path, body, within)
        .await
        .map(|(status, body, _)| (status, body))
}

/// The same, with the `Location` of the response.
pub async fn call_with_location(
    runtime: &Runtime,
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &[u8],
    within: Duration,
) -> Option<(u16, Vec<u8>, Option<String>)> {
    let done = async {
        let mut line = Connection::new(runtime.connect(to).await.ok()?);
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        line.write(head.as_bytes()).await.ok()?;
        line.write(body).await.ok()?;
        let (reply, body) = read_response(&mut line, method).await?;
        let lines = String::from_utf8_lossy(&reply.forwarded_headers);
        Some((
            reply.status,
            body,
            header(&lines, "location").map(str::to_owned),
        ))
    };
    timeout(within, done).await.ok().flatten()
}

/// Reads a complete response to a request of that method: head and body.
pub async fn read_response(
    line: &mut Connection,
    method: &str,
) -> Option<(http_validation::ResponseHead, Vec<u8>)> {
    let reply = loop {
        match http_validation::parse_response(line.unread(), method) {
            Parsed::Complete(reply, length) => {
                line.consume(length);
                break reply;
            }
            Parsed::Invalid(_) => return None,
            Parsed::Incomplete => {}
        }
        if !matches!(line.read_more().await, Ok(1..)) {
            return None;
        }
    };
    let mut body = BodyReader::new(reply.framing);
    let mut held = Vec::new();
    while !body.is_done() {
        body.read(line, &mut held).await.ok()?;
    }
    Some((reply, held))
}

/// The value of a header in a raw head.
pub(super) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.split("\r\n").filter_map(|line| line.split_once(':'));
    lines
        .find(|(of, _)| of.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim())
}
