//! The platform's protocol: JSON-RPC lines over TCP. One actor keeps a connection that listens for messages, opens a
//! second one if the first falls silent, and holds the votes that wait for their answers; each connection is run by a
//! task of its own.

use crate::wire::limits::{
    CONTROL_CONNECT_TIMEOUT, MAX_LINE_BYTES, PING_TIMEOUT, PLATFORM_RECONNECT_DELAY,
};
use crate::wire::rate_limited_log::RateLimitedLog;
use beechcroft::{BuildId, Outcome, Phase, Stage, TrackId, UnitId, Vote};
use beechcroft_core::{Ballot, Event, Mailbox, RolloutState};
use serde::Deserialize;
use serde_json::{json, Value};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout, Instant};

/// Where commands for the actor are sent.
pub type PlatformMailbox = mpsc::UnboundedSender<PlatformCommand>;

/// A command for the actor.
#[derive(Debug)]
pub enum PlatformCommand {
    /// Send a vote.
    CastVote(Ballot),
    /// The platform has this address from now on.
    ChangeAddress(SocketAddr),
}

/// A message from the platform.
#[derive(Debug)]
pub enum Message {
    /// A sign of life.
    Ping,
    /// The state of the newest build.
    Rollout(RolloutState),
    /// A client has reported a wrong answer of a unit.
    Dispute {
        /// The unit.
        unit: UnitId,
        /// Name of the track of the answered task.
        kind: SmolStr,
    },
    /// The answer to a vote.
    Answer {
        /// Id of the call that cast the vote.
        id: u64,
        /// Whether the vote was counted.
        outcome: Outcome,
        /// The state of the newest build, if the vote was counted.
        state: Option<RolloutState>,
    },
    /// The subscription was accepted.
    Listening,
}

#[derive(Deserialize)]
struct WireLine {
    id: Option<u64>,
    method: Option<SmolStr>,
    params: Option<Value>,
    result: Option<Value>,
    error: Option<WireError>,
}

