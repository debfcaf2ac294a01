//! The owner of a core machine's tables: members, units, the voter, this machine's rounds, what is chosen.
//! Everything reaches it through one queue of commands; it never waits.

mod contact;
mod quorum;
mod rollouts;
mod show;

use crate::disk::Disk;
use crate::keeper::contact::Reads;
use beechcroft_config::config::{Service, Unfit};
use beechcroft_config::usual::Usual;
use beechcroft_config::{Config, Settings};
use beechcroft_consensus::proposer::{Action as Step, Answer, Event, OrderId};
use beechcroft_consensus::{
    bytes, Ask, Ballot, ConfigStore, Op, Orders, Proposer, Reply, Stage, Value, Voter, CONFIG,
    ORDERS,
};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_gossip::{Action as News, Cairns, Letter, Member, Quorum, Standing};
use beechcroft_outlier::{short, Bench, Verdict};
use beechcroft_registry::{News as UnitNews, Note, State};
use beechcroft_rollout::conduct::{conduct, Next, View};
use beechcroft_safeguards::Safeguard;
use beechcroft_storage::Table;
use beechcroft_transport::errand::Errands;
use beechcroft_transport::post::Post;
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
/// For as long an order that says on what it builds may begin a round.
pub const ORDER_MS: u64 = 2500;
/// The operator asks another machine after a second of silence. By then an order that builds on nothing is in a round, or
/// enters none; what its way here and a stop of this process that goes unseen may take is left.
const UNFENCED_MS: u64 = 700;
/// A stop of this process, from which on what waited is turned away, and for how long after it.
const STOP_MS: u64 = 250;
const AFTER_STOP_MS: u64 = 400;
const FENCE_EVERY_MS: u64 = 300;
/// A machine without a membership asks so often who holds them.
const HOLDERS_EVERY_MS: u64 = 1000;
/// A machine that leaves answers for so long what was taken, and takes new orders.
pub const LEAVE_MS: u64 = 800;
/// A voter that has been down for a quarter of `syncS` gives its membership to a machine that waits for one: as long again
/// until that it is down is known everywhere, and the successor votes well before it has to count.
const VACANT_MS_PER_SYNC_S: f64 = 250.0;
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
    /// A beat; answered once a majority of the core holds it, if it tells of a drain.
    Beat(Note, oneshot::Sender<Done>),
    Deregister(String, oneshot::Sender<Done>),
    /// A majority of the core holds that a unit has come to this state.
    HeldByMajority(String, State),
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
        told: beechcroft_consensus::Epochs,
        reply: Reply,
    },
    VotesAgain,
    /// The identity could not be written.
    NotKept,
    /// `read`: when the order was read off its connection.
    Order {
        register: usize,
        op: Op,
        read: Instant,
        answer: oneshot::Sender<Answer>,
    },
    Back {
        service: String,
        begun: u64,
    },
    Copy(usize, oneshot::Sender<Value>),
    Copied(usize, Value),
    /// The revisions of the registers, read from a majority.
    Revisions(oneshot::Sender<Result<[u64; 2], Error>>),
    RevisionsRead,
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

/// Whether something was done that may be acknowledged.
pub type Done = Result<(), Error>;

pub struct Keeper {
    settings: Settings,
    usual: Usual,
    /// The first start of the whole system, on a disk that has never held a membership: only then are voters founded. A
    /// machine that has lost its membership is not fresh, though its first process was started as one.
    fresh: bool,
    began: Instant,
    /// When this machine last did anything, and until when it turns away what waited while it did nothing.
    awake_at: u64,
    stopped_until: u64,
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
    memberships: quorum::Memberships,
    /// The machines that make a majority with this one or without it, and when they were last looked up.
    quorum: Quorum,
    quorum_at: u64,
    /// Drains and ends that a majority of the core is known to hold.
    held_widely: BTreeMap<String, State>,
    reads: Reads,
    answers: BTreeMap<OrderId, oneshot::Sender<Answer>>,
    next_order: OrderId,
    pulling: [u64; 2],
    conduct_at: u64,
    /// Core machines known, and since when no other has come.
    cores: (usize, u64),
    /// Since when each rollout stands at its stage, as this machine saw it.
    stages: BTreeMap<String, rollouts::StageSeen>,
    unbased: BTreeMap<String, u64>,
    read_at: u64,
    jot_at: u64,
    units_new: bool,
    members_new: bool,
    disk: Disk,
    /// The identity is not known to be on disk yet: no answer goes out that is not written together with it.
    unkept: bool,
    post: Post,
    errands: Errands,
    queue: Queue,
}

