//! The owner of what this relay is told: members, units, the configuration, rollouts. One queue of commands; it
//! never waits. What requests use of it, it puts into [`Shared`].

use crate::shared::{Phase, Shared};
use crate::start::Start;
use beechcroft_balancer::{Place, Side};
use beechcroft_consensus::state::Admits;
use beechcroft_consensus::{ConfigStore, Orders, Stage, Value, CONFIG, ORDERS};
use beechcroft_gossip::letter::{Crowded, Sign};
use beechcroft_gossip::{Action, Cairns, Letter, Member, Standing, EVERY_BEAT};
use beechcroft_outlier::{short, Bench, Own, Verdict};
use beechcroft_registry::State;
use beechcroft_rollout::conduct::LAST;
use beechcroft_rollout::{Count, Word};
use beechcroft_routing::Table;
use beechcroft_transport::errand::Errands;
use beechcroft_transport::post::Post;
use rapidhash::v3::rapidhash_v3;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

const CONFIRM_WITHIN: Duration = Duration::from_millis(2500);
const COPY_WITHIN: Duration = Duration::from_millis(1500);
/// The design's tick.
const JUDGE_MS: u64 = 100;
/// How often a sign goes to the peers.
const SIGN_MS: u64 = 1000;
const BACK_MS: u64 = 400;
/// Relays that may send to one cold unit.
const COLD_RELAYS: usize = 2;
/// Beats missed before a unit counts as silent.
const SILENT_BEATS: u64 = 3;
/// After the first news of units, before this relay says that it is ready.
const SETTLE_MS: u64 = 60;

fn count_of(trials: u16, failures: u16) -> Count {
    Count {
        trials: trials.into(),
        failures: failures.into(),
    }
}

pub enum Command {
    Letter(SocketAddrV4, Box<Letter>),
    Copied(usize, Value),
    /// A hut has read the registers' revisions from a majority.
    Confirmed([u64; 2]),
    Copy(usize, oneshot::Sender<Value>),
    /// A unit answered under another id: the one meant has ended.
    Ended(Rc<str>),
    Seeds(Vec<SocketAddrV4>),
    Leave,
    Tick,
}

pub type Queue = mpsc::UnboundedSender<Command>;

/// A unit's zone was taken back: it may be cold until a later beat tells.
struct Doubt {
    sequence: u64,
    until: u64,
}

pub struct Guide {
    shared: Rc<Shared>,
    cairns: Cairns,
    held: [Value; 2],
    pulling: [u64; 2],
    doubts: BTreeMap<String, Doubt>,
    units_at: Option<u64>,
    start: Start,
    judge_at: u64,
    sign_at: u64,
    back_at: u64,
    sync_at: u64,
    count: u32,
    benches: BTreeMap<String, Bench>,
    owns: BTreeMap<String, Own>,
    /// Since when each rollout stands at its stage, as this relay knows.
    stages: BTreeMap<String, (u64, u8, u64)>,
    post: Post,
    errands: Errands,
    queue: Queue,
}

impl Guide {
    pub fn new(
        shared: Rc<Shared>,
        me: Member,
        salt: u64,
        post: Post,
        errands: Errands,
        queue: Queue,
    ) -> Guide {
        let settings = &shared.settings;
        let cairns = Cairns::new(
            me,
            settings.internal_ports[0],
            settings.seed_nodes.clone(),
            salt,
        );
        Guide {
            shared,
            cairns,
            held: Default::default(),
            pulling: [0; 2],
            doubts: BTreeMap::new(),
            units_at: None,
            start: Start::default(),
            judge_at: 0,
            sign_at: 0,
            back_at: 0,
            sync_at: 0,
            count: 0,
            benches: BTreeMap::new(),
            owns: BTreeMap::new(),
            stages: BTreeMap::new(),
            post,
            errands,
            queue,
        }
    }

