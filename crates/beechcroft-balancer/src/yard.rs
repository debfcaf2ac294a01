//! Which unit a request goes to. The yard holds every unit that may get any, by service, with what this relay
//! has open there and what the unit last told of its load. Two random choices, the less loaded one taken:
//! first among the units of this relay's region, then further off where near ones are full.

use crate::Cold;
use beechcroft_hotkeys::{key_of, rank, Near, HOLD};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// A unit's word on its load fades in about this time.
const FADE_MS: f64 = 400.0;
/// Requests at a unit for each of its slots above which it gets none, for the highest priority; each rank
/// below it bears less.
const MOST: f64 = 3.0;
const MOST_PER_RANK: f64 = 0.25;
/// How much emptier a unit of another region must be, in requests for each slot; for large answers, whose bytes
/// cost more than a short wait.
const FAR: [f64; 2] = [0.6, 2.0];
/// The same for another zone of the region.
const NEXT_ZONE: [f64; 2] = [0.1, 0.7];
/// Failures in a row that set a unit aside, and for how long at first and at most.
const STREAK: u32 = 2;
const ASIDE_MS: u64 = 500;
const ASIDE_MOST_MS: u64 = 8000;

/// Which of a service's versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Base,
    Trial,
    /// Gets nothing.
    None,
}

/// A unit as this relay uses it.
#[derive(Clone, Debug)]
pub struct Place {
    pub id: Rc<str>,
    pub address: SocketAddrV4,
    pub zone: Rc<str>,
    pub region: Rc<str>,
    pub version: Rc<str>,
    pub capacity: u32,
    pub side: Side,
    /// Ready, not draining, its zone not evacuated.
    pub open_to_all: bool,
    /// No beat of it has come for long.
    pub silent: bool,
    /// What relays of all regions saw of it says that it is unfit, or that there is no way to it from here.
    pub unfit: bool,
    /// The agreed placement leaves it out for what must not run twice.
    pub aside: bool,
    pub warm_at: u64,
    /// This relay is among the few that may send to it while it is cold, so many a second.
    pub cold_rate: f64,
    cold: Cold,
    /// Requests of this relay that are open there.
    pub open: u32,
    /// Running and waiting there by its own word, less this relay's own; when it was told.
    others: f64,
    told_at: u64,
    streak: u32,
    aside_until: u64,
    aside_for: u64,
}

impl Place {
    pub fn new(
        id: &str,
        address: SocketAddrV4,
        zone: &str,
        region: &str,
        version: &str,
        capacity: u32,
    ) -> Place {
        Place {
            id: id.into(),
            address,
            zone: zone.into(),
            region: region.into(),
            version: version.into(),
            capacity: capacity.max(1),
            side: Side::None,
            open_to_all: false,
            silent: false,
            unfit: false,
            aside: false,
            warm_at: 0,
            cold_rate: 0.0,
            cold: Cold::default(),
            open: 0,
            others: 0.0,
            told_at: 0,
            streak: 0,
            aside_until: 0,
            aside_for: ASIDE_MS,
        }
    }

    /// Requests at the unit, as far as this relay can tell.
    fn at_unit(&self, now: u64) -> f64 {
        let age = now.saturating_sub(self.told_at) as f64;
        f64::from(self.open) + self.others * (-age / FADE_MS).exp()
    }

    fn fullness(&self, now: u64) -> f64 {
        self.at_unit(now) / f64::from(self.capacity)
    }

    fn is_free(&self, now: u64) -> bool {
        self.at_unit(now) + 1.0 <= f64::from(self.capacity)
    }

    fn fits(&self, want: &Want) -> bool {
        self.side == want.side
            && self.open_to_all
            && (want.homes.is_empty() || want.homes.iter().any(|home| **home == *self.region))
            && !want.tried.contains(&self.id)
            && !(want.agreed && self.aside)
    }

    fn choice(&self, now: u64, region: &str) -> Choice {
        let (free, near) = (self.is_free(now), *self.region == *region);
        Choice {
            id: self.id.clone(),
            address: self.address,
            free,
            near,
        }
    }
}