impl Keeper {
    pub fn new(
        settings: Settings,
        usual: Usual,
        voter: Voter,
        me: Member,
        salt: u64,
        table: &Table,
        disk: Disk,
        post: Post,
        errands: Errands,
        queue: Queue,
    ) -> Keeper {
        let cairns = Cairns::new(
            me,
            settings.internal_ports[0],
            settings.seed_nodes.clone(),
            salt,
        );
        let proposer = Proposer::new(salt ^ 0x5eed);
        let mut keeper = Keeper {
            fresh: settings.bootstrap && !table.contains_key("identity"),
            settings,
            usual,
            began: Instant::now(),
            awake_at: 0,
            stopped_until: 0,
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
            memberships: Default::default(),
            quorum: Quorum::default(),
            quorum_at: 0,
            held_widely: BTreeMap::new(),
            reads: Reads::default(),
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
            unkept: false,
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
        // All of this is only a help: what cannot be read is said, and come by again.
        fn read<T: serde::de::DeserializeOwned + Default>(table: &Table, name: &str) -> T {
            let read = table.get(name).map(|held| bytes::decode(held));
            read.unwrap_or_else(|| Ok(T::default()))
                .unwrap_or_else(|why| {
                    log::error!("keeper: {name} on disk is left out: {why}.");
                    T::default()
                })
        }
        for said in &self.voter.unreadable {
            log::error!(
                "keeper: On disk, {said}. This counts as a lost disk: the machine learns before it votes."
            );
        }
        let now = self.now();
        self.cairns
            .recall(now, read(table, "members"), read(table, "units"));
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
            let notes: Vec<Note> = units
                .filter_map(|id| self.cairns.units.note(now, id))
                .collect();
            records.push(("units".to_owned(), bytes::encode(&notes)));
        }
        if std::mem::take(&mut self.members_new) {
            let members: Vec<&Member> = self.cairns.known().collect();
            records.push(("members".to_owned(), bytes::encode(&members)));
        }
        self.put_down(records);
    }

    fn put_down(&self, records: Vec<(String, Vec<u8>)>) {
        let disk = self.disk.clone();
        spawn_local(async move { disk.keep(records).await });
    }

    fn now(&self) -> u64 {
        self.at(Instant::now())
    }

    fn at(&self, moment: Instant) -> u64 {
        moment.saturating_duration_since(self.began).as_millis() as u64 + 10_000
        // ages before the start stay above 0
    }

    /// Ticks come every few hundredths of a second: where nothing was done for longer, the process did not run.
    fn wake(&mut self, now: u64) {
        if self.awake_at > 0 && now > self.awake_at + STOP_MS {
            self.stopped_until = now + AFTER_STOP_MS;
        }
        self.awake_at = now;
    }

