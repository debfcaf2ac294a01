//! Whom a relay knows and watches, and how news is passed on. No I/O: time and letters in, letters out.
//!
//! Each relay holds the table of members and the table of units. What is new is passed on to a few others,
//! drawn anew each time, a few times over; what was missed is found by comparing digests over ranges in the
//! pings that go to the watched. Rendezvous hashing names for each relay the few that watch it. A watcher
//! whose pings stay without answers says so; the one said to be down says otherwise with a higher mark.

pub mod contact;
pub mod letter;

pub use contact::{Contact, Quorum};
pub use letter::{Beat, Item, Letter, Member, Ranges, Standing, Sums, Who};

use beechcroft_outlier::Word;
use beechcroft_registry::{News, Note, State, Waymarks};
use beechcroft_safeguards::Safeguard;
use letter::MEMBER_RANGES;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rapidhash::v3::rapidhash_v3;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// The register whose rounds show that the core agrees (`beechcroft-consensus` numbers them).
const ORDERS: usize = 1;
/// Relays of its own region that watch one, and of all others.
const WATCHERS: [usize; 2] = [2, 1];
/// Relays that news is passed on to each time.
const FEW: usize = 3;
/// How often one who learned something passes it on.
const TIMES: u8 = 2;
/// The same for a unit that drains or has ended, which is rare and must be everywhere soon.
const TIMES_URGENT: u8 = 4;
const FLUSH_MS: u64 = 80;
const PING_MS: u64 = 400;
/// Until the first letter has come.
const KNOCK_MS: u64 = 60;
/// Part of what goes to relays of other regions, where there are any: bytes between regions cost most.
const FAR_PART: f64 = 0.3;
/// So long a relay waits for a copy to come near, before it fetches one from another region.
const FETCH_MS: u64 = 350;
/// Tables that changed less long ago are not compared: the change is still on its way to others.
/// Members may wait; a unit's drain may not.
const SETTLED_MS: [u64; 2] = [300, 80];
/// A beat that tells nothing new is passed on this often.
pub const EVERY_BEAT: u64 = 4;
/// A unit that says it turns warm so much later than is known is cold anew: beats take their time and are no clock.
const COLDER_MS: u64 = 200;
/// Without an answer for this long, a watched relay is said to be down.
const DOWN_MS: u64 = 1300;
/// The longest that a watcher that was wrong waits.
const PATIENCE_MOST_MS: u64 = 10_000;
/// A relay whose own tick comes later than this is in no state to say that others are.
const LAG_MS: u64 = 250;
/// Of pings with differing sums that are followed up though the tables are changing.
const ANYWAY: f64 = 0.1;
/// Bytes of items in a letter; with the rest it stays under the smallest usual packet.
const LETTER_BYTES: usize = 1000;
/// Of signs and of members that are down or gone.
const FORGET_MS: u64 = 3000;

/// What a relay's news ask of its owner.
#[derive(Debug)]
pub enum Action {
    Send {
        to: SocketAddrV4,
        letter: Letter,
    },
    /// A peer holds a newer copy of a register.
    Pull {
        from: SocketAddrV4,
        register: usize,
        revision: u64,
    },
    /// A unit's state has changed or it is new.
    Unit(String),
    /// A later beat of a unit.
    Beat(String),
    /// Members have changed.
    Members,
    /// Another relay's sign.
    Sign(letter::Sign),
    /// Another relay of the region tells of keys.
    Crowd(letter::Crowded),
    /// What another relay saw of units.
    Seen(Word),
}

struct Known {
    member: Member,
    watched_since: Option<u64>,
    answered_at: u64,
    /// When it last wrote itself; not at all so far.
    wrote_at: u64,
    /// How long this watcher waits for an answer: twice as long each time that it was wrong.
    patience_ms: u64,
}

impl Known {
    fn new(now: u64, member: Member) -> Known {
        Known {
            member,
            watched_since: None,
            answered_at: now,
            wrote_at: 0,
            patience_ms: DOWN_MS,
        }
    }
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
    Beat(String),
    Sign(letter::Sign),
    Crowd(letter::Crowded),
    Seen(Word),
}

