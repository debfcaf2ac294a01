//! The subcommand `crowd`: one key becomes hot in the simulator, with and without key affinity and with spreading of
//! hot keys. Checks that hot keys are detected and spread in time, and that this costs other keys and writes nothing.

use beechcroft_simulator::hot_key_study::{
    simulate, HotKeyStudy, InjectedFault, Mode, StudyReport, DEFAULT_SPREAD, FRESH_MS,
    INJECTED_FAULTS,
};
use clap::Args;
use rayon::prelude::*;

/// Fractions of all lookups that ask for the hot key.
const SHARES: [f64; 3] = [0.01, 0.1, 0.5];

#[derive(Args)]
pub struct HotKeys {
    /// Only 9 proxies; without it 9 and 90.
    #[arg(long)]
    quick: bool,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Instead of the table, print distributions over this many seeds of the time to detect and to return, latencies,
    /// bytes sent, and the detector's memory; --out gets a chart.
    #[arg(long)]
    seeds: Option<u64>,
    /// Folder for the chart.
    #[arg(long)]
    out: Option<std::path::PathBuf>,
}

impl HotKeys {
    /// Prints the table, or the distributions if `--seeds` is given; fails if a claim does not hold.
    pub fn run(&self) -> Result<(), String> {
        if let Some(seeds) = self.seeds {
            return self.distributions(seeds);
        }
        println!("usual places {DEFAULT_SPREAD} a region, all units agree within {FRESH_MS} ms; ms of lookups while the crowd is there");
        println!(
            "{:>6} {:>6} {:<7} {:<10} {:>8} {:>8} {:>8} {:>7} {:>8} {:>8} {:>6} {:>6}",
            "relays",
            "share",
            "mode",
            "trouble",
            "hot p50",
            "hot p99",
            "rest p99",
            "failed",
            "noticed",
            "returned",
            "widest",
            "writes"
        );
        let mut failed_claims = Vec::new();
        let sizes: &[usize] = if self.quick { &[9] } else { &[9, 90] };
        for &proxies in sizes {
            for share in SHARES {
                self.study(proxies, share, InjectedFault::None, &mut failed_claims);
            }
            for trouble in INJECTED_FAULTS.into_iter().skip(1) {
                self.study(proxies, 0.3, trouble, &mut failed_claims);
            }
        }
        if failed_claims.is_empty() {
            println!("all claims hold");
            return Ok(());
        }
        Err(format!(
            "{} claims do not hold:\n  {}",
            failed_claims.len(),
            failed_claims.join("\n  ")
        ))
    }

