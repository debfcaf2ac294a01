//! `size`: what each machine spends by the number of edge machines, and how long a change takes to the last of them.

use beechcroft_simulator::cluster::scenario::{Event, What};
use beechcroft_simulator::cluster::{play, Scenario};
use clap::Args;
use rayon::prelude::*;
use std::path::PathBuf;

#[derive(Args)]
pub struct Size {
    /// 9 and 30 edge machines and 5 seeds only; else up to 500, and 100 seeds with 90.
    #[arg(long)]
    quick: bool,
    /// Seeds for each number up to 90; larger ones have 2.
    #[arg(long, default_value_t = 100)]
    seeds: u64,
    /// The largest number of edge machines.
    #[arg(long, default_value_t = 500)]
    most: usize,
    /// Folder for the charts.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// So many edge machines with a unit of each service to each, 60 of each at most, and few requests: what is
/// measured is what passes between proxies.
fn scenario(edges: usize, seed: u64) -> Scenario {
    let mut scenario = Scenario::read("name = \"size\"").expect("defaults are sound");
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
        scenario.spread,
    ) = (5.0, 14.0, 0.01, true);
    let change = |at| Event {
        at,
        what: What::Config {
            routes: 20,
            drop: false,
        },
    };
    scenario.event = vec![change(2.0), change(5.0), change(8.0)];
    scenario
}

impl Size {
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
        let (mut bytes, mut ways) = (Vec::new(), Vec::new());
        let mut broken = Vec::new();
        for &edges in sizes {
            if edges > self.most {
                continue;
            }
            let seeds = if self.quick { 5 } else { self.seeds };
            let seeds = if edges > 90 { seeds.min(2) } else { seeds };
            let began = std::time::Instant::now();
            let reports: Vec<_> = (1..=seeds)
                .into_par_iter()
                .map(|seed| play(&scenario(edges, seed)))
                .collect();
            let wall_s = began.elapsed().as_secs_f64();
            let mean = |of: &dyn Fn(&beechcroft_simulator::cluster::Report) -> f64| {
                reports.iter().map(of).sum::<f64>() / reports.len() as f64
            };
            let mut took: Vec<u64> = reports
                .iter()
                .flat_map(|report| report.spread_ms.clone())
                .collect();
            took.sort_unstable();
            let at = |part: f64| {
                took.get(((took.len() as f64 - 1.0) * part) as usize)
                    .copied()
                    .unwrap_or(0)
            };
            let each = mean(&|r| r.edge_bytes.0);
            println!(
                "{edges:>6} {seeds:>6} {each:>18.0} {:>14.0} {:>16.1} {:>24} {:>8.1}",
                mean(&|r| r.edge_bytes.1),
                mean(&|r| r.counts.letters as f64 / r.simulated_s / (edges + 5) as f64),
                format!("{} / {} / {}", at(0.5), at(0.99), at(1.0)),
                mean(&|r| r.simulated_s) * seeds as f64 / wall_s,
            );
            bytes.push((edges as f64, each / 1000.0));
            ways.push((edges as f64, at(0.99) as f64));
            for report in &reports {
                for violation in &report.verdict.violations {
                    broken.push(format!(
                        "{edges} edges: {}: {}",
                        violation.rule, violation.story
                    ));
                }
            }
        }
        let [first, last] = [bytes[0].1, bytes[bytes.len() - 1].1];
        if last > 4.0 * first {
            broken.push(format!(
                "bytes a machine grow from {first:.1} to {last:.1} kB/s"
            ));
        }
        if ways.iter().any(|way| way.1 > 2000.0) {
            broken.push("a change takes more than 2 s, which is applyMs".into());
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
            let lines = [("99 of 100 changes".to_owned(), ways)];
            let title = "From an acknowledged change to the last edge machine";
            crate::chart::write_lines(
                &folder.join("change.svg"),
                title,
                "edge machines",
                "ms",
                &lines,
            )?;
        }
        match broken.len() {
            0 => Ok(()),
            count => Err(format!(
                "{count} claims do not hold:\n  {}",
                broken.join("\n  ")
            )),
        }
    }
}