    pub fn on(&mut self, command: Command) {
        let now = self.shared.now();
        let mut news = Vec::new();
        match command {
            Command::Letter(from, letter) => self.cairns.letter(now, from, *letter, &mut news),
            Command::Copied(register, value) => {
                self.pulling[register] = 0;
                self.learn(now, register, value, &mut news);
            }
            Command::Confirmed(revisions) => self.start.confirmed(revisions),
            Command::Copy(register, answer) => {
                drop(answer.send(self.held[register.min(1)].clone()))
            }
            Command::Ended(id) => {
                if self.cairns.unit_gone(&id) {
                    news.push(Action::Unit(id.to_string()));
                }
            }
            Command::Seeds(seeds) => self.cairns.seeds(seeds),
            Command::Leave => {
                self.cairns.stand(Standing::Leaving);
                self.cairns.hurry(now, &mut news);
            }
            Command::Tick => {
                self.cairns.tick(now, &mut news);
                self.tick(now, &mut news);
            }
        }
        self.carry_out(now, news);
    }

    fn carry_out(&mut self, now: u64, news: Vec<Action>) {
        for action in news {
            match action {
                Action::Send { to, letter } => self.post.send(to, &letter),
                Action::Pull {
                    from,
                    register,
                    revision,
                } if now >= self.pulling[register] && revision > self.held[register].revision => {
                    self.pulling[register] = now + COPY_WITHIN.as_millis() as u64 / 2;
                    let (errands, queue) = (self.errands.clone(), self.queue.clone());
                    spawn_local(async move {
                        match errands.copy(from, register, COPY_WITHIN).await {
                            Ok(value) => drop(queue.send(Command::Copied(register, value))),
                            Err(fault) => log::info!("guide: A copy did not come: {fault}."),
                        }
                    });
                }
                Action::Unit(id) => {
                    self.succeed(&id);
                    self.sync_unit(now, &id);
                }
                Action::Beat(id) => self.sync_unit(now, &id),
                Action::Members => self.count_edges(now),
                Action::Seen(word) => self
                    .benches
                    .entry(word.service.clone())
                    .or_default()
                    .hear(&word),
                Action::Crowd(crowd) => {
                    let mut crowds = self.shared.crowds.borrow_mut();
                    if let Some(held) = crowds.get_mut(&crowd.service) {
                        held.hear(
                            now,
                            &crowd.relay,
                            crowd.incarnation,
                            crowd.count,
                            crowd.word,
                        );
                    }
                }
                Action::Pull { .. } | Action::Sign(_) => {}
            }
        }
    }

    /// A chosen value that is newer than the one held; never an older one, and always whole.
    fn learn(&mut self, now: u64, register: usize, value: Value, news: &mut Vec<Action>) {
        if value.revision <= self.held[register].revision {
            return;
        }
        if register == CONFIG {
            let Some(mut config) = ConfigStore::decode(&value)
                .ok()
                .and_then(|store| store.config())
            else {
                return;
            };
            self.shared.usual.fill(&mut config);
            log::info!("guide: Configuration {:08x} is in force.", config.version);
            *self.shared.table.borrow_mut() = Some(Rc::new(Table::new(&config)));
        } else {
            let Ok(orders) = Orders::decode(&value) else {
                return;
            };
            log::info!("guide: Orders at {}: {orders:?}.", value.revision);
            let before = self.shared.orders.replace(orders);
            self.note_moves(now);
            self.doubt_returned(now, &before);
        }
        self.held[register] = value;
        self.cairns.revisions[register] = self.held[register].revision;
        self.cairns.hurry(now, news);
        self.sync_all(now);
    }

    /// Placements that have changed: for a while a key whose place is another now goes nowhere.
    fn note_moves(&mut self, now: u64) {
        let orders = self.shared.orders.borrow();
        let mut moves = self.shared.moves.borrow_mut();
        for (service, placement) in &orders.placements {
            moves.entry(service.clone()).or_default().learn(
                now,
                placement.version,
                &placement.aside,
            );
        }
    }

    /// Units of zones that are taken back may have turned cold: only a later beat says otherwise.
    fn doubt_returned(&mut self, now: u64, before: &Orders) {
        let orders = self.shared.orders.borrow();
        let warmup = self.warmup_ms();
        for unit in self.cairns.units.all() {
            let zone = &unit.note.zone;
            if before.evacuated.contains(zone) && !orders.evacuated.contains(zone) {
                let until = now + warmup + 1000;
                self.doubts.insert(
                    unit.note.id.clone(),
                    Doubt {
                        sequence: unit.note.sequence + 1,
                        until,
                    },
                );
            }
        }
    }

