//! One connection to the store: its greeting, what is written, and which replies belong to what.

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

/// Marks are some hundred bytes; nothing that is asked for is larger.
const MESSAGE_LIMITS: MessageLimits = MessageLimits {
    max_bytes: 64 * 1024,
    max_depth: 4,
    max_values: 1024,
};
/// Bytes read in one turn.
const TURN: usize = 16 * 1024;

/// A reply that is waited for.
enum Due {
    /// Any but an error that ends the connection.
    Taken,
    /// A transaction's, which tells of a claim.
    Claim {
        name: String,
        own: String,
        found: oneshot::Sender<ClaimOutcome>,
    },
}

/// What goes out in one go.
pub struct Batch {
    bytes: Vec<u8>,
    due: Vec<Due>,
    nonce: String,
    asks: usize,
}

impl Batch {
    pub fn new(nonce: u64) -> Batch {
        Batch {
            bytes: Vec::new(),
            due: Vec::new(),
            nonce: format!("{nonce:016x}"),
            asks: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.asks
    }

    fn add(&mut self, words: &[&str], due: Due) {
        encode_command(words, &mut self.bytes);
        self.due.push(due);
    }

    /// One transaction, so that its one reply tells both the mark and its time, and names the task.
    pub fn claim(
        &mut self,
        name: String,
        mark: &ExecutionMark,
        kept: Duration,
        nonce: u64,
        found: oneshot::Sender<ClaimOutcome>,
    ) {
        let (own, kept) = (
            claim::encode(&name, mark, nonce),
            kept.as_millis().max(1).to_string(),
        );
        self.add(&["MULTI"], Due::Taken);
        self.add(&["SET", &name, &own, "NX", "PX", &kept], Due::Taken);
        self.add(&["GET", &name], Due::Taken);
        self.add(&["PTTL", &name], Due::Taken);
        self.add(&["EXEC"], Due::Claim { name, own, found });
        self.asks += 1;
    }

    pub fn sent(&mut self, name: &str, mark: &ExecutionMark, kept: Duration, nonce: u64) {
        let (text, kept) = (
            claim::encode(name, mark, nonce),
            kept.as_millis().max(1).to_string(),
        );
        self.add(&["SET", name, &text, "XX", "PX", &kept], Due::Taken);
        self.asks += 1;
    }
}

/// A batch whose replies are awaited.
struct Open {
    due: Vec<Due>,
    /// Replies so far; believed only once the nonce is back.
    got: Vec<Value>,
    nonce: String,
    since: Instant,
    /// Where its first byte stands in all that was ever to be written.
    begins: u64,
}

pub struct Link {
    stream: TcpStream,
    reader: Decoder,
    unwritten: VecDeque<u8>,
    written: u64,
    queued: u64,
    open: VecDeque<Open>,
}

impl Link {
    /// Connects and greets: RESP3, or RESP2 where that is refused.
    pub async fn greet(place: &StoreConfig) -> Result<Link, String> {
        let stream = TcpStream::connect(place.address)
            .await
            .map_err(|error| error.to_string())?;
        let _ = stream.set_nodelay(true);
        let reader = Decoder::new(MESSAGE_LIMITS, Version::Resp3);
        let mut link = Link {
            stream,
            reader,
            unwritten: VecDeque::new(),
            written: 0,
            queued: 0,
            open: VecDeque::new(),
        };
        let user = if place.user.is_empty() {
            "default"
        } else {
            &place.user
        };
        let mut hello = vec!["HELLO", "3"];
        if !place.password.is_empty() {
            hello.extend(["AUTH", user, &place.password]);
        }
        if let Value::Fault(fault) = link.ask(&hello).await? {
            if fault.starts_with("WRONGPASS") || fault.starts_with("NOAUTH") {
                return Err(format!("store.password: {fault}"));
            }
            link.reader.set_version(Version::Resp2);
            let auth = if place.user.is_empty() {
                vec!["AUTH", &place.password]
            } else {
                vec!["AUTH", user, &place.password]
            };
            if !place.password.is_empty() {
                link.expect("store.password", &auth).await?;
            }
        }
        if place.database > 0 {
            link.expect("store.database", &["SELECT", &place.database.to_string()])
                .await?;
        }
        Ok(link)
    }

    async fn expect(&mut self, key: &str, words: &[&str]) -> Result<(), String> {
        match self.ask(words).await? {
            Value::Fault(fault) => Err(format!("{key}: {fault}")),
            _ => Ok(()),
        }
    }

