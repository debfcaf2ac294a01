//! Explores a model breadth first or by random walks, and prints how much of it was explored.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stateright::{Checker, Chooser, HasDiscoveries, Model, Path};
use std::collections::hash_map::DefaultHasher;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

/// How states are explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Breadth first: keeps all visited states in memory.
    Breadth,
    /// Random walks from the initial state, with a seed.
    Walks(u64),
}

/// Limits of an exploration.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub max_states: usize,
    pub max_depth: usize,
    pub threads: usize,
    pub time_limit: Duration,
    /// In a walk, the probability that a step delivers a message if other actions are possible as well.
    pub delivery_probability: f64,
}

/// The result of an exploration.
#[derive(Debug)]
pub struct Exploration {
    pub states: usize,
    pub unique_states: usize,
    /// Names of the safety properties that were violated and of the other properties that were reached.
    pub discoveries: Vec<&'static str>,
    /// The first violated safety property, and the steps that lead to the violation, one a line.
    pub trace: Option<(&'static str, String)>,
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
        discoveries: discoveries.into_keys().collect(),
        trace,
    }
}

/// Explores until a safety property is violated or a bound is reached, and prints how much was explored.
pub fn explore<M>(title: &str, model: M, strategy: Strategy, bounds: Bounds) -> Exploration
where
    M: Model + Send + Sync + 'static,
    M::State: Hash + Clone + Debug + PartialEq + Send + Sync + Traceable<M::Action> + 'static,
    M::Action: Clone + Debug + PartialEq + Send + Sync + 'static,
{
    let started_at = Instant::now();
    let always = |property: &stateright::Property<M>| {
        property.expectation == stateright::Expectation::Always
    };
    let safety_properties: Vec<&'static str> = model
        .properties()
        .into_iter()
        .filter(always)
        .map(|property| property.name)
        .collect();
    let builder = model
        .checker()
        .threads(bounds.threads)
        .target_state_count(bounds.max_states)
        .target_max_depth(bounds.max_depth)
        .timeout(bounds.time_limit)
        .finish_when(HasDiscoveries::AnyOf(
            safety_properties.iter().copied().collect(),
        ));
    let (exploration, deepest) = match strategy {
        Strategy::Walks(seed) => {
            let checker = builder
                .spawn_simulation(seed, LinkScheduler(bounds.delivery_probability))
                .join();
            (collect(&checker, &safety_properties), checker.max_depth())
        }
        Strategy::Breadth => {
            let checker = builder.spawn_bfs().join();
            (collect(&checker, &safety_properties), checker.max_depth())
        }
    };
    let seconds = started_at.elapsed().as_secs_f64();
    let Exploration {
        states,
        unique_states,
        discoveries,
        ..
    } = &exploration;
    println!("{title}, {strategy:?}: {states} states, {unique_states} unique, depth up to {deepest}, {seconds:.1} s: {discoveries:?}");
    exploration
}
