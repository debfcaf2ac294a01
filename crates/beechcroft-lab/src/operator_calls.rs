//! `orders`: how long an operator waits for an answer, in the world, with both programs as they run.

use beechcroft_simulator::cluster::scenario::What;
use beechcroft_simulator::cluster::{run_manually, ManualRun, Scenario};
use clap::Args;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rayon::prelude::*;
use std::collections::BTreeMap;

#[derive(Args)]
pub struct OperatorCalls {
    /// Worlds for each row.
    #[arg(long, default_value_t = 40)]
    seeds: u64,
    /// Configurations, evacuations and readings in each world; rollouts are one for each of its three services.
    #[arg(long, default_value_t = 20)]
    times: usize,
}

/// What goes wrong, and whom the operator asks first.
#[derive(Clone, Copy, PartialEq)]
enum State {
    Calm,
    /// A core machine has lost power; the operator's list no longer names it first.
    Lost,
    /// The same while the list still names it: every so many orders meet silence first.
    LostAndListed,
}

const KINDS: [&str; 5] = ["replace", "evacuation", "its end", "rollout", "read back"];

/// By kind, ms from the first sending to the clear answer; none: there was no clear answer.
type Times = BTreeMap<usize, Vec<Option<u64>>>;

async fn timed(
    hand: &ManualRun,
    times: &mut Times,
    kind: usize,
    first: usize,
    method: &str,
    path: &str,
    body: &[u8],
) {
    let from = hand.now();
    let status = hand.until_clear(first, method, path, body).await;
    times
        .entry(kind)
        .or_default()
        .push((status == Some(200)).then(|| hand.now() - from));
}

async fn play(hand: ManualRun, cores: usize, state: State, orders: usize, seed: u64) -> Times {
    let mut times = Times::new();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    hand.wait(3000).await;
    let mut version = 1;
    hand.until_clear(0, "POST", "/config/replace", &hand.config(1, 0, 0))
        .await;
    hand.wait(4000).await;
    if state != State::Calm {
        hand.happens(What::Power {
            on: "core-1".into(),
            down_s: 3000.0,
        });
        hand.wait(5000).await;
    }
    let mut first = || match rng.random_range(0..cores) {
        1 if state == State::Lost => 2,
        at => at,
    };
    for nth in 0..orders {
        let body = hand.config(version + 1, version, nth as u64);
        timed(
            &hand,
            &mut times,
            0,
            first(),
            "POST",
            "/config/replace",
            &body,
        )
        .await;
        version += 1;
        timed(&hand, &mut times, 4, first(), "GET", "/config/show", b"").await;
        for (kind, what) in [(1, "begin"), (2, "finish")] {
            hand.wait(137).await;
            timed(
                &hand,
                &mut times,
                kind,
                first(),
                "POST",
                &format!("/evacuation/zone-0a/{what}"),
                b"",
            )
            .await;
        }
        if let Some(service) = ["boards", "ledger", "archive"].get(nth) {
            let body =
                format!("{{\"service\":\"{service}\",\"targetVersion\":\"v2\",\"rampS\":600}}");
            timed(
                &hand,
                &mut times,
                3,
                first(),
                "POST",
                "/rollouts/begin",
                body.as_bytes(),
            )
            .await;
        }
        hand.wait(200 + nth as u64 * 7).await;
    }
    times
}

impl OperatorCalls {
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
            for (said, state) in [
                ("calm", State::Calm),
                ("one lost", State::Lost),
                ("one lost, still listed", State::LostAndListed),
            ] {
                let worlds: Vec<Times> = (1..=self.seeds)
                    .into_par_iter()
                    .map(|seed| {
                        let text = format!(
                            "name = \"orders\"\ncores = {cores}\nedges = 3\nunits = 1\nseed = {seed}"
                        );
                        let scenario = Scenario::read(&text).expect("a sound scenario");
                        run_manually(&scenario, |hand| play(hand, cores, state, self.times, seed))
                    })
                    .collect();
                let f = (cores - 1) / 2;
                print!("{f:>3} {said:>22}");
                let mut unclear = 0;
                let mut row = serde_json::json!({ "f": f, "state": said });
                for (kind, name) in KINDS.iter().enumerate() {
                    let all = worlds.iter().filter_map(|world| world.get(&kind)).flatten();
                    let mut took: Vec<u64> = all.clone().flatten().copied().collect();
                    unclear += all.count() - took.len();
                    took.sort_unstable();
                    let at = |part: f64| {
                        took.get((took.len().saturating_sub(1) as f64 * part).round() as usize)
                            .copied()
                            .unwrap_or(0)
                    };
                    print!(
                        " {:>22}",
                        format!("{} / {} / {}", at(0.5), at(0.99), took.len())
                    );
                    row[*name] =
                        serde_json::json!({ "p50": at(0.5), "p99": at(0.99), "n": took.len() });
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
