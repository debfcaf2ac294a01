//! Study of outlier detection by proxies of three regions, second by second: impaired units, brief losses of contact and
//! lost reports; and, separately, a placement that changes while proxies are cut off. Verdicts and leases are the code of
//! `beechcroft-outlier` itself.

use beechcroft_config::config::OutlierRules;
use beechcroft_outlier::placement::check_placement;
use beechcroft_outlier::{Observation, ObservationFilter, OutcomeCounts, OutlierDetector, Verdict};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Poisson};
use rand_pcg::Pcg64Mcg;

const REGIONS: [&str; 3] = ["north", "south", "east"];

/// Impairment of unit 0. The lab prints the variants' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Impairment {
    /// A third of its requests fail; its health check passes.
    Grey,
    /// Its responses are slow.
    Late,
    /// It does not respond.
    Dark,
    /// It does not respond for 3 s out of every 10 s.
    Flaps,
}

/// Every variant.
pub const IMPAIRMENTS: [Impairment; 4] = [
    Impairment::Grey,
    Impairment::Late,
    Impairment::Dark,
    Impairment::Flaps,
];

/// Parameters of a run in which one unit of a service is impaired.
#[derive(Clone, Copy, Debug)]
pub struct OutlierStudy {
    /// Number of proxies.
    pub proxies: usize,
    /// Number of units of the service.
    pub units: u32,
    /// Requests a second to each unit, from all proxies.
    pub rate: f64,
    /// Impairment of unit 0, if any.
    pub ill: Option<Impairment>,
    /// Begin and end of the impairment, in seconds.
    pub span: (u32, u32),
    /// Simulated seconds.
    pub seconds: u32,
    /// Interval, in seconds, at which a region loses contact with one unit, or with all, for a second; 0 for never.
    pub blackout_period_s: u32,
    /// Share of reports that are lost.
    pub loss: f64,
    /// The seed of the random numbers.
    pub seed: u64,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Seconds from the begin of the impairment until half, and until all, of the proxies have ejected the unit.
    pub ejected_after_s: Option<(u32, u32)>,
    /// Seconds from its end until no proxy ejects the unit.
    pub recovered_after_s: Option<u32>,
    /// Ejections of healthy units, counted per unit, proxy and second.
    pub false_ejections: u64,
    /// Verdicts on healthy units, counted per unit, proxy and second.
    pub judgements: u64,
    /// Requests to the impaired unit by proxies that follow the shared verdicts.
    pub sent: u64,
    /// The same by proxies that follow only their own failures.
    pub sent_with_local_ejection: u64,
    /// The same by proxies that never eject.
    pub sent_without_ejection: u64,
    /// Bytes of reports.
    pub bytes: u64,
}

