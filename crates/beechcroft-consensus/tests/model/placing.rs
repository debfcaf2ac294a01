//! The place of a key that must not run at two units, as a model: what relays go by as it runs (`placement`), with time as
//! steps. Relays learn placements late, miss some, restart, and hear that the core agrees from words that lay for a
//! while; any of them may be cut off, which is to hear nothing for as long as it likes.

use crate::explore::Told;
use beechcroft_outlier::placement::{check_placement, PlacementHistory, FENCE_MS, LEASE_MS};
use beechcroft_safeguards::{disable, Safeguard};
use stateright::{Model, Property};
use std::collections::BTreeSet;

/// What two steps are apart.
pub const STEP_MS: u64 = 500;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Relay {
    /// The number of the placement that it holds.
    version: usize,
    history: PlacementHistory,
    /// When the core last showed that it agrees, on what this relay holds.
    quorum_read_at: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: u64,
    /// Placements in their order, the first one empty: when each was chosen, and the units that it leaves out.
    placements: Vec<(u64, BTreeSet<String>)>,
    relays: Vec<Relay>,
    restarts: u8,
    touches: u8,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Happens {
    Passes,
    /// The core leaves out these of the units.
    Places(usize),
    /// A relay learns a placement, which may be an older one than the newest.
    Learns(usize, usize),
    /// A relay hears that the core agreed, on what it held so long ago.
    Touched(usize, u64),
    Restarts(usize),
}

#[derive(Clone, Debug)]
pub struct Placing {
    pub relays: usize,
    pub placements: usize,
    pub restarts: u8,
    pub touches: u8,
    /// How much older than it looks the core's word may be when a relay takes it.
    pub late_ms: u64,
    /// The time that is played.
    pub until: u64,
    /// Every relay hears at once whatever it may hear, as late as can be. Nobody stops placing for having heard more, so
    /// this loses no way to a breach, and the rest is explored much further.
    pub eager: bool,
    pub without: Option<Safeguard>,
}

/// A key's rank of the units is A, B, C; what it goes to if these are left out.
fn place(aside: &BTreeSet<String>) -> Option<&'static str> {
    ["A", "B", "C"]
        .into_iter()
        .find(|unit| !aside.contains(*unit))
}

const ASIDE: [&[&str]; 4] = [&[], &["A"], &["A", "B"], &["A", "C"]];

fn aside(nth: usize) -> BTreeSet<String> {
    ASIDE[nth].iter().map(|&unit| unit.to_owned()).collect()
}

impl Placing {
    /// Words of the core may be as much older than they look as the two spans leave.
    pub fn usual(relays: usize, eager: bool) -> Placing {
        let late_ms = FENCE_MS - LEASE_MS;
        Placing {
            relays,
            placements: 3,
            restarts: 1,
            touches: 12,
            late_ms,
            until: 12_000,
            eager,
            without: None,
        }
    }

    /// Where a relay would send the key's next request.
    fn goes(&self, state: &State, relay: &Relay) -> Option<&'static str> {
        if relay.version == 0 {
            return None; // it holds nothing
        }
        let _out = disable(self.without);
        let held = &state.placements[relay.version].1;
        let moved_at = relay.history.moved_at(place);
        check_placement(state.now, relay.quorum_read_at, moved_at).ok()?;
        place(held)
    }

    /// As `Cairns::touched`: whether a relay takes a word on the newest placement of so long ago.
    fn takes(state: &State, nth: usize, late: u64) -> bool {
        let then = state.now.saturating_sub(late);
        let newest = state.placements.iter().rposition(|(at, _)| *at <= then);
        let relay = &state.relays[nth];
        newest.is_some_and(|newest| relay.version >= newest)
            && relay.quorum_read_at.is_none_or(|at| at < state.now)
    }

    fn touched(state: &mut State, nth: usize, late: u64) {
        if Self::takes(state, nth, late) {
            state.relays[nth].quorum_read_at = Some(state.now);
        }
    }

    fn places(&self, state: &State) -> BTreeSet<&'static str> {
        state
            .relays
            .iter()
            .filter_map(|relay| self.goes(state, relay))
            .collect()
    }
}

