//! The subcommand `sight`: studies of outlier detection in the simulator. Verdicts on endpoints combine what proxies of
//! all regions observe; the study compares them with each proxy deciding alone and with heartbeats alone.

use beechcroft_config::config::{Config, OutlierRules};
use beechcroft_simulator::outlier_study::{
    conflicting_placement_ms, simulate, simulate_long_term, Impairment, LongStudy, OutlierStudy,
    Report, IMPAIRMENTS,
};
use clap::Args;
use rayon::prelude::*;

#[derive(Args)]
pub struct Outliers {
    /// Only 9 proxies with 10 seeds; without it 9 and 90 proxies with 100 seeds.
    #[arg(long)]
    quick: bool,
    /// Endpoint-days to simulate with brief connectivity losses (at most 200 with --quick).
    #[arg(long, default_value_t = 10_000.0)]
    days: f64,
}

/// The outlier detection rules of a preset.
fn preset_rules(preset: &str) -> OutlierRules {
    let body = format!(
        r#"{{"version":"00000001","services":[{{"name":"s","unfit":{{"preset":"{preset}"}}}}],"virtualHosts":[]}}"#
    );
    let config = Config::read(body.as_bytes()).expect("the configuration is valid");
    config.services[0].unfit.clone().expect("the preset is set")
}

/// The median and the 99th percentile; 0 if there are no values.
fn median_and_p99(mut values: Vec<u32>) -> (u32, u32) {
    values.sort_unstable();
    let quantile = |q: f64| {
        values
            .get(((values.len() as f64 - 1.0) * q) as usize)
            .copied()
            .unwrap_or(0)
    };
    (quantile(0.5), quantile(0.99))
}

impl Outliers {
    /// Runs the three studies (impaired endpoint, brief connectivity losses, moving placement) and prints their
    /// results. Fails if a claim does not hold.
    pub fn run(&self) -> Result<(), String> {
        let (seeds, sizes): (u64, &[usize]) = if self.quick {
            (10, &[9])
        } else {
            (100, &[9, 90])
        };
        let mut failed_claims = Vec::new();
        println!(
            "an ill unit of 20, from second 20 to 80 of 160; 1% of words lost; {seeds} seeds; lookup preset"
        );
        println!(
            "{:>6} {:<6} {:>16} {:>16} {:>14} {:>18} {:>9} {:>12}",
            "relays",
            "ill",
            "aside, half (s)",
            "aside, all (s)",
            "back (s)",
            "requests to it",
            "alone",
            "bytes/s each"
        );
        for &proxies in sizes {
            for impairment in IMPAIRMENTS {
                self.impaired_endpoint(proxies, impairment, seeds, &mut failed_claims);
            }
        }
        let days = if self.quick {
            self.days.min(200.0)
        } else {
            self.days
        };
        self.connectivity_losses(9, days, &mut failed_claims);
        let conflict_ms: Vec<u64> = (0..seeds * 10)
            .map(|seed| conflicting_placement_ms(90, seed, true))
            .collect();
        let conflict_ms_unfenced: u64 = (0..seeds * 10)
            .map(|seed| conflicting_placement_ms(90, seed, false))
            .sum();
        println!(
            "a key's place moves under cuts, {} plays of 90 relays: {} ms in which two relays place it differently, {} ms without lease and fence",
            conflict_ms.len(),
            conflict_ms.iter().sum::<u64>(),
            conflict_ms_unfenced
        );
        if conflict_ms.iter().any(|&ms| ms > 0) {
            failed_claims.push("two relays placed a key differently".into());
        }
        match failed_claims.len() {
            0 => {
                println!("all claims hold");
                Ok(())
            }
            count => Err(format!(
                "{count} claims do not hold:\n  {}",
                failed_claims.join("\n  ")
            )),
        }
    }

