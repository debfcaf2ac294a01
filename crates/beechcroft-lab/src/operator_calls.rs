//! The subcommand `orders`: latency of operator calls, in the simulator, with the code of the edge and core programs as
//! it runs in production.

use beechcroft_simulator::cluster::scenario::EventKind;
use beechcroft_simulator::cluster::{run_manual, ManualRun, Scenario};
use clap::Args;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rayon::prelude::*;
use std::collections::BTreeMap;

#[derive(Args)]
pub struct OperatorCalls {
    /// Simulations for each row, one a seed.
    #[arg(long, default_value_t = 40)]
    seeds: u64,
    /// Configuration changes, evacuations and reads in each simulation; there is one rollout for each of its three
    /// services.
    #[arg(long, default_value_t = 20)]
    times: usize,
}

/// The fault, and which core machine the operator calls first.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// A core machine has lost power and is no longer called first.
    CoreLost,
    /// A core machine has lost power, but the operator still calls it first as often as any other, and then gets no
    /// answer.
    CoreLostButListed,
}

/// Kinds of operator calls: column titles and keys of the JSON rows. Code refers to them by index.
const KINDS: [&str; 5] = ["replace", "evacuation", "its end", "rollout", "read back"];

/// Latencies in ms by index into [`KINDS`], from the first attempt to the conclusive answer; `None` if the conclusive
/// answer was not a success.
type Latencies = BTreeMap<usize, Vec<Option<u64>>>;

/// Makes one call, retried until its answer is conclusive, and records its latency.
async fn timed_call(
    run: &ManualRun,
    latencies: &mut Latencies,
    kind: usize,
    first_core: usize,
    method: &str,
    path: &str,
    body: &[u8],
) {
    let started = run.now();
    let status = run.call_until_final(first_core, method, path, body).await;
    latencies
        .entry(kind)
        .or_default()
        .push((status == Some(200)).then(|| run.now() - started));
}

/// Makes the calls of one simulation against `cores` core machines; `repeats` is the `--times` option.
async fn make_calls(
    run: ManualRun,
    cores: usize,
    fault: Fault,
    repeats: usize,
    seed: u64,
) -> Latencies {
    let mut latencies = Latencies::new();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    run.wait(3000).await;
    let mut version = 1;
    run.call_until_final(0, "POST", "/config/replace", &run.config(1, 0, 0))
        .await;
    run.wait(4000).await;
    if fault != Fault::None {
        run.inject(EventKind::PowerLoss {
            on: "core-1".into(),
            down_s: 3000.0,
        });
        run.wait(5000).await;
    }
    let mut first_core = || match rng.random_range(0..cores) {
        1 if fault == Fault::CoreLost => 2,
        at => at,
    };
    for round in 0..repeats {
        let body = run.config(version + 1, version, round as u64);
        timed_call(
            &run,
            &mut latencies,
            0,
            first_core(),
            "POST",
            "/config/replace",
            &body,
        )
        .await;
        version += 1;
        timed_call(
            &run,
            &mut latencies,
            4,
            first_core(),
            "GET",
            "/config/show",
            b"",
        )
        .await;
        for (kind, what) in [(1, "begin"), (2, "finish")] {
            run.wait(137).await;
            timed_call(
                &run,
                &mut latencies,
                kind,
                first_core(),
                "POST",
                &format!("/evacuation/zone-0a/{what}"),
                b"",
            )
            .await;
        }
        if let Some(service) = ["boards", "ledger", "archive"].get(round) {
            let body =
                format!("{{\"service\":\"{service}\",\"targetVersion\":\"v2\",\"rampS\":600}}");
            timed_call(
                &run,
                &mut latencies,
                3,
                first_core(),
                "POST",
                "/rollouts/begin",
                body.as_bytes(),
            )
            .await;
        }
        run.wait(200 + round as u64 * 7).await;
    }
    latencies
}

impl OperatorCalls {
    /// Runs each combination of core machines and fault; prints a row for each and a JSON object.
    pub fn run(&self) -> Result<(), String> {
        println!(
            "ms from the first sending to the answer; regions 20 ms apart, a sync 1 ms; {} worlds a row",
            self.seeds
        );
        print!("{:>3} {:>22}", "f", "");
        KINDS
            .iter()
            .for_each(|kind| print!(" {:>22}", format!("{kind} p50/p99/n")));
        println!(" {:>8}", "unclear");
        let mut rows = Vec::new();
        for cores in [3, 5] {
            for (label, fault) in [
                ("calm", Fault::None),
                ("one lost", Fault::CoreLost),
                ("one lost, still listed", Fault::CoreLostButListed),
            ] {
                let simulations: Vec<Latencies> = (1..=self.seeds)
                    .into_par_iter()
                    .map(|seed| {
                        let text = format!(
                            "name = \"orders\"\ncores = {cores}\nedges = 3\nunits = 1\nseed = {seed}"
                        );
                        let scenario = Scenario::read(&text).expect("the scenario is valid");
                        run_manual(&scenario, |run| make_calls(run, cores, fault, self.times, seed))
                    })
                    .collect();
                let f = (cores - 1) / 2;
                print!("{f:>3} {label:>22}");
                let mut unclear = 0;
                let mut row = serde_json::json!({ "f": f, "state": label });
                for (kind, name) in KINDS.iter().enumerate() {
                    let all = simulations
                        .iter()
                        .filter_map(|latencies| latencies.get(&kind))
                        .flatten();
                    let mut answered: Vec<u64> = all.clone().flatten().copied().collect();
                    unclear += all.count() - answered.len();
                    answered.sort_unstable();
                    let quantile = |q: f64| {
                        answered
                            .get((answered.len().saturating_sub(1) as f64 * q).round() as usize)
                            .copied()
                            .unwrap_or(0)
                    };
                    print!(
                        " {:>22}",
                        format!(
                            "{} / {} / {}",
                            quantile(0.5),
                            quantile(0.99),
                            answered.len()
                        )
                    );
                    row[*name] = serde_json::json!({
                        "p50": quantile(0.5), "p99": quantile(0.99), "n": answered.len()
                    });
                }
                println!(" {unclear:>8}");
                row["unclear"] = unclear.into();
                rows.push(row);
            }
        }
        println!("{}", serde_json::json!({ "orders": rows }));
        Ok(())
    }
}
