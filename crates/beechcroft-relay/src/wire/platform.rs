//! The platform: JSON-RPC lines over TCP. One actor keeps a connection that listens, another beside it once the
//! first falls silent, and the votes that wait for their answers; each connection is carried by a task of its own.

use crate::wire::budget::{CONTROL_CONNECT, LINE_MAX, PING_LAPSE, PLATFORM_PAUSE};
use crate::wire::sparse::Sparse;
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

pub type PlatformMailbox = mpsc::UnboundedSender<ToPlatform>;

#[derive(Debug)]
pub enum ToPlatform {
    Cast(Ballot),
    /// The platform is there from now on.
    Moved(SocketAddr),
}

/// One line of the platform's.
#[derive(Debug)]
pub enum Told {
    Ping,
    News(RolloutState),
    Dispute {
        unit: UnitId,
        kind: SmolStr,
    },
    Answer {
        id: u64,
        outcome: Outcome,
        news: Option<RolloutState>,
    },
    Listens,
}

#[derive(Deserialize)]
struct LineForm {
    id: Option<u64>,
    method: Option<SmolStr>,
    params: Option<Value>,
    result: Option<Value>,
    error: Option<ErrorForm>,
}

#[derive(Deserialize)]
struct ErrorForm {
    message: SmolStr,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct NewsForm {
    version: u16,
    step: u8,
    status: SmolStr,
    max_weight: f64,
}

#[derive(Deserialize)]
struct DisputeForm {
    pod: SmolStr,
    kind: SmolStr,
}

/// The state of the newest build, as news and answers hold it and as the configuration does.
pub fn decode_news(value: Value) -> Result<RolloutState, String> {
    let form: NewsForm = serde_json::from_value(value).map_err(|error| error.to_string())?;
    let phase = match form.status.as_str() {
        "canary" => Phase::OnTrial,
        "reverting" => Phase::Reverting,
        "stable" => Phase::Released,
        "reverted" => Phase::Withdrawn,
        other => return Err(format!("status: unknown '{other}'")),
    };
    if !(0.0..=1.0).contains(&form.max_weight) {
        return Err(format!("maxWeight: {} is out of range", form.max_weight));
    }
    Ok(RolloutState {
        build: BuildId(form.version),
        stage: Stage(form.step.into()),
        phase,
        cap: form.max_weight,
    })
}

pub fn decode(line: &[u8]) -> Result<Told, String> {
    let form: LineForm = serde_json::from_slice(line).map_err(|error| error.to_string())?;
    let params = form.params.unwrap_or_default();
    match (form.method.as_deref(), form.id) {
        (Some("ping"), _) => Ok(Told::Ping),
        (Some("ROLLOUT"), _) => decode_news(params).map(Told::News),
        (Some("DISPUTE"), _) => {
            let form: DisputeForm =
                serde_json::from_value(params).map_err(|error| error.to_string())?;
            Ok(Told::Dispute {
                unit: UnitId(form.pod),
                kind: form.kind,
            })
        }
        (Some(other), _) => Err(format!("method: unknown '{other}'")),
        (None, Some(id)) => match (form.error, form.result) {
            (Some(error), _) => Ok(Told::Answer {
                id,
                outcome: refusal(&error.message),
                news: None,
            }),
            (None, Some(Value::Bool(true))) => Ok(Told::Listens),
            (None, Some(state)) => decode_news(state).map(|news| Told::Answer {
                id,
                outcome: Outcome::Ok,
                news: Some(news),
            }),
            (None, None) => Err("neither result nor error".to_owned()),
        },
        (None, None) => Err("neither method nor id".to_owned()),
    }
}

fn refusal(message: &str) -> Outcome {
    match message {
        "BUSY" => Outcome::Full,
        "FAILED" => Outcome::Error,
        _ => Outcome::Moot, // STALE, or a call that the platform does not take
    }
}

pub fn encode_listen(id: u64) -> String {
    format!(
        "{}\n",
        json!({"jsonrpc": "2.0", "id": id, "method": "listen"})
    )
}

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

/// What a connection's task reports: that it came up, a line, or its end.
enum Report {
    Up,
    Line(Result<Told, String>),
    Ended(String),
}

/// A connection as the actor sees it. Dropping it ends its task and closes the connection.
struct Line {
    number: u64,
    to_write: mpsc::UnboundedSender<String>,
    up: bool,
    spoke: bool,
    heard_at: Instant,
    opened_at: Instant,
    /// To an address of before: no vote goes there any more. What it told counts until its successor speaks; it is
    /// kept for the answers to its votes.
    former: bool,
}

/// A vote written and not yet answered.
struct Waiting {
    line: u64,
    until: Instant,
}

struct PlatformActor {
    address: SocketAddr,
    vote_timeout: Duration,
    tracks: Vec<String>,
    module: Mailbox,
    odd: Sparse,
    reports: mpsc::UnboundedSender<(u64, Report)>,
    /// Oldest first; two at most that are not of a former address: one that listens and its successor.
    lines: Vec<Line>,
    waiting: BTreeMap<u64, Waiting>,
    next: u64,
    /// No new connection before that.
    pause_until: Instant,
    first: Option<oneshot::Sender<()>>,
}

/// Starts the actor; `first` is told once the platform was reached, or could not be, for the first time.
pub fn spawn(
    address: SocketAddr,
    vote_timeout: Duration,
    tracks: Vec<String>,
    module: Mailbox,
    first: oneshot::Sender<()>,
) -> PlatformMailbox {
    let (sender, mailbox) = mpsc::unbounded_channel();
    let (reports, reported) = mpsc::unbounded_channel();
    let actor = PlatformActor {
        address,
        vote_timeout,
        tracks,
        module,
        odd: Sparse::new("platform"),
        reports,
        lines: Vec::new(),
        waiting: BTreeMap::new(),
        next: 1,
        pause_until: Instant::now(),
        first: Some(first),
    };
    tokio::spawn(actor.run(mailbox, reported));
    sender
}

impl PlatformActor {
    async fn run(
        mut self,
        mut mailbox: mpsc::UnboundedReceiver<ToPlatform>,
        mut reported: mpsc::UnboundedReceiver<(u64, Report)>,
    ) {
        loop {
            self.keep_listening();
            let due = self.due();
            tokio::select! {
                biased;
                Some((number, report)) = reported.recv() => self.report(number, report),
                order = mailbox.recv() => match order {
                    Some(ToPlatform::Cast(ballot)) => self.cast(ballot),
                    Some(ToPlatform::Moved(to)) => self.moved(to),
                    None => return,
                },
                () = sleep_until(due) => {
                    let now = Instant::now();
                    self.give_up(|vote| vote.until <= now);
                }
            }
        }
    }