impl Model for Placing {
    type State = State;
    type Action = Happens;

    fn init_states(&self) -> Vec<State> {
        // All relays hold the first placement, and have for long.
        let mut history = PlacementHistory::default();
        history.learn(0, 1, &aside(0));
        let now = 2 * FENCE_MS;
        let relay = Relay {
            version: 1,
            history,
            quorum_read_at: Some(now),
        };
        vec![State {
            now,
            placements: vec![(0, aside(0)), (0, aside(0))],
            relays: vec![relay; self.relays],
            restarts: self.restarts,
            touches: self.touches,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Happens>) {
        // Nothing can be amiss before the second placement: the time begins with it.
        if state.placements.len() > 2 && state.now < 2 * FENCE_MS + self.until {
            actions.push(Happens::Passes);
        }
        if state.placements.len() <= self.placements {
            let held = &state.placements.last().expect("the first").1;
            actions.extend(
                (0..ASIDE.len())
                    .filter(|nth| aside(*nth) != *held)
                    .map(Happens::Places),
            );
        }
        for (nth, relay) in state.relays.iter().enumerate() {
            actions.extend(
                (relay.version + 1..state.placements.len()).map(|v| Happens::Learns(nth, v)),
            );
            if state.touches > 0 && !self.eager {
                let steps = (0..=self.late_ms / STEP_MS).map(|steps| steps * STEP_MS);
                let taken = steps.filter(|late| Self::takes(state, nth, *late));
                actions.extend(taken.map(|late| Happens::Touched(nth, late)));
            }
            if state.restarts > 0 {
                actions.push(Happens::Restarts(nth));
            }
        }
    }

    fn next_state(&self, last: &State, action: Happens) -> Option<State> {
        let _out = disable(self.without);
        let mut state = last.clone();
        match action {
            Happens::Passes => state.now += STEP_MS,
            Happens::Places(nth) => state.placements.push((state.now, aside(nth))),
            Happens::Learns(nth, version) => {
                let left_out = state.placements[version].1.clone();
                let relay = &mut state.relays[nth];
                relay.history.learn(state.now, version as u64, &left_out);
                relay.version = version;
            }
            Happens::Touched(nth, late) => {
                state.touches -= 1;
                Self::touched(&mut state, nth, late);
            }
            Happens::Restarts(nth) => {
                state.restarts -= 1;
                state.relays[nth] = Relay::default();
            }
        }
        if self.eager {
            (0..self.relays).for_each(|nth| {
                Self::touched(&mut state, nth, self.late_ms);
            });
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_PLACE, |model: &Placing, state: &State| {
                model.places(state).len() <= 1
            }),
            Property::sometimes(MOVED, |model: &Placing, state: &State| {
                model.places(state).iter().any(|place| *place != "A")
            }),
            Property::sometimes(STOPPED, |model: &Placing, state: &State| {
                let stopped = |relay: &Relay| {
                    relay
                        .quorum_read_at
                        .is_some_and(|at| state.now > at + LEASE_MS)
                };
                model.places(state).contains("B")
                    && state.relays.iter().any(|r| r.version == 1 && stopped(r))
            }),
        ]
    }
}

pub const ONE_PLACE: &str = "no two relays send what must not run twice to two units";
pub const MOVED: &str = "a key goes to another unit than at first";
pub const STOPPED: &str = "one goes by the new place, and one that was cut off has stopped";

impl Told<Happens> for State {
    fn link(&self, action: &Happens) -> Option<(usize, usize)> {
        // Half of all steps: time passes.
        matches!(action, Happens::Passes).then_some((0, 0))
    }

    fn tell(&self, action: &Happens) -> String {
        format!("at {} ms {action:?}", self.now - 2 * FENCE_MS)
    }
}
