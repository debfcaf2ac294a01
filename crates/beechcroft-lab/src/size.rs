//! The subcommand `size`: network traffic of each machine by the number of edge machines, and how long a configuration
//! change takes to reach the last of them. Plays scenarios in the simulator.

use beechcroft_simulator::cluster::scenario::{Event, EventKind};
use beechcroft_simulator::cluster::{simulate, Scenario};
use clap::Args;
use rayon::prelude::*;
use std::path::PathBuf;

#[derive(Args)]
pub struct Size {
    /// Only 9 and 30 edge machines with 5 seeds; without it up to 500 machines, and 100 seeds up to 90 machines.
    #[arg(long)]
    quick: bool,
    /// Seeds for each number of edge machines up to 90; larger ones are played with at most 2.
    #[arg(long, default_value_t = 100)]
    seeds: u64,
    /// Largest number of edge machines.
    #[arg(long = "most", value_name = "MOST", default_value_t = 500)]
    max_edges: usize,
    /// Folder for the charts.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// A scenario with `edges` edge machines and one endpoint of each service for each of them, 60 of each service at most.
/// The request rate is low, so that traffic between proxies dominates.
fn scenario(edges: usize, seed: u64) -> Scenario {
    let mut scenario = Scenario::read("name = \"size\"").expect("the default scenario is valid");
    let cores = if edges > 60 { 5 } else { 3 };
    (
        scenario.seed,
        scenario.edges,
        scenario.cores,
        scenario.units,
    ) = (seed, edges, cores, edges.clamp(3, 60));
    (
        scenario.rate,
        scenario.seconds,
        scenario.loss,
        scenario.measure_config_spread,
    ) = (5.0, 14.0, 0.01, true);
    let change = |at| Event {
        at,
        kind: EventKind::Config {
            routes: 20,
            drop: false,
        },
    };
    scenario.event = vec![change(2.0), change(5.0), change(8.0)];
    scenario
}

impl Size {
    /// Plays all sizes and prints a row for each. Fails if a rule was violated, if the bytes sent by a machine grow
    /// more than fourfold from the smallest to the largest size, or if the 99th percentile of the time until a change
    /// has reached the last edge machine is above 2 s (`applyMs`).
    pub fn run(&self) -> Result<(), String> {
        let sizes: &[usize] = if self.quick {
            &[9, 30]
        } else {
            &[9, 30, 90, 300, 500]
        };
        println!("5 requests a second in all; a unit of each service to each edge, 60 of each at most; 1% of letters lost");
        println!(
            "{:>6} {:>6} {:>18} {:>14} {:>16} {:>24} {:>8}",
            "edges",
            "seeds",
            "B/s a machine",
            "most B/s",
            "letters/s each",
            "change to the last (ms)",
            "sim/s"
        );
        let (mut bytes, mut spread) = (Vec::new(), Vec::new());
        let mut failures = Vec::new();
        for &edges in sizes {
            if edges > self.max_edges {
                continue;
            }
            let seeds = if self.quick { 5 } else { self.seeds };
            let seeds = if edges > 90 { seeds.min(2) } else { seeds };
            let began = std::time::Instant::now();
            let reports: Vec<_> = (1..=seeds)
                .into_par_iter()
                .map(|seed| simulate(&scenario(edges, seed)))
                .collect();
            let wall_s = began.elapsed().as_secs_f64();
            let mean = |value: &dyn Fn(&beechcroft_simulator::cluster::Report) -> f64| {
                reports.iter().map(value).sum::<f64>() / reports.len() as f64
            };
            let mut spread_ms: Vec<u64> = reports
                .iter()
                .flat_map(|report| report.config_spread_ms.clone())
                .collect();
            spread_ms.sort_unstable();
            let quantile = |q: f64| {
                spread_ms
                    .get(((spread_ms.len() as f64 - 1.0) * q) as usize)
                    .copied()
                    .unwrap_or(0)
            };
            let per_edge = mean(&|r| r.edge_bytes.0);
            println!(
                "{edges:>6} {seeds:>6} {per_edge:>18.0} {:>14.0} {:>16.1} {:>24} {:>8.1}",
                mean(&|r| r.edge_bytes.1),
                mean(&|r| r.counts.datagrams as f64 / r.simulated_s / (edges + 5) as f64),
                format!("{} / {} / {}", quantile(0.5), quantile(0.99), quantile(1.0)),
                mean(&|r| r.simulated_s) * seeds as f64 / wall_s,
            );
            bytes.push((edges as f64, per_edge / 1000.0));
            spread.push((edges as f64, quantile(0.99) as f64));
            for report in &reports {
                for violation in &report.verdict.violations {
                    failures.push(format!(
                        "{edges} edges: {}: {}",
                        violation.rule, violation.example
                    ));
                }
            }
        }
        let [first, last] = [bytes[0].1, bytes[bytes.len() - 1].1];
        if last > 4.0 * first {
            failures.push(format!(
                "bytes a machine grow from {first:.1} to {last:.1} kB/s"
            ));
        }
        if spread.iter().any(|point| point.1 > 2000.0) {
            failures.push("a change takes more than 2 s (applyMs)".into());
        }
        if let Some(folder) = &self.out {
            std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
            let lines = [("bytes a machine".to_owned(), bytes)];
            let title = "What an edge machine sends, by their number";
            crate::chart::write_lines(
                &folder.join("size.svg"),
                title,
                "edge machines",
                "kB/s",
                &lines,
            )?;
            let lines = [("99 of 100 changes".to_owned(), spread)];
            let title = "From an acknowledged change to the last edge machine";
            crate::chart::write_lines(
                &folder.join("change.svg"),
                title,
                "edge machines",
                "ms",
                &lines,
            )?;
        }
        match failures.len() {
            0 => Ok(()),
            count => Err(format!(
                "{count} claims do not hold:\n  {}",
                failures.join("\n  ")
            )),
        }
    }
}
