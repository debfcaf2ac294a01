//! The owner of a core machine's tables: members, units, the voter, this machine's rounds, what is chosen.
//! Everything reaches it through one queue of commands; it never waits.

mod quorum;
mod rollouts;
mod show;

use crate::disk::Disk;
use beechcroft_belvedere::{short, Bench, Verdict};
use beechcroft_cache::Table;
use beechcroft_cairns::{Action as News, Cairns, Letter, Member, Standing};
use beechcroft_hutbook::proposer::{Action as Step, Answer, Event, OrderId};
use beechcroft_hutbook::{Ask, Ballot, Op, Orders, Proposer, Reply, Stage, Value, Voter, CONFIG, ORDERS};
use beechcroft_kinds::{Fault, Kind};
use beechcroft_map::config::{Service, Unfit};
use beechcroft_map::usual::Usual;
use beechcroft_map::{Config, Settings};
use beechcroft_pass::errand::Errands;
use beechcroft_pass::post::Post;
use beechcroft_ropes::conduct::{conduct, Next, View};
use beechcroft_waymarks::{News as UnitNews, Note, State};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// What was last known to be chosen, by register, on disk.
const CHOSEN: [&str; 2] = ["chosen-0", "chosen-1"];
pub const ASK_WITHIN: Duration = Duration::from_millis(900);
const COPY_WITHIN: Duration = Duration::from_millis(1500);
/// The operator asks another machine after a second of silence.
pub const ORDER_MS: u64 = 2500;
const FENCE_EVERY_MS: u64 = 300;
/// A machine without a membership asks so often who holds them.
const LOOK_EVERY_MS: u64 = 1000;
/// A machine that leaves answers for so long what was taken, and takes new orders.
pub const LEAVE_MS: u64 = 800;
/// A voter that has been down for so long gives its membership to a machine that waits for one.
const VACANT_MS: u64 = 2500;
/// The same for one that is leaving.
const LEFT_MS: u64 = 200;
const CONDUCT_EVERY_MS: u64 = 200;
const PLACE_EVERY_MS: u64 = 1000;
/// Since the last new core machine, before the first voters are named.
const SETTLE_MS: u64 = 1000;
/// How often at most what is known of units and members is put down for the next incarnation of the process.
const JOT_EVERY_MS: u64 = 500;
/// Between the huts' first looks after a start.
const READ_APART_MS: u64 = 120;
/// Units of a service are watched for so long before its version is put down.
const BASE_AFTER_MS: u64 = 1200;

/// What the keeper is asked or told.
pub enum Command {
    Letter(SocketAddrV4, Box<Letter>),
    /// A beat; answered once others know, if it tells of a drain.
    Beat(Note, oneshot::Sender<()>),
    Deregister(String, oneshot::Sender<()>),
    /// Another core machine passes on a drain or an end.
    Told(Note, oneshot::Sender<()>),
    Ask(Ask, oneshot::Sender<Reply>),
    Replied {
        from: String,
        register: usize,
        ballot: Ballot,
        reply: Reply,
    },
    Fenced {
        epoch: u64,
        reply: Reply,
    },
    /// Another core machine was told of epochs.
    Known {
        from: String,
        told: beechcroft_hutbook::Epochs,
        reply: Reply,
    },
    VotesAgain,
    Order(usize, Op, oneshot::Sender<Answer>),
    Back {
        service: String,
        begun: u64,
    },
    Copy(usize, oneshot::Sender<Value>),
    Copied(usize, Value),
    Resolve {
        region: String,
        zone: String,
        answer: oneshot::Sender<Vec<SocketAddrV4>>,
    },
    Show(oneshot::Sender<String>),
    Why(String, oneshot::Sender<String>),
    Seeds(Vec<SocketAddrV4>),
    Leave,
    Tick,
}

pub type Queue = mpsc::UnboundedSender<Command>;

