//! `plan`: from a scenario's services, traffic and losses, how full units are, what more is needed, which loss breaks
//! it first. `--check`: its answer against what the world plays over drawn sites.

use beechcroft_simulator::cluster::scenario::{Event, What};
use beechcroft_simulator::cluster::services::SERVICES;
use beechcroft_simulator::cluster::{play, Scenario};
use clap::Args;
use rand::{RngExt, SeedableRng};
use rayon::prelude::*;
use std::path::PathBuf;

/// Requests for each look-up (`simulator::cluster::run` sends them so).
const PARTS: [(&str, f64); 3] = [("boards", 1.3), ("ledger", 0.33), ("archive", 0.16)];
/// Slots that may be busy at most; above that a burst or one lost unit makes requests wait.
const FULL: f64 = 0.8;
/// Above this requests are turned away within seconds.
const BREAKS: f64 = 0.97;
/// Processor time of an edge machine for a request, in ms (docs/results/system.md), and its share of a core.
const EDGE_MS: f64 = 0.15;
const EDGE_CORES: f64 = 0.2;

#[derive(Args)]
pub struct Plan {
    /// A scenario (.toml); its events are not looked at.
    file: Option<PathBuf>,
    /// The same deployment after a change: another scenario.
    #[arg(long)]
    change: Option<PathBuf>,
    /// Compare the answer with the world's over so many drawn sites.
    #[arg(long)]
    check: Option<u64>,
}

/// Part of a service's slots that are busy.
fn busy(scenario: &Scenario, service: &str, units: usize) -> f64 {
    let part = PARTS
        .iter()
        .find(|(name, _)| *name == service)
        .map_or(0.0, |(_, part)| *part);
    let work = SERVICES
        .iter()
        .find(|held| held.0 == service)
        .map_or(0.0, |held| held.1);
    scenario.rate * part * work / 1000.0 / (units * scenario.slots).max(1) as f64
}

/// Units of a service that may be lost before the rest turns requests away.
fn spare(scenario: &Scenario, service: &str) -> usize {
    (0..scenario.units)
        .take_while(|lost| busy(scenario, service, scenario.units - lost) < BREAKS)
        .count()
        .saturating_sub(1)
}

impl Plan {
    pub fn run(&self) -> Result<(), String> {
        if let Some(sites) = self.check {
            return check(sites);
        }
        let file = self
            .file
            .as_ref()
            .ok_or("a scenario, or --check, is needed")?;
        let scenario = crate::cluster::read_scenario(file)?;
        tell(&scenario);
        if let Some(change) = &self.change {
            println!("\nafter the change:");
            tell(&crate::cluster::read_scenario(change)?);
        }
        Ok(())
    }
}

fn tell(scenario: &Scenario) {
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
    let mut first: Option<(usize, &str)> = None;
    for (service, part) in PARTS {
        let units = scenario.units;
        let after = |lost: usize| busy(scenario, service, units.saturating_sub(lost).max(1));
        let needed = (1..=10_000)
            .find(|&n| busy(scenario, service, n) <= FULL)
            .unwrap_or(10_000);
        let spare = spare(scenario, service);
        println!(
            "{service:<8} {:>8.0} {:>5.0}% {:>13.0}% {:>15.0}% {needed:>12} {spare:>14}",
            scenario.rate * part,
            after(0) * 100.0,
            after(units.div_ceil(zones)) * 100.0,
            after(units.div_ceil(scenario.regions)) * 100.0,
        );
        if first.is_none_or(|(least, _)| spare < least) {
            first = Some((spare, service));
        }
    }
    if let Some((spare, service)) = first {
        println!(
            "breaks first: {service}, once more than {spare} of its {} units are lost",
            scenario.units
        );
    }
    let all: f64 = PARTS.iter().map(|(_, part)| scenario.rate * part).sum();
    let edges = (all * EDGE_MS / 1000.0 / EDGE_CORES / FULL).ceil().max(1.0);
    let conns = all / scenario.edges as f64 * 0.05 / scenario.units as f64;
    println!(
        "{all:.0} requests a second need {edges:.0} edge machines of {EDGE_CORES} cores for the load alone ({} there); about {:.1} connections of each to a unit; {} core machines bear the loss of {}",
        scenario.edges,
        conns.max(1.0),
        scenario.cores,
        (scenario.cores - 1) / 2
    );
}

/// Draws sites, loses units of the look-ups' service in the world, and compares.
fn check(sites: u64) -> Result<(), String> {
    let plays: Vec<(bool, bool, f64, f64)> = (0..sites)
        .into_par_iter()
        .map(|seed| {
            let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed * 77 + 3);
            let mut scenario = Scenario::read("name = \"site\"\nseconds = 16.0").expect("sound");
            (scenario.seed, scenario.units) = (seed, rng.random_range(4..10));
            scenario.rate = rng.random_range(80.0..260.0);
            let lost = rng.random_range(1..scenario.units);
            let service = "boards".to_owned();
            scenario.event = vec![Event {
                at: 3.0,
                what: What::Crash {
                    service,
                    count: lost,
                    reuse: false,
                },
            }];
            let after = busy(&scenario, "boards", scenario.units - lost);
            let report = play(&scenario);
            let from = 8000 + 3000 + 3000;
            let tries = report
                .history
                .asked
                .values()
                .filter(|a| a.route == "read" && a.at >= from);
            let (mut all, mut fine) = (0.0, 0.0);
            for asked in tries {
                all += 1.0;
                fine += f64::from(u8::from(
                    asked
                        .answer
                        .as_ref()
                        .is_some_and(|a| a.status.is_some_and(|s| s / 100 == 2)),
                ));
            }
            (
                after >= BREAKS,
                fine / f64::max(all, 1.0) < 0.97,
                after,
                fine / f64::max(all, 1.0),
            )
        })
        .collect();
    let wrong: Vec<_> = plays.iter().filter(|play| play.0 != play.1).collect();
    let broke = plays.iter().filter(|play| play.1).count();
    println!(
        "{sites} drawn sites lose units: {broke} turn tries away in the world (below 97% served), the plan says otherwise of {}",
        wrong.len()
    );
    for (said, was, busy, served) in &wrong {
        println!(
            "  plan {said}, world {was}: {:.0}% busy, {:.1}% of tries served",
            busy * 100.0,
            served * 100.0
        );
    }
    // One site in ten lies so near the edge that a burst decides.
    if wrong.len() as u64 * 10 > sites {
        return Err("more than one answer in ten is wrong".into());
    }
    Ok(())
}
