//! The subcommands `run`, `search` and `shrink`: scenarios of the whole system, played in the deterministic simulator
//! and judged by its checker. The functions that read, play and print a scenario are also used by `comparisons` and
//! `plan`.

use beechcroft_simulator::cluster::generator::generate;
use beechcroft_simulator::cluster::{simulate, Report, Scenario};
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use tokio::signal::unix::{signal, SignalKind};

/// Reads a scenario file; an error names the file, the key and the line.
pub fn read_scenario(file: &Path) -> Result<Scenario, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Scenario::read(&text).map_err(|error| format!("{}: {error}", file.display()))
}

#[derive(Args)]
pub struct Run {
    /// Scenario files (.toml).
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Seed to use instead of the one in the file.
    #[arg(long)]
    seed: Option<u64>,
    /// Log level of the simulated programs, for all machines together: error, warn, info or debug.
    #[arg(long)]
    log: Option<String>,
}

/// Prints the column headers for [`print_row`].
pub fn print_header() {
    println!(
        "{:<28} {:>6} {:>8} {:>7} {:>7} {:>8} {:>9} {:>7}  broken rules, duties missed",
        "scenario", "seed", "requests", "served", "p50 ms", "p99 ms", "B/s edge", "sim/s"
    );
}

/// Prints the result of one scenario as a row: traffic figures, then violated rules, missed duties and operator calls
/// that were never acknowledged.
pub fn print_row(scenario: &Scenario, report: &Report, wall_s: f64) {
    let verdict = &report.verdict;
    let mut findings: Vec<String> = verdict
        .violations
        .iter()
        .map(|violation| format!("{} x{}", violation.rule, violation.count))
        .collect();
    findings.extend(
        verdict
            .missed_rollouts
            .iter()
            .map(|duty| format!("duty: {duty}")),
    );
    findings.extend(
        report
            .unacknowledged
            .iter()
            .map(|call| format!("unacknowledged: {call}")),
    );
    println!(
        "{:<28} {:>6} {:>8} {:>6.1}% {:>7} {:>8} {:>9.0} {:>7.1}  {}",
        scenario.name,
        scenario.seed,
        verdict.requests,
        100.0 * verdict.served as f64 / verdict.requests.max(1) as f64,
        verdict.p50_ms,
        verdict.p99_ms,
        report.edge_bytes.0,
        report.simulated_s / wall_s.max(1e-9),
        if findings.is_empty() {
            "none".to_owned()
        } else {
            findings.join("; ")
        },
    );
}

/// Plays a scenario; returns its report and the wall-clock time in seconds.
pub fn play_timed(scenario: &Scenario) -> (Report, f64) {
    let began = std::time::Instant::now();
    let report = simulate(scenario);
    (report, began.elapsed().as_secs_f64())
}

impl Run {
    /// Plays each scenario and prints its result; fails if any rule was violated.
    pub fn run(&self) -> Result<(), String> {
        let logger = self.log.as_ref().map(|level| {
            flexi_logger::Logger::try_with_str(level)
                .and_then(|logger| logger.log_to_stdout().start())
        });
        let _logger = logger.transpose().map_err(|e| e.to_string())?;
        print_header();
        let mut violations = 0;
        for file in &self.files {
            let mut scenario = read_scenario(file)?;
            scenario.seed = self.seed.unwrap_or(scenario.seed);
            let (report, wall_s) = play_timed(&scenario);
            print_row(&scenario, &report, wall_s);
            if !report.config_spread_ms.is_empty() {
                println!(
                    "  changes at the last edge machine after, ms: {:?}",
                    report.config_spread_ms
                );
            }
            for violation in &report.verdict.violations {
                println!("  {}: {}", violation.rule, violation.example);
            }
            violations += report.verdict.violations.len();
        }
        match violations {
            0 => Ok(()),
            count => Err(format!("{count} rules are broken")),
        }
    }
}

fn progress_bar(length: u64) -> ProgressBar {
    let style = "{elapsed_precise} {wide_bar} {pos}/{len} {eta}";
    ProgressBar::new(length)
        .with_style(ProgressStyle::with_template(style).expect("the template is valid"))
}