/// What is asked for.
#[derive(Clone, Debug)]
pub struct Want<'a> {
    pub side: Side,
    /// Regions that the route may be served in; empty for any.
    pub homes: &'a [String],
    pub priority: u8,
    /// Its answers are large.
    pub bulk: bool,
    /// It must not run twice: the agreed placement binds, not this relay's newest view.
    pub agreed: bool,
    /// Where the service's operator wants keys to have places.
    pub keyed: Option<Keyed>,
    /// Units that this request has been offered to.
    pub tried: &'a [Rc<str>],
}

/// A request's key, and what is known of it.
#[derive(Clone, Debug, Default)]
pub struct Keyed {
    pub key: u64,
    /// Units over which lookups of it are spread.
    pub places: usize,
    /// More than the usual places: it may have a part of each unit only.
    pub crowded: bool,
    /// The unit that the client's connection is bound to.
    pub bound: Option<Rc<str>>,
    /// It must not run twice: every relay sends it to the same one place.
    pub sole: bool,
}

/// The unit that a request goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    pub id: Rc<str>,
    pub address: SocketAddrV4,
    /// Whether it has a slot free, as far as this relay can tell.
    pub free: bool,
    /// In this relay's own region.
    pub near: bool,
}

/// Why no unit may take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    Full,
    None,
}

/// Units that a relay keeps to, at least; and edges that keep to each unit, at least.
const KEPT: usize = 6;
const KEEPERS: usize = 2;

fn order_of(id: &str) -> u64 {
    key_of("", id.as_bytes())
}

/// A relay's part of units in their order: windows as long as each other, spread evenly, so that as many relays keep
/// to each unit, and a unit or relay more or less moves every window a little.
fn window(units: &[usize], (nth, edges): (usize, usize)) -> Vec<usize> {
    let count = units.len();
    let length = KEPT.max((KEEPERS * count).div_ceil(edges)).min(count);
    let from = nth * count / edges;
    (0..length)
        .map(|step| units[(from + step) % count])
        .collect()
}

/// The unit among `usual` ones that a key's request goes to; none if its places, and those after them, are full.
fn placed(
    places: &[Place],
    usual: &[usize],
    keyed: &Keyed,
    now: u64,
    region: &str,
    zone: &str,
    most: f64,
    rng: &mut Pcg64Mcg,
) -> Option<usize> {
    let full = |at: usize| (places[at].at_unit(now) + 1.0) / f64::from(places[at].capacity);
    if let Some(bound) = &keyed.bound {
        let at = usual.iter().copied().find(|&at| places[at].id == *bound);
        if let Some(at) = at.filter(|&at| full(at) <= most) {
            return Some(at);
        }
    }
    let near = |place: &Place| match () {
        () if keyed.sole => Near::Region, // the same for every relay
        () if *place.region != *region => Near::Far,
        () if *place.zone != *zone => Near::Region,
        () => Near::Zone,
    };
    let ranked = rank(
        keyed.key,
        usual
            .iter()
            .map(|&at| (at, &*places[at].id, near(&places[at]))),
    );
    if ranked.is_empty() {
        return None; // all are cold: those have their own bound
    }
    if keyed.sole {
        return ranked.into_iter().find(|&at| full(at) <= most);
    }
    // A crowded key has a part of each unit's slots, and one at least.
    let limit = |at: usize| {
        if keyed.crowded {
            HOLD.max(1.0 / f64::from(places[at].capacity))
        } else {
            1.0
        }
    };
    let mut two = |set: &[usize]| {
        let (one, other) = (
            set[rng.random_range(0..set.len())],
            set[rng.random_range(0..set.len())],
        );
        if full(other) < full(one) {
            other
        } else {
            one
        }
    };
    let places = keyed.places.clamp(1, ranked.len());
    let best = two(&ranked[..places]);
    if full(best) <= limit(best) {
        return Some(best);
    }
    // Bounded load: on in the order of its places, one of the next two that have room, so that relays which all see the
    // set full do not all take the same unit.
    let room: Vec<usize> = ranked[places..]
        .iter()
        .copied()
        .filter(|&at| full(at) <= limit(at))
        .take(2)
        .collect();
    let next = (!room.is_empty()).then(|| two(&room));
    next.or(Some(best).filter(|&at| full(at) <= most))
}

