//! Whom a relay knows and watches, and how news is passed on. No I/O: time and letters in, letters out.
//!
//! Each relay holds the table of members and the table of units. What is new is passed on to a few others,
//! drawn anew each time, a few times over; what was missed is found by comparing digests over ranges in the
//! pings that go to the watched. Rendezvous hashing names for each relay the few that watch it. A watcher
//! whose pings stay without answers says so; the one said to be down says otherwise with a higher mark.

pub mod letter;

pub use letter::{Digests, Item, Letter, Member, Standing};

use beechcroft_waymarks::{News, Note, State, Waymarks};
use letter::MEMBER_RANGES;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rapidhash::v3::rapidhash_v3;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// Relays that watch one.
const WATCHERS: usize = 3;
/// Relays that news is passed on to each time.
const FEW: usize = 3;
/// How often one who learned something passes it on.
const TIMES: u8 = 2;
const FLUSH_MS: u64 = 80;
const PING_MS: u64 = 400;
/// Without an answer for this long, a watched relay is said to be down.
const DOWN_MS: u64 = 1300;
/// Bytes of items in a letter; with the rest it stays under the smallest usual packet.
const LETTER_BYTES: usize = 1000;
/// Of signs and of members that are down or gone.
const FORGET_MS: u64 = 3000;

/// What a relay's news ask of its owner.
#[derive(Debug)]
pub enum Action {
    Send { to: SocketAddrV4, letter: Letter },
    /// A peer holds a newer copy of a register.
    Pull { from: SocketAddrV4, register: usize, rev: u64 },
    /// A unit's state has changed or it is new.
    Unit(String),
    /// A later beat of a unit.
    Beat(String),
    /// Members have changed.
    Members,
    /// Another relay's sign.
    Sign(letter::Sign),
}

struct Known {
    member: Member,
    watched_since: Option<u64>,
    answered_at: u64,
    changed_at: u64,
}

/// Something to be passed on, with how often still.
struct Fresh {
    item: What,
    left: u8,
}

#[derive(Clone, PartialEq)]
enum What {
    Member(String),
    Unit(String),
    Sign(letter::Sign),
}

pub struct Cairns {
    pub me: Member,
    /// A hut's internal port; a trail's is the next one.
    port: u16,
    seeds: Vec<SocketAddrV4>,
    members: BTreeMap<String, Known>,
    pub units: Waymarks,
    pub revs: [u64; 2],
    signs: BTreeMap<(String, String), (letter::Sign, u64)>,
    fresh: VecDeque<Fresh>,
    rng: Pcg64Mcg,
    next_flush: u64,
    next_ping: u64,
    heard_at: u64,
}

impl Cairns {
    pub fn new(me: Member, port: u16, seeds: Vec<SocketAddrV4>, salt: u64) -> Cairns {
        Cairns {
            me,
            port,
            seeds,
            members: BTreeMap::new(),
            units: Waymarks::default(),
            revs: [0; 2],
            signs: BTreeMap::new(),
            fresh: VecDeque::new(),
            rng: Pcg64Mcg::seed_from_u64(salt),
            next_flush: 0,
            next_ping: 0,
            heard_at: 0,
        }
    }

