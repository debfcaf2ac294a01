//! The subcommands `sweep`, `compare` and `report`: play one scenario with several values of a key, compare two
//! settings on paired seeds, and write the results of scenarios as a table and charts.

use crate::cluster::{play_timed, print_header, print_row};
use beechcroft_simulator::cluster::{simulate, Report, Scenario};
use clap::Args;
use rand::{RngExt, SeedableRng};
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Reads a scenario file with some keys overridden; the result passes the same checks as a file.
fn read_with_overrides(
    file: &Path,
    sets: &[(String, String)],
    seed: Option<u64>,
) -> Result<Scenario, String> {
    let in_file = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
    let text = std::fs::read_to_string(file).map_err(|e| in_file(&e))?;
    let mut table: toml::Table = toml::from_str(&text).map_err(|e| in_file(&e))?;
    for (key, value) in sets {
        let entry: toml::Table =
            toml::from_str(&format!("{key} = {value}")).map_err(|e| in_file(&e))?;
        table.extend(entry);
    }
    let mut scenario = Scenario::read(&table.to_string()).map_err(|e| in_file(&e))?;
    scenario.seed = seed.unwrap_or(scenario.seed);
    Ok(scenario)
}

/// Splits `KEY=VALUE`.
fn key_and_value(set: &str) -> Result<(String, String), String> {
    let (key, value) = set
        .split_once('=')
        .ok_or(format!("`{set}` is not KEY=VALUE"))?;
    Ok((key.trim().to_owned(), value.trim().to_owned()))
}

/// Percentage of requests that were served.
fn served_percent(report: &Report) -> f64 {
    100.0 * report.verdict.served as f64 / report.verdict.requests.max(1) as f64
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let all: Vec<f64> = values.collect();
    all.iter().sum::<f64>() / all.len().max(1) as f64
}

#[derive(Args)]
pub struct Sweep {
    /// Scenario file (.toml).
    file: PathBuf,
    /// Scenario key and the values to play: KEY=A,B,C.
    #[arg(long)]
    set: String,
    /// Seeds for each value.
    #[arg(long, default_value_t = 8)]
    seeds: u64,
    /// Folder for a chart of the 99th percentile latency by value.
    #[arg(long)]
    out: Option<PathBuf>,
}

impl Sweep {
    /// Plays all values and prints a row for each; fails if a rule was violated.
    pub fn run(&self) -> Result<(), String> {
        let (key, values) = key_and_value(&self.set)?;
        let mut points = Vec::new();
        let mut total_violations = 0;
        println!(
            "{key:>14} {:>9} {:>8} {:>8} {:>10} {:>7}",
            "served %", "p50 ms", "p99 ms", "B/s edge", "broken"
        );
        for value in values.split(',') {
            let sets = [(key.clone(), value.trim().to_owned())];
            let scenarios: Result<Vec<Scenario>, String> = (1..=self.seeds)
                .map(|seed| read_with_overrides(&self.file, &sets, Some(seed)))
                .collect();
            let reports: Vec<Report> = scenarios?.par_iter().map(simulate).collect();
            let violations: usize = reports
                .iter()
                .map(|report| report.verdict.violations.len())
                .sum();
            let p99 = mean(reports.iter().map(|r| r.verdict.p99_ms as f64));
            println!(
                "{value:>14} {:>9.2} {:>8.0} {p99:>8.0} {:>10.0} {violations:>7}",
                mean(reports.iter().map(served_percent)),
                mean(reports.iter().map(|r| r.verdict.p50_ms as f64)),
                mean(reports.iter().map(|r| r.edge_bytes.0)),
            );
            total_violations += violations;
            points.extend(value.trim().parse::<f64>().ok().map(|x| (x, p99)));
        }
        if let Some(folder) = &self.out {
            let lines = [("99th percentile".to_owned(), points)];
            std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
            crate::chart::write_lines(
                &folder.join("sweep.svg"),
                &format!("By {key}"),
                &key,
                "ms",
                &lines,
            )?;
        }
        if total_violations > 0 {
            Err(format!("{total_violations} rules are broken"))
        } else {
            Ok(())
        }
    }
}