#[derive(Debug)]
pub struct Yard {
    /// This relay's place among the edges of its region, and how many there are.
    turn: (usize, usize),
    region: String,
    zone: String,
    services: BTreeMap<String, Vec<Place>>,
    rng: Pcg64Mcg,
}

impl Yard {
    pub fn new(region: &str, zone: &str, salt: u64) -> Yard {
        let rng = Pcg64Mcg::seed_from_u64(salt);
        Yard {
            turn: (0, 1),
            region: region.into(),
            zone: zone.into(),
            services: BTreeMap::new(),
            rng,
        }
    }

    pub fn places(&self) -> impl Iterator<Item = (&str, &Place)> {
        self.services
            .iter()
            .flat_map(|(service, places)| places.iter().map(move |place| (service.as_str(), place)))
    }

    /// Which part of the units this relay keeps to: it is the `nth` of so many edges of its region.
    pub fn keep_to(&mut self, nth: usize, edges: usize) {
        self.turn = (nth, edges.max(1));
    }

    /// Takes a unit in. Places stand in the order of their names' hashes, the same at every relay.
    pub fn add(&mut self, service: &str, place: Place) {
        let places = self.service(service);
        let order = order_of(&place.id);
        let at = places.partition_point(|held| order_of(&held.id) < order);
        places.insert(at, place);
    }

