//! The subcommand `plan`: capacity planning from a scenario's services and traffic. It estimates endpoint utilization,
//! the capacity needed, and which loss overloads the deployment first. `--check` compares the estimates with
//! simulations of random deployments.

use beechcroft_simulator::cluster::scenario::{Event, EventKind};
use beechcroft_simulator::cluster::services::SERVICES;
use beechcroft_simulator::cluster::{simulate, Scenario};
use clap::Args;
use rand::{RngExt, SeedableRng};
use rayon::prelude::*;
use std::path::PathBuf;

/// Requests to each service for each lookup, in the mix that `beechcroft_simulator::cluster` sends.
const REQUESTS_PER_LOOKUP: [(&str, f64); 3] =
    [("boards", 1.3), ("ledger", 0.33), ("archive", 0.16)];
/// Highest planned utilization of slots; above it a burst or the loss of one endpoint makes requests queue.
const MAX_UTILIZATION: f64 = 0.8;
/// Utilization from which requests are rejected within seconds.
const OVERLOAD_UTILIZATION: f64 = 0.97;
/// Processor time of an edge machine for a request, in ms (docs/results/system.md).
const EDGE_CPU_MS: f64 = 0.15;
/// Share of a processor core that an edge machine has.
const EDGE_CORES: f64 = 0.2;

#[derive(Args)]
pub struct Plan {
    /// A scenario file (.toml); its events are ignored.
    file: Option<PathBuf>,
    /// A second scenario file: the same deployment after a change.
    #[arg(long)]
    change: Option<PathBuf>,
    /// Compare the estimates with simulations of this many random deployments.
    #[arg(long)]
    check: Option<u64>,
}

/// Fraction of a service's slots that are busy.
fn utilization(scenario: &Scenario, service: &str, units: usize) -> f64 {
    let requests = REQUESTS_PER_LOOKUP
        .iter()
        .find(|(name, _)| *name == service)
        .map_or(0.0, |(_, requests)| *requests);
    let service_ms = SERVICES
        .iter()
        .find(|entry| entry.0 == service)
        .map_or(0.0, |entry| entry.1);
    scenario.rate * requests * service_ms / 1000.0 / (units * scenario.slots).max(1) as f64
}

/// Number of endpoints of a service that may be lost before the others reject requests.
fn spare_endpoints(scenario: &Scenario, service: &str) -> usize {
    (0..scenario.units)
        .take_while(|lost| {
            utilization(scenario, service, scenario.units - lost) < OVERLOAD_UTILIZATION
        })
        .count()
        .saturating_sub(1)
}

impl Plan {
    /// Prints the estimates for the scenario and its change, or runs the check.
    pub fn run(&self) -> Result<(), String> {
        if let Some(sites) = self.check {
            return check(sites);
        }
        let file = self
            .file
            .as_ref()
            .ok_or("a scenario file or --check is required")?;
        let scenario = crate::cluster::read_scenario(file)?;
        print_estimate(&scenario);
        if let Some(change) = &self.change {
            println!("\nafter the change:");
            print_estimate(&crate::cluster::read_scenario(change)?);
        }
        Ok(())
    }
}

