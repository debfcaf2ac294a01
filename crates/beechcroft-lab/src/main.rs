//! The lab: experiments with proxies as processes on loopback. Each prints a table, and one JSON object as its last line;
//! charts and the same table go to a folder. Its figures are this machine's; no verdict of a test hangs on them.

mod chart;
mod cluster;
mod comparisons;
mod fleet;
mod holder;
mod hot_keys;
mod idle;
mod load;
mod open;
mod operator_calls;
mod outliers;
mod plan;
mod probe;
mod size;
mod ways;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Counts what the proxy allocates where the lab runs one itself; a count and an addition for each call.
#[global_allocator]
static ALLOCATED: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

/// Experiments with proxies on loopback.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:
  cargo build --release --workspace
  target/release/beechcroft-lab idle --quick
  target/release/beechcroft-lab idle --out docs/results/connections"
)]
struct Command {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Many idle connections: what each costs, and whether tasks are still on time.
    #[command(after_help = "Examples:
  beechcroft-lab idle --quick
  beechcroft-lab idle --idle 60000 --relays 4 --out results")]
    Idle(idle::Idle),
    /// Ways to keep a quiet connection, and what the allocator counts for each.
    #[command(after_help = "Examples:
  beechcroft-lab ways")]
    Ways(ways::Ways),
    /// A key that everyone asks for: how soon it is noticed, over how many units it is spread, what that costs others.
    #[command(after_help = "Examples:
  beechcroft-lab crowd --quick")]
    Crowd(hot_keys::Crowd),
    /// Whether a unit is fit, by what proxies of all regions see: how soon, how often wrongly, and who places writes.
    #[command(after_help = "Examples:
  beechcroft-lab sight --quick")]
    Sight(outliers::Sight),
    /// Days of the whole system in the project's own world, judged by its checker; exit code 1 if a rule is broken.
    #[command(after_help = "Examples:
  beechcroft-lab run examples/days/calm.toml
  beechcroft-lab run examples/days/*.toml --seed 7")]
    Run(cluster::Run),
    /// Draws days at random from all faults and looks for a broken rule; exit code 1 if there is one.
    #[command(after_help = "Examples:
  beechcroft-lab search --days 200
  beechcroft-lab search --days 1000 --from 5001 --cores 5 --out found")]
    Search(cluster::Search),
    /// The fewest events of a scenario that still break the rule.
    #[command(after_help = "Examples:
  beechcroft-lab shrink found/drawn-7.toml --out found/small.toml")]
    Shrink(cluster::Shrink),
    /// What each machine spends by the number of edge machines, and how long a change takes to the last of them.
    #[command(after_help = "Examples:
  beechcroft-lab size --quick
  beechcroft-lab size --out docs/results/system")]
    Size(size::Size),
    /// How long an operator waits for an answer: calm, and with a core machine lost.
    #[command(after_help = "Examples:
  beechcroft-lab orders --seeds 10")]
    Orders(operator_calls::Orders),
    /// One scenario under several values of a key.
    #[command(after_help = "Examples:
  beechcroft-lab sweep examples/days/units-crash.toml --set units=4,6,9")]
    Sweep(comparisons::Sweep),
    /// Two values of keys on paired seeds, with the interval of the difference.
    #[command(after_help = "Examples:
  beechcroft-lab compare examples/days/units-grey.toml --set verdicts=true --against verdicts=false")]
    Compare(comparisons::Compare),
    /// Scenarios as a table and charts in a folder.
    #[command(after_help = "Examples:
  beechcroft-lab report examples/days/*.toml --out report")]
    Report(comparisons::Tell),
    /// How full units are, what more is needed, which loss breaks a deployment first.
    #[command(after_help = "Examples:
  beechcroft-lab plan examples/days/burst.toml
  beechcroft-lab plan --check 50")]
    Plan(plan::Plan),
    /// Requests at a steady rate against a running edge machine on loopback, timed from the planned send.
    #[command(after_help = "Examples:
  beechcroft-lab load 127.0.0.1:8548 --rate 500 --seconds 5")]
    Load(open::Load),
    /// A process of an experiment; not to be called by hand.
    #[command(subcommand, hide = true)]
    Role(Role),
}

#[derive(Subcommand)]
enum Role {
    /// Holds connections, as told by lines on standard input.
    Holder { address: std::net::SocketAddr },
    /// Units and discovery.
    Fleet { units: usize },
    /// A proxy whose allocations are counted.
    Relay {
        config: std::path::PathBuf,
        operator: std::path::PathBuf,
    },
}

fn main() -> ExitCode {
    let ended = match Command::parse().what {
        What::Idle(idle) => idle.run(),
        What::Ways(ways) => ways.run(),
        What::Crowd(crowd) => crowd.run(),
        What::Sight(sight) => sight.run(),
        What::Run(run) => run.run(),
        What::Sweep(sweep) => sweep.run(),
        What::Compare(compare) => compare.run(),
        What::Report(report) => report.run(),
        What::Plan(plan) => plan.run(),
        What::Load(load) => load.run(),
        What::Size(size) => size.run(),
        What::Orders(orders) => orders.run(),
        What::Search(search) => search.run(),
        What::Shrink(shrink) => shrink.run(),
        What::Role(Role::Holder { address }) => holder::hold(address),
        What::Role(Role::Fleet { units }) => fleet::serve(units),
        What::Role(Role::Relay { config, operator }) => probe::relay(&config, &operator),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(line) => {
            eprintln!("beechcroft-lab: {line}");
            ExitCode::FAILURE
        }
    }
}