    pub fn on(&mut self, command: Command) {
        let now = self.now();
        self.wake(now);
        let mut news = Vec::new();
        match command {
            Command::Letter(from, letter) => self.cairns.letter(now, from, *letter, &mut news),
            Command::Beat(note, done) => self.beat(now, note, done, &mut news),
            Command::Deregister(id, done) => self.deregister(now, &id, done, &mut news),
            Command::HeldByMajority(id, state) => {
                self.held_widely.insert(id, state);
            }
            Command::Told(note, done) => {
                if self.cairns.beat(now, note) == UnitNews::Change {
                    self.units_new = true;
                    self.cairns.hurry(now, &mut news);
                }
                let _ = done.send(());
            }
            Command::Ask(ask, answer) => self.ask(ask, answer),
            Command::Replied {
                from,
                register,
                ballot,
                reply,
            } => {
                if let Reply::Accepted { epochs, .. } | Reply::Refused { epochs, .. } = &reply {
                    self.learn_epochs(epochs);
                }
                if let Reply::Accepted { voter_id, .. } = &reply {
                    self.accepted(register, voter_id, ballot);
                }
                self.propose(Event::Reply {
                    from,
                    register,
                    ballot,
                    reply,
                });
            }
            Command::Fenced { epoch, reply } => self.fenced(epoch, reply),
            Command::Known { from, told, reply } => self.known(from, told, reply),
            Command::NotKept => self.keep_identity(),
            Command::VotesAgain => {
                self.unkept = false;
                self.votes_again();
            }
            Command::Order { op, answer, .. } if self.is_known_taken(&op) => {
                let _ = answer.send(Ok(self.held[CONFIG].clone()));
            }
            Command::Order { answer, .. } if self.is_over(now) => {
                let _ = answer.send(Err(Error::new(
                    ErrorKind::ShuttingDown,
                    "this machine leaves",
                )));
            }
            Command::Order {
                register,
                op,
                read,
                answer,
            } => match self.may_order(now, &op) {
                Ok(()) => self.asked(register, op, read, answer),
                Err(fault) => drop(answer.send(Err(fault))),
            },
            Command::Back { service, begun } => self.back(&service, begun),
            Command::Copy(register, answer) => {
                let _ = answer.send(self.held[register.min(1)].clone());
            }
            Command::Copied(register, value) => {
                self.pulling[register] = 0;
                self.learn(register, value);
            }
            Command::Revisions(answer) => self.revisions(now, answer),
            Command::RevisionsRead => self.revisions_read(),
            Command::Resolve {
                region,
                zone,
                answer,
            } => {
                let _ = answer.send(self.resolve(now, &region, &zone));
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
                self.look_for_quorum(now);
                self.cairns.ping_quorum(now, &self.quorum, &mut news);
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
                News::Pull {
                    from,
                    register,
                    revision,
                } if now >= self.pulling[register] && revision > self.held[register].revision => {
                    self.pulling[register] = now + COPY_WITHIN.as_millis() as u64 / 2;
                    let (errands, queue) = (self.errands.clone(), self.queue.clone());
                    spawn_local(async move {
                        match errands.copy(from, register, COPY_WITHIN).await {
                            Ok(value) => drop(queue.send(Command::Copied(register, value))),
                            Err(fault) => log::info!("keeper: A copy did not come: {fault}."),
                        }
                    });
                }
                News::Seen(word) => self
                    .benches
                    .entry(word.service.clone())
                    .or_default()
                    .hear(&word),
                News::Unit(_) => self.units_new = true,
                News::Members => self.members_new = true,
                _ => {}
            }
        }
    }

    /// This machine's own part as a voter: the reply goes out once what it says is on disk.
    fn ask(&mut self, ask: Ask, answer: oneshot::Sender<Reply>) {
        let told = match &ask {
            Ask::Tell { by, epochs } => Some((by.clone(), epochs.clone())),
            _ => None,
        };
        let (reply, mut records) = self.voter.ask(ask);
        if self.unkept && Safeguard::IdentityBeforeResponse.is_enabled() {
            records.splice(0..0, self.voter.records());
        }
        match told {
            Some((by, epochs)) => self.told(by, &epochs),
            None => self.deposed(),
        }
        let disk = self.disk.clone();
        spawn_local(async move {
            // After a write that failed the voter holds more in memory than on disk: it only promises more than it has
            // said. Whatever it says of it later comes with a write of the whole register.
            if disk.keep(records).await || !Safeguard::SyncBeforeResponse.is_enabled() {
                let _ = answer.send(reply);
            }
        });
    }

    /// An order from outside. One that builds on nothing would be carried out whenever it is read, after later ones too: it is
    /// only for as long as its caller waits here for it.
    fn asked(&mut self, register: usize, op: Op, read: Instant, answer: oneshot::Sender<Answer>) {
        let mut until = self.at(read) + ORDER_MS;
        if !op.is_fenced() {
            if Safeguard::UnconditionalDeadline.is_enabled() {
                until = self.at(read) + UNFENCED_MS;
            }
            if self.now() < self.stopped_until && Safeguard::StallRejection.is_enabled() {
                let fault = Error::new(ErrorKind::Stalled, "ask another core machine");
                return drop(answer.send(Err(fault)));
            }
        }
        self.answers.insert(self.next_order + 1, answer);
        self.order_until(register, op, until);
    }

    /// A configuration that is sent again and that this machine knows to be chosen needs no round to say so: what a majority
    /// has accepted stays taken. So a machine whose rounds always meet those of others confirms it all the same.
    fn is_known_taken(&self, op: &Op) -> bool {
        Safeguard::KnownChosenRepeat.is_enabled()
            && matches!(op, Op::Replace { .. })
            && ConfigStore::decode(&self.held[CONFIG]).is_ok_and(|store| store.has_taken(op))
    }