#[derive(Deserialize)]
struct WireError {
    message: SmolStr,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRollout {
    version: u16,
    step: u8,
    status: SmolStr,
    max_weight: f64,
}

#[derive(Deserialize)]
struct WireDispute {
    pod: SmolStr,
    kind: SmolStr,
}

/// Decodes the state of the newest build, which has the same form in messages, answers and the configuration.
pub fn decode_rollout_state(value: Value) -> Result<RolloutState, String> {
    let wire: WireRollout = serde_json::from_value(value).map_err(|error| error.to_string())?;
    let phase = match wire.status.as_str() {
        "canary" => Phase::OnTrial,
        "reverting" => Phase::Reverting,
        "stable" => Phase::Released,
        "reverted" => Phase::Withdrawn,
        other => return Err(format!("status: unknown '{other}'")),
    };
    if !(0.0..=1.0).contains(&wire.max_weight) {
        return Err(format!("maxWeight: {} is out of range", wire.max_weight));
    }
    Ok(RolloutState {
        build: BuildId(wire.version),
        stage: Stage(wire.step.into()),
        phase,
        cap: wire.max_weight,
    })
}

/// Decodes a line.
pub fn decode(line: &[u8]) -> Result<Message, String> {
    let wire: WireLine = serde_json::from_slice(line).map_err(|error| error.to_string())?;
    let params = wire.params.unwrap_or_default();
    match (wire.method.as_deref(), wire.id) {
        (Some("ping"), _) => Ok(Message::Ping),
        (Some("ROLLOUT"), _) => decode_rollout_state(params).map(Message::Rollout),
        (Some("DISPUTE"), _) => {
            let wire: WireDispute =
                serde_json::from_value(params).map_err(|error| error.to_string())?;
            Ok(Message::Dispute {
                unit: UnitId(wire.pod),
                kind: wire.kind,
            })
        }
        (Some(other), _) => Err(format!("method: unknown '{other}'")),
        (None, Some(id)) => match (wire.error, wire.result) {
            (Some(error), _) => Ok(Message::Answer {
                id,
                outcome: outcome_of_error(&error.message),
                state: None,
            }),
            (None, Some(Value::Bool(true))) => Ok(Message::Listening),
            (None, Some(state)) => decode_rollout_state(state).map(|state| Message::Answer {
                id,
                outcome: Outcome::Ok,
                state: Some(state),
            }),
            (None, None) => Err("neither result nor error".to_owned()),
        },
        (None, None) => Err("neither method nor id".to_owned()),
    }
}

fn outcome_of_error(message: &str) -> Outcome {
    match message {
        "BUSY" => Outcome::Full,
        "FAILED" => Outcome::Error,
        _ => Outcome::Moot, // STALE, or a call that the platform does not accept
    }
}

/// The line that subscribes to messages.
pub fn encode_listen(id: u64) -> String {
    format!(
        "{}\n",
        json!({"jsonrpc": "2.0", "id": id, "method": "listen"})
    )
}

/// The line that casts a vote.
pub fn encode_vote(id: u64, ballot: &Ballot) -> String {
    let vote = match ballot.vote {
        Vote::Nothing => "abstain",
        Vote::On => "promote",
        Vote::Hold => "pause",
        Vote::Back => "abort",
    };
    let params = json!({"version": ballot.build.0, "step": ballot.stage.0, "vote": vote});
    format!(
        "{}\n",
        json!({"jsonrpc": "2.0", "id": id, "method": "verdict", "params": params})
    )
}

/// What the task of a connection reports: that it is established, a message, or its end.
enum Report {
    Connected,
    Received(Result<Message, String>),
    Ended(String),
}

/// A connection as the actor sees it. Dropping it ends its task and closes the connection.
struct Connection {
    number: u64,
    outgoing: mpsc::UnboundedSender<String>,
    is_connected: bool,
    has_received: bool,
    last_received_at: Instant,
    opened_at: Instant,
    /// Connected to a previous address: no vote is sent there any more. Its messages count until a connection to the
    /// new address has received one; it is kept for the answers to its votes.
    superseded: bool,
}

/// A vote that was sent and not yet answered.
struct PendingVote {
    connection: u64,
    deadline: Instant,
}

struct PlatformActor {
    address: SocketAddr,
    vote_timeout: Duration,
    tracks: Vec<String>,
    relay_events: Mailbox,
    log: RateLimitedLog,
    reports: mpsc::UnboundedSender<(u64, Report)>,
    /// Oldest first. Besides superseded ones there are two at most: one that listens and its successor.
    connections: Vec<Connection>,
    pending_votes: BTreeMap<u64, PendingVote>,
    last_id: u64,
    /// No new connection is opened before that.
    reconnect_at: Instant,
    ready: Option<oneshot::Sender<()>>,
}

/// Starts the actor; `ready` is notified once the platform was reached, or an attempt failed, for the first time.
pub fn spawn(
    address: SocketAddr,
    vote_timeout: Duration,
    tracks: Vec<String>,
    relay_events: Mailbox,
    ready: oneshot::Sender<()>,
) -> PlatformMailbox {
    let (sender, mailbox) = mpsc::unbounded_channel();
    let (reports, received_reports) = mpsc::unbounded_channel();
    let actor = PlatformActor {
        address,
        vote_timeout,
        tracks,
        relay_events,
        log: RateLimitedLog::new("platform"),
        reports,
        connections: Vec::new(),
        pending_votes: BTreeMap::new(),
        last_id: 1,
        reconnect_at: Instant::now(),
        ready: Some(ready),
    };
    tokio::spawn(actor.run(mailbox, received_reports));
    sender
}

impl PlatformActor {
    async fn run(
        mut self,
        mut mailbox: mpsc::UnboundedReceiver<PlatformCommand>,
        mut received_reports: mpsc::UnboundedReceiver<(u64, Report)>,
    ) {
        loop {
            self.keep_listening();
            let deadline = self.next_deadline();
            tokio::select! {
                biased;
                Some((number, report)) = received_reports.recv() => self.handle_report(number, report),
                command = mailbox.recv() => match command {
                    Some(PlatformCommand::CastVote(ballot)) => self.cast_vote(ballot),
                    Some(PlatformCommand::ChangeAddress(to)) => self.change_address(to),
                    None => return,
                },
                () = sleep_until(deadline) => {
                    let now = Instant::now();
                    self.time_out_votes(|vote| vote.deadline <= now);
                }
            }
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// The connections to the current address.
    fn current(&self) -> impl Iterator<Item = &Connection> {
        self.connections
            .iter()
            .filter(|connection| !connection.superseded)
    }

    /// Connects to the new address at once; open connections are kept until they are of no more use.
    fn change_address(&mut self, to: SocketAddr) {
        if to == self.address {
            return;
        }
        self.address = to;
        self.connections
            .iter_mut()
            .for_each(|connection| connection.superseded = true);
        self.reconnect_at = Instant::now();
    }

    /// Opens a connection if there is none, and a second one if the others are silent.
    fn keep_listening(&mut self) {
        let now = Instant::now();
        if now < self.silent_from() || now < self.reconnect_at {
            return;
        }
        let successor = self.current().nth(1).map(|connection| connection.number);
        successor.into_iter().for_each(|silent| self.close(silent)); // it stayed silent too
        let (number, listen) = (self.next_id(), self.next_id());
        let (outgoing, lines) = mpsc::unbounded_channel();
        let _ = outgoing.send(encode_listen(listen));
        tokio::spawn(run_connection(
            self.address,
            number,
            lines,
            self.reports.clone(),
        ));
        self.connections.push(Connection {
            number,
            outgoing,
            is_connected: false,
            has_received: false,
            last_received_at: now,
            opened_at: now,
            superseded: false,
        });
        self.reconnect_at = now + PLATFORM_RECONNECT_DELAY;
    }

    /// When something must be done even if nothing is received.
    fn next_deadline(&self) -> Instant {
        let vote = self.pending_votes.values().map(|vote| vote.deadline).min();
        vote.into_iter()
            .fold(self.silent_from().max(self.reconnect_at), Instant::min)
    }

    /// When the time without a message on any connection becomes too long.
    fn silent_from(&self) -> Instant {
        let last = self
            .current()
            .map(|connection| connection.last_received_at)
            .max();
        last.map_or(self.reconnect_at, |last| last + PING_TIMEOUT)
    }

    fn handle_report(&mut self, number: u64, report: Report) {
        let Some(index) = self
            .connections
            .iter()
            .position(|connection| connection.number == number)
        else {
            return;
        };
        match report {
            Report::Connected => {
                (
                    self.connections[index].is_connected,
                    self.connections[index].last_received_at,
                ) = (true, Instant::now())
            }
            Report::Ended(reason) => {
                if self.connections[index].opened_at.elapsed() > PLATFORM_RECONNECT_DELAY {
                    tracing::info!(part = "platform", reason = %reason, "platform: connection ended: {reason}");
                } else {
                    self.log.warn(&reason);
                }
                self.close(number);
            }
            Report::Received(message) => {
                self.connections[index].last_received_at = Instant::now();
                match message {
                    Ok(message) => {
                        self.handle_message(message, index);
                        self.drop_redundant(number);
                    }
                    Err(error) => {
                        self.log
                            .warn(format!("line not understood, connection given up: {error}"));
                        self.close(number);
                    }
                }
            }
        }
        if let Some(ready) = self.ready.take() {
            let _ = ready.send(());
        }
    }

    /// One active connection is enough; a superseded one is kept for the answers to its votes.
    fn drop_redundant(&mut self, active: u64) {
        if !self.current().any(|connection| connection.number == active) {
            return;
        }
        let awaits_votes = |connection: &Connection| {
            self.pending_votes
                .values()
                .any(|vote| vote.connection == connection.number)
        };
        let others = self.connections.iter().filter(|connection| {
            connection.number != active && !(connection.superseded && awaits_votes(connection))
        });
        let others: Vec<u64> = others.map(|connection| connection.number).collect();
        others.into_iter().for_each(|number| self.close(number));
    }

    /// Handles a message of the connection at this index. Once its successor has received a message, a superseded
    /// connection counts only for answers to votes, as the successor receives all else, and nothing is to be reported
    /// twice.
    fn handle_message(&mut self, message: Message, index: usize) {
        let is_superseded = self.connections[index].superseded
            && self.current().any(|connection| connection.has_received);
        self.connections[index].has_received = true;
        let event = match message {
            _ if is_superseded && !matches!(message, Message::Answer { .. }) => return,
            Message::Answer { id, outcome, .. } if is_superseded => {
                match self.pending_votes.remove(&id) {
                    Some(_) => Event::VoteAnswered(outcome, None),
                    None => return,
                }
            }
            Message::Ping | Message::Listening => return,
            Message::Rollout(state) => Event::Rollout(state),
            Message::Dispute { unit, kind } => {
                match self.tracks.iter().position(|track| *track == kind) {
                    Some(track) => Event::Complaint(unit, TrackId(track)),
                    None => {
                        return self
                            .log
                            .warn(format!("dispute of the unknown track '{kind}'"))
                    }
                }
            }
            Message::Answer { id, outcome, state } => match (self.pending_votes.remove(&id), state)
            {
                (Some(_), state) => Event::VoteAnswered(outcome, state),
                (None, Some(state)) => Event::Rollout(state), // the vote had timed out before
                (None, None) => return,
            },
        };
        let _ = self.relay_events.send(event);
    }

    /// Drops a connection; its votes may have been counted, or may yet be.
    fn close(&mut self, number: u64) {
        self.connections
            .retain(|connection| connection.number != number);
        self.time_out_votes(|vote| vote.connection == number);
    }

    /// Reports those votes as timed out.
    fn time_out_votes(&mut self, is_lost: impl Fn(&PendingVote) -> bool) {
        let relay_events = &self.relay_events;
        self.pending_votes.retain(|_, vote| {
            let keep = !is_lost(vote);
            if !keep {
                let _ = relay_events.send(Event::VoteAnswered(Outcome::TimeOut, None));
            }
            keep
        });
    }

    /// Sends a vote on the connection that was active last. If there is none, the vote was certainly not counted.
    fn cast_vote(&mut self, ballot: Ballot) {
        let id = self.next_id();
        let line = encode_vote(id, &ballot);
        let connection = self
            .current()
            .filter(|connection| connection.is_connected)
            .max_by_key(|connection| connection.last_received_at);
        match connection.filter(|connection| connection.outgoing.send(line).is_ok()) {
            Some(connection) => {
                let deadline = Instant::now() + self.vote_timeout;
                self.pending_votes.insert(
                    id,
                    PendingVote {
                        connection: connection.number,
                        deadline,
                    },
                );
            }
            None => drop(
                self.relay_events
                    .send(Event::VoteAnswered(Outcome::ConnectFailed, None)),
            ),
        }
    }
}

/// Runs one connection until it breaks or the actor drops it.
async fn run_connection(
    address: SocketAddr,
    number: u64,
    mut lines: mpsc::UnboundedReceiver<String>,
    reports: mpsc::UnboundedSender<(u64, Report)>,
) {
    let reason = match timeout(CONTROL_CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            exchange_lines(stream, &mut lines, |message| {
                drop(reports.send((number, message)))
            })
            .await
        }
        Ok(Err(error)) => format!("connect: {error}"),
        Err(_) => "connect: no answer".to_owned(),
    };
    let _ = reports.send((number, Report::Ended(reason)));
}

/// Sends and receives lines; returns why the connection ended.
async fn exchange_lines(
    stream: TcpStream,
    lines: &mut mpsc::UnboundedReceiver<String>,
    report: impl Fn(Report),
) -> String {
    let _ = stream.set_nodelay(true);
    report(Report::Connected);
    let (read, mut write) = stream.into_split();
    let mut read = BufReader::with_capacity(MAX_LINE_BYTES, read);
    let mut line = Vec::new();
    loop {
        // A partly read line stays in `line` while another one is written.
        let mut rest = (&mut read).take((MAX_LINE_BYTES - line.len()) as u64);
        tokio::select! {
            outgoing = lines.recv() => match outgoing {
                Some(outgoing) => match timeout(CONTROL_CONNECT_TIMEOUT, write.write_all(outgoing.as_bytes())).await {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => return error.to_string(),
                    Err(_) => return "write timed out".to_owned(),
                },
                None => return "no longer needed".to_owned(),
            },
            read = rest.read_until(b'\n', &mut line) => match read {
                Ok(0) => return "closed".to_owned(),
                Ok(_) if line.ends_with(b"\n") => {
                    report(Report::Received(decode(&line)));
                    line.clear();
                }
                Ok(_) if line.len() >= MAX_LINE_BYTES => return "line too long".to_owned(),
                Ok(_) => {}
                Err(error) => return error.to_string(),
            },
        }
    }
}