    fn id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// The connections to where the platform is now.
    fn present(&self) -> impl Iterator<Item = &Line> {
        self.lines.iter().filter(|line| !line.former)
    }

    /// Listens there at once; what is open is kept until it is of no more use.
    fn moved(&mut self, to: SocketAddr) {
        if to == self.address {
            return;
        }
        self.address = to;
        self.lines.iter_mut().for_each(|line| line.former = true);
        self.pause_until = Instant::now();
    }

    /// Opens a connection where none is left, and a second one where the last shows no life.
    fn keep_listening(&mut self) {
        let now = Instant::now();
        if now < self.silent_at() || now < self.pause_until {
            return;
        }
        let successor = self.present().nth(1).map(|line| line.number);
        successor.into_iter().for_each(|silent| self.end(silent)); // it stayed silent too
        let (number, listen) = (self.id(), self.id());
        let (to_write, texts) = mpsc::unbounded_channel();
        let _ = to_write.send(encode_listen(listen));
        tokio::spawn(carry(self.address, number, texts, self.reports.clone()));
        self.lines.push(Line {
            number,
            to_write,
            up: false,
            spoke: false,
            heard_at: now,
            opened_at: now,
            former: false,
        });
        self.pause_until = now + PLATFORM_PAUSE;
    }

    /// When something is to be done although nothing happens.
    fn due(&self) -> Instant {
        let vote = self.waiting.values().map(|waiting| waiting.until).min();
        vote.into_iter()
            .fold(self.silent_at().max(self.pause_until), Instant::min)
    }

    /// When too long nothing will have been heard on any connection.
    fn silent_at(&self) -> Instant {
        let heard = self.present().map(|line| line.heard_at).max();
        heard.map_or(self.pause_until, |heard| heard + PING_LAPSE)
    }

    fn report(&mut self, number: u64, report: Report) {
        let Some(at) = self.lines.iter().position(|line| line.number == number) else {
            return;
        };
        match report {
            Report::Up => (self.lines[at].up, self.lines[at].heard_at) = (true, Instant::now()),
            Report::Ended(why) => {
                if self.lines[at].opened_at.elapsed() > PLATFORM_PAUSE {
                    tracing::info!(part = "platform", reason = %why, "platform: connection ended: {why}");
                } else {
                    self.odd.warn(&why);
                }
                self.end(number);
            }
            Report::Line(told) => {
                self.lines[at].heard_at = Instant::now();
                match told {
                    Ok(told) => {
                        self.told(told, at);
                        self.drop_useless(number);
                    }
                    Err(error) => {
                        self.odd
                            .warn(format!("line not understood, connection given up: {error}"));
                        self.end(number);
                    }
                }
            }
        }
        if let Some(first) = self.first.take() {
            let _ = first.send(());
        }
    }

