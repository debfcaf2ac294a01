//! A model of placement: all proxies must send the non-idempotent requests of a key to the same unit. The proxies use
//! `beechcroft_outlier::placement` as it is; time advances in steps. Proxies learn placements late, miss some,
//! restart, and see stale quorum reads. A proxy that is partitioned receives no updates for any length of time.

use crate::explore::Traceable;
use beechcroft_outlier::placement::{check_placement, PlacementHistory, FENCE_MS, LEASE_MS};
use beechcroft_safeguards::{disable, Safeguard};
use stateright::{Model, Property};
use std::collections::BTreeSet;

/// The time between two steps, in milliseconds.
pub const STEP_MS: u64 = 500;

/// A proxy's view of the placements.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Proxy {
    /// The version of the placement that the proxy holds; 0 if it holds none.
    version: usize,
    history: PlacementHistory,
    /// When the proxy last saw a quorum read that confirms its placement.
    quorum_read_at: Option<u64>,
}

/// The chosen placements, what each proxy knows of them, and how many restarts and quorum reads may still occur.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: u64,
    /// All placements in order, the first one empty: when each was chosen, and the units that it excludes.
    placements: Vec<(u64, BTreeSet<String>)>,
    proxies: Vec<Proxy>,
    restarts: u8,
    quorum_reads: u8,
}

/// A step of the model. Proxies are given by index.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementAction {
    /// Time advances by [`STEP_MS`].
    Passes,
    /// The control nodes choose a placement, given by its index in [`EXCLUSIONS`].
    Places(usize),
    /// A proxy learns a placement, which need not be the newest.
    Learns(usize, usize),
    /// A proxy sees a quorum read that is stale by so many milliseconds.
    Touched(usize, u64),
    /// A proxy restarts and loses its state.
    Restarts(usize),
}

/// The model: its size, and how much may happen.
#[derive(Clone, Debug)]
pub struct PlacementModel {
    pub proxies: usize,
    /// Maximum number of placements, without the empty one of version 0.
    pub placements: usize,
    pub restarts: u8,
    /// Maximum number of quorum reads, unless `reads_at_once` is set.
    pub quorum_reads: u8,
    /// How stale a quorum read may be when a proxy sees it, in milliseconds.
    pub max_staleness_ms: u64,
    /// The modelled time, in milliseconds.
    pub duration_ms: u64,
    /// Every proxy sees each acceptable quorum read at once, with the maximum staleness. A proxy never stops using its
    /// placement because of an additional quorum read, so this misses no violation, and the search gets much further.
    pub reads_at_once: bool,
    /// A safeguard that the code under test runs without.
    pub disabled_safeguard: Option<Safeguard>,
}

/// The first unit in the key's order A, B, C that is not excluded.
fn preferred_unit(exclusion: &BTreeSet<String>) -> Option<&'static str> {
    ["A", "B", "C"]
        .into_iter()
        .find(|unit| !exclusion.contains(*unit))
}

/// The sets of excluded units that placements choose from.
const EXCLUSIONS: [&[&str]; 4] = [&[], &["A"], &["A", "B"], &["A", "C"]];

fn exclusion(index: usize) -> BTreeSet<String> {
    EXCLUSIONS[index]
        .iter()
        .map(|&unit| unit.to_owned())
        .collect()
}

impl PlacementModel {
    /// Creates a model whose quorum reads are as stale as the difference of fence and lease allows.
    pub fn new(proxies: usize, reads_at_once: bool) -> PlacementModel {
        let max_staleness_ms = FENCE_MS - LEASE_MS;
        PlacementModel {
            proxies,
            placements: 3,
            restarts: 1,
            quorum_reads: 12,
            max_staleness_ms,
            duration_ms: 12_000,
            reads_at_once,
            disabled_safeguard: None,
        }
    }

    /// The unit to which a proxy would send the key's next request.
    fn destination(&self, state: &State, proxy: &Proxy) -> Option<&'static str> {
        if proxy.version == 0 {
            return None; // the proxy holds no placement
        }
        let _guard = disable(self.disabled_safeguard);
        let held = &state.placements[proxy.version].1;
        let moved_at = proxy.history.moved_at(preferred_unit);
        check_placement(state.now, proxy.quorum_read_at, moved_at).ok()?;
        preferred_unit(held)
    }

    /// Whether a proxy accepts a quorum read of the given staleness: the proxy must hold the newest placement of that
    /// time.
    fn accepts_quorum_read(state: &State, index: usize, staleness_ms: u64) -> bool {
        let then = state.now.saturating_sub(staleness_ms);
        let newest = state.placements.iter().rposition(|(at, _)| *at <= then);
        let proxy = &state.proxies[index];
        newest.is_some_and(|newest| proxy.version >= newest)
            && proxy.quorum_read_at.is_none_or(|at| at < state.now)
    }

    /// Has a proxy see a quorum read of the given staleness, if it accepts it.
    fn record_quorum_read(state: &mut State, index: usize, staleness_ms: u64) {
        if Self::accepts_quorum_read(state, index, staleness_ms) {
            state.proxies[index].quorum_read_at = Some(state.now);
        }
    }

    /// The units to which proxies would send the key's next request.
    fn destinations(&self, state: &State) -> BTreeSet<&'static str> {
        state
            .proxies
            .iter()
            .filter_map(|proxy| self.destination(state, proxy))
            .collect()
    }
}

