//! Heads of requests and answers that are carried: read by httparse, judged here.
//!
//! Whatever could be read in two ways is refused: several lengths that differ, a length beside chunks, codings
//! other than chunked. Raw targets and header values are passed on as they came.

use beechcroft_error::ErrorKind;
use beechcroft_safeguards::Safeguard;

/// How the bytes after a head are told apart from the next head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(u64),
    Chunked,
    /// Until the connection closes; only answers may say so.
    Close,
}

/// Headers of a request or an answer that concern one connection, or that the relay sets itself.
const HOPS: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    "beechcroft-time-budget",
    "beechcroft-target-unit",
];
const MAX_HEADERS: usize = 96;

/// The head of a request from a client.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    pub method: String,
    pub target: String,
    pub host: String,
    pub id: Option<String>,
    pub budget_ms: Option<u64>,
    pub framing: Option<Framing>,
    pub keep: bool,
    pub expects: bool,
    /// Header lines to be passed on.
    pub lines: Vec<u8>,
}

impl Ask {
    /// The value of a header that is passed on.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self
            .lines
            .split(|&byte| byte == b'\n')
            .filter_map(|line| std::str::from_utf8(line).ok());
        let mut pairs = lines.filter_map(|line| line.split_once(':'));
        pairs
            .find(|(of, _)| of.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
    }
}

/// The head of a unit's answer.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub reason: String,
    pub id: Option<String>,
    pub unit: Option<String>,
    pub sealed: bool,
    pub encoded: bool,
    pub not_executed: bool,
    /// Running, waiting, slots.
    pub load: Option<(u32, u32, u32)>,
    pub warm_left_ms: Option<u64>,
    pub keep_alive_s: Option<u64>,
    pub close: bool,
    pub framing: Option<Framing>,
    pub lines: Vec<u8>,
}

/// What became of reading a head.
#[derive(Debug)]
pub enum Read<T> {
    /// The head, and its length in bytes.
    Whole(T, usize),
    More,
    Bad(ErrorKind),
}

struct Common {
    framing: Option<Framing>,
    close: bool,
    keep: bool,
    named: Vec<String>,
}

/// What both kinds of head have in common.
fn common(headers: &[httparse::Header]) -> Result<Common, ErrorKind> {
    let mut common = Common {
        framing: None,
        close: false,
        keep: false,
        named: Vec::new(),
    };
    let mut chunked = false;
    let mut length = None;
    for header in headers {
        let value = || {
            std::str::from_utf8(header.value)
                .map(str::trim)
                .map_err(|_| ErrorKind::Malformed)
        };
        if header.name.eq_ignore_ascii_case("content-length") {
            for part in value()?.split(',') {
                let part = part.trim();
                if part.is_empty() || !part.bytes().all(|b| b.is_ascii_digit()) {
                    return Err(ErrorKind::Malformed);
                }
                let told: u64 = part.parse().map_err(|_| ErrorKind::Malformed)?;
                if length.is_some_and(|held| held != told) {
                    return Err(ErrorKind::Malformed);
                }
                length = Some(told);
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if chunked || !value()?.eq_ignore_ascii_case("chunked") {
                return Err(ErrorKind::Malformed);
            }
            chunked = true;
        } else if header.name.eq_ignore_ascii_case("connection") {
            for part in value()?.split(',').map(str::trim) {
                match part {
                    _ if part.eq_ignore_ascii_case("close") => common.close = true,
                    _ if part.eq_ignore_ascii_case("keep-alive") => common.keep = true,
                    _ => common.named.push(part.to_ascii_lowercase()),
                }
            }
        }
    }
    if chunked && length.is_some() {
        return Err(ErrorKind::Malformed);
    }
    common.framing = if chunked {
        Some(Framing::Chunked)
    } else {
        length.map(Framing::Length)
    };
    Ok(common)
}

fn passes(name: &str, named: &[String]) -> bool {
    !HOPS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
        && !named.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

fn push_line(lines: &mut Vec<u8>, header: &httparse::Header) {
    lines.extend(header.name.as_bytes());
    lines.extend(b": ");
    lines.extend(header.value);
    lines.extend(b"\r\n");
}

fn text(value: &[u8]) -> Option<String> {
    std::str::from_utf8(value)
        .ok()
        .map(|text| text.trim().to_owned())
}

/// Reads the head of a request.
pub fn ask(bytes: &[u8], max: usize) -> Read<Ask> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= max => length,
        Ok(httparse::Status::Partial) if bytes.len() <= max => return Read::More,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Read::Bad(ErrorKind::HeadTooLarge),
        Err(_) => return Read::Bad(ErrorKind::Malformed),
    };
    let common = match common(request.headers) {
        Ok(common) => common,
        Err(kind) => return Read::Bad(kind),
    };
    let newer = request.version == Some(1);
    let mut ask = Ask {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        framing: common.framing,
        keep: !common.close && (newer || common.keep),
        ..Ask::default()
    };
    let mut hosts = 0;
    for header in request.headers.iter() {
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("host") {
            hosts += 1;
            ask.host = text(header.value).unwrap_or_default();
        } else if is("beechcroft-attempt-id") {
            if ask.id.is_some() {
                return Read::Bad(ErrorKind::Malformed);
            }
            ask.id = text(header.value);
        } else if is("beechcroft-time-budget") {
            ask.budget_ms = text(header.value)
                .and_then(|text| text.parse::<f64>().ok())
                .map(|ms| ms.max(0.0) as u64);
        } else if is("expect") {
            ask.expects = header.value.eq_ignore_ascii_case(b"100-continue");
        }
        if passes(header.name, &common.named) {
            push_line(&mut ask.lines, header);
        }
    }
    let chunked_before_its_time = !newer && ask.framing == Some(Framing::Chunked);
    if hosts != 1 || !ask.target.starts_with('/') || chunked_before_its_time {
        return Read::Bad(ErrorKind::Malformed);
    }
    Read::Whole(ask, length)
}

