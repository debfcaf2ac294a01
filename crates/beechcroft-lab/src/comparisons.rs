//! `sweep`, `compare`, `report`: one scenario under several values of a key, two values on paired seeds, and what is
//! kept of a run: tables and charts.

use crate::cluster::{play_timed, print_header, print_row};
use beechcroft_simulator::cluster::{play, Report, Scenario};
use clap::Args;
use rand::{RngExt, SeedableRng};
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// A scenario's file with some keys set anew, read with all checks.
fn with(file: &Path, sets: &[(String, String)], seed: Option<u64>) -> Result<Scenario, String> {
    let said = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
    let text = std::fs::read_to_string(file).map_err(|e| said(&e))?;
    let mut table: toml::Table = toml::from_str(&text).map_err(|e| said(&e))?;
    for (key, value) in sets {
        let one: toml::Table = toml::from_str(&format!("{key} = {value}")).map_err(|e| said(&e))?;
        table.extend(one);
    }
    let mut scenario = Scenario::read(&table.to_string()).map_err(|e| said(&e))?;
    scenario.seed = seed.unwrap_or(scenario.seed);
    Ok(scenario)
}

fn pair(set: &str) -> Result<(String, String), String> {
    let (key, value) = set
        .split_once('=')
        .ok_or(format!("`{set}` is not KEY=VALUE"))?;
    Ok((key.trim().to_owned(), value.trim().to_owned()))
}

fn served(report: &Report) -> f64 {
    100.0 * report.verdict.served as f64 / report.verdict.requests.max(1) as f64
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let all: Vec<f64> = values.collect();
    all.iter().sum::<f64>() / all.len().max(1) as f64
}

#[derive(Args)]
pub struct Sweep {
    file: PathBuf,
    /// A key of the scenario and its values: KEY=A,B,C.
    #[arg(long)]
    set: String,
    #[arg(long, default_value_t = 8)]
    seeds: u64,
    /// Folder for a chart of the 99th percentile by value.
    #[arg(long)]
    out: Option<PathBuf>,
}