#[derive(Args)]
pub struct Search {
    /// Number of random scenarios to generate and play.
    #[arg(long, default_value_t = 100)]
    days: u64,
    /// Seed of the first scenario; the others follow it.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Edge machines in each scenario.
    #[arg(long, default_value_t = 9)]
    edges: usize,
    /// Core machines in each scenario.
    #[arg(long, default_value_t = 3)]
    cores: usize,
    /// Scenarios played in parallel; 0 means one per processor.
    #[arg(long, default_value_t = 0)]
    jobs: usize,
    /// Folder for the scenarios that violated a rule or missed a duty, as input to `run` and `shrink`.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Running totals of a search.
#[derive(Default)]
struct Tally {
    days: u64,
    requests: usize,
    served: usize,
    simulated_s: f64,
    violations: usize,
    /// Scenarios with at least one violated rule.
    failed_scenarios: u64,
    /// Missed duties and operator calls that were never acknowledged.
    duties: usize,
    /// The five lowest served fractions with their seeds, lowest first.
    lowest_served: Vec<(f64, u64)>,
}

impl Tally {
    /// Adds one scenario; returns a line for each violated rule, missed duty and unacknowledged operator call.
    fn record(&mut self, scenario: &Scenario, report: &Report) -> Vec<String> {
        let Report {
            verdict,
            unacknowledged,
            simulated_s,
            ..
        } = report;
        self.days += 1;
        self.requests += verdict.requests;
        self.served += verdict.served;
        self.simulated_s += simulated_s;
        self.violations += verdict.violations.len();
        self.failed_scenarios += u64::from(!verdict.violations.is_empty());
        self.duties += verdict.missed_rollouts.len() + unacknowledged.len();
        self.lowest_served.push((
            verdict.served as f64 / verdict.requests.max(1) as f64,
            scenario.seed,
        ));
        self.lowest_served.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.lowest_served.truncate(5);
        let violations = verdict.violations.iter();
        let violations =
            violations.map(|v| format!("{} {} x{}: {}", scenario.name, v.rule, v.count, v.example));
        let missed = verdict.missed_rollouts.iter().chain(unacknowledged);
        violations
            .chain(missed.map(|duty| format!("{} missed: {duty}", scenario.name)))
            .collect()
    }
}

/// Installs handlers for SIGINT and SIGTERM and returns the flag that the first signal sets: scenarios that run are
/// finished, no other is started. The second signal exits the process with code 130.
fn install_stop_flag() -> &'static AtomicBool {
    static STOP: AtomicBool = AtomicBool::new(false);
    std::thread::spawn(|| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime
            .expect("the runtime for signal handling can be built")
            .block_on(async {
                let mut term =
                    signal(SignalKind::terminate()).expect("a SIGTERM handler can be installed");
                let mut int =
                    signal(SignalKind::interrupt()).expect("a SIGINT handler can be installed");
                loop {
                    tokio::select! {
                        _ = term.recv() => {}
                        _ = int.recv() => {}
                    }
                    if STOP.swap(true, Ordering::Relaxed) {
                        std::process::exit(130);
                    }
                }
            });
    });
    &STOP
}