    /// The seeds of a settings file that has changed.
    pub fn seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Members that are not down, this relay left out.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|known| &known.member).filter(|member| member.standing < Standing::Down)
    }

    /// All members, this relay left out.
    pub fn known(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|known| &known.member)
    }

    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name).map(|known| &known.member)
    }

    /// The last steady time at which any other relay was heard.
    pub fn heard_at(&self) -> u64 {
        self.heard_at
    }

    pub fn address(&self, member: &Member) -> SocketAddrV4 {
        SocketAddrV4::new(member.ip, self.port + u16::from(!member.core))
    }

    /// What this relay says of itself has changed.
    pub fn stand(&mut self, standing: Standing) {
        if self.me.standing != standing {
            self.me.standing = standing;
            self.me.mark += 1;
            self.pass_on(What::Member(self.me.name.clone()));
        }
    }

    /// A unit's note from its own beat.
    pub fn beat(&mut self, now: u64, note: Note) -> News {
        let id = note.id.clone();
        let news = self.units.merge(now, note);
        if news != News::Old {
            self.pass_on(What::Unit(id));
        }
        news
    }

    /// A unit has said that it ends.
    pub fn unit_gone(&mut self, id: &str) -> bool {
        let news = self.units.gone(id);
        if news {
            self.pass_on(What::Unit(id.to_owned()));
        }
        news
    }

    /// This relay's own sign for its peers.
    pub fn sign(&mut self, now: u64, sign: letter::Sign) {
        self.signs.insert((sign.relay.clone(), sign.service.clone()), (sign.clone(), now));
        self.pass_on(What::Sign(sign));
    }

    /// Signs that have not lapsed, this relay's own among them.
    pub fn signs<'a>(&'a self, now: u64, service: &'a str) -> impl Iterator<Item = &'a letter::Sign> {
        let fresh = self.signs.values().filter(move |(sign, at)| sign.service == service && at + FORGET_MS > now);
        fresh.map(|(sign, _)| sign)
    }

    fn pass_on(&mut self, item: What) {
        self.fresh.retain(|fresh| fresh.item != item);
        self.fresh.push_back(Fresh { item, left: TIMES });
    }

    /// Passes what is new on at once, to more than the usual few.
    pub fn hurry(&mut self, now: u64, out: &mut Vec<Action>) {
        self.flush(now, 2 * FEW, out);
    }

    pub fn tick(&mut self, now: u64, out: &mut Vec<Action>) {
        if now >= self.next_flush {
            self.next_flush = now + FLUSH_MS;
            if !self.fresh.is_empty() {
                self.flush(now, FEW, out);
            }
        }
        if now >= self.next_ping {
            self.next_ping = now + PING_MS + self.rng.random_range(0..PING_MS / 8);
            self.ping(now, out);
            self.signs.retain(|_, (_, at)| *at + FORGET_MS > now);
            self.units.sweep(now);
        }
    }

    fn flush(&mut self, now: u64, few: usize, out: &mut Vec<Action>) {
        let mut items = Vec::new();
        let fresh = std::mem::take(&mut self.fresh);
        for Fresh { item, left } in fresh {
            items.extend(self.tell(now, &item));
            if left > 1 {
                self.fresh.push_back(Fresh { item, left: left - 1 });
            }
        }
        let alive: Vec<SocketAddrV4> = self.alive().map(|member| self.address(member)).collect();
        let to: Vec<SocketAddrV4> = alive.sample(&mut self.rng, few).copied().collect();
        for to in to {
            self.send(to, &items, false, out);
        }
    }

    fn tell(&self, now: u64, what: &What) -> Option<Item> {
        match what {
            What::Member(name) if *name == self.me.name => Some(Item::Member(self.me.clone())),
            What::Member(name) => self.members.get(name).map(|known| Item::Member(known.member.clone())),
            What::Unit(id) => self.units.note(now, id).map(Item::Unit),
            What::Sign(sign) => Some(Item::Sign(sign.clone())),
        }
    }

    /// Sends items in as many letters as they need.
    fn send(&self, to: SocketAddrV4, items: &[Item], ask: bool, out: &mut Vec<Action>) {
        let mut rest = items;
        let mut ask = ask;
        loop {
            let mut bytes = 0;
            let fit = rest.iter().take_while(|item| {
                bytes += item.bytes();
                bytes <= LETTER_BYTES
            });
            let (now, later) = rest.split_at(fit.count());
            let letter =
                Letter { from: self.me.clone(), ask, digests: self.digests(), items: now.to_vec() };
            out.push(Action::Send { to, letter });
            (rest, ask) = (later, false);
            if rest.is_empty() {
                return;
            }
        }
    }

    fn digests(&self) -> Digests {
        let mut members = [0; MEMBER_RANGES];
        for member in self.known().chain([&self.me]) {
            members[member.range()] ^= member.digest();
        }
        Digests { members, units: self.units.digests(), revs: self.revs }
    }

    /// Whether this relay is among those that watch another.
    fn watches(&self, other: &Member) -> bool {
        let weight = |name: &str| rapidhash_v3(format!("{name} watches {}", other.name).as_bytes());
        let mine = weight(&self.me.name);
        self.alive().filter(|m| m.name != other.name && weight(&m.name) > mine).count() < WATCHERS
    }

    fn ping(&mut self, now: u64, out: &mut Vec<Action>) {
        let watched: Vec<(String, SocketAddrV4)> = self
            .alive()
            .filter(|member| self.watches(member))
            .map(|member| (member.name.clone(), self.address(member)))
            .collect();
        let cut_off = now.saturating_sub(self.heard_at) > DOWN_MS / 2;
        for (name, to) in &watched {
            let known = self.members.get_mut(name).expect("taken from the table");
            let since = *known.watched_since.get_or_insert(now);
            if !cut_off && now.saturating_sub(since.max(known.answered_at)) > DOWN_MS {
                known.member.standing = Standing::Down;
                known.changed_at = now;
                out.push(Action::Members);
                self.pass_on(What::Member(name.clone()));
                continue;
            }
            self.send(*to, &[], true, out);
        }
        for (name, known) in &mut self.members {
            if !watched.iter().any(|(watched, _)| watched == name) {
                known.watched_since = None;
            }
        }
        // One more at random, those that are down among them: so halves that were apart find each other.
        let any = self.members.values().map(|known| &known.member).choose(&mut self.rng);
        if let Some(to) = any.map(|member| self.address(member)) {
            self.send(to, &[], true, out);
        }
        // The seeds while no hut is known, and now and then one of them.
        let huts = self.alive().filter(|member| member.core).count();
        for seed in self.seeds.clone() {
            let known = self.members.values().any(|known| known.member.ip == *seed.ip());
            if *seed.ip() != self.me.ip && (huts == 0 || !known) {
                self.send(SocketAddrV4::new(*seed.ip(), self.port), &[], true, out);
            }
        }
    }

    pub fn letter(&mut self, now: u64, from: SocketAddrV4, letter: Letter, out: &mut Vec<Action>) {
        let Letter { from: sender, ask, digests, items } = letter;
        if sender.name == self.me.name {
            return;
        }
        self.heard_at = now;
        let name = sender.name.clone();
        self.take_member(now, sender, true, out);
        if let Some(known) = self.members.get_mut(&name) {
            known.answered_at = now;
        }
        for item in items {
            match item {
                Item::Member(member) => self.take_member(now, member, false, out),
                Item::Unit(note) => self.take_unit(now, note, out),
                Item::Sign(sign) => self.take_sign(now, sign, out),
            }
        }
        for (register, (&theirs, &mine)) in digests.revs.iter().zip(&self.revs).enumerate() {
            if theirs > mine {
                out.push(Action::Pull { from, register, rev: theirs });
            }
        }
        let mine = self.digests();
        let mut items: Vec<Item> = Vec::new();
        if mine.members != digests.members {
            let differing = |member: &&Member| mine.members[member.range()] != digests.members[member.range()];
            items.extend(self.known().filter(differing).cloned().map(Item::Member));
        }
        if mine.units != digests.units {
            items.extend(self.units.differing(&digests.units).filter_map(|id| self.units.note(now, id)).map(Item::Unit));
        }
        // A plain letter is answered only by what its sender lacks, and no more often than it is asked.
        if ask || (!items.is_empty() && self.rng.random_bool(0.1)) {
            self.send(from, &items, false, out);
        }
    }

    /// `own`: the member speaks of itself.
    fn take_member(&mut self, now: u64, member: Member, own: bool, out: &mut Vec<Action>) {
        if member.name == self.me.name {
            // Somebody believes otherwise: what this relay says of itself must outrank it.
            if member.life >= self.me.life && member.rank() > self.me.rank() {
                self.me.life = self.me.life.max(member.life);
                self.me.mark = member.mark + 1;
                self.pass_on(What::Member(self.me.name.clone()));
            }
            return;
        }
        let name = member.name.clone();
        match self.members.get_mut(&name) {
            None => {
                self.members.insert(
                    name.clone(),
                    Known { member, watched_since: None, answered_at: if own { now } else { 0 }, changed_at: now },
                );
            }
            Some(known) if member.rank() > known.member.rank() => {
                known.member = member;
                known.watched_since = None;
                known.changed_at = now;
            }
            Some(known) if own && known.member.standing == Standing::Down && member.rank() < known.member.rank() => {
                // It lives and does not know what is said of it: the answer's digests will tell it.
                return;
            }
            Some(_) => return,
        }
        self.pass_on(What::Member(name));
        out.push(Action::Members);
    }

    fn take_unit(&mut self, now: u64, note: Note, out: &mut Vec<Action>) {
        let id = note.id.clone();
        match self.units.merge(now, note) {
            News::Old => {}
            News::Beat => {
                self.pass_on(What::Unit(id.clone()));
                out.push(Action::Beat(id));
            }
            News::Change => {
                self.pass_on(What::Unit(id.clone()));
                out.push(Action::Unit(id));
            }
        }
    }

    fn take_sign(&mut self, now: u64, sign: letter::Sign, out: &mut Vec<Action>) {
        let key = (sign.relay.clone(), sign.service.clone());
        let news = self.signs.get(&key).is_none_or(|(held, _)| (sign.life, sign.count) > (held.life, held.count));
        if news && sign.relay != self.me.name {
            self.signs.insert(key, (sign.clone(), now));
            self.pass_on(What::Sign(sign.clone()));
            out.push(Action::Sign(sign));
        }
    }

    /// Whether a unit may be sent to at all, as far as the table tells.
    pub fn open(&self, id: &str) -> bool {
        self.units.get(id).is_some_and(|unit| unit.note.state == State::Ready)
    }
}