impl Sweep {
    pub fn run(&self) -> Result<(), String> {
        let (key, values) = pair(&self.set)?;
        let mut points = Vec::new();
        let mut broken = 0;
        println!(
            "{key:>14} {:>9} {:>8} {:>8} {:>10} {:>7}",
            "served %", "p50 ms", "p99 ms", "B/s edge", "broken"
        );
        for value in values.split(',') {
            let sets = [(key.clone(), value.trim().to_owned())];
            let days: Result<Vec<Scenario>, String> = (1..=self.seeds)
                .map(|seed| with(&self.file, &sets, Some(seed)))
                .collect();
            let reports: Vec<Report> = days?.par_iter().map(play).collect();
            let rules: usize = reports
                .iter()
                .map(|report| report.verdict.violations.len())
                .sum();
            let p99 = mean(reports.iter().map(|r| r.verdict.p99_ms as f64));
            println!(
                "{value:>14} {:>9.2} {:>8.0} {p99:>8.0} {:>10.0} {rules:>7}",
                mean(reports.iter().map(served)),
                mean(reports.iter().map(|r| r.verdict.p50_ms as f64)),
                mean(reports.iter().map(|r| r.edge_bytes.0)),
            );
            broken += rules;
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
        if broken > 0 {
            Err(format!("{broken} rules are broken"))
        } else {
            Ok(())
        }
    }
}

/// A figure's name, and how it is read off a report.
type Figure = (&'static str, fn(&Report) -> f64);

#[derive(Args)]
pub struct Compare {
    file: PathBuf,
    /// KEY=VALUE of the one side; several may be given.
    #[arg(long)]
    set: Vec<String>,
    /// KEY=VALUE of the other side.
    #[arg(long)]
    against: Vec<String>,
    #[arg(long, default_value_t = 20)]
    seeds: u64,
}

/// The mean of paired differences, and what 95 of 100 drawn samples of them lie between.
fn bootstrap(differences: &[f64]) -> (f64, f64, f64) {
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
    pub fn run(&self) -> Result<(), String> {
        let sides = [&self.set, &self.against];
        let sides: Result<Vec<Vec<(String, String)>>, String> = sides
            .iter()
            .map(|sets| sets.iter().map(|set| pair(set)).collect())
            .collect();
        let sides = sides?;
        let mut played: Vec<Vec<Report>> = Vec::new();
        for sets in &sides {
            let days: Result<Vec<Scenario>, String> = (1..=self.seeds)
                .map(|seed| with(&self.file, sets, Some(seed)))
                .collect();
            played.push(days?.par_iter().map(play).collect());
        }
        println!(
            "{} paired seeds; the first side less the other, with a 95% interval",
            self.seeds
        );
        let figures: [Figure; 4] = [
            ("served, % of requests", served),
            ("p50, ms", |r| r.verdict.p50_ms as f64),
            ("p99, ms", |r| r.verdict.p99_ms as f64),
            ("bytes a second and edge", |r| r.edge_bytes.0),
        ];
        for (name, of) in figures {
            let differences: Vec<f64> = played[0]
                .iter()
                .zip(&played[1])
                .map(|(one, other)| of(one) - of(other))
                .collect();
            let (mid, low, high) = bootstrap(&differences);
            let sides = [0, 1].map(|side| mean(played[side].iter().map(of)));
            println!(
                "{name:<26} {:>10.2} {:>10.2}   {mid:+.3} ({low:+.3} to {high:+.3})",
                sides[0], sides[1]
            );
        }
        let broken: usize = played
            .iter()
            .flatten()
            .map(|report| report.verdict.violations.len())
            .sum();
        if broken > 0 {
            Err(format!("{broken} rules are broken"))
        } else {
            Ok(())
        }
    }
}

#[derive(Args)]
pub struct WriteReport {
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Folder for report.md and a chart for each scenario.
    #[arg(long)]
    out: PathBuf,
}

impl WriteReport {
    pub fn run(&self) -> Result<(), String> {
        let said = |e: std::io::Error| format!("{}: {e}", self.out.display());
        std::fs::create_dir_all(&self.out).map_err(said)?;
        let mut text = String::from(
            "| scenario | what goes wrong | requests | served | p50 ms | p99 ms | broken rules |\n| --- | --- | --- | --- | --- | --- | --- |\n",
        );
        print_header();
        let mut broken = 0;
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
            broken += rules.len();
            text += &format!(
                "| {} | {} | {} | {:.2}% | {} | {} | {} |\n",
                scenario.name,
                scenario.about,
                verdict.requests,
                served(&report),
                verdict.p50_ms,
                verdict.p99_ms,
                if rules.is_empty() {
                    "none".into()
                } else {
                    rules.join(", ")
                }
            );
            // Tries by the second in which they were sent: all, and those that were answered with a success.
            let mut seconds: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
            for asked in report
                .history
                .asked
                .values()
                .filter(|asked| asked.route != "probe")
            {
                let fine = asked
                    .answer
                    .as_ref()
                    .is_some_and(|a| a.status.is_some_and(|s| s / 100 == 2));
                let second = seconds.entry(asked.at / 1000).or_default();
                *second = (second.0 + 1.0, second.1 + f64::from(u8::from(fine)));
            }
            let of = |which: fn(&(f64, f64)) -> f64| {
                seconds
                    .iter()
                    .map(|(second, both)| (*second as f64, which(both)))
                    .collect()
            };
            let lines = [
                ("tries".to_owned(), of(|both| both.0)),
                ("served".to_owned(), of(|both| both.1)),
            ];
            let chart = self.out.join(format!("{}.svg", scenario.name));
            crate::chart::write_lines(&chart, &scenario.name, "seconds", "tries a second", &lines)?;
        }
        std::fs::write(self.out.join("report.md"), text).map_err(said)?;
        if broken > 0 {
            Err(format!("{broken} rules are broken"))
        } else {
            Ok(())
        }
    }
}
