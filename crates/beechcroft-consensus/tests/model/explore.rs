//! Explores a model breadth first or by random walks, and prints how much of it was explored.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stateright::{Checker, CheckerBuilder, Chooser, Expectation, HasDiscoveries, Model, Path};
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Number of independent walkers among which the states of an exploration by walks are divided. Each has a seed and a
/// budget of its own, so that the result depends neither on the number of processors nor on scheduling.
const WALKERS: u64 = 8;

/// How states are explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Breadth first: keeps all visited states in memory.
    Breadth,
    /// Random walks from the initial state. The first walker has this seed, each further one the next higher.
    Walks(u64),
}

/// Limits of an exploration.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub max_states: usize,
    pub max_depth: usize,
    /// Number of threads that the walkers run on. A search breadth first has one: with more, the states that it visits
    /// before a bound depend on scheduling.
    pub threads: usize,
    pub time_limit: Duration,
    /// In a walk, the probability that a step delivers a message if other actions are possible as well.
    pub delivery_probability: f64,
}

/// The result of an exploration.
#[derive(Debug, Default)]
pub struct Exploration {
    pub states: usize,
    pub unique_states: usize,
    /// Length of the longest path from the initial state.
    pub deepest: usize,
    /// Names of the safety properties that were violated and of the other properties that were reached.
    pub discoveries: Vec<&'static str>,
    /// The first violated safety property, and the steps that lead to the violation, one a line.
    pub trace: Option<(&'static str, String)>,
}

impl Exploration {
    /// Adds what another walker has explored. A trace that is already known is kept.
    fn add(&mut self, other: Exploration) {
        self.states += other.states;
        self.unique_states += other.unique_states;
        self.deepest = self.deepest.max(other.deepest);
        self.discoveries.extend(other.discoveries);
        self.discoveries.sort_unstable();
        self.discoveries.dedup();
        self.trace = self.trace.take().or(other.trace);
    }
}

/// What random walks and traces need to know of a state.
pub trait Traceable<A> {
    /// The sender and the receiver, if the action delivers a message.
    fn link(&self, action: &A) -> Option<(usize, usize)>;
    /// The action as a line of a trace.
    fn describe(&self, action: &A) -> String;
}

/// Chooses the steps of a random walk. Most steps deliver a message on the currently fastest link. The ranking of the
/// links is redrawn with a probability of 0.04 at each step, so that some messages are delayed for long while others
/// are exchanged.
#[derive(Clone)]
struct LinkScheduler(f64);

struct Walk {
    rng: Pcg64Mcg,
    /// Determines the ranking of the links by speed.
    link_seed: u64,
}

impl<M: Model> Chooser<M> for LinkScheduler
where
    M::State: Traceable<M::Action>,
{
    type State = Walk;

    fn new_state(&self, seed: u64) -> Walk {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let link_seed = rng.random();
        Walk { rng, link_seed }
    }

    fn choose_initial_state(&self, walk: &mut Walk, states: &[M::State]) -> usize {
        walk.rng.random_range(0..states.len())
    }

    fn choose_action(&self, walk: &mut Walk, state: &M::State, actions: &[M::Action]) -> usize {
        if walk.rng.random_bool(0.04) {
            walk.link_seed = walk.rng.random();
        }
        let slowness = |action: &M::Action| {
            let mut hasher = DefaultHasher::new();
            (walk.link_seed, state.link(action)?).hash(&mut hasher);
            Some(hasher.finish())
        };
        let messages = actions
            .iter()
            .enumerate()
            .filter_map(|(index, action)| Some((slowness(action)?, index)));
        let (fastest, others): (Option<(u64, usize)>, Vec<usize>) = (
            messages.min(),
            (0..actions.len())
                .filter(|&index| state.link(&actions[index]).is_none())
                .collect(),
        );
        let others = (!others.is_empty()).then(|| others[walk.rng.random_range(0..others.len())]);
        match (fastest, others) {
            (Some((_, index)), None) => index,
            (None, Some(index)) => index,
            (Some((_, message)), Some(other)) => match walk.rng.random_bool(self.0) {
                true => message,
                false => other,
            },
            (None, None) => 0,
        }
    }
}

fn collect<M: Model>(checker: &impl Checker<M>, safety_properties: &[&'static str]) -> Exploration
where
    M::State: Hash + Clone + Debug + PartialEq + Traceable<M::Action>,
    M::Action: Clone + Debug + PartialEq,
{
    let discoveries = checker.discoveries();
    let trace = discoveries
        .iter()
        .find(|(name, _)| safety_properties.contains(name))
        .map(|(name, path)| {
            let steps = <Path<M::State, M::Action> as Clone>::clone(path).into_vec();
            let lines = steps
                .iter()
                .filter_map(|(state, action)| Some(state.describe(action.as_ref()?)));
            (*name, lines.collect::<Vec<String>>().join("\n"))
        });
    Exploration {
        states: checker.state_count(),
        unique_states: checker.unique_state_count(),
        deepest: checker.max_depth(),
        discoveries: discoveries.into_keys().collect(),
        trace,
    }
}

/// What every checker of an exploration has in common.
struct Search<M> {
    model: M,
    bounds: Bounds,
    safety_properties: Vec<&'static str>,
}

impl<M> Search<M>
where
    M: Model + Clone + Send + Sync + 'static,
    M::State: Hash + Clone + Debug + PartialEq + Send + Sync + Traceable<M::Action> + 'static,
    M::Action: Clone + Debug + PartialEq + Send + Sync + 'static,
{
    fn new(model: M, bounds: Bounds) -> Search<M> {
        let properties = model.properties();
        let safety_properties = properties
            .iter()
            .filter(|property| property.expectation == Expectation::Always)
            .map(|property| property.name)
            .collect();
        Search {
            model,
            bounds,
            safety_properties,
        }
    }

    fn checker(&self, max_states: usize) -> CheckerBuilder<M> {
        let violated = self.safety_properties.iter().copied().collect();
        let checker = self.model.clone().checker();
        checker
            .target_state_count(max_states)
            .target_max_depth(self.bounds.max_depth)
            .timeout(self.bounds.time_limit)
            .finish_when(HasDiscoveries::AnyOf(violated))
    }

    fn breadth_first(&self) -> Exploration {
        let checker = self.checker(self.bounds.max_states).spawn_bfs().join();
        collect(&checker, &self.safety_properties)
    }

    /// Runs one walker to the end of its budget or to its first violation.
    fn walk(&self, seed: u64) -> Exploration {
        let max_states = self.bounds.max_states.div_ceil(WALKERS as usize);
        let scheduler = LinkScheduler(self.bounds.delivery_probability);
        let checker = self.checker(max_states);
        let checker = checker.spawn_simulation(seed, scheduler).join();
        collect(&checker, &self.safety_properties)
    }

    /// Runs all walkers. Once one of them has found a violation, no further one starts.
    fn walks(&self, seed: u64) -> Exploration {
        let next_walker = AtomicU64::new(0);
        let is_violated = AtomicBool::new(false);
        let explorations = Mutex::new(BTreeMap::new());
        let run_walkers = || loop {
            let walker = next_walker.fetch_add(1, Ordering::SeqCst);
            if walker >= WALKERS || is_violated.load(Ordering::SeqCst) {
                return;
            }
            let exploration = self.walk(seed + walker);
            is_violated.fetch_or(exploration.trace.is_some(), Ordering::SeqCst);
            explorations.lock().unwrap().insert(walker, exploration);
        };
        std::thread::scope(|scope| {
            for _ in 0..self.bounds.threads {
                scope.spawn(run_walkers);
            }
        });
        let mut total = Exploration::default();
        for exploration in explorations.into_inner().unwrap().into_values() {
            total.add(exploration);
        }
        total
    }
}

/// Explores until a safety property is violated or a bound is reached, and prints how much was explored.
pub fn explore<M>(title: &str, model: M, strategy: Strategy, bounds: Bounds) -> Exploration
where
    M: Model + Clone + Send + Sync + 'static,
    M::State: Hash + Clone + Debug + PartialEq + Send + Sync + Traceable<M::Action> + 'static,
    M::Action: Clone + Debug + PartialEq + Send + Sync + 'static,
{
    let started_at = Instant::now();
    let search = Search::new(model, bounds);
    let exploration = match strategy {
        Strategy::Walks(seed) => search.walks(seed),
        Strategy::Breadth => search.breadth_first(),
    };
    let seconds = started_at.elapsed().as_secs_f64();
    let Exploration {
        states,
        unique_states,
        deepest,
        discoveries,
        ..
    } = &exploration;
    println!("{title}, {strategy:?}: {states} states, {unique_states} unique, depth up to {deepest}, {seconds:.1} s: {discoveries:?}");
    exploration
}