/// Runs the study in steps of a second, which is also the interval of reports.
pub fn simulate(rules: &OutlierRules, watch: OutlierStudy) -> Report {
    let mut rng = Pcg64Mcg::seed_from_u64(watch.seed);
    let mut benches = vec![OutlierDetector::default(); watch.proxies];
    let mut owns = vec![ObservationFilter::default(); watch.proxies];
    let mut alone = vec![(0u32, 0u32); watch.proxies]; // failures in a row, aside until
    let mut report = Report::default();
    let mut late: Vec<(usize, Observation)> = Vec::new();
    let (mut half, mut whole) = (None, None);
    for second in 1..=watch.seconds {
        let ill = watch
            .ill
            .filter(|_| (watch.span.0..watch.span.1).contains(&second));
        let blink = second % watch.blackout_period_s.max(1) == 0 && watch.blackout_period_s > 0;
        let (blind_region, blind_unit) = (
            second as usize / 7 % 3,
            rng.random_range(0..watch.units * 2),
        );
        for (at, word) in std::mem::take(&mut late) {
            benches[at].merge(&word);
        }
        let mut words = Vec::new();
        for proxy in 0..watch.proxies {
            benches[proxy].advance_clock(second);
            let verdicts = benches[proxy].verdicts(rules, watch.units as usize, 3);
            let asked = benches[proxy].suspected_endpoints();
            let mut units = Vec::new();
            for unit in 0..watch.units {
                let ill = ill.filter(|_| unit == 0);
                let each = Poisson::new(watch.rate / watch.proxies as f64)
                    .expect("above 0")
                    .sample(&mut rng) as u16;
                let aside = verdicts.get(&unit) == Some(&Verdict::Unhealthy);
                report.judgements += u64::from(unit != 0 || watch.ill.is_none());
                if aside && (unit != 0 || watch.ill.is_none()) {
                    report.false_ejections += 1;
                }
                if ill.is_some() {
                    report.sent_without_ejection += u64::from(each);
                    report.sent += if aside { 0 } else { u64::from(each) };
                    report.sent_with_local_ejection += if second < alone[proxy].1 {
                        0
                    } else {
                        u64::from(each)
                    };
                }
                if aside {
                    continue;
                }
                // A brief loss of contact: a region loses one unit, or all of them.
                let lost = blink
                    && proxy % 3 == blind_region
                    && (blind_unit >= watch.units || blind_unit == unit);
                let mut count = OutcomeCounts {
                    responses: each,
                    ..OutcomeCounts::default()
                };
                let dark = ill == Some(Impairment::Dark)
                    || ill == Some(Impairment::Flaps) && second % 10 < 3;
                match ill {
                    _ if dark || lost => {
                        count = OutcomeCounts {
                            unreachable: each,
                            ..OutcomeCounts::default()
                        }
                    }
                    Some(Impairment::Grey) => {
                        count.errors = (0..each).filter(|_| rng.random_bool(0.33)).count() as u16;
                        count.responses -= count.errors;
                    }
                    Some(Impairment::Late) => count.late = each,
                    // Healthy units fail 0.4% of requests.
                    _ => {
                        count.errors = (0..each).filter(|_| rng.random_bool(0.004)).count() as u16;
                        count.responses -= count.errors;
                    }
                }
                if unit == 0 {
                    let failed = count.errors + count.unreachable;
                    let row = if failed == each && each > 0 {
                        alone[proxy].0 + u32::from(each)
                    } else {
                        0
                    };
                    alone[proxy] = if row >= 2 {
                        (0, second + 4)
                    } else {
                        (row, alone[proxy].1)
                    };
                }
                if each > 0 {
                    units.push((unit, count));
                }
            }
            let units = owns[proxy].select(units, &asked);
            if !units.is_empty() {
                let (proxy, region) = (format!("relay-{proxy}"), REGIONS[proxy % 3].to_owned());
                words.push(Observation {
                    proxy,
                    region,
                    incarnation: 1,
                    period: second,
                    service: "s".into(),
                    endpoints: units,
                });
            }
        }
        for (from, word) in words.into_iter().enumerate() {
            report.bytes += (30 + 11 * word.endpoints.len() as u64) * 6;
            let own: usize = word.proxy["relay-".len()..].parse().unwrap_or(0);
            for (at, bench) in benches.iter_mut().enumerate() {
                if at != own && rng.random_bool(watch.loss) {
                    continue;
                }
                // Four of five reports arrive within the second, the others in the next.
                if at == own || !(from + at + second as usize).is_multiple_of(5) {
                    bench.merge(&word);
                } else {
                    late.push((at, word.clone()));
                }
            }
        }
        let aside = benches.iter().filter(|b| {
            b.verdicts(rules, watch.units as usize, 3).get(&0) == Some(&Verdict::Unhealthy)
        });
        let aside = aside.count();
        if second >= watch.span.0 && second < watch.span.1 {
            half = half.or((aside * 2 >= watch.proxies).then(|| second + 1 - watch.span.0));
            whole = whole.or((aside == watch.proxies).then(|| second + 1 - watch.span.0));
        } else if second >= watch.span.1 && aside == 0 && report.recovered_after_s.is_none() {
            report.recovered_after_s = Some(second - watch.span.1);
        }
    }
    report.ejected_after_s = half.zip(whole);
    report
}

/// Parameters of a long run with healthy units only, under brief losses of contact and lost reports, for one proxy.
#[derive(Clone, Copy, Debug)]
pub struct LongStudy {
    /// Number of proxies.
    pub proxies: usize,
    /// Number of units of the service.
    pub units: u32,
    /// Requests a second to each unit, from all proxies.
    pub rate: f64,
    /// Share of requests that fail at every unit.
    pub errors: f64,
    /// Simulated seconds.
    pub seconds: u32,
    /// Interval, in seconds, at which a region loses contact with one unit, or with all, for a second.
    pub blackout_period_s: u32,
    /// Share of reports that are lost.
    pub loss: f64,
    /// The seed of the random numbers.
    pub seed: u64,
}

