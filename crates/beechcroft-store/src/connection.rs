//! One connection to the store: the handshake, the commands that are written, and the assignment of replies to them.
//! The client's task owns it and replaces it after a failure.

use crate::claim;
use crate::StoreConfig;
use beechcroft_resp::{encode_command, Decoder, MessageLimits, Value, Version};
use beechcroft_shared::marks::{ClaimOutcome, ExecutionMark};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{timeout, Instant};

/// Limits of a reply. The largest value that is requested is a mark, of some hundred bytes.
const MESSAGE_LIMITS: MessageLimits = MessageLimits {
    max_bytes: 64 * 1024,
    max_depth: 4,
    max_values: 1024,
};
/// Bytes read at most by one call.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// What to do with an expected reply.
enum Expected {
    /// Nothing depends on it: any value, also an error reply, is accepted.
    Ignored,
    /// The reply to a transaction, which gives the outcome of a claim.
    Claim {
        key: String,
        /// The text that the claim writes.
        own: String,
        reply: oneshot::Sender<ClaimOutcome>,
    },
}

/// Commands that are sent together and end with an `ECHO` of the nonce.
pub struct Batch {
    bytes: Vec<u8>,
    expected: Vec<Expected>,
    nonce: String,
    requests: usize,
}

impl Batch {
    /// An empty batch that is identified by `nonce`.
    pub fn new(nonce: u64) -> Batch {
        Batch {
            bytes: Vec::new(),
            expected: Vec::new(),
            nonce: format!("{nonce:016x}"),
            requests: 0,
        }
    }

    /// Number of requests, each of which may be several commands.
    pub fn len(&self) -> usize {
        self.requests
    }

    fn add(&mut self, args: &[&str], expected: Expected) {
        encode_command(args, &mut self.bytes);
        self.expected.push(expected);
    }

    /// Adds a claim. It is one transaction, so that a single reply contains the mark, which names the task, and its
    /// remaining time.
    pub fn claim(
        &mut self,
        key: String,
        mark: &ExecutionMark,
        retention: Duration,
        nonce: u64,
        reply: oneshot::Sender<ClaimOutcome>,
    ) {
        let (own, retention) = (
            claim::encode(&key, mark, nonce),
            retention.as_millis().max(1).to_string(),
        );
        self.add(&["MULTI"], Expected::Ignored);
        self.add(
            &["SET", &key, &own, "NX", "PX", &retention],
            Expected::Ignored,
        );
        self.add(&["GET", &key], Expected::Ignored);
        self.add(&["PTTL", &key], Expected::Ignored);
        self.add(&["EXEC"], Expected::Claim { key, own, reply });
        self.requests += 1;
    }

    /// Adds the update of an existing mark with the unit to which the task was sent.
    pub fn record_sent(
        &mut self,
        key: &str,
        mark: &ExecutionMark,
        retention: Duration,
        nonce: u64,
    ) {
        let (text, retention) = (
            claim::encode(key, mark, nonce),
            retention.as_millis().max(1).to_string(),
        );
        self.add(
            &["SET", key, &text, "XX", "PX", &retention],
            Expected::Ignored,
        );
        self.requests += 1;
    }
}

/// A batch that was queued for writing and whose replies are expected.
struct InFlight {
    expected: Vec<Expected>,
    /// Replies so far; used only once the nonce has been returned.
    replies: Vec<Value>,
    nonce: String,
    /// When the batch was queued for writing.
    sent_at: Instant,
    /// Offset of its first byte in all bytes queued on this connection.
    start_offset: u64,
}

/// A connection that has completed the handshake.
pub struct Connection {
    stream: TcpStream,
    decoder: Decoder,
    /// Bytes queued and not yet written.
    unwritten: VecDeque<u8>,
    /// Bytes written so far.
    written: u64,
    /// Bytes queued so far, written or not.
    queued: u64,
    /// Oldest first.
    in_flight: VecDeque<InFlight>,
}

impl Connection {
    /// Connects and performs the handshake: RESP3, or RESP2 if the store refuses that.
    pub async fn open(config: &StoreConfig) -> Result<Connection, String> {
        let stream = TcpStream::connect(config.address)
            .await
            .map_err(|error| error.to_string())?;
        let _ = stream.set_nodelay(true);
        let decoder = Decoder::new(MESSAGE_LIMITS, Version::Resp3);
        let mut connection = Connection {
            stream,
            decoder,
            unwritten: VecDeque::new(),
            written: 0,
            queued: 0,
            in_flight: VecDeque::new(),
        };
        let user = if config.user.is_empty() {
            "default"
        } else {
            &config.user
        };
        let mut hello = vec!["HELLO", "3"];
        if !config.password.is_empty() {
            hello.extend(["AUTH", user, &config.password]);
        }
        if let Value::Fault(fault) = connection.request(&hello).await? {
            if fault.starts_with("WRONGPASS") || fault.starts_with("NOAUTH") {
                return Err(format!("store.password: {fault}"));
            }
            connection.decoder.set_version(Version::Resp2);
            let auth = if config.user.is_empty() {
                vec!["AUTH", &config.password]
            } else {
                vec!["AUTH", user, &config.password]
            };
            if !config.password.is_empty() {
                connection.expect("store.password", &auth).await?;
            }
        }
        if config.database > 0 {
            connection
                .expect("store.database", &["SELECT", &config.database.to_string()])
                .await?;
        }
        Ok(connection)
    }