pub struct Cairns {
    pub me: Member,
    /// A hut's internal port; a trail's is the next one.
    port: u16,
    seeds: Vec<SocketAddrV4>,
    members: BTreeMap<String, Known>,
    pub units: Waymarks,
    pub revisions: [u64; 2],
    signs: BTreeMap<(String, String), (letter::Sign, u64)>,
    /// The latest word taken from each relay on each service's keys.
    crowds: BTreeMap<(String, String), (u64, u32)>,
    seen: BTreeMap<(String, String), (u64, u32)>,
    touch: Option<(u64, u64)>,
    fresh: VecDeque<Fresh>,
    rng: Pcg64Mcg,
    next_flush: u64,
    next_ping: u64,
    /// Digests of the table of members, this relay among them, by range.
    ranges: [u32; MEMBER_RANGES],
    watched: Option<Vec<(String, SocketAddrV4)>>,
    clock: u64,
    ticked_at: u64,
    /// Before this, what the core shows is taken from no letter: it may have lain unread.
    touch_from: u64,
    /// Before this, no other relay is said to be down.
    accuse_from: u64,
    /// When members and when units last changed.
    changed_at: [u64; 2],
    /// Of each register, the first change that is known of and missed, and since when.
    missed: [(u64, u64); 2],
    heard_at: u64,
    contact: Contact,
}

impl Cairns {
    pub fn new(me: Member, port: u16, seeds: Vec<SocketAddrV4>, salt: u64) -> Cairns {
        let mut rng = Pcg64Mcg::seed_from_u64(salt);
        let contact = Contact::new(rng.random());
        let mut cairns = Cairns {
            me: me.clone(),
            port,
            seeds,
            members: BTreeMap::new(),
            units: Waymarks::default(),
            revisions: [0; 2],
            signs: BTreeMap::new(),
            crowds: BTreeMap::new(),
            seen: BTreeMap::new(),
            touch: None,
            fresh: VecDeque::new(),
            rng,
            next_flush: 0,
            missed: [(0, 0); 2],
            ranges: [0; MEMBER_RANGES],
            watched: None,
            clock: 0,
            ticked_at: 0,
            touch_from: 0,
            accuse_from: 0,
            changed_at: [0; 2],
            next_ping: 0,
            heard_at: 0,
            contact,
        };
        cairns.count_in(None, &me);
        cairns
    }

    /// What a former incarnation of this relay's process knew: a place to begin, mended by what the others say.
    pub fn recall(&mut self, now: u64, members: Vec<Member>, notes: Vec<Note>) {
        let me = self.me.name.clone();
        for member in members.into_iter().filter(|member| member.name != me) {
            let known = Known::new(now, member.clone());
            self.members.insert(member.name.clone(), known);
            self.count_in(None, &member);
        }
        for note in notes {
            self.units.merge(now, note);
        }
    }

    /// The seeds of a settings file that has changed.
    pub fn seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Members that are not down, this relay left out.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .map(|known| &known.member)
            .filter(|member| member.standing < Standing::Down)
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

    /// When a relay was last heard itself.
    pub fn heard_of(&self, name: &str) -> u64 {
        self.members.get(name).map_or(0, |known| known.wrote_at)
    }

    /// Pings the machines of a quorum that are due, and notes for those who ask whether this one is in contact.
    pub fn ping_quorum(&mut self, now: u64, quorum: &Quorum, out: &mut Vec<Action>) {
        let (number, due) = self.contact.due(now, quorum);
        self.contact.note(now, quorum);
        for name in due {
            if let Some(to) = self.member(&name).map(|member| self.address(member)) {
                self.send(to, &[Item::Ping(number)], false, None, out);
            }
        }
    }

    /// Whether so many machines of a quorum as are needed have answered this one of late.
    pub fn in_contact(&self, now: u64, quorum: &Quorum) -> bool {
        self.contact.holds(now, quorum)
    }

    /// Whether this hut is the first by name of those that are in contact, as far as it is told: what one of them is to do
    /// and any may, it does.
    pub fn is_first(&self, now: u64, quorum: &Quorum) -> bool {
        self.in_contact(now, quorum)
            && self
                .contact
                .in_contact(now, quorum)
                .all(|name| *name > self.me.name)
    }

    pub fn address(&self, member: &Member) -> SocketAddrV4 {
        SocketAddrV4::new(member.ip, self.port + u16::from(!member.core))
    }

