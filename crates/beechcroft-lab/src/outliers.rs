//! `sight`: verdicts on units from what proxies of all regions see, against each proxy by itself and against heartbeats.

use beechcroft_config::config::{Config, OutlierRules};
use beechcroft_simulator::outlier_study::{
    long_watch, moving_place, watch, Impairment, Long, Report, Watch, IMPAIRMENTS,
};
use clap::Args;
use rayon::prelude::*;

#[derive(Args)]
pub struct Outliers {
    /// 10 seeds and 9 proxies only; else 100, and 4 of 90 proxies as well.
    #[arg(long)]
    quick: bool,
    /// Unit-days of brief losses of sight that are played.
    #[arg(long, default_value_t = 10_000.0)]
    days: f64,
}

fn rules(preset: &str) -> OutlierRules {
    let body = format!(
        r#"{{"version":"00000001","services":[{{"name":"s","unfit":{{"preset":"{preset}"}}}}],"virtualHosts":[]}}"#
    );
    let config = Config::read(body.as_bytes()).expect("a sound configuration");
    config.services[0].unfit.clone().expect("it is there")
}

/// The middle and the 99th of a hundred; none if any is missing.
fn spread(mut values: Vec<u32>) -> (u32, u32) {
    values.sort_unstable();
    let at = |part: f64| {
        values
            .get(((values.len() as f64 - 1.0) * part) as usize)
            .copied()
            .unwrap_or(0)
    };
    (at(0.5), at(0.99))
}

impl Outliers {
    pub fn run(&self) -> Result<(), String> {
        let (seeds, sizes): (u64, &[usize]) = if self.quick {
            (10, &[9])
        } else {
            (100, &[9, 90])
        };
        let mut broken = Vec::new();
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
            for ill in IMPAIRMENTS {
                self.illness(proxies, ill, seeds, &mut broken);
            }
        }
        let days = if self.quick {
            self.days.min(200.0)
        } else {
            self.days
        };
        self.losses_of_sight(9, days, &mut broken);
        let spans: Vec<u64> = (0..seeds * 10)
            .map(|seed| moving_place(90, seed, true))
            .collect();
        let without: u64 = (0..seeds * 10)
            .map(|seed| moving_place(90, seed, false))
            .sum();
        println!(
            "a key's place moves under cuts, {} plays of 90 relays: {} ms in which two relays place it differently, {} ms without lease and fence",
            spans.len(),
            spans.iter().sum::<u64>(),
            without
        );
        if spans.iter().any(|&span| span > 0) {
            broken.push("two relays placed a key differently".into());
        }
        match broken.len() {
            0 => {
                println!("all claims hold");
                Ok(())
            }
            count => Err(format!(
                "{count} claims do not hold:\n  {}",
                broken.join("\n  ")
            )),
        }
    }

    fn illness(&self, proxies: usize, ill: Impairment, seeds: u64, broken: &mut Vec<String>) {
        let rules = rules("lookup");
        let reports: Vec<Report> = (0..seeds)
            .into_par_iter()
            .map(|seed| {
                let (units, rate, span) = (20, 30.0, (20, 80));
                let blinks_every = 0;
                watch(
                    &rules,
                    Watch {
                        proxies,
                        units,
                        rate,
                        ill: Some(ill),
                        span,
                        seconds: 160,
                        blinks_every,
                        loss: 0.01,
                        seed,
                    },
                )
            })
            .collect();
        let half = spread(reports.iter().filter_map(|r| Some(r.aside_s?.0)).collect());
        let whole = spread(reports.iter().filter_map(|r| Some(r.aside_s?.1)).collect());
        let back = spread(reports.iter().filter_map(|r| r.back_s).collect());
        let part = |of: fn(&Report) -> u64| {
            reports.iter().map(of).sum::<u64>() as f64
                / reports.iter().map(|r| r.sent_blind).sum::<u64>() as f64
        };
        let bytes = reports.iter().map(|r| r.bytes).sum::<u64>() as f64
            / seeds as f64
            / 160.0
            / proxies as f64;
        println!(
            "{proxies:>6} {:<6} {:>16} {:>16} {:>14} {:>17.1}% {:>8.1}% {:>12.0}",
            format!("{ill:?}"),
            format!("{} / {}", half.0, half.1),
            format!("{} / {}", whole.0, whole.1),
            format!("{} / {}", back.0, back.1),
            part(|r| r.sent) * 100.0,
            part(|r| r.sent_alone) * 100.0,
            bytes
        );
        let mut claim = |holds: bool, said: &str| {
            if !holds {
                broken.push(format!("{proxies} relays, {ill:?}: {said}"));
            }
        };
        claim(
            reports
                .iter()
                .all(|r| r.aside_s.is_some() || ill == Impairment::Flaps),
            "it is not set aside by all",
        );
        // Of 90 proxies each sees a third of a request a second: it speaks once it saw two bad ones.
        let most = if proxies > 12 { 12 } else { 6 };
        claim(
            half.1 <= most,
            "half of the relays take more than 6 s (12 s where each sees little)",
        );
        claim(
            reports.iter().all(|r| r.back_s.is_some_and(|s| s <= 60)),
            "it is not back within a minute",
        );
        claim(
            reports.iter().map(|r| r.wrong).sum::<u64>() == 0,
            "a sound unit was set aside",
        );
    }

    /// Sound units, and a region that loses sight of one of them, or of all, for a second, twice a minute.
    fn losses_of_sight(&self, proxies: usize, days: f64, broken: &mut Vec<String>) {
        let rules = rules("lookup");
        const PLAYS: u64 = 64;
        let units = 100;
        let seconds = (days * 86_400.0 / PLAYS as f64 / f64::from(units)).ceil() as u32;
        let (errors, loss, blinks_every, rate) = (0.0005, 0.01, 30, 30.0);
        let plays: Vec<(u64, u64)> = (0..PLAYS)
            .into_par_iter()
            .map(|seed| {
                long_watch(
                    &rules,
                    Long {
                        proxies,
                        units,
                        rate,
                        errors,
                        seconds,
                        blinks_every,
                        loss,
                        seed,
                    },
                )
            })
            .collect();
        let (wrong, times) = plays
            .iter()
            .fold((0, 0), |(w, t), play| (w + play.0, t + play.1));
        println!(
            "{proxies:>6} relays, brief losses of sight twice a minute, 1% of words lost: {times} wrong verdicts, {wrong} unit-seconds, in {days:.0} unit-days"
        );
        if wrong > 0 {
            broken.push(format!(
                "{proxies} relays: {times} wrong verdicts under brief losses of sight"
            ));
        }
    }
}