    /// Distributions over seeds for four combinations of proxies and share, and the memory of the detector's counters.
    fn distributions(&self, seeds: u64) -> Result<(), String> {
        println!("{seeds} seeds; 10th / 50th / 99th of a hundred");
        println!(
            "{:>6} {:>6} {:>20} {:>20} {:>22} {:>24} {:>22} {:>22} {:>14}",
            "relays",
            "share",
            "noticed (s)",
            "spread (s)",
            "returned (s)",
            "hot p99 / quiet p99",
            "others p99 / quiet p99",
            "busiest over mean",
            "news B/s each"
        );
        let (mut series, mut failed_claims) = (Vec::new(), Vec::new());
        for (proxies, share) in [(9, 0.5), (90, 0.1), (90, 0.3), (90, 0.5)] {
            let runs: Vec<StudyReport> = (1..=seeds)
                .into_par_iter()
                .map(|seed| {
                    simulate(HotKeyStudy::new(
                        proxies,
                        share,
                        Mode::Spread,
                        InjectedFault::None,
                        seed,
                    ))
                })
                .collect();
            let baseline = simulate(HotKeyStudy::new(
                proxies,
                0.0001,
                Mode::Plain,
                InjectedFault::None,
                1,
            ))
            .rest;
            let baseline_p99 = baseline.value_at_quantile(0.99);
            let percentiles = |value: &dyn Fn(&StudyReport) -> Option<f64>| {
                let mut values: Vec<f64> = runs.iter().filter_map(value).collect();
                values.sort_by(f64::total_cmp);
                let quantile = |q: f64| {
                    values
                        .get(((values.len() as f64 - 1.0) * q) as usize)
                        .copied()
                        .unwrap_or(f64::NAN)
                };
                [quantile(0.1), quantile(0.5), quantile(0.99)]
            };
            let noticed = percentiles(&|seen| seen.noticed_s);
            let returned = percentiles(&|seen| seen.returned_s);
            let hot_ratio = percentiles(&|seen| {
                Some(seen.hot.value_at_quantile(0.99) as f64 / baseline_p99 as f64)
            });
            let others_ratio = percentiles(&|seen| {
                Some(seen.rest.value_at_quantile(0.99) as f64 / baseline_p99 as f64)
            });
            let peak_to_mean_load = percentiles(&|seen| Some(seen.peak_to_mean_load));
            let bytes_per_proxy =
                percentiles(&|seen| Some(seen.report_bytes as f64 / 25.0 / proxies as f64))[1];
            let text = |[low, mid, high]: [f64; 3]| format!("{low:.1} / {mid:.1} / {high:.1}");
            println!(
                "{proxies:>6} {:>5.0}% {:>20} {:>20} {:>22} {:>24} {:>22} {:>22} {bytes_per_proxy:>14.0}",
                share * 100.0,
                text(noticed),
                text(percentiles(&|seen| seen.spread_s)),
                text(returned),
                text(hot_ratio),
                text(others_ratio),
                text(peak_to_mean_load)
            );
            let mut check_claim = |holds: bool, failure: &str| {
                if !holds {
                    failed_claims.push(format!("{proxies} relays, share {share}: {failure}"));
                }
            };
            // The target is 1.2. With the largest share, the first second before the key is spread is a tenth of the
            // period and raises the ratio.
            check_claim(
                hot_ratio[1] <= 1.25,
                "the hot key's 99th percentile is above 1.25 times the baseline",
            );
            check_claim(
                others_ratio[1] <= 1.05,
                "the 99th percentile of other keys is above 1.05 times the baseline",
            );
            check_claim(
                runs.iter()
                    .all(|seen| seen.duplicate_writes + seen.lost_writes == 0),
                "a write was lost or executed twice",
            );
            check_claim(
                runs.iter()
                    .all(|seen| seen.stale_reads + seen.regressed_reads == 0),
                "a lookup returned data older than its freshness bound",
            );
            let mut values: Vec<f64> = runs.iter().filter_map(|seen| seen.returned_s).collect();
            values.sort_by(f64::total_cmp);
            let count = values.len() as f64;
            let points = values
                .into_iter()
                .enumerate()
                .map(|(nth, at)| (at, (nth + 1) as f64 / count))
                .collect();
            series.push((format!("{proxies} relays, {:.0}%", share * 100.0), points));
        }
        let before = crate::ALLOCATED.stats();
        let mut detector = beechcroft_hotkeys::HotKeyDetector::default();
        let capacity = beechcroft_hotkeys::ServiceCapacity {
            default_spread: DEFAULT_SPREAD,
            endpoint_rate: 200.0,
            endpoints: 40,
        };
        for n in 0..10_000_000u64 {
            detector.record_lookup(n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            if n.is_multiple_of(1000) {
                detector.tick(1 + n / 10, capacity, 3);
            }
        }
        let after = crate::ALLOCATED.stats();
        let allocated =
            |s: &stats_alloc::Stats| s.bytes_allocated as i64 - s.bytes_deallocated as i64;
        println!(
            "a relay's counters after 10 million distinct keys hold {} bytes",
            allocated(&after) - allocated(&before)
        );
        let chart = match &self.out {
            Some(folder) => crate::chart::write_lines(
                &folder.join("returned.svg"),
                "Back at the usual places after a crowd",
                "seconds after its end",
                "part of the nights",
                &series,
            ),
            None => Ok(()),
        };
        match failed_claims.len() {
            0 => chart,
            count => Err(format!(
                "{count} claims do not hold:\n  {}",
                failed_claims.join("\n  ")
            )),
        }
    }

    /// Plays one run in each mode. The claims are about the last mode, spreading, compared with the others.
    fn study(
        &self,
        proxies: usize,
        share: f64,
        trouble: InjectedFault,
        failed_claims: &mut Vec<String>,
    ) {
        let seen = [Mode::Plain, Mode::UsualPlaces, Mode::Spread].map(|mode| {
            let seen = simulate(HotKeyStudy::new(proxies, share, mode, trouble, self.seed));
            print_row(proxies, share, mode, trouble, &seen);
            seen
        });
        let [plain, affinity, spread] = &seen;
        let mut check_claim = |holds: bool, failure: &str| {
            if !holds {
                failed_claims.push(format!(
                    "{proxies} relays, share {share}, {trouble:?}: {failure}"
                ));
            }
        };
        let p99 = |seen: &StudyReport| seen.rest.value_at_quantile(0.99);
        check_claim(
            spread.duplicate_writes + spread.lost_writes == 0,
            "a write was executed twice or lost",
        );
        check_claim(
            spread.stale_reads + spread.regressed_reads == 0,
            "a lookup returned data older than its connection had seen",
        );
        check_claim(
            p99(spread) <= plain.rest.value_at_quantile(0.99) + 40,
            "other keys are slowed",
        );
        check_claim(
            spread.failed <= plain.failed + spread.lookups / 500,
            "more lookups fail than without key affinity",
        );
        // A key is hot once its default endpoints would get more requests for it than their bound. A fifth above that,
        // detection no longer depends on random variation.
        let study = HotKeyStudy::new(proxies, share, Mode::Spread, trouble, self.seed);
        if study.rate_of_region() > 1.2 * study.bound() * DEFAULT_SPREAD as f64 {
            check_claim(
                spread.noticed_s.is_some_and(|s| s <= 2.5),
                "not noticed within 2.5 s",
            );
            check_claim(
                spread.returned_s.is_some_and(|s| s <= 10.0),
                "not back at its usual places within 10 s",
            );
            let (spread_p99, affinity_p99) = (
                spread.hot.value_at_quantile(0.99),
                affinity.hot.value_at_quantile(0.99),
            );
            let service_ms = 20; // of a request at an endpoint; a smaller difference is not significant
            check_claim(
                spread_p99 <= affinity_p99 + service_ms,
                "the hot key is slower than without spreading",
            );
        }
        // A key has a fixed number of default endpoints in a region, and a few more where load moved a lookup to
        // another one.
        check_claim(
            spread.max_endpoints_per_normal_key <= plain.max_endpoints_per_normal_key,
            "ordinary keys are spread over more endpoints than without key affinity",
        );
    }
}

/// Prints the results of one run as a row of the table.
fn print_row(proxies: usize, share: f64, mode: Mode, trouble: InjectedFault, seen: &StudyReport) {
    let seconds = |at: Option<f64>| at.map_or("-".into(), |at| format!("{at:.1} s"));
    println!(
        "{proxies:>6} {:>5.0}% {:<7} {:<10} {:>8} {:>8} {:>8} {:>7} {:>8} {:>8} {:>6} {:>6}",
        share * 100.0,
        format!("{mode:?}"),
        format!("{trouble:?}"),
        seen.hot.value_at_quantile(0.5),
        seen.hot.value_at_quantile(0.99),
        seen.rest.value_at_quantile(0.99),
        seen.failed,
        seconds(seen.noticed_s),
        seconds(seen.returned_s),
        seen.widest,
        seen.acked_writes,
    );
}
