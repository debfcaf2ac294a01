//! `run`, `sweep`, `compare`, `search`, `shrink`, `report`: days of the whole system in the project's own world.

use beechcroft_simulator::cluster::generator::generate;
use beechcroft_simulator::cluster::{simulate, Report, Scenario};
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use tokio::signal::unix::{signal, SignalKind};

/// Reads a scenario; a fault names the file, the key and the line.
pub fn read(file: &Path) -> Result<Scenario, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Scenario::read(&text).map_err(|said| format!("{}: {said}", file.display()))
}

#[derive(Args)]
pub struct Run {
    /// Scenarios (.toml).
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Another seed than the file's.
    #[arg(long)]
    seed: Option<u64>,
    /// What the programs log, of all machines together: error, warn, info or debug.
    #[arg(long)]
    log: Option<String>,
}

pub fn head() {
    println!(
        "{:<28} {:>6} {:>8} {:>7} {:>7} {:>8} {:>9} {:>7}  broken rules, duties missed",
        "scenario", "seed", "requests", "served", "p50 ms", "p99 ms", "B/s edge", "sim/s"
    );
}

pub fn line(scenario: &Scenario, report: &Report, wall_s: f64) {
    let verdict = &report.verdict;
    let mut said: Vec<String> = verdict
        .violations
        .iter()
        .map(|violation| format!("{} x{}", violation.rule, violation.count))
        .collect();
    said.extend(
        verdict
            .missed_rollouts
            .iter()
            .map(|duty| format!("duty: {duty}")),
    );
    said.extend(
        report
            .unacknowledged
            .iter()
            .map(|order| format!("unacknowledged: {order}")),
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
        if said.is_empty() {
            "none".to_owned()
        } else {
            said.join("; ")
        },
    );
}

/// Plays one and says how long that took.
pub fn timed(scenario: &Scenario) -> (Report, f64) {
    let began = std::time::Instant::now();
    let report = simulate(scenario);
    (report, began.elapsed().as_secs_f64())
}

impl Run {
    pub fn run(&self) -> Result<(), String> {
        let logger = self.log.as_ref().map(|level| {
            flexi_logger::Logger::try_with_str(level)
                .and_then(|logger| logger.log_to_stdout().start())
        });
        let _held = logger.transpose().map_err(|e| e.to_string())?;
        head();
        let mut broken = 0;
        for file in &self.files {
            let mut scenario = read(file)?;
            scenario.seed = self.seed.unwrap_or(scenario.seed);
            let (report, wall_s) = timed(&scenario);
            line(&scenario, &report, wall_s);
            if !report.config_spread_ms.is_empty() {
                println!(
                    "  changes at the last edge machine after, ms: {:?}",
                    report.config_spread_ms
                );
            }
            for violation in &report.verdict.violations {
                println!("  {}: {}", violation.rule, violation.example);
            }
            broken += report.verdict.violations.len();
        }
        match broken {
            0 => Ok(()),
            count => Err(format!("{count} rules are broken")),
        }
    }
}

fn bar(length: u64) -> ProgressBar {
    let style = "{elapsed_precise} {wide_bar} {pos}/{len} {eta}";
    ProgressBar::new(length)
        .with_style(ProgressStyle::with_template(style).expect("a sound template"))
}