/// Reads the head of an answer to a request of that method.
pub fn reply(bytes: &[u8], method: &str) -> Read<Reply> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() < 64 << 10 => return Read::More,
        _ => return Read::Bad(ErrorKind::ResponseLost),
    };
    let Ok(common) = common(response.headers) else {
        return Read::Bad(ErrorKind::ResponseLost);
    };
    let status = response.code.unwrap_or(0);
    if status < 100 {
        return Read::Bad(ErrorKind::ResponseLost);
    }
    let mut reply = Reply {
        status,
        reason: response.reason.unwrap_or_default().to_owned(),
        close: common.close || (response.version == Some(0) && !common.keep),
        framing: common.framing.or(Some(Framing::Close)),
        ..Reply::default()
    };
    if method == "HEAD" || matches!(status, 100..=199 | 204 | 304) {
        reply.framing = Some(Framing::Length(0));
    }
    for header in response.headers.iter() {
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("beechcroft-attempt-id") {
            let id = text(header.value);
            if reply.id.is_some() && reply.id != id && Safeguard::ConflictingAttemptIds.is_enabled()
            {
                return Read::Bad(ErrorKind::ResponseLost);
            }
            reply.id = id;
        } else if is("beechcroft-unit-id") {
            reply.unit = text(header.value);
        } else if is("beechcroft-server-seal") {
            reply.sealed = true;
        } else if is("content-encoding") {
            reply.encoded = !header.value.eq_ignore_ascii_case(b"identity");
        } else if is("beechcroft-not-executed") {
            reply.not_executed = true;
        } else if is("beechcroft-unit-load") {
            reply.load = text(header.value).and_then(|text| load(&text));
        } else if is("beechcroft-warmup-remaining") {
            reply.warm_left_ms = text(header.value)
                .and_then(|text| text.parse::<f64>().ok())
                .map(|ms| ms as u64);
        } else if is("keep-alive") {
            let timeout = text(header.value).and_then(|text| {
                text.split(',')
                    .filter_map(|part| part.trim().split_once('='))
                    .find(|p| p.0 == "timeout")?
                    .1
                    .parse()
                    .ok()
            });
            reply.keep_alive_s = timeout;
        }
        if passes(header.name, &common.named) {
            push_line(&mut reply.lines, header);
        }
    }
    Read::Whole(reply, length)
}

fn load(text: &str) -> Option<(u32, u32, u32)> {
    let mut parts = text.split(',').map(|part| part.trim().parse().ok());
    Some((parts.next()??, parts.next()??, parts.next()??))
}