    fn warmup_ms(&self) -> u64 {
        let table = self.shared.table.borrow();
        let services = table.iter().flat_map(|table| &table.services);
        (services.map(|service| service.warmup_s).fold(0.0, f64::max) * 1000.0) as u64
    }

    fn sync_all(&mut self, now: u64) {
        let ids: Vec<String> = self
            .cairns
            .units
            .all()
            .map(|unit| unit.note.id.clone())
            .collect();
        for id in ids {
            self.sync_unit(now, &id);
        }
    }

    /// Of two units at one address the one that was heard earlier has ended: nothing is sent to it any more, least of
    /// all on connections that its successor's machine would reset.
    fn succeed(&mut self, id: &str) {
        let Some(unit) = self
            .cairns
            .units
            .get(id)
            .filter(|unit| unit.note.state != State::Gone)
        else {
            return;
        };
        let (address, heard_at) = (unit.note.address, unit.heard_at);
        let rivals = self.cairns.units.all().filter(|other| {
            other.note.address == address && other.note.id != id && other.note.state != State::Gone
        });
        let rivals: Vec<(String, u64)> = rivals
            .map(|other| (other.note.id.clone(), other.heard_at))
            .collect();
        let ended: Vec<String> = match rivals.iter().any(|(_, at)| *at > heard_at) {
            true => vec![id.to_owned()],
            false => rivals.into_iter().map(|(rival, _)| rival).collect(),
        };
        let now = self.shared.now();
        for gone in ended {
            if self.cairns.unit_gone(&gone) {
                self.shared.pool.borrow_mut().distrust(&gone);
                self.sync_unit(now, &gone);
            }
        }
    }

    /// Brings what the yard holds of a unit up to what is known of it.
    fn sync_unit(&mut self, now: u64, id: &str) {
        let Some(unit) = self.cairns.units.get(id) else {
            return;
        };
        let note = &unit.note;
        self.units_at.get_or_insert(now);
        let mut yard = self.shared.yard.borrow_mut();
        if note.state == State::Gone {
            yard.service(&note.service)
                .retain(|place| *place.id != *id || place.open > 0);
            if let Some(place) = yard.place(&note.service, id) {
                place.open_to_all = false;
            }
            return;
        }
        if yard.place(&note.service, id).is_none() {
            let region = self.shared.settings.region_of(&note.zone);
            let place = Place::new(
                id,
                note.address,
                &note.zone,
                region,
                &note.version,
                u32::from(note.capacity),
            );
            yard.add(&note.service, place);
        }
        let orders = self.shared.orders.borrow();
        let table = self.shared.table.borrow();
        let rate = table
            .iter()
            .flat_map(|table| &table.services)
            .find(|s| s.name == note.service);
        let rate = rate.map_or(0.0, |service| service.warmup_rate_s);
        let cold_mine = unit.warm_at > now && self.is_mine(id);
        let doubt = self
            .doubts
            .get(id)
            .filter(|doubt| note.sequence < doubt.sequence && now < doubt.until);
        let warm_at = doubt.map_or(unit.warm_at, |doubt| doubt.until.max(unit.warm_at));
        let side = match orders.admits(&note.service, &note.version) {
            Admits::Base => Side::Base,
            Admits::Trial(_) => Side::Trial,
            Admits::No => Side::None,
            Admits::Unknown => Side::Base,
        };
        let place = yard.place(&note.service, id).expect("put there");
        place.side = side;
        place.open_to_all = note.state == State::Ready && !orders.evacuated.contains(&note.zone);
        place.aside = orders
            .placements
            .get(&note.service)
            .is_some_and(|held| held.aside.contains(id));
        place.warm_at = warm_at;
        // Half of what the unit bears, shared by those that may send.
        place.cold_rate = if cold_mine {
            rate * 0.5 / COLD_RELAYS as f64
        } else {
            0.0
        };
    }