#[derive(Args)]
pub struct Search {
    /// Days that are drawn and played.
    #[arg(long, default_value_t = 100)]
    days: u64,
    /// The first of their seeds.
    #[arg(long, default_value_t = 1)]
    from: u64,
    #[arg(long, default_value_t = 9)]
    edges: usize,
    #[arg(long, default_value_t = 3)]
    cores: usize,
    /// Days played at a time; 0: as many as there are processors.
    #[arg(long, default_value_t = 0)]
    jobs: usize,
    /// Folder for what is found: a scenario each, to be run and shrunk.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// What days of a search add up to, so far.
#[derive(Default)]
struct Tally {
    days: u64,
    requests: usize,
    served: usize,
    simulated_s: f64,
    violations: usize,
    broken_days: u64,
    duties: usize,
    least: Vec<(f64, u64)>,
}

impl Tally {
    /// Takes a day in; the lines that say what it broke or missed.
    fn take(&mut self, scenario: &Scenario, report: &Report) -> Vec<String> {
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
        self.broken_days += u64::from(!verdict.violations.is_empty());
        self.duties += verdict.missed_rollouts.len() + unacknowledged.len();
        self.least.push((
            verdict.served as f64 / verdict.requests.max(1) as f64,
            scenario.seed,
        ));
        self.least.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.least.truncate(5);
        let violations = verdict.violations.iter();
        let violations =
            violations.map(|b| format!("{} {} x{}: {}", scenario.name, b.rule, b.count, b.example));
        let missed = verdict.missed_rollouts.iter().chain(unacknowledged);
        violations
            .chain(missed.map(|said| format!("{} missed: {said}", scenario.name)))
            .collect()
    }
}

/// Set by the first SIGINT or SIGTERM: no further day begins. The second one ends the program.
fn interrupted() -> &'static AtomicBool {
    static STOP: AtomicBool = AtomicBool::new(false);
    std::thread::spawn(|| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.expect("a runtime for signals").block_on(async {
            let mut term = signal(SignalKind::terminate()).expect("SIGTERM can be waited for");
            let mut int = signal(SignalKind::interrupt()).expect("SIGINT can be waited for");
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
    pub fn run(&self) -> Result<(), String> {
        let bar = bar(self.days);
        let began = std::time::Instant::now();
        let stop = interrupted();
        let pool = rayon::ThreadPoolBuilder::new()
            .num_threads(self.jobs)
            .build();
        let pool = pool.map_err(|e| e.to_string())?;
        if let Some(folder) = &self.out {
            std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        }
        let tally = Mutex::new(Tally::default());
        let seeds = (self.from..self.from + self.days).into_par_iter();
        let done = pool.install(|| {
            seeds.try_for_each(|seed| {
                if stop.load(Ordering::Relaxed) {
                    return Ok(());
                }
                let scenario = generate(seed, self.edges, self.cores);
                let played = std::panic::catch_unwind(|| simulate(&scenario));
                let lines = match played {
                    Ok(report) => tally
                        .lock()
                        .expect("no day panics here")
                        .take(&scenario, &report),
                    Err(_) => {
                        tally.lock().expect("no day panics here").violations += 1;
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
        let tally = tally.into_inner().expect("no day panics here");
        let least: Vec<String> = tally
            .least
            .iter()
            .map(|(part, seed)| format!("{:.1}% ({seed})", part * 100.0))
            .collect();
        let told = if stop.load(Ordering::Relaxed) {
            ", interrupted"
        } else {
            ""
        };
        println!(
            "{} days of {} edges and {} core machines{told}, {} requests, {:.2}% served, {} rules broken on {} days; {:.0} simulated seconds, {:.0} a second",
            tally.days,
            self.edges,
            self.cores,
            tally.requests,
            100.0 * tally.served as f64 / tally.requests.max(1) as f64,
            tally.violations,
            tally.broken_days,
            tally.simulated_s,
            tally.simulated_s / began.elapsed().as_secs_f64(),
        );
        println!(
            "least served (seed): {}; {} duties or orders missed",
            least.join(", "),
            tally.duties
        );
        done?;
        match tally.violations {
            0 => Ok(()),
            count => Err(format!("{count} rules are broken")),
        }
    }
}

#[derive(Args)]
pub struct Shrink {
    /// A scenario that breaks a rule.
    file: PathBuf,
    /// Where the smallest one goes; nothing is written if no rule is broken.
    #[arg(long)]
    out: Option<PathBuf>,
}

impl Shrink {
    pub fn run(&self) -> Result<(), String> {
        let mut smallest = read(&self.file)?;
        let breaks = |scenario: &Scenario| {
            simulate(scenario)
                .verdict
                .violations
                .iter()
                .map(|violation| violation.rule)
                .collect::<Vec<_>>()
        };
        let rules = breaks(&smallest);
        let Some(&rule) = rules.first() else {
            return Err(format!(
                "{}: no rule is broken, there is nothing to shrink",
                self.file.display()
            ));
        };
        let before = smallest.event.len();
        // One event, then one lost datagram or sync fault less, for as long as the rule is still broken.
        loop {
            let fewer = |smallest: &Scenario| -> Vec<Scenario> {
                let events = (0..smallest.event.len()).map(|at| {
                    let mut less = smallest.clone();
                    less.event.remove(at);
                    less
                });
                let letters = (!smallest.lost_datagrams.is_empty()).then(|| {
                    let mut less = smallest.clone();
                    less.lost_datagrams
                        .truncate(smallest.lost_datagrams.len() / 2);
                    less
                });
                let syncs = (!smallest.sync_faults.is_empty()).then(|| {
                    let mut less = smallest.clone();
                    less.sync_faults.pop();
                    less
                });
                let calm = (smallest.loss > 0.0).then(|| Scenario {
                    loss: 0.0,
                    ..smallest.clone()
                });
                events.chain(letters).chain(syncs).chain(calm).collect()
            };
            let found = fewer(&smallest)
                .into_par_iter()
                .find_first(|less| breaks(less).contains(&rule));
            match found {
                Some(less) => smallest = less,
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