    /// Sends a command of the handshake; an error reply is reported under the name of the setting that caused it.
    async fn expect(&mut self, setting: &str, args: &[&str]) -> Result<(), String> {
        match self.request(args).await? {
            Value::Fault(fault) => Err(format!("{setting}: {fault}")),
            _ => Ok(()),
        }
    }

    /// Sends one command of the handshake and returns its reply.
    async fn request(&mut self, args: &[&str]) -> Result<Value, String> {
        let mut bytes = Vec::new();
        encode_command(args, &mut bytes);
        self.queued += bytes.len() as u64;
        self.unwritten.extend(&bytes);
        let reply = async {
            loop {
                match self
                    .decoder
                    .next_message()
                    .map_err(|error| error.to_string())?
                {
                    Some(Value::Push(_)) => {}
                    Some(value) => return Ok(value),
                    None => {
                        self.ready().await?;
                        self.transfer()?;
                    }
                }
            }
        };
        let timed_out = || "no reply to a command of the handshake".to_owned();
        timeout(crate::HANDSHAKE_TIMEOUT, reply)
            .await
            .unwrap_or_else(|_| Err(timed_out()))
    }

    /// Number of batches in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// When the oldest batch in flight was queued.
    pub fn oldest_sent_at(&self) -> Option<Instant> {
        self.in_flight.front().map(|batch| batch.sent_at)
    }

    /// Queues a batch for writing.
    pub fn send(&mut self, mut batch: Batch) {
        if batch.expected.is_empty() {
            return;
        }
        encode_command(&["ECHO", &batch.nonce], &mut batch.bytes);
        let start_offset = self.queued;
        self.queued += batch.bytes.len() as u64;
        self.unwritten.extend(&batch.bytes);
        let Batch {
            expected, nonce, ..
        } = batch;
        self.in_flight.push_back(InFlight {
            expected,
            replies: Vec::new(),
            nonce,
            sent_at: Instant::now(),
            start_offset,
        });
    }

    /// Waits until the socket is readable or, if there are unwritten bytes, writable.
    pub async fn ready(&self) -> Result<(), String> {
        let interest = if self.unwritten.is_empty() {
            Interest::READABLE
        } else {
            Interest::READABLE | Interest::WRITABLE
        };
        self.stream
            .ready(interest)
            .await
            .map(drop)
            .map_err(|error| error.to_string())
    }

    /// Writes and reads once, as far as possible without blocking.
    fn transfer(&mut self) -> Result<(), String> {
        let (first, _) = self.unwritten.as_slices();
        if !first.is_empty() {
            if let Some(count) = unless_blocked(self.stream.try_write(first))? {
                self.unwritten.drain(..count);
                self.written += count as u64;
            }
        }
        let mut buffer = [0; READ_BUFFER_BYTES];
        match unless_blocked(self.stream.try_read(&mut buffer))? {
            Some(0) => Err("closed".to_owned()),
            Some(count) => {
                self.decoder.feed(&buffer[..count]);
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Writes and reads without blocking, and reports the outcomes of batches whose replies are complete.
    pub fn process(&mut self) -> Result<(), String> {
        self.transfer()?;
        while let Some(value) = self
            .decoder
            .next_message()
            .map_err(|error| error.to_string())?
        {
            if let Value::Push(_) = value {
                continue; // there are no subscriptions, and a push message does not take the place of a reply
            }
            let Some(batch) = self.in_flight.front_mut() else {
                return Err("unexpected reply: no command is in flight".to_owned());
            };
            if batch.replies.len() < batch.expected.len() {
                batch.replies.push(value);
                continue;
            }
            if value != Value::Text(batch.nonce.clone().into()) {
                return Err(
                    "replies do not match the commands: the nonce was not returned".to_owned(),
                );
            }
            if let Some(batch) = self.in_flight.pop_front() {
                batch.report()?;
            }
        }
        Ok(())
    }
}

/// The number of bytes transferred, or `None` if the call would have blocked.
fn unless_blocked(result: std::io::Result<usize>) -> Result<Option<usize>, String> {
    match result {
        Ok(count) => Ok(Some(count)),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error.to_string()),
    }
}

impl InFlight {
    /// Reports the outcomes of a batch whose replies are complete and in order. All replies are interpreted before any
    /// outcome is reported, so that one invalid reply makes the whole batch unknown.
    fn report(self) -> Result<(), String> {
        let mut outcomes = Vec::new();
        for (expected, value) in self.expected.into_iter().zip(&self.replies) {
            if let Expected::Claim { key, own, reply } = expected {
                match claim::outcome(&key, &own, value) {
                    Ok(outcome) => outcomes.push((reply, outcome)),
                    Err(reason) => {
                        outcomes
                            .into_iter()
                            .for_each(|(reply, _)| drop(reply.send(ClaimOutcome::Unknown)));
                        let _ = reply.send(ClaimOutcome::Unknown);
                        return Err(reason);
                    }
                }
            }
        }
        outcomes
            .into_iter()
            .for_each(|(reply, outcome)| drop(reply.send(outcome)));
        Ok(())
    }
}

impl Drop for Connection {
    /// Claims in flight are unknown if any byte of their batch was written, and certainly not sent otherwise.
    fn drop(&mut self) {
        for batch in self.in_flight.drain(..) {
            let sent = self.written > batch.start_offset;
            for expected in batch.expected {
                if let Expected::Claim { reply, .. } = expected {
                    let _ = reply.send(if sent {
                        ClaimOutcome::Unknown
                    } else {
                        ClaimOutcome::NotSent
                    });
                }
            }
        }
    }
}