    /// One command of the greeting, and its reply.
    async fn ask(&mut self, words: &[&str]) -> Result<Value, String> {
        let mut bytes = Vec::new();
        encode_command(words, &mut bytes);
        self.queued += bytes.len() as u64;
        self.unwritten.extend(&bytes);
        let reply = async {
            loop {
                match self
                    .reader
                    .next_message()
                    .map_err(|error| error.to_string())?
                {
                    Some(Value::Push(_)) => {}
                    Some(value) => return Ok(value),
                    None => {
                        self.ready().await?;
                        self.turn()?;
                    }
                }
            }
        };
        let silent = || "no reply to the greeting".to_owned();
        timeout(crate::GREETING, reply)
            .await
            .unwrap_or_else(|_| Err(silent()))
    }

    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Since when the oldest batch waits.
    pub fn waits_since(&self) -> Option<Instant> {
        self.open.front().map(|open| open.since)
    }

    pub fn send(&mut self, mut batch: Batch) {
        if batch.due.is_empty() {
            return;
        }
        encode_command(&["ECHO", &batch.nonce], &mut batch.bytes);
        let begins = self.queued;
        self.queued += batch.bytes.len() as u64;
        self.unwritten.extend(&batch.bytes);
        let Batch { due, nonce, .. } = batch;
        self.open.push_back(Open {
            due,
            got: Vec::new(),
            nonce,
            since: Instant::now(),
            begins,
        });
    }

    /// Until something can be read, or, where something is to be written, that can be.
    pub async fn ready(&self) -> Result<(), String> {
        let wants = if self.unwritten.is_empty() {
            Interest::READABLE
        } else {
            Interest::READABLE | Interest::WRITABLE
        };
        self.stream
            .ready(wants)
            .await
            .map(drop)
            .map_err(|error| error.to_string())
    }

    /// Writes and reads what can be without waiting.
    fn turn(&mut self) -> Result<(), String> {
        let (first, _) = self.unwritten.as_slices();
        if !first.is_empty() {
            if let Some(count) = unblocked(self.stream.try_write(first))? {
                self.unwritten.drain(..count);
                self.written += count as u64;
            }
        }
        let mut room = [0; TURN];
        match unblocked(self.stream.try_read(&mut room))? {
            Some(0) => Err("closed".to_owned()),
            Some(count) => {
                self.reader.feed(&room[..count]);
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Writes and reads what can be, and tells what whole batches of replies mean.
    pub fn go_on(&mut self) -> Result<(), String> {
        self.turn()?;
        while let Some(value) = self
            .reader
            .next_message()
            .map_err(|error| error.to_string())?
        {
            if let Value::Push(_) = value {
                continue; // nothing was subscribed to, and replies are not shifted by it
            }
            let Some(open) = self.open.front_mut() else {
                return Err("a reply that nobody waits for".to_owned());
            };
            if open.got.len() < open.due.len() {
                open.got.push(value);
                continue;
            }
            if value != Value::Text(open.nonce.clone().into()) {
                return Err("replies are not those of what was asked".to_owned());
            }
            if let Some(open) = self.open.pop_front() {
                open.tell()?;
            }
        }
        Ok(())
    }
}

/// What came of it, unless it would have had to wait.
fn unblocked(done: std::io::Result<usize>) -> Result<Option<usize>, String> {
    match done {
        Ok(count) => Ok(Some(count)),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error.to_string()),
    }
}

impl Open {
    /// All replies of a batch are there, and in their places: first all are understood, then all are told.
    fn tell(self) -> Result<(), String> {
        let mut told = Vec::new();
        for (due, got) in self.due.into_iter().zip(&self.got) {
            if let Due::Claim { name, own, found } = due {
                match claim::found(&name, &own, got) {
                    Ok(what) => told.push((found, what)),
                    Err(why) => {
                        told.into_iter()
                            .for_each(|(found, _)| drop(found.send(ClaimOutcome::Unknown)));
                        let _ = found.send(ClaimOutcome::Unknown);
                        return Err(why);
                    }
                }
            }
        }
        told.into_iter()
            .for_each(|(found, what)| drop(found.send(what)));
        Ok(())
    }
}

impl Drop for Link {
    /// What was open is unknown where a byte of its batch was written, and else surely not asked.
    fn drop(&mut self) {
        for open in self.open.drain(..) {
            let asked = self.written > open.begins;
            for due in open.due {
                if let Due::Claim { found, .. } = due {
                    let _ = found.send(if asked {
                        ClaimOutcome::Unknown
                    } else {
                        ClaimOutcome::NotSent
                    });
                }
            }
        }
    }
}