    /// An order of this machine's own.
    fn order(&mut self, register: usize, op: Op) {
        let until = self.now() + ORDER_MS;
        self.order_until(register, op, until);
    }

    fn order_until(&mut self, register: usize, op: Op, until: u64) {
        self.next_order += 1;
        self.propose(Event::Order {
            id: self.next_order,
            register,
            op,
            until,
        });
    }

    /// Orders whose callers have gone are not begun.
    fn withdraw(&mut self) {
        let gone = self
            .answers
            .iter()
            .filter(|(_, answer)| answer.is_closed())
            .map(|(id, _)| *id);
        for id in gone.collect::<Vec<OrderId>>() {
            self.answers.remove(&id);
            let own = |_: usize| None;
            self.proposer
                .on(self.now(), Event::Withdrawn { id }, &own, &mut Vec::new());
        }
    }

    fn propose(&mut self, event: Event) {
        self.withdraw();
        let mut steps = Vec::new();
        let (now, voter) = (self.now(), &self.voter);
        self.proposer.on(
            now,
            event,
            &|register| voter.register(register).accepted.clone(),
            &mut steps,
        );
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
            Ask::Confirm {
                register, ballot, ..
            } => (*register, *ballot),
            Ask::Prepare {
                register, ballot, ..
            }
            | Ask::Accept {
                register, ballot, ..
            } => (*register, *ballot),
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
                        let _ = queue.send(Command::Replied {
                            from,
                            register,
                            ballot,
                            reply,
                        });
                    }
                });
            } else if let Some(to) = self.cairns.member(&holder).map(|m| self.cairns.address(m)) {
                let (errands, bytes) = (self.errands.clone(), bytes.clone());
                spawn_local(async move {
                    let reply = errands.run(to, "/ask", bytes, ASK_WITHIN).await;
                    if let Some(reply) = reply
                        .ok()
                        .and_then(|bytes| postcard::from_bytes(&bytes).ok())
                    {
                        let _ = queue.send(Command::Replied {
                            from,
                            register,
                            ballot,
                            reply,
                        });
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
            let config = match ConfigStore::decode(&value).and_then(|store| store.body()) {
                Ok(body) => Config::read(&body).ok(),
                Err(fault) => return log::error!("keeper: A chosen value is left out: {fault}."),
            };
            let services = config.into_iter().flat_map(|mut config| {
                self.usual.fill(&mut config);
                config.services
            });
            let services: Vec<Service> = services.collect();
            let ruled = services
                .iter()
                .filter_map(|s| Some((s.name.clone(), s.unfit.clone()?)));
            self.unfit = ruled.collect();
            self.services = services.into_iter().map(|s| s.name).collect();
        } else {
            match Orders::decode(&value) {
                Ok(orders) => self.orders = orders,
                Err(fault) => return log::error!("keeper: A chosen value is left out: {fault}."),
            }
            log::info!("keeper: Orders at {}: {:?}.", value.revision, self.orders);
        }
        self.put_down(vec![(CHOSEN[register].to_owned(), bytes::encode(&value))]);
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
            let before = self
                .cairns
                .alive()
                .filter(|m| m.core && m.name.as_str() < me)
                .count() as u64;
            let first = self.read_at == 0;
            self.read_at = now
                + if first {
                    1 + before * READ_APART_MS
                } else {
                    ORDER_MS + before * READ_APART_MS
                };
            let behind = |register: &usize| {
                let accepted = self.voter.register(*register).accepted.as_ref();
                accepted.is_some_and(|(_, value)| value.revision > self.held[*register].revision)
            };
            let behind: Vec<usize> = [CONFIG, ORDERS].into_iter().filter(behind).collect();
            if !first {
                behind
                    .into_iter()
                    .for_each(|register| self.order(register, Op::Read));
            }
        }
        if now >= self.conduct_at {
            self.conduct_at = now + CONDUCT_EVERY_MS;
            // What this machine knows of units and signs is no evidence while it hears no majority.
            if self.in_contact(now) {
                self.place(now);
                self.put_bases_down(now);
                self.conduct(now);
            }
        }
    }
}