pub struct Keeper {
    settings: Settings,
    usual: Usual,
    /// The first start of the whole system, on a disk that has never held a membership: only then are voters founded. A
    /// machine that has lost its membership is not fresh, though its first process was started as one.
    fresh: bool,
    began: Instant,
    cairns: Cairns,
    voter: Voter,
    proposer: Proposer,
    held: [Value; 2],
    orders: Orders,
    services: BTreeSet<String>,
    /// What each service calls unfit, and the evidence.
    unfit: BTreeMap<String, Unfit>,
    benches: BTreeMap<String, Bench>,
    /// Placements that the evidence asked for at the last look: one that is asked for twice is made.
    wished: BTreeMap<String, BTreeSet<String>>,
    place_at: u64,
    /// Rounds that are to show that the core agrees.
    touches: BTreeMap<OrderId, u64>,
    quorum: quorum::Quorum,
    answers: BTreeMap<OrderId, oneshot::Sender<Answer>>,
    next_order: OrderId,
    pulling: [u64; 2],
    conduct_at: u64,
    /// Core machines known, and since when no other has come.
    cores: (usize, u64),
    /// Since when each rollout stands at its stage, as this machine saw it.
    stages: BTreeMap<String, (u64, Stage, u64)>,
    unbased: BTreeMap<String, u64>,
    read_at: u64,
    jot_at: u64,
    units_new: bool,
    members_new: bool,
    disk: Disk,
    post: Post,
    errands: Errands,
    queue: Queue,
}

impl Keeper {
    pub fn new(
        settings: Settings, usual: Usual, voter: Voter, me: Member, salt: u64, table: &Table, disk: Disk,
        post: Post, errands: Errands, queue: Queue,
    ) -> Keeper {
        let cairns = Cairns::new(me, settings.internal_ports[0], settings.seed_nodes.clone(), salt);
        let proposer = Proposer::new(salt ^ 0x5eed);
        let mut keeper = Keeper {
            fresh: settings.bootstrap && !table.contains_key("identity"),
            settings,
            usual,
            began: Instant::now(),
            cairns,
            voter,
            proposer,
            held: Default::default(),
            orders: Orders::default(),
            services: BTreeSet::new(),
            unfit: BTreeMap::new(),
            benches: BTreeMap::new(),
            wished: BTreeMap::new(),
            place_at: 0,
            touches: BTreeMap::new(),
            quorum: Default::default(),
            answers: BTreeMap::new(),
            next_order: 0,
            pulling: [0; 2],
            conduct_at: 0,
            cores: (0, 0),
            stages: BTreeMap::new(),
            unbased: BTreeMap::new(),
            read_at: 0,
            jot_at: 0,
            units_new: false,
            members_new: false,
            disk,
            post,
            errands,
            queue,
        };
        keeper.votes_again();
        keeper.recall(table);
        keeper
    }

    /// Begins where a former incarnation of the process ended: with what it knew to be chosen, its members and units.
    fn recall(&mut self, table: &Table) {
        fn read<T: serde::de::DeserializeOwned + Default>(table: &Table, name: &str) -> T {
            table.get(name).and_then(|bytes| postcard::from_bytes(bytes).ok()).unwrap_or_default()
        }
        let now = self.now();
        self.cairns.recall(now, read(table, "members"), read(table, "units"));
        for register in [CONFIG, ORDERS] {
            self.learn(register, read(table, CHOSEN[register]));
        }
    }

    /// Puts down what spares the next incarnation a wait. Nothing is acknowledged by it.
    fn jot(&mut self, now: u64) {
        if now < self.jot_at || !(self.units_new || self.members_new) {
            return;
        }
        self.jot_at = now + JOT_EVERY_MS;
        let mut records = Vec::new();
        if std::mem::take(&mut self.units_new) {
            let units = self.cairns.units.all().map(|unit| unit.note.id.as_str());
            let notes: Vec<Note> = units.filter_map(|id| self.cairns.units.note(now, id)).collect();
            records.push(("units".to_owned(), postcard::to_stdvec(&notes).expect("plain data")));
        }
        if std::mem::take(&mut self.members_new) {
            let members: Vec<&Member> = self.cairns.known().collect();
            records.push(("members".to_owned(), postcard::to_stdvec(&members).expect("plain data")));
        }
        self.put_down(records);
    }

