//! Explores the models of `tests/model` for a given time, one initial state after the other: first breadth first,
//! then by random walks with a new seed in each pass.
//!
//!     cargo run --release -p beechcroft-consensus --example model -- --minutes 10 --threads 4 --seed 1
//!
//! Prints the steps and exits with an error as soon as a safety property is violated.

#[path = "../tests/model/consensus.rs"]
mod consensus;
#[path = "../tests/model/explore.rs"]
mod explore;
#[path = "../tests/model/machines.rs"]
mod machines;
#[path = "../tests/model/placement.rs"]
mod placement;
#[path = "../tests/model/state.rs"]
mod state;

use consensus::{ConsensusModel, Start};
use explore::{explore, Bounds, Exploration, Strategy};
use placement::PlacementModel;
use std::time::{Duration, Instant};

/// Maximum number of states of one run of random walks.
const WALK_STATES: usize = 2_000_000;
/// Maximum number of states of a breadth-first search, which keeps them all in memory.
const BREADTH_FIRST_STATES: usize = 400_000;

/// The value of a command line option.
fn argument(name: &str, default: u64) -> u64 {
    let mut values = std::env::args()
        .skip_while(|argument| argument != name)
        .skip(1);
    values
        .next()
        .map_or(default, |value| value.parse().expect("a number"))
}

fn main() {
    let (minutes, threads) = (argument("--minutes", 5), argument("--threads", 4) as usize);
    let end = Instant::now() + Duration::from_secs(60 * minutes);
    let mut seed = argument("--seed", 1);
    let mut totals = std::collections::BTreeMap::<String, (usize, f64)>::new();
    'explore: loop {
        for (replicas, start) in [3, 5]
            .into_iter()
            .flat_map(|replicas| Start::ALL.map(|start| (replicas, start)))
        {
            if !start.applies_to(replicas) {
                continue;
            }
            let is_first = !totals.contains_key(&format!("{replicas} replicas, {start:?}"));
            let model = if is_first {
                ConsensusModel::with_few_faults(replicas, start)
            } else {
                ConsensusModel::with_all_faults(replicas, start)
            };
            let title = format!("{replicas} replicas, {start:?}");
            run(
                &mut totals,
                &title,
                end,
                threads,
                seed,
                0.85,
                |strategy, bounds| explore(&title, model, strategy, bounds),
            );
            if Instant::now() >= end {
                break 'explore;
            }
        }
        for proxies in [2, 3] {
            let model = PlacementModel {
                placements: 4,
                duration_ms: 16_000,
                quorum_reads: 20,
                ..PlacementModel::new(proxies, seed.is_multiple_of(2))
            };
            let title = format!("placement, {proxies} proxies");
            run(
                &mut totals,
                &title,
                end,
                threads,
                seed,
                0.5,
                |strategy, bounds| explore(&title, model, strategy, bounds),
            );
        }
        seed += 1;
    }
    println!("\nTotals; no safety property was violated:");
    for (title, (states, seconds)) in &totals {
        println!("{title}: {states} states in {seconds:.0} s");
    }
    println!(
        "{} states",
        totals.values().map(|(states, _)| states).sum::<usize>()
    );
}

/// Explores one model, breadth first the first time, and adds the number of states and the time to `totals`.
fn run(
    totals: &mut std::collections::BTreeMap<String, (usize, f64)>,
    title: &str,
    end: Instant,
    threads: usize,
    seed: u64,
    delivery_probability: f64,
    explore: impl FnOnce(Strategy, Bounds) -> Exploration,
) {
    let started_at = Instant::now();
    let time_limit = end
        .saturating_duration_since(started_at)
        .max(Duration::from_secs(1));
    let (strategy, states) = if totals.contains_key(title) {
        (Strategy::Walks(seed), WALK_STATES)
    } else {
        (Strategy::Breadth, BREADTH_FIRST_STATES)
    };
    let exploration = explore(
        strategy,
        Bounds {
            max_states: states,
            max_depth: 200,
            threads,
            time_limit,
            delivery_probability,
        },
    );
    if let Some((name, trace)) = exploration.trace {
        println!("{trace}");
        eprintln!("safety property violated: {name}");
        std::process::exit(1);
    }
    let (states, seconds) = totals.entry(title.to_owned()).or_default();
    *states += exploration.states;
    *seconds += started_at.elapsed().as_secs_f64();
}