    /// The one that lives is enough; one of a former address is kept for the answers to its votes.
    fn drop_useless(&mut self, lives: u64) {
        if !self.present().any(|line| line.number == lives) {
            return;
        }
        let waits = |line: &Line| self.waiting.values().any(|vote| vote.line == line.number);
        let others = self
            .lines
            .iter()
            .filter(|line| line.number != lives && !(line.former && waits(line)));
        let others: Vec<u64> = others.map(|line| line.number).collect();
        others.into_iter().for_each(|number| self.end(number));
    }

    /// A line of the connection at a place. One of a former address whose successor has spoken only answers, as
    /// the successor tells the rest, and nothing is to be heard twice.
    fn told(&mut self, told: Told, at: usize) {
        let late = self.lines[at].former && self.present().any(|line| line.spoke);
        self.lines[at].spoke = true;
        let event = match told {
            _ if late && !matches!(told, Told::Answer { .. }) => return,
            Told::Answer { id, outcome, .. } if late => match self.waiting.remove(&id) {
                Some(_) => Event::VoteAnswered(outcome, None),
                None => return,
            },
            Told::Ping | Told::Listens => return,
            Told::News(news) => Event::Rollout(news),
            Told::Dispute { unit, kind } => {
                match self.tracks.iter().position(|track| *track == kind) {
                    Some(track) => Event::Complaint(unit, TrackId(track)),
                    None => {
                        return self
                            .odd
                            .warn(format!("dispute of the unknown track '{kind}'"))
                    }
                }
            }
            Told::Answer { id, outcome, news } => match (self.waiting.remove(&id), news) {
                (Some(_), news) => Event::VoteAnswered(outcome, news),
                (None, Some(news)) => Event::Rollout(news), // given up before
                (None, None) => return,
            },
        };
        let _ = self.module.send(event);
    }

    /// Drops a connection; its votes may have been counted, or may yet be.
    fn end(&mut self, number: u64) {
        self.lines.retain(|line| line.number != number);
        self.give_up(|vote| vote.line == number);
    }

    /// Waits no longer for the answers to such votes.
    fn give_up(&mut self, such: impl Fn(&Waiting) -> bool) {
        let module = &self.module;
        self.waiting.retain(|_, vote| {
            let waits = !such(vote);
            if !waits {
                let _ = module.send(Event::VoteAnswered(Outcome::TimeOut, None));
            }
            waits
        });
    }

    /// On the connection last heard of. Without one the vote was surely not carried out.
    fn cast(&mut self, ballot: Ballot) {
        let id = self.id();
        let text = encode_vote(id, &ballot);
        let line = self
            .present()
            .filter(|line| line.up)
            .max_by_key(|line| line.heard_at);
        match line.filter(|line| line.to_write.send(text).is_ok()) {
            Some(line) => {
                let until = Instant::now() + self.vote_timeout;
                self.waiting.insert(
                    id,
                    Waiting {
                        line: line.number,
                        until,
                    },
                );
            }
            None => drop(
                self.module
                    .send(Event::VoteAnswered(Outcome::ConnectFailed, None)),
            ),
        }
    }
}

/// Carries one connection: lines in, texts out, until it breaks or the actor drops it.
async fn carry(
    address: SocketAddr,
    number: u64,
    mut texts: mpsc::UnboundedReceiver<String>,
    reports: mpsc::UnboundedSender<(u64, Report)>,
) {
    let why = match timeout(CONTROL_CONNECT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            speak(stream, &mut texts, |told| {
                drop(reports.send((number, told)))
            })
            .await
        }
        Ok(Err(error)) => format!("connect: {error}"),
        Err(_) => "connect: no answer".to_owned(),
    };
    let _ = reports.send((number, Report::Ended(why)));
}

/// Why it ended.
async fn speak(
    stream: TcpStream,
    texts: &mut mpsc::UnboundedReceiver<String>,
    report: impl Fn(Report),
) -> String {
    let _ = stream.set_nodelay(true);
    report(Report::Up);
    let (read, mut write) = stream.into_split();
    let mut read = BufReader::with_capacity(LINE_MAX, read);
    let mut line = Vec::new();
    loop {
        // A line read in part stays in `line` while a text is written.
        let mut rest = (&mut read).take((LINE_MAX - line.len()) as u64);
        tokio::select! {
            text = texts.recv() => match text {
                Some(text) => match timeout(CONTROL_CONNECT, write.write_all(text.as_bytes())).await {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => return error.to_string(),
                    Err(_) => return "takes no more".to_owned(),
                },
                None => return "no longer needed".to_owned(),
            },
            read = rest.read_until(b'\n', &mut line) => match read {
                Ok(0) => return "closed".to_owned(),
                Ok(_) if line.ends_with(b"\n") => {
                    report(Report::Line(decode(&line)));
                    line.clear();
                }
                Ok(_) if line.len() >= LINE_MAX => return "line too long".to_owned(),
                Ok(_) => {}
                Err(error) => return error.to_string(),
            },
        }
    }
}