    fn put_down(&self, records: Vec<(String, Vec<u8>)>) {
        let disk = self.disk.clone();
        spawn_local(async move { disk.keep(records).await });
    }

    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 10_000 // ages before the start stay above 0
    }

    pub fn on(&mut self, command: Command) {
        let now = self.now();
        let mut news = Vec::new();
        match command {
            Command::Letter(from, letter) => self.cairns.letter(now, from, *letter, &mut news),
            Command::Beat(note, done) => {
                let state = note.state;
                let changed = self.cairns.beat(now, note.clone()) == UnitNews::Change;
                self.units_new |= changed;
                if changed && state == State::Draining {
                    self.cairns.hurry(now, &mut news);
                    self.tell_cores(note, done);
                } else {
                    let _ = done.send(());
                }
            }
            Command::Deregister(id, done) => {
                if self.cairns.unit_gone(&id) {
                    self.units_new = true;
                    self.cairns.hurry(now, &mut news);
                    match self.cairns.units.note(now, &id) {
                        Some(note) => self.tell_cores(note, done),
                        None => drop(done.send(())),
                    }
                } else {
                    let _ = done.send(());
                }
            }
            Command::Told(note, done) => {
                if self.cairns.beat(now, note) == UnitNews::Change {
                    self.units_new = true;
                    self.cairns.hurry(now, &mut news);
                }
                let _ = done.send(());
            }
            Command::Ask(ask, answer) => self.ask(ask, answer),
            Command::Replied { from, register, ballot, reply } => {
                if let Reply::Accepted { epochs, .. } | Reply::Refused { epochs, .. } = &reply {
                    self.learn_epochs(epochs);
                }
                if let Reply::Accepted { voter_id, .. } = &reply {
                    self.accepted(register, voter_id, ballot);
                }
                self.propose(Event::Reply { from, register, ballot, reply });
            }
            Command::Fenced { epoch, reply } => self.fenced(epoch, reply),
            Command::Known { from, told, reply } => self.known(from, told, reply),
            Command::VotesAgain => self.votes_again(),
            Command::Order(_, _, answer) if self.is_over(now) => {
                let _ = answer.send(Err(Fault::new(Kind::Leaving, "this machine leaves")));
            }
            Command::Order(register, op, answer) => self.order(register, op, Some(answer)),
            Command::Back { service, begun } => self.back(&service, begun),
            Command::Copy(register, answer) => {
                let _ = answer.send(self.held[register.min(1)].clone());
            }
            Command::Copied(register, value) => {
                self.pulling[register] = 0;
                self.learn(register, value);
            }
            Command::Resolve { region, zone, answer } => {
                let _ = answer.send(self.resolve(&region, &zone));
            }
            Command::Why(unit, answer) => drop(answer.send(self.why(&unit))),
            Command::Show(answer) => drop(answer.send(self.show())),
            Command::Seeds(seeds) => self.cairns.seeds(seeds),
            Command::Leave => {
                self.leave(now);
                self.cairns.stand(Standing::Leaving);
                self.cairns.hurry(now, &mut news);
            }
            Command::Tick => {
                self.cairns.tick(now, &mut news);
                self.tick(now);
            }
        }
        self.carry_out(news);
    }

    fn carry_out(&mut self, news: Vec<News>) {
        let now = self.now();
        for action in news {
            match action {
                News::Send { to, letter } => self.post.send(to, &letter),
                News::Pull { from, register, revision }
                    if now >= self.pulling[register] && revision > self.held[register].revision =>
                {
                    self.pulling[register] = now + COPY_WITHIN.as_millis() as u64 / 2;
                    let (errands, queue) = (self.errands.clone(), self.queue.clone());
                    spawn_local(async move {
                        match errands.copy(from, register, COPY_WITHIN).await {
                            Ok(value) => drop(queue.send(Command::Copied(register, value))),
                            Err(fault) => log::info!("keeper: A copy did not come: {fault}."),
                        }
                    });
                }
                News::Seen(word) => self.benches.entry(word.service.clone()).or_default().hear(&word),
                News::Unit(_) => self.units_new = true,
                News::Members => self.members_new = true,
                _ => {}
            }
        }
    }

    /// Every other core machine is told of a drain before it is acknowledged; one that answers is enough.
    fn tell_cores(&self, note: Note, done: oneshot::Sender<()>) {
        let cores: Vec<SocketAddrV4> =
            self.cairns.alive().filter(|m| m.core).map(|m| self.cairns.address(m)).collect();
        let Ok(bytes) = postcard::to_stdvec(&note) else { return };
        let (told, mut heard) = mpsc::unbounded_channel();
        for to in cores {
            let (errands, bytes, told) = (self.errands.clone(), bytes.clone(), told.clone());
            spawn_local(async move {
                if errands.run(to, "/unit", bytes, Duration::from_millis(600)).await.is_ok() {
                    let _ = told.send(());
                }
            });
        }
        drop(told);
        spawn_local(async move {
            let _ = tokio::time::timeout(Duration::from_millis(600), heard.recv()).await;
            let _ = done.send(());
        });
    }

    /// This machine's own part as a voter: the reply goes out once what it says is on disk.
    fn ask(&mut self, ask: Ask, answer: oneshot::Sender<Reply>) {
        let told = match &ask {
            Ask::Tell { by, epochs } => Some((by.clone(), epochs.clone())),
            _ => None,
        };
        let (reply, records) = self.voter.ask(ask);
        match told {
            Some((by, epochs)) => self.told(by, &epochs),
            None => self.deposed(),
        }
        let disk = self.disk.clone();
        spawn_local(async move {
            if disk.keep(records).await {
                let _ = answer.send(reply);
            }
        });
    }

    fn order(&mut self, register: usize, op: Op, answer: Option<oneshot::Sender<Answer>>) {
        self.next_order += 1;
        let id = self.next_order;
        if let Some(answer) = answer {
            self.answers.insert(id, answer);
        }
        let until = self.now() + ORDER_MS;
        self.propose(Event::Order { id, register, op, until });
    }

    fn propose(&mut self, event: Event) {
        let mut steps = Vec::new();
        let (now, voter) = (self.now(), &self.voter);
        self.proposer.on(now, event, &|register| voter.register(register).accepted.clone(), &mut steps);
        for step in steps {
            match step {
                Step::Ask { to, ask } => self.send_to_voters(to, &ask),
                Step::Answer { id, answer } => {
                    let shows = self.touches.remove(&id);
                    if let (Ok(value), Some(given_at)) = (&answer, shows) {
                        // What a round reads is as old as its beginning: this machine may have stood still in it.
                        self.cairns.touched(given_at, value.revision);
                    }
                    if let Some(asked) = self.answers.remove(&id) {
                        let _ = asked.send(answer);
                    }
                }
                Step::Chosen { register, value } => self.learn(register, value),
            }
        }
    }

    fn send_to_voters(&mut self, voters: Vec<String>, ask: &Ask) {
        let (register, ballot) = match ask {
            Ask::Confirm { register, ballot, .. } => (*register, *ballot),
            Ask::Prepare { register, ballot, .. } | Ask::Accept { register, ballot, .. } => {
                (*register, *ballot)
            }
            Ask::Fence { .. } | Ask::Tell { .. } => return,
        };
        let bytes = postcard::to_stdvec(ask).expect("plain data");
        for from in voters {
            let queue = self.queue.clone();
            let holder = self.holder(&from);
            if holder == self.cairns.me.name {
                let (answer, told) = oneshot::channel();
                self.ask(ask.clone(), answer);
                spawn_local(async move {
                    if let Ok(reply) = told.await {
                        let _ = queue.send(Command::Replied { from, register, ballot, reply });
                    }
                });
            } else if let Some(to) = self.cairns.member(&holder).map(|m| self.cairns.address(m)) {
                let (errands, bytes) = (self.errands.clone(), bytes.clone());
                spawn_local(async move {
                    let reply = errands.run(to, "/ask", bytes, ASK_WITHIN).await;
                    if let Some(reply) = reply.ok().and_then(|bytes| postcard::from_bytes(&bytes).ok()) {
                        let _ = queue.send(Command::Replied { from, register, ballot, reply });
                    }
                });
            }
        }
    }

    /// A chosen value, from a round or from another relay.
    fn learn(&mut self, register: usize, value: Value) {
        if value.revision <= self.held[register].revision {
            return;
        }
        if register == CONFIG {
            let store: Option<beechcroft_hutbook::ConfigStore> = postcard::from_bytes(&value.bytes).ok();
            let mut config = store.and_then(|store| store.config());
            config.iter_mut().for_each(|config| self.usual.fill(config));
            let services: Vec<Service> = config.into_iter().flat_map(|c: Config| c.services).collect();
            let ruled = services.iter().filter_map(|s| Some((s.name.clone(), s.unfit.clone()?)));
            self.unfit = ruled.collect();
            self.services = services.into_iter().map(|s| s.name).collect();
        } else {
            self.orders = postcard::from_bytes(&value.bytes).unwrap_or_default();
            log::info!("keeper: Orders at {}: {:?}.", value.revision, self.orders);
        }
        self.put_down(vec![(CHOSEN[register].to_owned(), postcard::to_stdvec(&value).expect("plain data"))]);
        self.held[register] = value;
        self.cairns.revisions[register] = self.held[register].revision;
        let (now, mut news) = (self.now(), Vec::new());
        self.cairns.hurry(now, &mut news);
        self.carry_out(news);
    }

    fn tick(&mut self, now: u64) {
        self.propose(Event::Tick);
        self.jot(now);
        if self.voter.identity.is_none() {
            self.settle(now);
            return;
        }
        self.tell_epochs(now);
        self.hand_on(now);
        if now >= self.read_at {
            // What this voter has accepted, and does not know to be chosen, a round confirms or replaces. Rounds of
            // all huts at once would only meet: one at a time looks, in the order of their names.
            let me = self.cairns.me.name.as_str();
            let before = self.cairns.alive().filter(|m| m.core && m.name.as_str() < me).count() as u64;
            let first = self.read_at == 0;
            self.read_at =
                now + if first { 1 + before * READ_APART_MS } else { ORDER_MS + before * READ_APART_MS };
            let behind = |register: &usize| {
                let accepted = self.voter.register(*register).accepted.as_ref();
                accepted.is_some_and(|(_, value)| value.revision > self.held[*register].revision)
            };
            let behind: Vec<usize> = [CONFIG, ORDERS].into_iter().filter(behind).collect();
            if !first {
                behind.into_iter().for_each(|register| self.order(register, Op::Read, None));
            }
        }
        if now >= self.conduct_at {
            self.conduct_at = now + CONDUCT_EVERY_MS;
            self.place(now);
            self.put_bases_down(now);
            self.conduct(now);
        }
    }

    /// Where a client goes: the ready edges of its region, else all.
    fn resolve(&self, region: &str, _zone: &str) -> Vec<SocketAddrV4> {
        let ready = || self.cairns.alive().filter(|m| m.standing == Standing::Ready && m.ingress.is_some());
        let mut found: Vec<SocketAddrV4> =
            ready().filter(|m| m.region == region).filter_map(|m| m.ingress).collect();
        if found.is_empty() {
            found = ready().filter_map(|m| m.ingress).collect();
        }
        found.truncate(64);
        found
    }
}
