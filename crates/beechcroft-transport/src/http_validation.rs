//! Heads of forwarded requests and responses: parsed by httparse, validated here.
//!
//! Ambiguous framing is rejected, because two parsers could disagree on where a message ends (request smuggling):
//! differing lengths, a length together with chunked encoding, and transfer codings other than chunked. Raw targets and
//! header values are forwarded unchanged.

use beechcroft_error::ErrorKind;
use beechcroft_safeguards::Safeguard;
use httparse::Header;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// A `Content-Length` of this many bytes.
    Length(u64),
    /// Chunked transfer encoding.
    Chunked,
    /// The body lasts until the connection closes; only responses may use this.
    UntilClose,
}

/// Headers that are not forwarded: they concern one connection only, or the proxy sets them itself.
const HOP_HEADERS: [&str; 11] = [
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
/// The most headers that a head may have.
const MAX_HEADERS: usize = 96;
/// The longest head of a response, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;

/// The head of a client's request.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The raw request target.
    pub target: String,
    /// The value of `Host`.
    pub host: String,
    /// The value of `Beechcroft-Attempt-Id`.
    pub attempt_id: Option<String>,
    /// The value of `Beechcroft-Time-Budget`, in milliseconds.
    pub budget_ms: Option<u64>,
    /// The framing of the body; `None` without a body.
    pub framing: Option<Framing>,
    /// Whether the client wants to keep the connection.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// The header lines to forward.
    pub forwarded_headers: Vec<u8>,
}

impl RequestHead {
    /// The value of a forwarded header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.forwarded_headers.split(|&byte| byte == b'\n');
        let lines = lines.filter_map(|line| std::str::from_utf8(line).ok());
        let mut pairs = lines.filter_map(|line| line.split_once(':'));
        pairs
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
    }
}

/// The load that a unit reports in `Beechcroft-Unit-Load`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnitLoad {
    /// Requests that the unit is executing.
    pub running: u32,
    /// Requests in the unit's queue.
    pub waiting: u32,
    /// Requests that the unit can execute concurrently.
    pub slots: u32,
}

impl UnitLoad {
    fn parse(text: &str) -> Option<UnitLoad> {
        let mut parts = text.split(',').map(|part| part.trim().parse().ok());
        let (running, waiting, slots) = (parts.next()??, parts.next()??, parts.next()??);
        Some(UnitLoad {
            running,
            waiting,
            slots,
        })
    }
}

/// The head of a unit's response.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The reason phrase.
    pub reason: String,
    /// The value of `Beechcroft-Attempt-Id`.
    pub attempt_id: Option<String>,
    /// The value of `Beechcroft-Unit-Id`.
    pub unit_id: Option<String>,
    /// Whether the response carries a unit's seal, `Beechcroft-Server-Seal`.
    pub is_sealed: bool,
    /// Whether the body has a content coding other than `identity`.
    pub is_encoded: bool,
    /// Whether the unit states in `Beechcroft-Not-Executed` that it did not execute the request.
    pub not_executed: bool,
    /// The load that the unit reports.
    pub load: Option<UnitLoad>,
    /// How much longer the unit is warming up, in milliseconds, from `Beechcroft-Warmup-Remaining`.
    pub warmup_left_ms: Option<u64>,
    /// How long the unit keeps an idle connection open, in seconds, from `Keep-Alive`.
    pub keep_alive_s: Option<u64>,
    /// Whether the unit closes the connection after the response.
    pub closes: bool,
    /// The framing of the body.
    pub framing: Option<Framing>,
    /// The header lines to forward.
    pub forwarded_headers: Vec<u8>,
}

/// The result of parsing a head.
#[derive(Debug)]
pub enum Parsed<T> {
    /// A complete head, and its length in bytes.
    Complete(T, usize),
    /// More bytes are needed.
    Incomplete,
    /// The head is rejected with this error.
    Invalid(ErrorKind),
}

/// The headers on framing and connection handling, which requests and responses share.
#[derive(Default)]
struct ConnectionHeaders {
    framing: Option<Framing>,
    closes: bool,
    keeps_alive: bool,
    /// Headers named in `Connection`, which are not forwarded.
    named: Vec<String>,
}