impl Model for PlacementModel {
    type State = State;
    type Action = PlacementAction;

    fn init_states(&self) -> Vec<State> {
        // All proxies have held the first placement for longer than the fence.
        let mut history = PlacementHistory::default();
        history.learn(0, 1, &exclusion(0));
        let now = 2 * FENCE_MS;
        let proxy = Proxy {
            version: 1,
            history,
            quorum_read_at: Some(now),
        };
        vec![State {
            now,
            placements: vec![(0, exclusion(0)), (0, exclusion(0))],
            proxies: vec![proxy; self.proxies],
            restarts: self.restarts,
            quorum_reads: self.quorum_reads,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<PlacementAction>) {
        // No violation is possible before the second placement, so time only advances from there on.
        if state.placements.len() > 2 && state.now < 2 * FENCE_MS + self.duration_ms {
            actions.push(PlacementAction::Passes);
        }
        if state.placements.len() <= self.placements {
            let held = &state.placements.last().expect("the first").1;
            actions.extend(
                (0..EXCLUSIONS.len())
                    .filter(|index| exclusion(*index) != *held)
                    .map(PlacementAction::Places),
            );
        }
        for (index, proxy) in state.proxies.iter().enumerate() {
            actions.extend(
                (proxy.version + 1..state.placements.len())
                    .map(|version| PlacementAction::Learns(index, version)),
            );
            if state.quorum_reads > 0 && !self.reads_at_once {
                let steps = (0..=self.max_staleness_ms / STEP_MS).map(|steps| steps * STEP_MS);
                let accepted = steps
                    .filter(|staleness_ms| Self::accepts_quorum_read(state, index, *staleness_ms));
                actions.extend(
                    accepted.map(|staleness_ms| PlacementAction::Touched(index, staleness_ms)),
                );
            }
            if state.restarts > 0 {
                actions.push(PlacementAction::Restarts(index));
            }
        }
    }

    fn next_state(&self, last: &State, action: PlacementAction) -> Option<State> {
        let _guard = disable(self.disabled_safeguard);
        let mut state = last.clone();
        match action {
            PlacementAction::Passes => state.now += STEP_MS,
            PlacementAction::Places(index) => state.placements.push((state.now, exclusion(index))),
            PlacementAction::Learns(index, version) => {
                let excluded = state.placements[version].1.clone();
                let proxy = &mut state.proxies[index];
                proxy.history.learn(state.now, version as u64, &excluded);
                proxy.version = version;
            }
            PlacementAction::Touched(index, staleness_ms) => {
                state.quorum_reads -= 1;
                Self::record_quorum_read(&mut state, index, staleness_ms);
            }
            PlacementAction::Restarts(index) => {
                state.restarts -= 1;
                state.proxies[index] = Proxy::default();
            }
        }
        if self.reads_at_once {
            (0..self.proxies).for_each(|index| {
                Self::record_quorum_read(&mut state, index, self.max_staleness_ms);
            });
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_UNIT, |model: &PlacementModel, state: &State| {
                model.destinations(state).len() <= 1
            }),
            Property::sometimes(MOVED, |model: &PlacementModel, state: &State| {
                model.destinations(state).iter().any(|unit| *unit != "A")
            }),
            Property::sometimes(LEASE_EXPIRED, |model: &PlacementModel, state: &State| {
                let is_expired = |proxy: &Proxy| {
                    proxy
                        .quorum_read_at
                        .is_some_and(|at| state.now > at + LEASE_MS)
                };
                model.destinations(state).contains("B")
                    && state
                        .proxies
                        .iter()
                        .any(|proxy| proxy.version == 1 && is_expired(proxy))
            }),
        ]
    }
}

/// The safety property.
pub const ONE_UNIT: &str = "all proxies send a key's non-idempotent requests to one unit";
/// Reached by walks in which the key has moved.
pub const MOVED: &str = "a key has moved to another unit";
/// Reached by walks in which the old unit's proxy has stopped before the new unit is used.
pub const LEASE_EXPIRED: &str =
    "a proxy uses the new unit while the lease of a partitioned one has expired";

impl Traceable<PlacementAction> for State {
    fn link(&self, action: &PlacementAction) -> Option<(usize, usize)> {
        // Treated as a message, so that time advances in about half of the steps of a walk.
        matches!(action, PlacementAction::Passes).then_some((0, 0))
    }

    fn describe(&self, action: &PlacementAction) -> String {
        format!("at {} ms {action:?}", self.now - 2 * FENCE_MS)
    }
}