    /// Whether this relay is among the few that may send to a unit while it is cold.
    fn is_mine(&self, id: &str) -> bool {
        let weight = |name: &str| rapidhash_v3(format!("{name} warms {id}").as_bytes());
        let mine = weight(&self.cairns.me.name);
        self.cairns
            .alive()
            .filter(|m| !m.core && weight(&m.name) > mine)
            .count()
            < COLD_RELAYS
    }

    fn count_edges(&mut self, _now: u64) {
        self.shared
            .edges
            .set(1 + self.cairns.alive().filter(|member| !member.core).count());
        let order = |name: &str| rapidhash_v3(format!("{name} keeps").as_bytes());
        let mine = order(&self.cairns.me.name);
        let beside = || {
            self.cairns
                .alive()
                .filter(|m| !m.core && m.region == self.cairns.me.region)
        };
        let nth = beside().filter(|member| order(&member.name) < mine).count();
        self.shared
            .yard
            .borrow_mut()
            .keep_to(nth, beside().count() + 1);
    }

    fn tick(&mut self, now: u64, news: &mut Vec<Action>) {
        if now >= self.sync_at {
            self.sync_at = now + 500;
            self.mark_silent(now);
            self.sync_all(now);
            let yard = self.shared.yard.borrow();
            let used: BTreeMap<&str, bool> = yard
                .places()
                .map(|(_, place)| (&*place.id, place.open_to_all))
                .collect();
            self.shared
                .pool
                .borrow_mut()
                .sweep(now, |unit| used.get(unit).copied().unwrap_or(false));
        }
        if self.shared.phase.get() == Phase::Coming {
            self.come(now, news);
        }
        if now >= self.judge_at {
            self.judge_at = now + JUDGE_MS;
            let second = now >= self.sign_at;
            self.crowds(now);
            if second {
                self.verdicts();
            }
            self.shared.touched_at.set(self.cairns.touched_at());
            self.judge(now);
        }
    }

    /// Until this relay holds what a majority confirms and knows units, it takes no requests.
    fn come(&mut self, now: u64, news: &mut Vec<Action>) {
        let held = [self.held[CONFIG].revision, self.held[ORDERS].revision];
        if let Some(nth) = self.start.asks(now) {
            self.ask_revisions(nth);
        }
        let units = self.units_at.is_some_and(|at| now >= at + SETTLE_MS);
        if units && self.start.may_begin(now, held) {
            self.shared.phase.set(Phase::Ready);
            self.cairns.stand(Standing::Ready);
            self.cairns.hurry(now, news);
            log::info!("guide: This relay is ready.");
        }
    }

    /// Asks one hut, a next one each time: all relays in the same order, so that those that start at once share rounds.
    fn ask_revisions(&self, nth: usize) {
        let mut huts: Vec<(&str, SocketAddrV4)> =
            (self.cairns.alive().filter(|member| member.core))
                .map(|hut| (hut.name.as_str(), self.cairns.address(hut)))
                .collect();
        huts.sort_unstable();
        let seeds = &self.shared.settings.seed_nodes;
        let port = self.shared.settings.internal_ports[0];
        let to = match (huts.is_empty(), seeds.is_empty()) {
            (false, _) => huts[nth % huts.len()].1,
            (true, false) => SocketAddrV4::new(*seeds[nth % seeds.len()].ip(), port),
            (true, true) => return,
        };
        let (errands, queue) = (self.errands.clone(), self.queue.clone());
        spawn_local(async move {
            match errands.revisions(to, CONFIRM_WITHIN).await {
                Ok(revisions) => drop(queue.send(Command::Confirmed(revisions))),
                Err(fault) => log::info!("guide: No hut's word on what is chosen: {fault}."),
            }
        });
    }

    /// Units whose beats have stopped, unless most have: then it is this relay that hears nothing.
    fn mark_silent(&mut self, now: u64) {
        // Only every few beats are passed on.
        let patience = (EVERY_BEAT + SILENT_BEATS) * self.shared.settings.heartbeat_ms + 500;
        let silent =
            |unit: &beechcroft_registry::Unit| now.saturating_sub(unit.heard_at) > patience;
        let known = || {
            self.cairns
                .units
                .all()
                .filter(|unit| unit.note.state == State::Ready)
        };
        let many = known().filter(|unit| silent(unit)).count() * 2 > known().count();
        let mut yard = self.shared.yard.borrow_mut();
        for unit in known() {
            if let Some(place) = yard.place(&unit.note.service, &unit.note.id) {
                place.silent = !many && silent(unit);
            }
        }
    }