impl ConnectionHeaders {
    fn parse(headers: &[Header]) -> Result<ConnectionHeaders, ErrorKind> {
        let mut parsed = ConnectionHeaders::default();
        let (mut is_chunked, mut length) = (false, None);
        for header in headers {
            if is_named(header, "content-length") {
                length = Some(parse_length(header_text(header)?, length)?);
            } else if is_named(header, "transfer-encoding") {
                if is_chunked || !header_text(header)?.eq_ignore_ascii_case("chunked") {
                    return Err(ErrorKind::Malformed);
                }
                is_chunked = true;
            } else if is_named(header, "connection") {
                parsed.add_connection_options(header_text(header)?);
            }
        }
        if is_chunked && length.is_some() {
            return Err(ErrorKind::Malformed);
        }
        parsed.framing = if is_chunked {
            Some(Framing::Chunked)
        } else {
            length.map(Framing::Length)
        };
        Ok(parsed)
    }

    fn add_connection_options(&mut self, options: &str) {
        for option in options.split(',').map(str::trim) {
            if option.eq_ignore_ascii_case("close") {
                self.closes = true;
            } else if option.eq_ignore_ascii_case("keep-alive") {
                self.keeps_alive = true;
            } else {
                self.named.push(option.to_ascii_lowercase());
            }
        }
    }

    fn forwards(&self, name: &str) -> bool {
        let is_same = |hop: &str| name.eq_ignore_ascii_case(hop);
        !HOP_HEADERS.iter().any(|hop| is_same(hop)) && !self.named.iter().any(|hop| is_same(hop))
    }
}

fn is_named(header: &Header, name: &str) -> bool {
    header.name.eq_ignore_ascii_case(name)
}

fn header_text<'a>(header: &Header<'a>) -> Result<&'a str, ErrorKind> {
    std::str::from_utf8(header.value)
        .map(str::trim)
        .map_err(|_| ErrorKind::Malformed)
}

/// Parses a `Content-Length`. It may be repeated, also as a list, but all values must be equal to `earlier`.
fn parse_length(value: &str, earlier: Option<u64>) -> Result<u64, ErrorKind> {
    let mut length = earlier;
    for part in value.split(',').map(str::trim) {
        if part.is_empty() || !part.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(ErrorKind::Malformed);
        }
        let parsed: u64 = part.parse().map_err(|_| ErrorKind::Malformed)?;
        if length.is_some_and(|length| length != parsed) {
            return Err(ErrorKind::Malformed);
        }
        length = Some(parsed);
    }
    length.ok_or(ErrorKind::Malformed)
}

fn push_line(lines: &mut Vec<u8>, header: &Header) {
    lines.extend(header.name.as_bytes());
    lines.extend(b": ");
    lines.extend(header.value);
    lines.extend(b"\r\n");
}

fn to_text(value: &[u8]) -> Option<String> {
    std::str::from_utf8(value)
        .ok()
        .map(|text| text.trim().to_owned())
}

fn to_number(value: &[u8]) -> Option<f64> {
    to_text(value)?.parse().ok()
}

/// Parses the head of a request of at most `max_bytes`.
pub fn parse_request(bytes: &[u8], max_bytes: usize) -> Parsed<RequestHead> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= max_bytes => length,
        Ok(httparse::Status::Partial) if bytes.len() <= max_bytes => return Parsed::Incomplete,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return Parsed::Invalid(ErrorKind::HeadTooLarge)
        }
        Err(_) => return Parsed::Invalid(ErrorKind::Malformed),
    };
    match request_head(&request) {
        Ok(head) => Parsed::Complete(head, length),
        Err(kind) => Parsed::Invalid(kind),
    }
}