    /// One of 20 endpoints is impaired from second 20 to 80; measures how soon it is ejected and returned, and the
    /// requests that it still gets.
    fn impaired_endpoint(
        &self,
        proxies: usize,
        impairment: Impairment,
        seeds: u64,
        failed_claims: &mut Vec<String>,
    ) {
        let rules = preset_rules("lookup");
        let reports: Vec<Report> = (0..seeds)
            .into_par_iter()
            .map(|seed| {
                let (units, rate, span) = (20, 30.0, (20, 80));
                let blackout_period_s = 0;
                simulate(
                    &rules,
                    OutlierStudy {
                        proxies,
                        units,
                        rate,
                        ill: Some(impairment),
                        span,
                        seconds: 160,
                        blackout_period_s,
                        loss: 0.01,
                        seed,
                    },
                )
            })
            .collect();
        let half_ejected_s = median_and_p99(
            reports
                .iter()
                .filter_map(|r| Some(r.ejected_after_s?.0))
                .collect(),
        );
        let all_ejected_s = median_and_p99(
            reports
                .iter()
                .filter_map(|r| Some(r.ejected_after_s?.1))
                .collect(),
        );
        let returned_s =
            median_and_p99(reports.iter().filter_map(|r| r.recovered_after_s).collect());
        let fraction_of_blind = |value: fn(&Report) -> u64| {
            reports.iter().map(value).sum::<u64>() as f64
                / reports.iter().map(|r| r.sent_without_ejection).sum::<u64>() as f64
        };
        let bytes = reports.iter().map(|r| r.bytes).sum::<u64>() as f64
            / seeds as f64
            / 160.0
            / proxies as f64;
        println!(
            "{proxies:>6} {:<6} {:>16} {:>16} {:>14} {:>17.1}% {:>8.1}% {:>12.0}",
            format!("{impairment:?}"),
            format!("{} / {}", half_ejected_s.0, half_ejected_s.1),
            format!("{} / {}", all_ejected_s.0, all_ejected_s.1),
            format!("{} / {}", returned_s.0, returned_s.1),
            fraction_of_blind(|r| r.sent) * 100.0,
            fraction_of_blind(|r| r.sent_with_local_ejection) * 100.0,
            bytes
        );
        let mut check_claim = |holds: bool, failure: &str| {
            if !holds {
                failed_claims.push(format!("{proxies} relays, {impairment:?}: {failure}"));
            }
        };
        check_claim(
            reports
                .iter()
                .all(|r| r.ejected_after_s.is_some() || impairment == Impairment::Flaps),
            "the endpoint is not ejected by all relays",
        );
        // With 90 proxies each sends a third of a request a second to the endpoint, and reports it only after two
        // failures.
        let limit_s = if proxies > 12 { 12 } else { 6 };
        check_claim(
            half_ejected_s.1 <= limit_s,
            "half of the relays take more than 6 s to eject it (12 s with few requests from each)",
        );
        check_claim(
            reports
                .iter()
                .all(|r| r.recovered_after_s.is_some_and(|s| s <= 60)),
            "the endpoint is not returned within a minute",
        );
        check_claim(
            reports.iter().map(|r| r.false_ejections).sum::<u64>() == 0,
            "a healthy endpoint was ejected",
        );
    }

    /// Healthy endpoints, while a region loses the connection to one of them, or to all, for a second twice a minute;
    /// counts wrong ejections.
    fn connectivity_losses(&self, proxies: usize, days: f64, failed_claims: &mut Vec<String>) {
        let rules = preset_rules("lookup");
        // Independent simulations that share the endpoint-days.
        const RUNS: u64 = 64;
        let units = 100;
        let seconds = (days * 86_400.0 / RUNS as f64 / f64::from(units)).ceil() as u32;
        let (errors, loss, blackout_period_s, rate) = (0.0005, 0.01, 30, 30.0);
        let outcomes: Vec<(u64, u64)> = (0..RUNS)
            .into_par_iter()
            .map(|seed| {
                simulate_long_term(
                    &rules,
                    LongStudy {
                        proxies,
                        units,
                        rate,
                        errors,
                        seconds,
                        blackout_period_s,
                        loss,
                        seed,
                    },
                )
            })
            .collect();
        let (wrong_s, wrong_verdicts) = outcomes
            .iter()
            .fold((0, 0), |(w, t), outcome| (w + outcome.0, t + outcome.1));
        println!(
            "{proxies:>6} relays, brief losses of sight twice a minute, 1% of words lost: {wrong_verdicts} wrong verdicts, {wrong_s} unit-seconds, in {days:.0} unit-days"
        );
        if wrong_s > 0 {
            failed_claims.push(format!(
                "{proxies} relays: {wrong_verdicts} wrong verdicts under brief connectivity losses"
            ));
        }
    }
}