    /// What this relay says of itself has changed.
    pub fn stand(&mut self, standing: Standing) {
        if self.me.standing != standing {
            self.say(|me| (me.standing, me.mark) = (standing, me.mark + 1));
        }
    }

    /// A unit's note from its own beat.
    pub fn beat(&mut self, now: u64, note: Note) -> News {
        let id = note.id.clone();
        // Others must know of it if it is cold, or cold for longer, than they believe.
        let warm_at = self.units.get(&id).map_or(0, |unit| unit.warm_at);
        let colder =
            note.warm_left_ms > 0 && now + u64::from(note.warm_left_ms) > warm_at + COLDER_MS;
        let tells = note.sequence.is_multiple_of(EVERY_BEAT) || colder;
        let news = self.units.merge(now, note);
        match news {
            News::Change => self.pass_on(What::Unit(id)),
            News::Beat if tells => self.pass_on(What::Beat(id)),
            News::Beat | News::Old => {}
        }
        news
    }

    /// A unit has said that it ends, known here or not.
    pub fn unit_ends(&mut self, now: u64, id: &str) -> bool {
        let news = self.units.ends(now, id);
        if news {
            self.pass_on(What::Unit(id.to_owned()));
        }
        news
    }

    /// A unit has ended.
    pub fn unit_gone(&mut self, id: &str) -> bool {
        let news = self.units.gone(id);
        if news {
            self.pass_on(What::Unit(id.to_owned()));
        }
        news
    }

    /// This relay's own sign for its peers.
    pub fn sign(&mut self, now: u64, sign: letter::Sign) {
        self.signs.insert(
            (sign.relay.clone(), sign.service.clone()),
            (sign.clone(), now),
        );
        self.pass_on(What::Sign(sign));
    }

