//! RESP2 and RESP3, for both sides of a connection. Messages are cut out of the stream by a scanner that goes on where it
//! stopped and keeps to bounds, so that neither a deep nor a huge message costs more than it may; a whole message is then
//! decoded by `redis-protocol` into a small [`Value`]. Source: the published RESP specification.
//!
//! No program uses this package yet: it is the part of a shared store that stands, kept until the relay uses it
//! (`docs/ROADMAP.md`, "Redis as a shared store").

mod scan;

use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::{self, types::BytesFrame as Frame2};
use redis_protocol::resp3::{self, types::BytesFrame as Frame3};
use scan::Scan;
use std::fmt;

/// What a message may be at most.
#[derive(Clone, Copy, Debug)]
pub struct MessageLimits {
    /// Bytes of a message, with all that is in it.
    pub max_bytes: usize,
    /// Lists within lists.
    pub max_depth: usize,
    /// Values in a message, however nested.
    pub max_values: usize,
}

/// Which protocol a connection has agreed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    Resp2,
    Resp3,
}

/// A message or a part of one. Attributes are passed over.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nothing,
    Text(Bytes),
    Number(i64),
    Double(f64),
    Flag(bool),
    /// An error: its whole line, which begins with a word for its kind.
    Fault(String),
    List(Vec<Value>),
    Map(Vec<(Value, Value)>),
    /// Sent unasked, between replies.
    Push(Vec<Value>),
}

/// What cannot be read; nothing behind it on its connection can be believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Longer, deeper or of more values than the bounds allow.
    LimitExceeded(&'static str),
    /// Not RESP.
    UnknownType {
        byte: u8,
    },
    InvalidLength(String),
    /// RESP3's streamed strings and lists, which are not taken.
    Streamed,
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

/// Cuts messages out of what a connection brings.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    scan: Scan,
    bounds: MessageLimits,
    version: Version,
}

impl Decoder {
    /// Of a connection that speaks this version from here on.
    pub fn new(bounds: MessageLimits, version: Version) -> Decoder {
        Decoder {
            buffer: BytesMut::new(),
            scan: Scan::default(),
            bounds,
            version,
        }
    }

    /// What follows is of this version: to be told before the reply to `HELLO` is read, which is of the version asked for.
    pub fn set_version(&mut self, version: Version) {
        self.version = version;
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes that were fed and not yet given out.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// The next message that is whole. After an error the connection is of no further use.
    pub fn next_message(&mut self) -> Result<Option<Value>, DecodeError> {
        let Some(length) = self.scan.go_on(&self.buffer, self.bounds)? else {
            return Ok(None);
        };
        self.scan = Scan::default();
        let whole = self.buffer.split_to(length).freeze();
        let decoded = match self.version {
            Version::Resp2 => resp2::decode::decode_bytes(&whole)
                .map(|got| got.map(|(frame, used)| (value2(frame), used))),
            Version::Resp3 => {
                let got = resp3::decode::complete::decode_bytes(&whole);
                got.and_then(|got| {
                    got.map(|(frame, used)| Ok((value3(frame), used)))
                        .transpose()
                })
            }
        };
        match decoded {
            Ok(Some((value, used))) if used == length => value.map(Some),
            Ok(_) => Err(DecodeError::Other(
                "a message that ends elsewhere than it says".to_owned(),
            )),
            Err(error) => Err(DecodeError::Other(error.to_string())),
        }
    }
}

fn value2(frame: Frame2) -> Result<Value, DecodeError> {
    Ok(match frame {
        Frame2::SimpleString(data) | Frame2::BulkString(data) => Value::Text(data),
        Frame2::Error(data) => Value::Fault(data.to_string()),
        Frame2::Integer(data) => Value::Number(data),
        Frame2::Array(data) => Value::List(data.into_iter().map(value2).collect::<Result<_, _>>()?),
        Frame2::Null => Value::Nothing,
    })
}

fn value3(frame: Frame3) -> Result<Value, DecodeError> {
    let all = |frames: Vec<Frame3>| {
        frames
            .into_iter()
            .map(value3)
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
        Frame3::Array { data, .. } => Value::List(all(data)?),
        Frame3::Push { data, .. } => Value::Push(all(data)?),
        Frame3::Set { data, .. } => Value::List(all(data.into_iter().collect())?),
        Frame3::Map { data, .. } => {
            let pairs = data
                .into_iter()
                .map(|(key, held)| Ok((value3(key)?, value3(held)?)));
            Value::Map(pairs.collect::<Result<_, _>>()?)
        }
        Frame3::Hello { .. } => {
            return Err(DecodeError::Other(
                "HELLO as a message of its own".to_owned(),
            ))
        }
        Frame3::ChunkedString(_) => return Err(DecodeError::Streamed),
    })
}

/// A command, as both versions write it: a list of strings.
pub fn encode_command<T: AsRef<[u8]>>(words: &[T], to: &mut Vec<u8>) {
    to.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    words.iter().for_each(|word| text(word.as_ref(), to));
}

fn text(text: &[u8], to: &mut Vec<u8>) {
    to.extend_from_slice(format!("${}\r\n", text.len()).as_bytes());
    to.extend_from_slice(text);
    to.extend_from_slice(b"\r\n");
}

/// A reply. RESP2 has no maps, flags, doubles and pushes: they are written as it writes them, a push not at all.
pub fn encode_value(value: &Value, version: Version, to: &mut Vec<u8>) {
    let three = version == Version::Resp3;
    let mut line = |text: String| to.extend_from_slice(text.as_bytes());
    match value {
        Value::Nothing if three => line("_\r\n".to_owned()),
        Value::Nothing => line("$-1\r\n".to_owned()),
        Value::Number(number) => line(format!(":{number}\r\n")),
        Value::Flag(flag) if three => line(format!("#{}\r\n", if *flag { 't' } else { 'f' })),
        Value::Flag(flag) => line(format!(":{}\r\n", u8::from(*flag))),
        Value::Double(number) if three => line(format!(",{number}\r\n")),
        Value::Double(number) => text(number.to_string().as_bytes(), to),
        // A line break would end it early, and what follows would be read as another message.
        Value::Fault(what) => line(format!("-{}\r\n", what.replace(['\r', '\n'], " "))),
        Value::Text(bytes) => text(bytes, to),
        Value::List(all) => {
            line(format!("*{}\r\n", all.len()));
            all.iter()
                .for_each(|value| encode_value(value, version, to));
        }
        Value::Push(all) if three => {
            line(format!(">{}\r\n", all.len()));
            all.iter()
                .for_each(|value| encode_value(value, version, to));
        }
        Value::Push(_) => {}
        Value::Map(pairs) => {
            line(if three {
                format!("%{}\r\n", pairs.len())
            } else {
                format!("*{}\r\n", pairs.len() * 2)
            });
            pairs
                .iter()
                .flat_map(|(key, held)| [key, held])
                .for_each(|value| encode_value(value, version, to));
        }
    }
}
