//! Codec for RESP2 and RESP3, for both the client and the server of a connection; used by the store client and the fake
//! store.
//!
//! An incremental scanner finds the end of each message in the stream and enforces limits, so that neither a deeply
//! nested nor a very large message can use more memory or time than allowed. A complete message is then decoded by
//! `redis-protocol` into a small [`Value`]. Source: the published RESP specification.
//!
//! No program uses this package yet: it is the finished part of a shared store, kept until the relay uses it
//! (`docs/ROADMAP.md`, "Redis as a shared store").

mod scan;

use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::{self, types::BytesFrame as Frame2};
use redis_protocol::resp3::{self, types::BytesFrame as Frame3};
use scan::Scan;
use std::fmt;

/// Upper limits of one message.
#[derive(Clone, Copy, Debug)]
pub struct MessageLimits {
    /// Encoded size of the message in bytes, including all nested values.
    pub max_bytes: usize,
    /// Nesting depth of lists, maps and other aggregates.
    pub max_depth: usize,
    /// Number of values in the message, at all depths.
    pub max_values: usize,
}

/// The protocol version of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    Resp2,
    Resp3,
}

/// A message or a part of one. Attributes are skipped.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Null.
    Nothing,
    /// A simple, bulk or verbatim string, or a big number.
    Text(Bytes),
    /// A 64-bit integer.
    Number(i64),
    Double(f64),
    /// A boolean.
    Flag(bool),
    /// An error reply: its full text, which begins with an error code such as `WRONGTYPE`.
    Fault(String),
    /// An array or a set.
    List(Vec<Value>),
    Map(Vec<(Value, Value)>),
    /// An out-of-band message that the server sends between replies.
    Push(Vec<Value>),
}

