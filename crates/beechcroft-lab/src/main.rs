//! Command-line tool for experiments: some run proxies as processes on loopback, others play the whole system in the
//! simulator. Most print a table; some end with one JSON object and write charts to a folder. Timings and memory
//! figures of the loopback experiments depend on the machine, so no test asserts on them.

mod chart;
mod cluster;
mod comparisons;
mod connection_memory;
mod edge_load;
mod fleet;
mod holder;
mod hot_keys;
mod idle;
mod operator_calls;
mod outliers;
mod plan;
mod probe;
mod relay_load;
mod size;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Counts allocated bytes, for the experiments that run proxy code in this process. Each allocator call costs a counter
/// increment and an addition more.
#[global_allocator]
static ALLOCATED: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

/// Experiments with proxies on loopback and with the whole system in the simulator.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:
  cargo build --release --workspace
  target/release/beechcroft-lab idle --quick
  target/release/beechcroft-lab idle --out docs/results/connections"
)]
struct Cli {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Subcommand)]
enum Experiment {
    /// Many idle connections: memory and processor time for each, and whether requests are still answered in time.
    #[command(after_help = "Examples:
  beechcroft-lab idle --quick
  beechcroft-lab idle --idle 60000 --relays 4 --out results")]
    Idle(idle::Idle),
    /// Ways to hold an idle connection, with the bytes allocated for each.
    #[command(
        name = "ways",
        after_help = "Examples:
  beechcroft-lab ways"
    )]
    ConnectionMemory(connection_memory::ConnectionMemory),
    /// A hot key: how soon it is detected, over how many endpoints it is spread, and what that costs other keys.
    #[command(
        name = "crowd",
        after_help = "Examples:
  beechcroft-lab crowd --quick"
    )]
    HotKeys(hot_keys::HotKeys),
    /// Outlier detection from what proxies of all regions observe: how soon an endpoint is ejected, how often wrongly,
    /// and whether two proxies ever place writes for a key differently.
    #[command(
        name = "sight",
        after_help = "Examples:
  beechcroft-lab sight --quick"
    )]
    Outliers(outliers::Outliers),
    /// Plays scenarios of the whole system in the simulator, judged by its checker; exit code 1 if a rule is violated.
    #[command(after_help = "Examples:
  beechcroft-lab run examples/days/calm.toml
  beechcroft-lab run examples/days/*.toml --seed 7")]
    Run(cluster::Run),
    /// Generates random scenarios from all faults and looks for a violated rule; exit code 1 if there is one.
    #[command(after_help = "Examples:
  beechcroft-lab search --days 200
  beechcroft-lab search --days 1000 --from 5001 --cores 5 --out found")]
    Search(cluster::Search),
    /// Reduces a scenario to the fewest events that still violate the rule.
    #[command(after_help = "Examples:
  beechcroft-lab shrink found/drawn-7.toml --out found/small.toml")]
    Shrink(cluster::Shrink),
    /// Network traffic of each machine by the number of edge machines, and how long a change takes to reach the last
    /// one.
    #[command(after_help = "Examples:
  beechcroft-lab size --quick
  beechcroft-lab size --out docs/results/system")]
    Size(size::Size),
    /// Latency of operator calls: without faults, and with a core machine lost.
    #[command(
        name = "orders",
        after_help = "Examples:
  beechcroft-lab orders --seeds 10"
    )]
    OperatorCalls(operator_calls::OperatorCalls),
    /// Plays one scenario with several values of a key.
    #[command(after_help = "Examples:
  beechcroft-lab sweep examples/days/units-crash.toml --set units=4,6,9")]
    Sweep(comparisons::Sweep),
    /// Compares two settings of a scenario on paired seeds, with a confidence interval of the difference.
    #[command(after_help = "Examples:
  beechcroft-lab compare examples/days/units-grey.toml --set verdicts=true --against verdicts=false")]
    Compare(comparisons::Compare),
    /// Plays scenarios and writes a table and charts to a folder.
    #[command(after_help = "Examples:
  beechcroft-lab report examples/days/*.toml --out report")]
    Report(comparisons::WriteReport),
    /// Capacity planning: endpoint utilization, capacity needed, and which loss overloads a deployment first.
    #[command(after_help = "Examples:
  beechcroft-lab plan examples/days/burst.toml
  beechcroft-lab plan --check 50")]
    Plan(plan::Plan),
    /// Sends requests at a steady rate to a running edge machine on loopback; latency counts from the planned send
    /// time.
    #[command(after_help = "Examples:
  beechcroft-lab load 127.0.0.1:8548 --rate 500 --seconds 5")]
    #[command(name = "load")]
    EdgeLoad(edge_load::EdgeLoad),
    /// A child process of an experiment; not to be started by hand.
    #[command(subcommand, hide = true)]
    Role(Role),
}

#[derive(Subcommand)]
enum Role {
    /// Holds connections to a relay, controlled by commands on standard input.
    Holder { address: std::net::SocketAddr },
    /// Endpoints and a discovery server.
    Fleet {
        #[arg(value_name = "UNITS")]
        endpoints: usize,
    },
    /// A relay that prints how many bytes it has allocated.
    Relay {
        config: std::path::PathBuf,
        operator: std::path::PathBuf,
    },
}

fn main() -> ExitCode {
    let result = match Cli::parse().experiment {
        Experiment::Idle(idle) => idle.run(),
        Experiment::ConnectionMemory(memory) => memory.run(),
        Experiment::HotKeys(study) => study.run(),
        Experiment::Outliers(study) => study.run(),
        Experiment::Run(run) => run.run(),
        Experiment::Sweep(sweep) => sweep.run(),
        Experiment::Compare(compare) => compare.run(),
        Experiment::Report(report) => report.run(),
        Experiment::Plan(plan) => plan.run(),
        Experiment::EdgeLoad(load) => load.run(),
        Experiment::Size(size) => size.run(),
        Experiment::OperatorCalls(calls) => calls.run(),
        Experiment::Search(search) => search.run(),
        Experiment::Shrink(shrink) => shrink.run(),
        Experiment::Role(Role::Holder { address }) => holder::run(address),
        Experiment::Role(Role::Fleet { endpoints }) => fleet::serve(endpoints),
        Experiment::Role(Role::Relay { config, operator }) => probe::run_relay(&config, &operator),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("beechcroft-lab: {message}");
            ExitCode::FAILURE
        }
    }
}