    /// Signs that have not lapsed, this relay's own among them.
    pub fn signs<'a>(
        &'a self,
        now: u64,
        service: &'a str,
    ) -> impl Iterator<Item = &'a letter::Sign> {
        let fresh = self
            .signs
            .values()
            .filter(move |(sign, at)| sign.service == service && at + FORGET_MS > now);
        fresh.map(|(sign, _)| sign)
    }

    fn pass_on(&mut self, item: What) {
        let same = |held: &What| match (held, &item) {
            (What::Sign(held), What::Sign(new)) => {
                (&held.relay, &held.service) == (&new.relay, &new.service)
            }
            (What::Seen(held), What::Seen(new)) => {
                (&held.relay, &held.service) == (&new.relay, &new.service)
            }
            (What::Crowd(held), What::Crowd(new)) => {
                (&held.relay, &held.service) == (&new.relay, &new.service)
            }
            _ => *held == item,
        };
        self.fresh.retain(|fresh| !same(&fresh.item));
        let ends = |id: &String| {
            self.units
                .get(id)
                .is_some_and(|unit| unit.note.state != State::Ready)
        };
        let left = if matches!(&item, What::Unit(id) if ends(id)) {
            TIMES_URGENT
        } else {
            TIMES
        };
        self.fresh.push_back(Fresh { item, left });
    }

    /// Passes what is new on at once, to more than the usual few.
    pub fn hurry(&mut self, now: u64, out: &mut Vec<Action>) {
        self.flush(now, 2 * FEW, true, out);
    }

    /// Whether this relay stood still, or was held up, since its last tick.
    fn is_late(&self, now: u64) -> bool {
        self.ticked_at > 0 && now > self.ticked_at + LAG_MS
    }

    pub fn tick(&mut self, now: u64, out: &mut Vec<Action>) {
        if self.is_late(now) {
            // This relay itself was late: answers may lie unread.
            self.accuse_from = now + DOWN_MS;
            self.touch_from = now + LAG_MS;
        }
        (self.ticked_at, self.clock) = (now, now);
        if now >= self.next_flush {
            self.next_flush = now + FLUSH_MS;
            if !self.fresh.is_empty() {
                self.flush(now, FEW, false, out);
            }
        }
        if now >= self.next_ping {
            let wait = if self.heard_at == 0 {
                KNOCK_MS
            } else {
                PING_MS
            };
            self.next_ping = now + wait + self.rng.random_range(0..wait / 8);
            self.ping(now, out);
            self.signs.retain(|_, (_, at)| *at + FORGET_MS > now);
            self.units.sweep(now);
        }
    }

    fn flush(&mut self, now: u64, few: usize, far: bool, out: &mut Vec<Action>) {
        let mut items = Vec::new();
        let fresh = std::mem::take(&mut self.fresh);
        for Fresh { item, left } in fresh {
            items.extend(self.tell(now, &item));
            if left > 1 {
                self.fresh.push_back(Fresh {
                    item,
                    left: left - 1,
                });
            }
        }
        let mut near: Vec<SocketAddrV4> = Vec::new();
        let mut others: Vec<SocketAddrV4> = Vec::new();
        for member in self.alive() {
            let group = if far || member.region == self.me.region {
                &mut near
            } else {
                &mut others
            };
            group.push(self.address(member));
        }
        for _ in 0..few {
            let from_afar = near.is_empty() || self.rng.random_bool(FAR_PART);
            let group = if from_afar && !others.is_empty() {
                &mut others
            } else {
                &mut near
            };
            if group.is_empty() {
                continue;
            }
            let to = group.swap_remove(self.rng.random_range(0..group.len()));
            if from_afar && !far {
                // Words on keys are for the region.
                let items: Vec<Item> = items
                    .iter()
                    .filter(|i| !matches!(i, Item::Crowd(_)))
                    .cloned()
                    .collect();
                if !items.is_empty() {
                    self.send(to, &items, false, None, out);
                }
            } else {
                self.send(to, &items, false, None, out);
            }
        }
    }

    fn tell(&self, now: u64, what: &What) -> Option<Item> {
        match what {
            What::Member(name) if *name == self.me.name => Some(Item::Member(self.me.clone())),
            What::Member(name) => self
                .members
                .get(name)
                .map(|known| Item::Member(known.member.clone())),
            What::Unit(id) => self.units.note(now, id).map(Item::Unit),
            What::Beat(id) => self.units.note(now, id).map(|note| {
                let Note {
                    id,
                    sequence,
                    warm_left_ms,
                    age_ms,
                    ..
                } = note;
                Item::Beat(Beat {
                    id,
                    sequence,
                    warm_left_ms,
                    age_ms,
                })
            }),
            What::Sign(sign) => Some(Item::Sign(sign.clone())),
            What::Crowd(crowd) => Some(Item::Crowd(crowd.clone())),
            What::Seen(word) => Some(Item::Seen(word.clone())),
        }
    }

    /// Sends items in as many letters as they need.
    fn send(
        &self,
        to: SocketAddrV4,
        items: &[Item],
        ask: bool,
        ranges: Option<&Ranges>,
        out: &mut Vec<Action>,
    ) {
        let mut rest = items;
        let (mut ask, mut ranges) = (ask, ranges);
        let Member {
            name,
            incarnation,
            mark,
            standing,
            ..
        } = &self.me;
        loop {
            let mut bytes = 0;
            let fit = rest.iter().take_while(|item| {
                bytes += item.bytes();
                bytes <= LETTER_BYTES
            });
            let (now, later) = rest.split_at(fit.count().max(1).min(rest.len()));
            let from = Who {
                name: name.clone(),
                incarnation: *incarnation,
                mark: *mark,
                standing: *standing,
            };
            let letter = Letter {
                from,
                ask,
                sums: self.sums(),
                ranges: ranges.cloned(),
                items: now.to_vec(),
            };
            out.push(Action::Send { to, letter });
            (rest, ask, ranges) = (later, false, None);
            if rest.is_empty() {
                return;
            }
        }
    }

    fn ranges(&self) -> Ranges {
        Ranges {
            members: self.ranges,
            units: self.units.digests(),
        }
    }

    /// The digests follow a change of a member, this relay among them.
    fn count_in(&mut self, before: Option<&Member>, after: &Member) {
        if let Some(before) = before {
            self.ranges[before.range()] ^= before.digest();
        }
        self.ranges[after.range()] ^= after.digest();
        self.changed_at[0] = self.clock;
        self.watched = None;
    }

    /// What this relay says of itself changes.
    fn say(&mut self, change: impl FnOnce(&mut Member)) {
        let before = self.me.clone();
        change(&mut self.me);
        let after = self.me.clone();
        self.count_in(Some(&before), &after);
        self.pass_on(What::Member(after.name));
    }

    /// The relays that this one watches: worked out anew only once members have changed.
    fn watched(&mut self) -> Vec<(String, SocketAddrV4)> {
        if let Some(watched) = &self.watched {
            return watched.clone();
        }
        let mine = self.alive().filter(|member| self.watches(member));
        let watched: Vec<_> = mine
            .map(|member| (member.name.clone(), self.address(member)))
            .collect();
        self.watched = Some(watched.clone());
        watched
    }

    fn sums(&self) -> Sums {
        let (members, units) = self.ranges().sums();
        let [members_at, units_at] = self.changed_at;
        let settled = [
            self.clock >= members_at + SETTLED_MS[0],
            self.clock >= units_at + SETTLED_MS[1],
        ];
        let age = |at| self.clock.saturating_sub(at).min(u64::from(u32::MAX)) as u32;
        Sums {
            members,
            units,
            revisions: self.revisions,
            settled,
            touch: self.touch.map(|(at, revision)| (age(at), revision)),
        }
    }

    /// Whether this relay is among those that watch another: a few of its own region, and one of the others.
    fn watches(&self, other: &Member) -> bool {
        let weight = |name: &str| rapidhash_v3(format!("{name} watches {}", other.name).as_bytes());
        let mine = weight(&self.me.name);
        let beside = self.me.region == other.region;
        let before = self
            .alive()
            .filter(|m| m.name != other.name && (m.region == other.region) == beside);
        before.filter(|m| weight(&m.name) > mine).count() < WATCHERS[usize::from(!beside)]
    }

    fn ping(&mut self, now: u64, out: &mut Vec<Action>) {
        let watched = self.watched();
        let cut_off = now.saturating_sub(self.heard_at) > DOWN_MS / 2;
        for (name, to) in &watched {
            let known = self.members.get_mut(name).expect("taken from the table");
            let since = *known.watched_since.get_or_insert(now);
            let silent = now.saturating_sub(since.max(known.answered_at)) > known.patience_ms;
            if silent && !cut_off && now >= self.accuse_from {
                let before = known.member.clone();
                known.member.standing = Standing::Down;
                let after = known.member.clone();
                self.count_in(Some(&before), &after);
                out.push(Action::Members);
                self.pass_on(What::Member(name.clone()));
                continue;
            }
            self.send(*to, &[], true, None, out);
        }
        for (name, known) in &mut self.members {
            if !watched.iter().any(|(watched, _)| watched == name) {
                known.watched_since = None;
            }
        }
        // One more at random, those that are down among them: so halves that were apart find each other.
        let far = self.rng.random_bool(FAR_PART);
        let known = || self.members.values().map(|known| &known.member);
        let any = known()
            .filter(|member| far || member.region == self.me.region)
            .choose(&mut self.rng);
        if let Some(to) = any.map(|member| self.address(member)) {
            self.send(to, &[], true, None, out);
        }
        // Seeds that no member is known for, and all of them while no hut is heard.
        let huts = self.alive().filter(|member| member.core).count();
        let ranges = self.ranges();
        for seed in self.seeds.clone() {
            let known = self
                .members
                .values()
                .any(|known| known.member.ip == *seed.ip());
            if *seed.ip() != self.me.ip && (huts == 0 || !known) {
                self.send(
                    SocketAddrV4::new(*seed.ip(), self.port),
                    &[],
                    true,
                    Some(&ranges),
                    out,
                );
            }
        }
    }

    pub fn letter(&mut self, now: u64, from: SocketAddrV4, letter: Letter, out: &mut Vec<Action>) {
        let Letter {
            from: sender,
            ask,
            sums,
            ranges,
            items,
        } = letter;
        if sender.name == self.me.name {
            return;
        }
        (self.heard_at, self.clock) = (now, now);
        let name = sender.name.clone();
        self.contact.heard(now, &name);
        if let Some(known) = self.members.get_mut(&sender.name) {
            (known.answered_at, known.wrote_at) = (now, now);
            let Who {
                incarnation,
                mark,
                standing,
                ..
            } = sender;
            let member = Member {
                incarnation,
                mark,
                standing,
                ..known.member.clone()
            };
            self.take_member(now, member, out);
            // One that is said to be down and writes is told so at once: its next word outranks that.
            let known = &self.members[&name].member;
            if known.standing == Standing::Down {
                let said = [Item::Member(known.clone())];
                self.send(from, &said, false, None, out);
            }
        }
        for item in items {
            match item {
                Item::Member(member) => self.take_member(now, member, out),
                Item::Unit(note) => self.take_unit(now, note, out),
                Item::Beat(beat) => self.take_beat(now, beat, out),
                Item::Sign(sign) => self.take_sign(now, sign, out),
                Item::Crowd(crowd) => self.take_crowd(crowd, out),
                Item::Seen(word) => self.take_seen(word, out),
                Item::Ping(number) => {
                    let pong = Item::Pong(number, self.contact.held());
                    self.send(from, &[pong], false, None, out);
                }
                Item::Pong(number, contact) => self.contact.answered(&name, number, contact),
            }
        }
        // Its age is told as of the sending. A letter that lay in a queue while this relay stood still would make it new.
        let lay = Safeguard::FreshQuorumReads.is_enabled()
            && (self.is_late(now) || now < self.touch_from);
        if let Some((age, revision)) = sums.touch.filter(|_| !lay) {
            self.touched(now.saturating_sub(u64::from(age)), revision);
        }
        for (register, &revision) in sums.revisions.iter().enumerate() {
            if revision > self.revisions[register] && self.may_pull(now, register, revision, &name)
            {
                out.push(Action::Pull {
                    from,
                    register,
                    revision,
                });
            }
        }
        let Some(theirs) = ranges else {
            // Whose tables differ is asked for ranges; the rest of a ping's answer is that it came.
            let mine = self.sums();
            let settled = |table: usize| mine.settled[table] && sums.settled[table];
            let members = mine.members != sums.members && settled(0);
            let differ = (mine.members, mine.units) != (sums.members, sums.units);
            // Now and then also while things change: they might never stop.
            let anyway = ask && differ && self.rng.random_bool(ANYWAY);
            if ask && (members || anyway || mine.units != sums.units && settled(1)) {
                self.send(from, &[], true, Some(&self.ranges()), out);
            } else if ask {
                self.send(from, &[], false, None, out);
            }
            return;
        };
        let mine = self.ranges();
        let mut items: Vec<Item> = Vec::new();
        let differing =
            |member: &&Member| mine.members[member.range()] != theirs.members[member.range()];
        items.extend(
            self.known()
                .chain([&self.me])
                .filter(differing)
                .cloned()
                .map(Item::Member),
        );
        items.extend(
            self.units
                .differing(&theirs.units)
                .filter_map(|id| self.units.note(now, id))
                .map(Item::Unit),
        );
        if ask || !items.is_empty() {
            self.send(from, &items, false, ask.then_some(&mine), out);
        }
    }

    /// Copies are large, and bytes between regions cost most: one relay of a region fetches from afar, and the
    /// others from it; they go afar themselves if none of their region has it after a while.
    fn may_pull(&mut self, now: u64, register: usize, revision: u64, from: &str) -> bool {
        let near = self
            .members
            .get(from)
            .is_none_or(|known| known.member.region == self.me.region);
        // The wait is for the oldest copy that is missed, whoever tells of it.
        let (missed, since) = &mut self.missed[register];
        if *missed <= self.revisions[register] {
            (*missed, *since) = (revision, now);
        }
        let since = *since;
        let weight = |name: &str| rapidhash_v3(format!("{name} fetches").as_bytes());
        let mine = weight(&self.me.name);
        let mut beside = self
            .alive()
            .filter(|member| member.region == self.me.region);
        // A relay that has none yet serves nobody: it takes it from whoever has it.
        let none = self.revisions[register] == 0;
        near || none || now >= since + FETCH_MS || beside.all(|member| weight(&member.name) < mine)
    }

    fn take_member(&mut self, now: u64, member: Member, out: &mut Vec<Action>) {
        if member.name == self.me.name {
            // Somebody believes otherwise: what this relay says of itself must outrank it.
            if member.rank() > self.me.rank() {
                let (incarnation, mark) = (member.incarnation, member.mark);
                self.say(|me| {
                    (me.incarnation, me.mark) =
                        (me.incarnation.max(incarnation), me.mark.max(mark) + 1)
                });
            }
            return;
        }
        let name = member.name.clone();
        let before = match self.members.get_mut(&name) {
            None => {
                self.members
                    .insert(name.clone(), Known::new(now, member.clone()));
                None
            }
            Some(known) if member.rank() > known.member.rank() => {
                known.watched_since = None;
                let before = std::mem::replace(&mut known.member, member.clone());
                if before.standing == Standing::Down && before.incarnation == member.incarnation {
                    // It was alive all along: who accuses the same relay again and again loads the whole fleet.
                    known.patience_ms = (known.patience_ms * 2).min(PATIENCE_MOST_MS);
                }
                Some(before)
            }
            Some(_) => return,
        };
        self.count_in(before.as_ref(), &member);
        self.pass_on(What::Member(name));
        out.push(Action::Members);
    }

    fn take_unit(&mut self, now: u64, note: Note, out: &mut Vec<Action>) {
        let id = note.id.clone();
        match self.units.merge(now, note) {
            News::Old => {}
            News::Beat => out.push(Action::Beat(id)),
            News::Change => {
                self.changed_at[1] = now;
                self.pass_on(What::Unit(id.clone()));
                out.push(Action::Unit(id));
            }
        }
    }

    fn take_beat(&mut self, now: u64, beat: Beat, out: &mut Vec<Action>) {
        let Some(unit) = self.units.get(&beat.id) else {
            return;
        };
        let Beat {
            id,
            sequence,
            warm_left_ms,
            age_ms,
        } = beat;
        let note = Note {
            sequence,
            warm_left_ms,
            age_ms,
            ..unit.note.clone()
        };
        if self.units.merge(now, note) == News::Beat {
            self.pass_on(What::Beat(id.clone()));
            out.push(Action::Beat(id));
        }
    }

    /// This relay's own word on a service's keys, for its region.
    pub fn crowd(&mut self, crowd: letter::Crowded) {
        self.pass_on(What::Crowd(crowd));
    }

    /// This relay's own word on a service's units.
    pub fn seen(&mut self, word: Word) {
        self.pass_on(What::Seen(word));
    }

    fn take_seen(&mut self, word: Word, out: &mut Vec<Action>) {
        let key = (word.relay.clone(), word.service.clone());
        let number = (word.incarnation, word.number);
        if word.relay != self.me.name && self.seen.get(&key).is_none_or(|&held| held < number) {
            self.seen.insert(key, number);
            self.pass_on(What::Seen(word.clone()));
            out.push(Action::Seen(word));
        }
    }

    /// A round of orders was chosen at that time, and they had changed so often. A relay that does not hold that
    /// change yet is not in touch by it: it would go by something older.
    pub fn touched(&mut self, at: u64, revision: u64) {
        if self.revisions[ORDERS] >= revision && self.touch.is_none_or(|(held, _)| held < at) {
            self.touch = Some((at, revision));
        }
    }

    /// When the core last showed that it agrees, on what this relay holds.
    pub fn touched_at(&self) -> Option<u64> {
        self.touch.map(|(at, _)| at)
    }

    fn take_crowd(&mut self, crowd: letter::Crowded, out: &mut Vec<Action>) {
        let near = self
            .members
            .get(&crowd.relay)
            .is_some_and(|known| known.member.region == self.me.region);
        let key = (crowd.relay.clone(), crowd.service.clone());
        let number = (crowd.incarnation, crowd.count);
        let newer = self.crowds.get(&key).is_none_or(|&held| held < number);
        if near && newer {
            self.crowds.insert(key, number);
            self.pass_on(What::Crowd(crowd.clone()));
            out.push(Action::Crowd(crowd));
        }
    }

    fn take_sign(&mut self, now: u64, sign: letter::Sign, out: &mut Vec<Action>) {
        let key = (sign.relay.clone(), sign.service.clone());
        let news = self.signs.get(&key).is_none_or(|(held, _)| {
            (sign.incarnation, sign.count) > (held.incarnation, held.count)
        });
        if news && sign.relay != self.me.name {
            self.signs.insert(key, (sign.clone(), now));
            self.pass_on(What::Sign(sign.clone()));
            out.push(Action::Sign(sign));
        }
    }

    /// Whether a unit may be sent to at all, as far as the table tells.
    pub fn open(&self, id: &str) -> bool {
        self.units
            .get(id)
            .is_some_and(|unit| unit.note.state == State::Ready)
    }
}