impl Search {
    /// Generates and plays the scenarios, prints findings and totals; fails if any rule was violated.
    pub fn run(&self) -> Result<(), String> {
        let bar = progress_bar(self.days);
        let began = std::time::Instant::now();
        let stop = install_stop_flag();
        let pool = rayon::ThreadPoolBuilder::new()
            .num_threads(self.jobs)
            .build();
        let pool = pool.map_err(|e| e.to_string())?;
        if let Some(folder) = &self.out {
            std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        }
        let tally = Mutex::new(Tally::default());
        let seeds = (self.from..self.from + self.days).into_par_iter();
        let searched = pool.install(|| {
            seeds.try_for_each(|seed| {
                if stop.load(Ordering::Relaxed) {
                    return Ok(());
                }
                let scenario = generate(seed, self.edges, self.cores);
                let played = std::panic::catch_unwind(|| simulate(&scenario));
                let lines = match played {
                    Ok(report) => tally
                        .lock()
                        .expect("the lock is not held across a panic")
                        .record(&scenario, &report),
                    Err(_) => {
                        tally
                            .lock()
                            .expect("the lock is not held across a panic")
                            .violations += 1;
                        vec![format!("{}: the world itself panicked", scenario.name)]
                    }
                };
                bar.inc(1);
                if lines.is_empty() {
                    return Ok(());
                }
                bar.suspend(|| lines.iter().for_each(|line| println!("{line}")));
                let Some(folder) = &self.out else {
                    return Ok(());
                };
                let file = folder.join(format!("{}-{}.toml", scenario.name, self.cores));
                std::fs::write(&file, scenario.text())
                    .map_err(|e| format!("{}: {e}", file.display()))
            })
        });
        bar.finish_and_clear();
        let tally = tally
            .into_inner()
            .expect("the lock is not held across a panic");
        let lowest_served: Vec<String> = tally
            .lowest_served
            .iter()
            .map(|(fraction, seed)| format!("{:.1}% ({seed})", fraction * 100.0))
            .collect();
        let interrupted = if stop.load(Ordering::Relaxed) {
            ", interrupted"
        } else {
            ""
        };
        println!(
            "{} days of {} edges and {} core machines{interrupted}, {} requests, {:.2}% served, {} rules broken on {} days; {:.0} simulated seconds, {:.0} a second",
            tally.days,
            self.edges,
            self.cores,
            tally.requests,
            100.0 * tally.served as f64 / tally.requests.max(1) as f64,
            tally.violations,
            tally.failed_scenarios,
            tally.simulated_s,
            tally.simulated_s / began.elapsed().as_secs_f64(),
        );
        println!(
            "least served (seed): {}; {} duties or orders missed",
            lowest_served.join(", "),
            tally.duties
        );
        searched?;
        match tally.violations {
            0 => Ok(()),
            count => Err(format!("{count} rules are broken")),
        }
    }
}

#[derive(Args)]
pub struct Shrink {
    /// A scenario that violates a rule.
    file: PathBuf,
    /// File for the smallest scenario; not written if no rule is violated.
    #[arg(long)]
    out: Option<PathBuf>,
}

impl Shrink {
    /// Removes one event or network fault at a time, for as long as the first violated rule stays violated; prints the
    /// smallest scenario.
    pub fn run(&self) -> Result<(), String> {
        let mut smallest = read_scenario(&self.file)?;
        let violated_rules = |scenario: &Scenario| {
            simulate(scenario)
                .verdict
                .violations
                .iter()
                .map(|violation| violation.rule)
                .collect::<Vec<_>>()
        };
        let rules = violated_rules(&smallest);
        let Some(&rule) = rules.first() else {
            return Err(format!(
                "{}: the scenario violates no rule; nothing to shrink",
                self.file.display()
            ));
        };
        let before = smallest.event.len();
        // Candidates in order: one event less, half of the lost datagrams, one sync fault less, no random loss. The
        // first that still violates the rule is the start of the next round.
        loop {
            let candidates = |smallest: &Scenario| -> Vec<Scenario> {
                let events = (0..smallest.event.len()).map(|at| {
                    let mut candidate = smallest.clone();
                    candidate.event.remove(at);
                    candidate
                });
                let datagrams = (!smallest.lost_datagrams.is_empty()).then(|| {
                    let mut candidate = smallest.clone();
                    candidate
                        .lost_datagrams
                        .truncate(smallest.lost_datagrams.len() / 2);
                    candidate
                });
                let sync_faults = (!smallest.sync_faults.is_empty()).then(|| {
                    let mut candidate = smallest.clone();
                    candidate.sync_faults.pop();
                    candidate
                });
                let lossless = (smallest.loss > 0.0).then(|| Scenario {
                    loss: 0.0,
                    ..smallest.clone()
                });
                events
                    .chain(datagrams)
                    .chain(sync_faults)
                    .chain(lossless)
                    .collect()
            };
            let found = candidates(&smallest)
                .into_par_iter()
                .find_first(|candidate| violated_rules(candidate).contains(&rule));
            match found {
                Some(candidate) => smallest = candidate,
                None => break,
            }
        }
        println!(
            "{rule}: {before} events, {} are enough",
            smallest.event.len()
        );
        let text = smallest.text();
        print!("{text}");
        for violation in simulate(&smallest).verdict.violations {
            println!("# {}: {}", violation.rule, violation.example);
        }
        match &self.out {
            Some(file) => {
                std::fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))
            }
            None => Ok(()),
        }
    }
}