/// Why a message cannot be decoded. The rest of the stream has no known message boundaries, so the connection must be
/// closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The message exceeds a limit; names what there is too much of.
    LimitExceeded(&'static str),
    /// The first byte of a message or value is not a RESP type.
    UnknownType { byte: u8 },
    /// The text in place of a length is not a valid one.
    InvalidLength(String),
    /// A streamed string or aggregate of RESP3, which this package does not support.
    Streamed,
    /// Any other error, with its description.
    Other(String),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::LimitExceeded(what) => {
                write!(f, "a message with more {what} than are taken")
            }
            DecodeError::UnknownType { byte } => {
                write!(f, "a message cannot begin with {:?}", char::from(*byte))
            }
            DecodeError::InvalidLength(text) => write!(f, "{text:?} is no length"),
            DecodeError::Streamed => f.write_str("streamed strings and lists are not taken"),
            DecodeError::Other(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Splits the byte stream of a connection into messages and decodes them.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    scan: Scan,
    limits: MessageLimits,
    version: Version,
}

impl Decoder {
    /// A decoder for a connection that uses `version` from its first byte.
    pub fn new(limits: MessageLimits, version: Version) -> Decoder {
        Decoder {
            buffer: BytesMut::new(),
            scan: Scan::default(),
            limits,
            version,
        }
    }

    /// Sets the version of the following messages. Call this before the reply to `HELLO` is decoded: it is already
    /// encoded in the requested version.
    pub fn set_version(&mut self, version: Version) {
        self.version = version;
    }

    /// Appends received bytes to the buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of bytes that were fed and not yet returned as messages.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// The next complete message, or `None` if more bytes are needed. After an error the connection must be closed.
    pub fn next_message(&mut self) -> Result<Option<Value>, DecodeError> {
        let Some(length) = self.scan.advance(&self.buffer, self.limits)? else {
            return Ok(None);
        };
        self.scan = Scan::default();
        let message = self.buffer.split_to(length).freeze();
        let decoded = match self.version {
            Version::Resp2 => resp2::decode::decode_bytes(&message)
                .map(|decoded| decoded.map(|(frame, used)| (from_resp2(frame), used))),
            Version::Resp3 => {
                let decoded = resp3::decode::complete::decode_bytes(&message);
                decoded.and_then(|decoded| {
                    decoded
                        .map(|(frame, used)| Ok((from_resp3(frame), used)))
                        .transpose()
                })
            }
        };
        match decoded {
            Ok(Some((value, used))) if used == length => value.map(Some),
            Ok(_) => Err(DecodeError::Other(
                "scanned and decoded message lengths differ".to_owned(),
            )),
            Err(error) => Err(DecodeError::Other(error.to_string())),
        }
    }
}

fn from_resp2(frame: Frame2) -> Result<Value, DecodeError> {
    Ok(match frame {
        Frame2::SimpleString(data) | Frame2::BulkString(data) => Value::Text(data),
        Frame2::Error(data) => Value::Fault(data.to_string()),
        Frame2::Integer(data) => Value::Number(data),
        Frame2::Array(data) => {
            Value::List(data.into_iter().map(from_resp2).collect::<Result<_, _>>()?)
        }
        Frame2::Null => Value::Nothing,
    })
}

fn from_resp3(frame: Frame3) -> Result<Value, DecodeError> {
    let convert_all = |frames: Vec<Frame3>| {
        frames
            .into_iter()
            .map(from_resp3)
            .collect::<Result<Vec<_>, _>>()
    };
    Ok(match frame {
        Frame3::Null => Value::Nothing,
        Frame3::BlobString { data, .. }
        | Frame3::SimpleString { data, .. }
        | Frame3::BigNumber { data, .. }
        | Frame3::VerbatimString { data, .. } => Value::Text(data),
        Frame3::SimpleError { data, .. } => Value::Fault(data.to_string()),
        Frame3::BlobError { data, .. } => Value::Fault(String::from_utf8_lossy(&data).into_owned()),
        Frame3::Boolean { data, .. } => Value::Flag(data),
        Frame3::Number { data, .. } => Value::Number(data),
        Frame3::Double { data, .. } => Value::Double(data),
        Frame3::Array { data, .. } => Value::List(convert_all(data)?),
        Frame3::Push { data, .. } => Value::Push(convert_all(data)?),
        Frame3::Set { data, .. } => Value::List(convert_all(data.into_iter().collect())?),
        Frame3::Map { data, .. } => {
            let pairs = data
                .into_iter()
                .map(|(key, value)| Ok((from_resp3(key)?, from_resp3(value)?)));
            Value::Map(pairs.collect::<Result<_, _>>()?)
        }
        Frame3::Hello { .. } => {
            return Err(DecodeError::Other("unexpected HELLO frame".to_owned()))
        }
        Frame3::ChunkedString(_) => return Err(DecodeError::Streamed),
    })
}

/// Appends a command to `output`: a list of bulk strings, which is the same in both versions.
pub fn encode_command<T: AsRef<[u8]>>(args: &[T], output: &mut Vec<u8>) {
    output.extend_from_slice(format!("*{}\r\n", args.len()).as_bytes());
    args.iter()
        .for_each(|arg| encode_bulk_string(arg.as_ref(), output));
}

fn encode_bulk_string(text: &[u8], output: &mut Vec<u8>) {
    output.extend_from_slice(format!("${}\r\n", text.len()).as_bytes());
    output.extend_from_slice(text);
    output.extend_from_slice(b"\r\n");
}

/// Appends a reply to `output`. RESP2 has no maps, booleans, doubles and push messages: a map is written as a flat
/// list, a boolean as an integer, a double as a string, and a push message is omitted.
pub fn encode_value(value: &Value, version: Version, output: &mut Vec<u8>) {
    let is_resp3 = version == Version::Resp3;
    let mut line = |text: String| output.extend_from_slice(text.as_bytes());
    match value {
        Value::Nothing if is_resp3 => line("_\r\n".to_owned()),
        Value::Nothing => line("$-1\r\n".to_owned()),
        Value::Number(number) => line(format!(":{number}\r\n")),
        Value::Flag(flag) if is_resp3 => line(format!("#{}\r\n", if *flag { 't' } else { 'f' })),
        Value::Flag(flag) => line(format!(":{}\r\n", u8::from(*flag))),
        Value::Double(number) if is_resp3 => line(format!(",{number}\r\n")),
        Value::Double(number) => encode_bulk_string(number.to_string().as_bytes(), output),
        // A line break would end the error early, and the rest would be decoded as another message.
        Value::Fault(fault) => line(format!("-{}\r\n", fault.replace(['\r', '\n'], " "))),
        Value::Text(bytes) => encode_bulk_string(bytes, output),
        Value::List(items) => {
            line(format!("*{}\r\n", items.len()));
            items
                .iter()
                .for_each(|value| encode_value(value, version, output));
        }
        Value::Push(items) if is_resp3 => {
            line(format!(">{}\r\n", items.len()));
            items
                .iter()
                .for_each(|value| encode_value(value, version, output));
        }
        Value::Push(_) => {}
        Value::Map(pairs) => {
            line(if is_resp3 {
                format!("%{}\r\n", pairs.len())
            } else {
                format!("*{}\r\n", pairs.len() * 2)
            });
            pairs
                .iter()
                .flat_map(|(key, value)| [key, value])
                .for_each(|value| encode_value(value, version, output));
        }
    }
}