    /// The design's tick for each service that has a rollout under way, and once a second the sign.
    fn judge(&mut self, now: u64) {
        let sign = now >= self.sign_at;
        if sign {
            self.sign_at = now + SIGN_MS;
        }
        let orders = self.shared.orders.borrow().clone();
        let mut judges = self.shared.judges.borrow_mut();
        let mut signs = Vec::new();
        for (service, rollout) in &orders.rollouts {
            let Some(judge) = judges.get_mut(service) else {
                continue;
            };
            let Stage::Active(stage) = rollout.stage else {
                judge.ends();
                continue;
            };
            judge.stage(rollout.begun, stage);
            let since = match self.stages.get(service) {
                Some(&(begun, at, since)) if (begun, at) == (rollout.begun, stage) => since,
                _ => {
                    self.stages
                        .insert(service.clone(), (rollout.begun, stage, now));
                    now
                }
            };
            let me = &self.cairns.me.name;
            let peers = self.cairns.signs(now, service);
            let peers =
                peers.filter(|s| s.relay != *me && (s.begun, s.stage) == (rollout.begun, stage));
            let words: Vec<Word> = peers
                .map(|s| Word {
                    alarm: s.alarm,
                    divergence: f64::from(s.divergence),
                    count: Count {
                        trials: s.trials,
                        failures: s.failures,
                    },
                    units: s
                        .units
                        .iter()
                        .map(|&(unit, t, f)| (unit, count_of(t, f)))
                        .collect(),
                    times: s.times.iter().map(|&count| count.into()).collect(),
                })
                .collect();
            let Some(stand) = judge.tick(&words) else {
                continue;
            };
            let short = |n: u32| n.min(u32::from(u16::MAX)) as u16;
            if stand.back && now >= self.back_at {
                self.back_at = now + BACK_MS;
                log::info!("guide: Votes {service} back: {stand:?}, peers {words:?}.");
                self.vote_back(service, rollout.begun);
            }
            let asked = self
                .shared
                .share(service, |share| share.asked(rollout.begun, stage));
            if sign {
                self.count += 1;
                signs.push(Sign {
                    relay: me.clone(),
                    incarnation: self.cairns.me.incarnation,
                    count: self.count,
                    service: service.clone(),
                    begun: rollout.begun,
                    stage,
                    stage_ms: (now - since) as u32,
                    alarm: stand.bit,
                    divergence: stand.divergence as f32,
                    trials: stand.count.trials,
                    failures: stand.count.failures,
                    asked,
                    good: stand.good as f32,
                    units: stand
                        .units
                        .iter()
                        .map(|&(unit, c)| (unit, short(c.trials), short(c.failures)))
                        .collect(),
                    times: {
                        let bins = stand
                            .times
                            .iter()
                            .rposition(|&count| count > 0)
                            .map_or(0, |last| last + 1);
                        stand.times[..bins]
                            .iter()
                            .map(|&count| short(count))
                            .collect()
                    },
                    old_open: if stage == LAST {
                        self.old_open(service)
                    } else {
                        0
                    },
                });
            }
        }
        drop(judges);
        for sign in signs {
            self.cairns.sign(now, sign);
        }
    }