/// A metric's title and its value in a report.
type Metric = (&'static str, fn(&Report) -> f64);

#[derive(Args)]
pub struct Compare {
    /// Scenario file (.toml).
    file: PathBuf,
    /// KEY=VALUE for the first side; may be given several times.
    #[arg(long)]
    set: Vec<String>,
    /// KEY=VALUE for the second side; may be given several times.
    #[arg(long)]
    against: Vec<String>,
    /// Number of paired seeds.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
}

/// The mean of paired differences and its 95% bootstrap interval, from 2000 resamples.
fn bootstrap_interval(differences: &[f64]) -> (f64, f64, f64) {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    let count = differences.len();
    let mut means: Vec<f64> = (0..2000)
        .map(|_| {
            (0..count)
                .map(|_| differences[rng.random_range(0..count)])
                .sum::<f64>()
                / count as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    (mean(differences.iter().copied()), means[49], means[1949])
}

impl Compare {
    /// Plays both sides and prints the mean difference of each metric with its interval; fails if a rule was violated.
    pub fn run(&self) -> Result<(), String> {
        let sides = [&self.set, &self.against];
        let sides: Result<Vec<Vec<(String, String)>>, String> = sides
            .iter()
            .map(|sets| sets.iter().map(|set| key_and_value(set)).collect())
            .collect();
        let sides = sides?;
        let mut reports: Vec<Vec<Report>> = Vec::new();
        for sets in &sides {
            let scenarios: Result<Vec<Scenario>, String> = (1..=self.seeds)
                .map(|seed| read_with_overrides(&self.file, sets, Some(seed)))
                .collect();
            reports.push(scenarios?.par_iter().map(simulate).collect());
        }
        println!(
            "{} paired seeds; the first side less the other, with a 95% interval",
            self.seeds
        );
        let metrics: [Metric; 4] = [
            ("served, % of requests", served_percent),
            ("p50, ms", |r| r.verdict.p50_ms as f64),
            ("p99, ms", |r| r.verdict.p99_ms as f64),
            ("bytes a second and edge", |r| r.edge_bytes.0),
        ];
        for (name, metric) in metrics {
            let differences: Vec<f64> = reports[0]
                .iter()
                .zip(&reports[1])
                .map(|(first, second)| metric(first) - metric(second))
                .collect();
            let (difference, low, high) = bootstrap_interval(&differences);
            let means = [0, 1].map(|side| mean(reports[side].iter().map(metric)));
            println!(
                "{name:<26} {:>10.2} {:>10.2}   {difference:+.3} ({low:+.3} to {high:+.3})",
                means[0], means[1]
            );
        }
        let total_violations: usize = reports
            .iter()
            .flatten()
            .map(|report| report.verdict.violations.len())
            .sum();
        if total_violations > 0 {
            Err(format!("{total_violations} rules are broken"))
        } else {
            Ok(())
        }
    }
}

#[derive(Args)]
pub struct WriteReport {
    /// Scenario files (.toml).
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Folder for report.md and one chart for each scenario.
    #[arg(long)]
    out: PathBuf,
}

impl WriteReport {
    /// Plays the scenarios and writes the report; fails if a rule was violated.
    pub fn run(&self) -> Result<(), String> {
        let in_folder = |e: std::io::Error| format!("{}: {e}", self.out.display());
        std::fs::create_dir_all(&self.out).map_err(in_folder)?;
        let mut text = String::from(
            "| scenario | what goes wrong | requests | served | p50 ms | p99 ms | broken rules |\n| --- | --- | --- | --- | --- | --- | --- |\n",
        );
        print_header();
        let mut total_violations = 0;
        for file in &self.files {
            let scenario = crate::cluster::read_scenario(file)?;
            let (report, wall_s) = play_timed(&scenario);
            print_row(&scenario, &report, wall_s);
            let verdict = &report.verdict;
            let rules: Vec<&str> = verdict
                .violations
                .iter()
                .map(|violation| violation.rule)
                .collect();
            total_violations += rules.len();
            text += &format!(
                "| {} | {} | {} | {:.2}% | {} | {} | {} |\n",
                scenario.name,
                scenario.description,
                verdict.requests,
                served_percent(&report),
                verdict.p50_ms,
                verdict.p99_ms,
                if rules.is_empty() {
                    "none".into()
                } else {
                    rules.join(", ")
                }
            );
            // Attempts by the second in which they were sent: all, and those answered with a 2xx status.
            let mut by_second: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
            for attempt in report
                .history
                .attempts
                .values()
                .filter(|attempt| attempt.route != "probe")
            {
                let served = attempt
                    .answer
                    .as_ref()
                    .is_some_and(|a| a.status.is_some_and(|s| s / 100 == 2));
                let counts = by_second.entry(attempt.at / 1000).or_default();
                *counts = (counts.0 + 1.0, counts.1 + f64::from(u8::from(served)));
            }
            let points = |count: fn(&(f64, f64)) -> f64| {
                by_second
                    .iter()
                    .map(|(second, counts)| (*second as f64, count(counts)))
                    .collect()
            };
            let lines = [
                ("tries".to_owned(), points(|counts| counts.0)),
                ("served".to_owned(), points(|counts| counts.1)),
            ];
            let chart = self.out.join(format!("{}.svg", scenario.name));
            crate::chart::write_lines(&chart, &scenario.name, "seconds", "tries a second", &lines)?;
        }
        std::fs::write(self.out.join("report.md"), text).map_err(in_folder)?;
        if total_violations > 0 {
            Err(format!("{total_violations} rules are broken"))
        } else {
            Ok(())
        }
    }
}