/// Prints the estimate for each service and for the edge and core machines.
fn print_estimate(scenario: &Scenario) {
    let zones = scenario.regions * 2;
    println!(
        "{:<8} {:>8} {:>6} {:>14} {:>16} {:>12} {:>14}",
        "service",
        "asked/s",
        "busy",
        "a zone lost",
        "a region lost",
        "units to 80%",
        "units to spare"
    );
    let mut weakest: Option<(usize, &str)> = None;
    for (service, requests) in REQUESTS_PER_LOOKUP {
        let units = scenario.units;
        let after_loss =
            |lost: usize| utilization(scenario, service, units.saturating_sub(lost).max(1));
        let needed = (1..=10_000)
            .find(|&n| utilization(scenario, service, n) <= MAX_UTILIZATION)
            .unwrap_or(10_000);
        let spare = spare_endpoints(scenario, service);
        println!(
            "{service:<8} {:>8.0} {:>5.0}% {:>13.0}% {:>15.0}% {needed:>12} {spare:>14}",
            scenario.rate * requests,
            after_loss(0) * 100.0,
            after_loss(units.div_ceil(zones)) * 100.0,
            after_loss(units.div_ceil(scenario.regions)) * 100.0,
        );
        if weakest.is_none_or(|(least, _)| spare < least) {
            weakest = Some((spare, service));
        }
    }
    if let Some((spare, service)) = weakest {
        println!(
            "breaks first: {service}, once more than {spare} of its {} units are lost",
            scenario.units
        );
    }
    let request_rate: f64 = REQUESTS_PER_LOOKUP
        .iter()
        .map(|(_, requests)| scenario.rate * requests)
        .sum();
    let edges = (request_rate * EDGE_CPU_MS / 1000.0 / EDGE_CORES / MAX_UTILIZATION)
        .ceil()
        .max(1.0);
    let conns = request_rate / scenario.edges as f64 * 0.05 / scenario.units as f64;
    println!(
        "{request_rate:.0} requests a second need {edges:.0} edge machines of {EDGE_CORES} cores for the load alone ({} there); about {:.1} connections of each to a unit; {} core machines bear the loss of {}",
        scenario.edges,
        conns.max(1.0),
        scenario.cores,
        (scenario.cores - 1) / 2
    );
}

/// Simulates random deployments that lose endpoints of the service that lookups use, and compares whether requests are
/// rejected with the estimate. Fails if more than one estimate in ten is wrong.
fn check(sites: u64) -> Result<(), String> {
    // Overload expected, overload seen, estimated utilization, fraction of attempts served.
    let outcomes: Vec<(bool, bool, f64, f64)> = (0..sites)
        .into_par_iter()
        .map(|seed| {
            let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed * 77 + 3);
            let mut scenario =
                Scenario::read("name = \"site\"\nseconds = 16.0").expect("the scenario is valid");
            (scenario.seed, scenario.units) = (seed, rng.random_range(4..10));
            scenario.rate = rng.random_range(80.0..260.0);
            let lost = rng.random_range(1..scenario.units);
            let service = "boards".to_owned();
            scenario.event = vec![Event {
                at: 3.0,
                kind: EventKind::CrashUnits {
                    service,
                    count: lost,
                    reuse: false,
                },
            }];
            let after = utilization(&scenario, "boards", scenario.units - lost);
            let report = simulate(&scenario);
            // Traffic starts at 8 s, the endpoints are lost 3 s later, and overload shows within 3 s more.
            let from = 8000 + 3000 + 3000;
            let attempts = report
                .history
                .attempts
                .values()
                .filter(|a| a.route == "read" && a.at >= from);
            let (mut sent, mut served) = (0.0, 0.0);
            for attempt in attempts {
                sent += 1.0;
                served += f64::from(u8::from(
                    attempt
                        .answer
                        .as_ref()
                        .is_some_and(|a| a.status.is_some_and(|s| s / 100 == 2)),
                ));
            }
            (
                after >= OVERLOAD_UTILIZATION,
                served / f64::max(sent, 1.0) < 0.97,
                after,
                served / f64::max(sent, 1.0),
            )
        })
        .collect();
    let wrong: Vec<_> = outcomes
        .iter()
        .filter(|outcome| outcome.0 != outcome.1)
        .collect();
    let overloaded = outcomes.iter().filter(|outcome| outcome.1).count();
    println!(
        "{sites} drawn sites lose units: {overloaded} turn tries away in the world (below 97% served), the plan says otherwise of {}",
        wrong.len()
    );
    for (expected, seen, utilization, served) in &wrong {
        println!(
            "  plan {expected}, world {seen}: {:.0}% busy, {:.1}% of tries served",
            utilization * 100.0,
            served * 100.0
        );
    }
    // Up to one deployment in ten is so close to overload that random bursts decide.
    if wrong.len() as u64 * 10 > sites {
        return Err("more than one answer in ten is wrong".into());
    }
    Ok(())
}
