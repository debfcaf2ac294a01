//! `sight`: verdicts on units from what relays of all regions see, against each relay by itself and against beats.

use beechcroft_map::config::{Config, Unfit};
use beechcroft_range::sight::{moving_place, watch, Ill, Report, Watch, ILLS};
use clap::Args;

#[derive(Args)]
pub struct Sight {
    /// 10 seeds and 9 relays only; else 100, and 4 of 90 relays as well.
    #[arg(long)]
    quick: bool,
}

fn rules(preset: &str) -> Unfit {
    let body = format!(
        r#"{{"version":"00000001","services":[{{"name":"s","unfit":{{"preset":"{preset}"}}}}],"virtualHosts":[]}}"#
    );
    let config = Config::read(body.as_bytes()).expect("a sound configuration");
    config.services[0].unfit.clone().expect("it is there")
}

/// The middle and the 99th of a hundred; none if any is missing.
fn spread(mut values: Vec<u32>) -> (u32, u32) {
    values.sort_unstable();
    let at = |part: f64| values.get(((values.len() as f64 - 1.0) * part) as usize).copied().unwrap_or(0);
    (at(0.5), at(0.99))
}

impl Sight {
    pub fn run(&self) -> Result<(), String> {
        let (seeds, sizes): (u64, &[usize]) = if self.quick { (10, &[9]) } else { (100, &[9, 90]) };
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
        for &relays in sizes {
            // A play of 90 relays costs a hundred of 9.
            let seeds = if relays > 12 { (seeds / 25).max(2) } else { seeds };
            for ill in ILLS {
                self.illness(relays, ill, seeds, &mut broken);
            }
            self.losses_of_sight(relays, seeds, &mut broken);
        }
        let spans: Vec<u64> = (0..seeds * 10).map(|seed| moving_place(90, seed, true)).collect();
        let without: u64 = (0..seeds * 10).map(|seed| moving_place(90, seed, false)).sum();
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
            count => Err(format!("{count} claims do not hold:\n  {}", broken.join("\n  "))),
        }
    }

    fn illness(&self, relays: usize, ill: Ill, seeds: u64, broken: &mut Vec<String>) {
        let rules = rules("lookup");
        let reports: Vec<Report> = (0..seeds)
            .map(|seed| {
                let (units, rate, span) = (20, 30.0, (20, 80));
                let blinks_every = 0;
                watch(
                    &rules,
                    Watch {
                        relays,
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
        let bytes =
            reports.iter().map(|r| r.bytes).sum::<u64>() as f64 / seeds as f64 / 160.0 / relays as f64;
        println!(
            "{relays:>6} {:<6} {:>16} {:>16} {:>14} {:>17.1}% {:>8.1}% {:>12.0}",
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
                broken.push(format!("{relays} relays, {ill:?}: {said}"));
            }
        };
        claim(reports.iter().all(|r| r.aside_s.is_some() || ill == Ill::Flaps), "it is not set aside by all");
        claim(half.1 <= 6, "half of the relays take more than 6 s");
        claim(reports.iter().all(|r| r.back_s.is_some_and(|s| s <= 60)), "it is not back within a minute");
        claim(reports.iter().map(|r| r.wrong).sum::<u64>() == 0, "a sound unit was set aside");
    }

    /// Sound units, and a region that loses sight of one of them, or of all, for a second, every few seconds.
    fn losses_of_sight(&self, relays: usize, seeds: u64, broken: &mut Vec<String>) {
        let rules = rules("lookup");
        let (mut wrong, mut judged) = (0, 0);
        for seed in 0..seeds {
            let (units, rate, span) = (20, 30.0, (0, 0));
            let report = watch(
                &rules,
                Watch {
                    relays,
                    units,
                    rate,
                    ill: None,
                    span,
                    seconds: 300,
                    blinks_every: 9,
                    loss: 0.01,
                    seed,
                },
            );
            (wrong, judged) = (wrong + report.wrong, judged + report.judged);
        }
        let days = judged as f64 / relays as f64 / 86_400.0;
        println!("{relays:>6} relays, brief losses of sight: {wrong} wrong verdicts in {days:.1} unit-days");
        if wrong > 0 {
            broken.push(format!("{relays} relays: {wrong} wrong verdicts under brief losses of sight"));
        }
    }
}