/// Returns the unit-seconds of false ejections, and their number. Verdicts are evaluated only for units that are ejected
/// or have new failures, as nothing else can change them.
pub fn simulate_long_term(rules: &OutlierRules, long: LongStudy) -> (u64, u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(long.seed);
    let mut bench = OutlierDetector::default();
    let each = Poisson::new(long.rate / long.proxies as f64).expect("above 0");
    let ills =
        Poisson::new((long.rate * long.errors * f64::from(long.units)).max(1e-9)).expect("above 0");
    let (mut wrong, mut times) = (0, 0);
    // Until when all proxies report on a unit, because a failure of it was reported recently.
    let mut asked: Vec<u32> = vec![0; long.units as usize];
    let mut unfit = vec![false; long.units as usize];
    for second in 1..=long.seconds {
        let blink = second % long.blackout_period_s == 0;
        let (region, one) = (rng.random_range(0..3), rng.random_range(0..long.units * 2));
        let lost = |unit: u32| blink && (one >= long.units || one == unit);
        let mut failed: Vec<(u32, usize)> = (0..ills.sample(&mut rng) as u32)
            .map(|_| {
                (
                    rng.random_range(0..long.units),
                    rng.random_range(0..long.proxies),
                )
            })
            .collect();
        failed.sort_unstable();
        let mut told: Vec<Vec<(u32, OutcomeCounts)>> = vec![Vec::new(); long.proxies];
        let mut bad = Vec::new();
        for unit in 0..long.units {
            let mine = failed.iter().filter(|(of, _)| *of == unit);
            let mine: Vec<usize> = mine.map(|&(_, proxy)| proxy).collect();
            let lately = asked[unit as usize] > second;
            if mine.is_empty() && !lost(unit) && !lately {
                continue;
            }
            if !mine.is_empty() || lost(unit) {
                asked[unit as usize] = second + 6;
                bad.push(unit);
            }
            for (proxy, told) in told.iter_mut().enumerate() {
                let answers = each.sample(&mut rng) as u16;
                let errors = mine.iter().filter(|&&of| of == proxy).count() as u16;
                let count = match proxy % 3 == region && lost(unit) {
                    true => OutcomeCounts {
                        unreachable: answers,
                        ..OutcomeCounts::default()
                    },
                    false => OutcomeCounts {
                        responses: answers,
                        errors,
                        ..OutcomeCounts::default()
                    },
                };
                if count.has_failures() || lately && answers > 0 {
                    told.push((unit, count));
                }
            }
        }
        for (proxy, units) in told
            .into_iter()
            .enumerate()
            .filter(|(_, units)| !units.is_empty())
        {
            if !rng.random_bool(long.loss) {
                let (name, region) = (format!("relay-{proxy}"), REGIONS[proxy % 3].to_owned());
                bench.merge(&Observation {
                    proxy: name,
                    region,
                    incarnation: 1,
                    period: second,
                    service: "s".into(),
                    endpoints: units,
                });
            }
        }
        let suspects: Vec<u32> = (0..long.units)
            .filter(|&unit| unfit[unit as usize] || bad.contains(&unit))
            .collect();
        bench.advance_clock(second);
        for unit in suspects {
            let is = bench.verdict(unit, rules, 3) == Verdict::Unhealthy;
            let was = std::mem::replace(&mut unfit[unit as usize], is);
            (wrong, times) = (wrong + u64::from(is), times + u64::from(is && !was));
        }
    }
    (wrong, times)
}

/// The placement of a key moves from one unit to another while proxies are cut off and learn of it late: for how many
/// milliseconds two proxies would place the key differently. `fenced` enables the lease and fence check.
pub fn conflicting_placement_ms(proxies: usize, seed: u64, fenced: bool) -> u64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    const MOVED: u64 = 20_000;
    let mut apart = 0;
    // Per proxy: when it learns of the move, and begin and end of its partition.
    let all: Vec<(u64, u64, u64)> = (0..proxies)
        .map(|_| {
            let cut = if rng.random_bool(0.3) {
                rng.random_range(5_000..30_000)
            } else {
                u64::MAX
            };
            let until = cut.saturating_add(rng.random_range(200..25_000));
            let learns = MOVED + rng.random_range(20..1400);
            let learns = if (cut..until).contains(&learns) {
                until + rng.random_range(20..800)
            } else {
                learns
            };
            (learns, cut, until)
        })
        .collect();
    for now in (0..60_000).step_by(10) {
        let mut places = [false; 2];
        for &(learns, cut, until) in &all {
            // The core confirms its agreement each second, so a confirmation is up to a second plus its latency old. It names the
            // placement that it confirms: for a proxy that has not learned of the move, no later confirmation counts.
            let heard = if (cut..until).contains(&now) {
                cut.saturating_sub(200)
            } else {
                now.saturating_sub(1200)
            };
            let new = now >= learns;
            let touched = if new { heard } else { heard.min(MOVED) };
            let may = !fenced || check_placement(now, Some(touched), new.then_some(learns)).is_ok();
            places[usize::from(new)] |= may;
        }
        apart += if places[0] && places[1] { 10 } else { 0 };
    }
    apart
}