    pub fn service(&mut self, service: &str) -> &mut Vec<Place> {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Vec::new());
        }
        self.services.get_mut(service).expect("put there")
    }

    pub fn place(&mut self, service: &str, id: &str) -> Option<&mut Place> {
        self.services
            .get_mut(service)?
            .iter_mut()
            .find(|place| &*place.id == id)
    }

    pub fn draw(&mut self) -> f64 {
        self.rng.random()
    }

    /// Chooses a unit; what it takes of a cold unit's bound is taken.
    pub fn choose(&mut self, now: u64, service: &str, want: &Want) -> Result<Choice, Why> {
        let Yard {
            turn,
            region,
            zone,
            services,
            rng,
        } = self;
        let places = services.get_mut(service).ok_or(Why::None)?;
        let most = (MOST - MOST_PER_RANK * f64::from(want.priority)).max(1.5);
        let all: Vec<usize> = (0..places.len())
            .filter(|&at| places[at].fits(want))
            .collect();
        if all.is_empty() {
            return Err(Why::None);
        }
        let warm: Vec<usize> = all
            .iter()
            .copied()
            .filter(|&at| places[at].warm_at <= now)
            .collect();
        // Units that are ill or silent are left out as long as there are others.
        let unfit = |place: &Place| place.unfit && !want.agreed;
        let well = |at: &usize| {
            places[*at].aside_until <= now && !places[*at].silent && !unfit(&places[*at])
        };
        let mut usual: Vec<usize> = warm.iter().copied().filter(well).collect();
        if usual.is_empty() {
            usual = warm;
        }
        if let Some(keyed) = &want.keyed {
            if let Some(at) = placed(places, &usual, keyed, now, region, zone, most, rng) {
                return Ok(places[at].choice(now, region));
            }
        }
        let is_near = |at: &usize| *places[*at].region == **region;
        let (near, far): (Vec<usize>, Vec<usize>) = usual.iter().copied().partition(is_near);
        // Its own part first: what few units tell, and what this relay has open there, says much of them.
        let all_near: Vec<usize> = all.iter().copied().filter(is_near).collect();
        let part = if all_near.is_empty() {
            window(&all, *turn)
        } else {
            window(&all_near, *turn)
        };
        let kept: Vec<usize> = usual
            .iter()
            .copied()
            .filter(|at| part.contains(at))
            .collect();
        let score = |at: usize| {
            let place = &places[at];
            place.fullness(now)
                + if *place.zone == **zone {
                    0.0
                } else {
                    NEXT_ZONE[usize::from(want.bulk)]
                }
        };
        let mut two = |of: &[usize]| {
            let (one, other) = match of {
                [] => return None,
                [only] => (*only, *only),
                _ => {
                    let one = rng.random_range(0..of.len());
                    let other = (one + rng.random_range(1..of.len())) % of.len();
                    (of[one], of[other])
                }
            };
            Some(if score(other) < score(one) {
                other
            } else {
                one
            })
        };
        let mut best = match kept.is_empty() {
            true => two(&near),
            false if kept.len() < near.len().max(far.len()) => kept
                .iter()
                .copied()
                .min_by(|&a, &b| score(a).total_cmp(&score(b))),
            false => two(&kept),
        };
        let full = |at: usize| (places[at].at_unit(now) + 1.0) / f64::from(places[at].capacity);
        if best.is_none_or(|at| full(at) > 1.0) {
            // The near one would wait: look at all near ones, then further off.
            let emptiest = near
                .iter()
                .copied()
                .min_by(|&a, &b| score(a).total_cmp(&score(b)));
            best = emptiest;
            if let Some(other) = two(&far) {
                if best.is_none_or(|at| {
                    full(at) > 1.0 && full(other) + FAR[usize::from(want.bulk)] < full(at)
                }) {
                    best = Some(other);
                }
            }
        }
        if best.is_none_or(|at| full(at) > most) {
            let emptiest = usual
                .iter()
                .copied()
                .min_by(|&a, &b| full(a).total_cmp(&full(b)));
            best = emptiest.filter(|&at| full(at) <= most);
        }
        if best.is_none_or(|at| full(at) > 1.0) {
            // Cold ones bear little, but that little helps.
            let cold = all
                .iter()
                .copied()
                .filter(|&at| places[at].warm_at > now && places[at].cold_rate > 0.0);
            for at in cold.collect::<Vec<_>>() {
                let place = &mut places[at];
                if place.open == 0 && place.cold.take(now, place.cold_rate) {
                    return Ok(place.choice(now, region));
                }
            }
        }
        let at = best.ok_or(Why::Full)?;
        Ok(places[at].choice(now, region))
    }

    /// The one place of a key among units that a placement does not leave out.
    pub fn sole(&self, service: &str, key: u64, aside: impl Fn(&str) -> bool) -> Option<Rc<str>> {
        let open = self
            .services
            .get(service)?
            .iter()
            .filter(|place| place.open_to_all && !aside(&place.id));
        let ranked = rank(key, open.map(|place| (&place.id, &*place.id, Near::Region)));
        ranked.first().map(|id| (*id).clone())
    }

    /// Whether a warm unit that is well has a slot free for what is wanted.
    pub fn has_free(&self, now: u64, service: &str, want: &Want) -> bool {
        let well = |place: &&Place| {
            place.warm_at <= now && place.aside_until <= now && !place.silent && !place.unfit
        };
        let places = self.services.get(service);
        places.is_some_and(|all| {
            all.iter()
                .filter(|p| p.fits(want))
                .filter(well)
                .any(|p| p.is_free(now))
        })
    }

    /// A request is sent there.
    pub fn opened(&mut self, service: &str, id: &str) {
        if let Some(place) = self.place(service, id) {
            place.open += 1;
        }
    }

    /// It has ended. `told`: running and waiting by the unit's own word; `ill`: the end speaks against the unit.
    pub fn closed(
        &mut self,
        now: u64,
        service: &str,
        id: &str,
        told: Option<u32>,
        ill: Option<bool>,
    ) {
        let Some(place) = self.place(service, id) else {
            return;
        };
        if let Some(told) = told {
            // Its word was given while this request still counted.
            place.others = (f64::from(told) - f64::from(place.open)).max(0.0);
            place.told_at = now;
        }
        place.open = place.open.saturating_sub(1);
        match ill {
            None => {}
            Some(false) => (place.streak, place.aside_for) = (0, ASIDE_MS),
            Some(true) => {
                place.streak += 1;
                if place.streak >= STREAK && place.aside_until <= now {
                    place.aside_until = now + place.aside_for;
                    place.aside_for = (place.aside_for * 2).min(ASIDE_MOST_MS);
                }
            }
        }
    }

    /// The unit says that it is full.
    pub fn is_full(&mut self, now: u64, service: &str, id: &str) {
        if let Some(place) = self.place(service, id) {
            place.others = place.others.max(f64::from(place.capacity) * MOST);
            place.told_at = now;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn yard() -> Yard {
        let mut yard = Yard::new("west", "w1", 7);
        for (at, (zone, region)) in [
            ("w1", "west"),
            ("w1", "west"),
            ("w2", "west"),
            ("e1", "east"),
        ]
        .iter()
        .enumerate()
        {
            let mut place = Place::new(
                &format!("i-{at}"),
                "10.0.0.1:80".parse().unwrap(),
                zone,
                region,
                "v1",
                2,
            );
            (place.side, place.open_to_all) = (Side::Base, true);
            yard.service("s").push(place);
        }
        yard
    }

    fn want(homes: &[String]) -> Want<'_> {
        Want {
            side: Side::Base,
            homes,
            priority: 0,
            bulk: false,
            agreed: false,
            keyed: None,
            tried: &[],
        }
    }

    #[test]
    fn near_units_first_and_far_ones_once_the_near_are_full() {
        let mut yard = yard();
        let mut sent: BTreeMap<Rc<str>, u32> = BTreeMap::new();
        for _ in 0..6 {
            let id = yard.choose(0, "s", &want(&[])).unwrap().id;
            yard.opened("s", &id);
            *sent.entry(id).or_default() += 1;
        }
        assert!(
            ["i-0", "i-1", "i-2"].iter().all(|&id| sent[id] == 2),
            "{sent:?}"
        );
        for _ in 0..4 {
            let id = yard.choose(0, "s", &want(&[])).unwrap().id;
            yard.opened("s", &id);
            *sent.entry(id).or_default() += 1;
        }
        assert!(sent["i-3"] >= 1, "{sent:?}");
    }

    #[test]
    fn windows_of_all_relays_cover_units_evenly_and_move_little() {
        for (edges, count) in [(3, 6), (26, 45), (30, 68), (30, 9), (167, 120)] {
            let units: Vec<usize> = (0..count).collect();
            let mut keepers = vec![0; count];
            for nth in 0..edges {
                window(&units, (nth, edges))
                    .into_iter()
                    .for_each(|unit| keepers[unit] += 1);
            }
            let (least, most) = (keepers.iter().min().unwrap(), keepers.iter().max().unwrap());
            assert!(
                *least >= 1 && most - least <= 2 + edges / count,
                "{edges} edges, {count} units: {keepers:?}"
            );
            let fewer: Vec<usize> = units
                .iter()
                .copied()
                .filter(|&unit| unit != count / 2)
                .collect();
            let moved: usize = (0..edges)
                .map(|nth| {
                    let before = window(&units, (nth, edges));
                    window(&fewer, (nth, edges))
                        .into_iter()
                        .filter(|unit| !before.contains(unit))
                        .count()
                })
                .sum();
            assert!(
                moved <= 2 * edges,
                "{edges} edges, {count} units: {moved} moved"
            );
        }
    }

    #[test]
    fn homes_bind_and_full_units_refuse() {
        let mut yard = yard();
        let homes = ["east".to_owned()];
        for _ in 0..6 {
            let id = yard.choose(0, "s", &want(&homes)).unwrap().id;
            assert_eq!(&*id, "i-3");
            yard.opened("s", &id);
        }
        assert_eq!(yard.choose(0, "s", &want(&homes)), Err(Why::Full));
    }

    #[test]
    fn a_unit_that_fails_twice_is_left_out_for_a_while() {
        let mut yard = yard();
        for _ in 0..2 {
            yard.opened("s", "i-0");
            yard.closed(0, "s", "i-0", None, Some(true));
        }
        assert!((0..100).all(|_| &*yard.choose(1, "s", &want(&[])).unwrap().id != "i-0"));
        assert!((0..100).any(|_| &*yard.choose(ASIDE_MS, "s", &want(&[])).unwrap().id == "i-0"));
    }

    #[test]
    fn cold_units_get_their_part_only() {
        let mut yard = yard();
        for place in yard.service("s") {
            (place.warm_at, place.cold_rate) = (3000, 2.0);
        }
        let mut sent = 0;
        for now in 0..1000 {
            sent += u32::from(yard.choose(now, "s", &want(&[])).is_ok());
        }
        assert!((4..=8).contains(&sent), "{sent}");
    }
}