    /// Keys of services that have places for them: how wide each is spread, and once a second what is told.
    fn crowds(&mut self, now: u64) {
        let table = self.shared.table.borrow().clone();
        let Some(table) = table else { return };
        let mut crowds = self.shared.crowds.borrow_mut();
        crowds.retain(|name, _| {
            table
                .services
                .iter()
                .any(|s| s.name == *name && s.usual_places > 0)
        });
        let mut words = Vec::new();
        let mine = &self.cairns.me.region;
        let beside = 1 + self
            .cairns
            .alive()
            .filter(|m| !m.core && m.region == *mine)
            .count();
        for service in table
            .services
            .iter()
            .filter(|service| service.usual_places > 0)
        {
            let crowd = crowds.entry(service.name.clone()).or_default();
            let yard = self.shared.yard.borrow();
            let places = yard
                .places()
                .filter(|(of, place)| *of == service.name && place.open_to_all);
            let (units, slots) = places.fold((0, 0), |(units, slots), (_, p)| {
                (units + 1, slots + p.capacity)
            });
            let took = self
                .shared
                .took_ms
                .borrow()
                .get(&service.name)
                .copied()
                .unwrap_or(100.0);
            let bears = f64::from(slots) / f64::max(units as f64, 1.0) / took.max(1.0) * 1000.0;
            crowd.tick(now, service.usual_places, bears, units, beside);
            if let Some(word) = crowd.word(now) {
                self.count += 1;
                let (relay, incarnation) =
                    (self.cairns.me.name.clone(), self.cairns.me.incarnation);
                words.push(Crowded {
                    relay,
                    incarnation,
                    count: self.count,
                    service: service.name.clone(),
                    word,
                });
            }
        }
        drop(crowds);
        words.into_iter().for_each(|word| self.cairns.crowd(word));
    }

    /// What this relay saw in the last second goes to all, and the verdicts on all evidence into the yard.
    fn verdicts(&mut self) {
        let table = self.shared.table.borrow().clone();
        let Some(table) = table else { return };
        let ruled = |name: &str| {
            table
                .services
                .iter()
                .any(|s| s.name == name && s.unfit.is_some())
        };
        self.benches.retain(|name, _| ruled(name));
        self.owns.retain(|name, _| ruled(name));
        let mut seen = self.shared.seen.take();
        let clock = self.shared.ground.wall().as_secs();
        let mut words = Vec::new();
        let regions: std::collections::BTreeSet<&str> = self
            .shared
            .settings
            .zones
            .values()
            .map(String::as_str)
            .collect();
        let regions = regions.len().max(1);
        for service in &table.services {
            let Some(rules) = &service.unfit else {
                continue;
            };
            let bench = self.benches.entry(service.name.clone()).or_default();
            bench.pass(clock as u32);
            let asked = bench.asked();
            let mine = seen.remove(&service.name).unwrap_or_default();
            let counts = mine
                .into_iter()
                .map(|(id, count)| (short(&id), count))
                .collect();
            let units = self
                .owns
                .entry(service.name.clone())
                .or_default()
                .tells(counts, &asked);
            let Member {
                name,
                region,
                incarnation,
                ..
            } = &self.cairns.me;
            if !units.is_empty() {
                let (relay, region, service) = (name.clone(), region.clone(), service.name.clone());
                let word = beechcroft_outlier::Word {
                    relay,
                    region,
                    incarnation: *incarnation,
                    number: clock as u32,
                    service,
                    units,
                };
                bench.hear(&word);
                words.push(word);
            }
            let mut yard = self.shared.yard.borrow_mut();
            let places = yard.service(&service.name);
            let verdicts = bench.verdicts(rules, places.len(), regions);
            for place in places {
                let unit = short(&place.id);
                place.unfit = match verdicts.get(&unit) {
                    Some(Verdict::Unfit) => true,
                    Some(Verdict::LostPath) => bench.is_lost_from(unit, region),
                    _ => false,
                };
            }
        }
        words.into_iter().for_each(|word| self.cairns.seen(word));
    }

    fn old_open(&self, service: &str) -> u32 {
        let yard = self.shared.yard.borrow();
        let old = yard
            .places()
            .filter(|(of, place)| *of == service && place.side == Side::Base);
        old.map(|(_, place)| place.open).sum()
    }

    /// The vote goes to every core machine: whichever reaches a majority carries it out.
    fn vote_back(&self, service: &str, begun: u64) {
        let Ok(bytes) = postcard::to_stdvec(&(service, begun)) else {
            return;
        };
        for hut in self.cairns.alive().filter(|member| member.core) {
            let (errands, bytes, to) = (
                self.errands.clone(),
                bytes.clone(),
                self.cairns.address(hut),
            );
            spawn_local(async move {
                let _ = errands
                    .run(to, "/back", bytes, Duration::from_millis(800))
                    .await;
            });
        }
    }
}