fn request_head(request: &httparse::Request) -> Result<RequestHead, ErrorKind> {
    let connection = ConnectionHeaders::parse(request.headers)?;
    let is_http_1_1 = request.version == Some(1);
    let mut head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        framing: connection.framing,
        keep_alive: !connection.closes && (is_http_1_1 || connection.keeps_alive),
        ..RequestHead::default()
    };
    let mut hosts = 0;
    for header in request.headers.iter() {
        if is_named(header, "host") {
            hosts += 1;
            head.host = to_text(header.value).unwrap_or_default();
        } else if is_named(header, "beechcroft-attempt-id") {
            if head.attempt_id.is_some() {
                return Err(ErrorKind::Malformed);
            }
            head.attempt_id = to_text(header.value);
        } else if is_named(header, "beechcroft-time-budget") {
            head.budget_ms = to_number(header.value).map(|ms| ms.max(0.0) as u64);
        } else if is_named(header, "expect") {
            head.expects_continue = header.value.eq_ignore_ascii_case(b"100-continue");
        }
        if connection.forwards(header.name) {
            push_line(&mut head.forwarded_headers, header);
        }
    }
    let is_chunked_http_1_0 = !is_http_1_1 && head.framing == Some(Framing::Chunked);
    if hosts != 1 || !head.target.starts_with('/') || is_chunked_http_1_0 {
        return Err(ErrorKind::Malformed);
    }
    Ok(head)
}

/// Parses the head of a response to a request with this method.
pub fn parse_response(bytes: &[u8], method: &str) -> Parsed<ResponseHead> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_RESPONSE_HEAD_BYTES => {
            return Parsed::Incomplete
        }
        _ => return Parsed::Invalid(ErrorKind::ResponseLost),
    };
    match response_head(&response, method) {
        Some(head) => Parsed::Complete(head, length),
        None => Parsed::Invalid(ErrorKind::ResponseLost),
    }
}

fn response_head(response: &httparse::Response, method: &str) -> Option<ResponseHead> {
    let connection = ConnectionHeaders::parse(response.headers).ok()?;
    let status = response.code.unwrap_or(0);
    if status < 100 {
        return None;
    }
    let has_no_body = method == "HEAD" || matches!(status, 100..=199 | 204 | 304);
    let framing = connection.framing.unwrap_or(Framing::UntilClose);
    let mut head = ResponseHead {
        status,
        reason: response.reason.unwrap_or_default().to_owned(),
        closes: connection.closes || (response.version == Some(0) && !connection.keeps_alive),
        framing: Some(if has_no_body {
            Framing::Length(0)
        } else {
            framing
        }),
        ..ResponseHead::default()
    };
    for header in response.headers.iter() {
        read_response_header(&mut head, header)?;
        if connection.forwards(header.name) {
            push_line(&mut head.forwarded_headers, header);
        }
    }
    Some(head)
}

/// Reads a header that the proxy itself uses. `None` if the response must be rejected.
fn read_response_header(head: &mut ResponseHead, header: &Header) -> Option<()> {
    let value = header.value;
    if is_named(header, "beechcroft-attempt-id") {
        let id = to_text(value);
        let is_conflict = head.attempt_id.is_some() && head.attempt_id != id;
        if is_conflict && Safeguard::ConflictingAttemptIds.is_enabled() {
            return None;
        }
        head.attempt_id = id;
    } else if is_named(header, "beechcroft-unit-id") {
        head.unit_id = to_text(value);
    } else if is_named(header, "beechcroft-server-seal") {
        head.is_sealed = true;
    } else if is_named(header, "content-encoding") {
        head.is_encoded = !value.eq_ignore_ascii_case(b"identity");
    } else if is_named(header, "beechcroft-not-executed") {
        head.not_executed = true;
    } else if is_named(header, "beechcroft-unit-load") {
        head.load = to_text(value).and_then(|text| UnitLoad::parse(&text));
    } else if is_named(header, "beechcroft-warmup-remaining") {
        head.warmup_left_ms = to_number(value).map(|ms| ms as u64);
    } else if is_named(header, "keep-alive") {
        head.keep_alive_s = to_text(value).and_then(|text| keep_alive_timeout(&text));
    }
    Some(())
}

/// The `timeout` parameter of a `Keep-Alive` header, in seconds.
fn keep_alive_timeout(value: &str) -> Option<u64> {
    let mut parameters = value
        .split(',')
        .filter_map(|part| part.trim().split_once('='));
    parameters
        .find(|(name, _)| *name == "timeout")?
        .1
        .parse()
        .ok()
}
