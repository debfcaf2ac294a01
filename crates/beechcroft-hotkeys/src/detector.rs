//! The detector of hot keys: a sketch of this proxy's lookups, and the reports of the region's other proxies.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use topk::FilteredSpaceSaving;

/// Keys that a proxy's sketch distinguishes. A key with a share above 1 / `TRACKED_KEYS` of what the proxy sees is
/// among them; a count is too high by no more than the sum over `TRACKED_KEYS`.
pub const TRACKED_KEYS: usize = 256;
/// The share of an endpoint's capacity that a hot key's spread aims at. Other keys there keep the rest.
pub const TARGET_SHARE: f64 = 0.3;
/// The share of an endpoint's slots that a hot key may hold at a moment.
pub const SLOT_SHARE: f64 = 0.5;

/// Counts fade to a third in this time, so that a count is a rate over about as long. In milliseconds.
const FADE_MS: f64 = 1000.0;
/// Between two updates of the spread, in milliseconds.
const TICK_MS: u64 = 100;
/// The heaviest keys that a proxy reports.
const REPORTED_KEYS: usize = 6;
/// A key is reported from this share on of the rate that would make it hot, were all proxies of the region asked as
/// often.
const REPORT_SHARE: f64 = 0.5;
/// Once reported, it is reported until it has fallen to this share of that.
const REPORT_HYSTERESIS: f64 = 0.5;
/// A rate that has changed by this factor since it was last reported is reported again.
const CHANGE_FACTOR: f64 = 2.0;
/// A change beyond so many standard deviations of chance is reported soon.
const CHANCE_DEVIATIONS: f64 = 2.0;
/// How soon a large change is reported, in milliseconds.
const REPORT_SOON_MS: u64 = 200;
/// How soon any other change is reported, in milliseconds.
const REPORT_CHANGE_MS: u64 = 1000;
/// How often an unchanged rate is reported, so that it does not lapse, in milliseconds.
const REPORT_UNCHANGED_MS: u64 = 3000;
/// After how long a report lapses, in milliseconds: one report of three may be lost.
const REPORT_LAPSE_MS: u64 = 7000;
/// A spread shrinks once a smaller one would carry the key at this share of the target: the gap prevents oscillation.
const SHRINK_SHARE: f64 = 0.6;
/// A spread grows to what is needed, but at most to this multiple of itself in a step.
const GROWTH_FACTOR: f64 = 4.0;
/// Between two steps of growth, in milliseconds.
const GROW_INTERVAL_MS: u64 = 200;
/// Between two steps of shrinking, by one in four, in milliseconds.
const SHRINK_INTERVAL_MS: u64 = 1000;
/// Counts are kept in hundredths: the sketch's are whole numbers, and they fade.
const COUNT_SCALE: u64 = 100;

/// A proxy's report on a service's keys, in lookups a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HotKeyReport {
    /// The rate of all lookups.
    pub total_rate: f32,
    /// The heaviest keys with their rates.
    pub keys: Vec<(u64, f32)>,
}

impl HotKeyReport {
    fn rate(&self, key: u64) -> f64 {
        let held = self.keys.iter().find(|(of, _)| *of == key);
        held.map_or(0.0, |&(_, rate)| f64::from(rate))
    }
}

/// The latest report of another proxy.
struct PeerReport {
    /// The incarnation of the proxy's process and the number of the report: each counts once, the latest holds.
    number: (u64, u32),
    heard_at: u64,
    report: HotKeyReport,
}

/// Over how many endpoints a hot key is spread.
struct Spread {
    endpoints: usize,
    grown_at: u64,
    shrunk_at: u64,
}

/// What a service's endpoints bear, for [`HotKeyDetector::tick`].
#[derive(Clone, Copy, Debug)]
pub struct ServiceCapacity {
    /// Endpoints that serve a key that is not hot.
    pub default_spread: usize,
    /// Requests a second that one endpoint bears.
    pub endpoint_rate: f64,
    /// Endpoints to spread a key over.
    pub endpoints: usize,
}

/// One service's keys at one proxy.
pub struct HotKeyDetector {
    sketch: FilteredSpaceSaving<u64>,
    /// The faded number of all lookups.
    total: f64,
    faded_at: u64,
    /// The latest reports of the region's other proxies, by proxy.
    peers: BTreeMap<String, PeerReport>,
    spreads: BTreeMap<u64, Spread>,
    /// The rate of a key here from which it is reported.
    report_threshold: f64,
    last_report: HotKeyReport,
    last_report_at: u64,
}

impl Default for HotKeyDetector {
    fn default() -> Self {
        HotKeyDetector {
            sketch: FilteredSpaceSaving::new(TRACKED_KEYS),
            total: 0.0,
            faded_at: 0,
            peers: BTreeMap::new(),
            spreads: BTreeMap::new(),
            report_threshold: f64::INFINITY,
            last_report: HotKeyReport::default(),
            last_report_at: 0,
        }
    }
}

/// The rate of a faded count, in lookups a second.
fn rate_of(count: f64) -> f64 {
    count / FADE_MS * 1000.0
}

impl HotKeyDetector {
    /// A client has looked up a key.
    pub fn record_lookup(&mut self, key: u64) {
        self.sketch.insert(key, COUNT_SCALE);
        self.total += 1.0;
    }

    /// How many keys the sketch holds now: [`TRACKED_KEYS`] at most.
    pub fn tracked_keys(&self) -> usize {
        self.sketch.iter().count()
    }

    /// The rate of a key as this proxy counts it.
    fn own_rate(&self, key: u64) -> f64 {
        let counter = self.sketch.get(&key);
        counter.map_or(0.0, |counter| {
            let count = counter.estimated_count() - counter.associated_error();
            count as f64 / COUNT_SCALE as f64 / FADE_MS * 1000.0
        })
    }

    /// The heaviest keys here that are worth reporting.
    fn heaviest(&self) -> HotKeyReport {
        let was_reported = |key: u64| self.last_report.keys.iter().any(|&(of, _)| of == key);
        let threshold = |key: u64| {
            self.report_threshold
                * if was_reported(key) {
                    REPORT_HYSTERESIS
                } else {
                    1.0
                }
        };
        let mut keys: Vec<(u64, f32)> = self
            .sketch
            .iter()
            .map(|(&key, counter)| {
                let count = counter.estimated_count() - counter.associated_error();
                (key, rate_of(count as f64 / COUNT_SCALE as f64))
            })
            .filter(|&(key, rate)| rate >= threshold(key))
            .map(|(key, rate)| (key, rate as f32))
            .collect();
        keys.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        keys.truncate(REPORTED_KEYS);
        HotKeyReport {
            total_rate: rate_of(self.total) as f32,
            keys,
        }
    }

    /// The report that is due now, if one is; once also that there is nothing to report any more.
    pub fn next_report(&mut self, now: u64) -> Option<HotKeyReport> {
        if now < self.last_report_at + REPORT_SOON_MS {
            return None;
        }
        let report = self.heaviest();
        let keys = report.keys.iter().chain(&self.last_report.keys);
        let delay = keys.map(|&(key, _)| {
            let (new, last) = (report.rate(key), self.last_report.rate(key));
            report_delay(new.min(last), new.max(last))
        });
        let is_due = delay
            .min()
            .is_some_and(|delay| now >= self.last_report_at + delay);
        is_due.then(|| {
            (self.last_report_at, self.last_report) = (now, report.clone());
            report
        })
    }

    /// Another proxy of the region has reported.
    pub fn add_report(
        &mut self,
        now: u64,
        proxy: &str,
        incarnation: u64,
        sequence: u32,
        report: HotKeyReport,
    ) {
        let number = (incarnation, sequence);
        if self
            .peers
            .get(proxy)
            .is_none_or(|held| held.number < number)
        {
            self.peers.insert(
                proxy.to_owned(),
                PeerReport {
                    number,
                    heard_at: now,
                    report,
                },
            );
        }
    }

    /// The rate of a key in the region, as far as it is reported.
    pub fn regional_rate(&self, key: u64) -> f64 {
        let reported = self.peers.values().flat_map(|peer| &peer.report.keys);
        let rates = reported
            .filter(|(of, _)| *of == key)
            .map(|&(_, rate)| f64::from(rate));
        self.own_rate(key) + rates.sum::<f64>()
    }

    /// Time has passed. `proxies`: how many the region has, this one among them.
    pub fn tick(&mut self, now: u64, capacity: ServiceCapacity, proxies: usize) {
        if now < self.faded_at + TICK_MS {
            return;
        }
        let passed = if self.faded_at == 0 {
            TICK_MS
        } else {
            now - self.faded_at
        };
        let fade = (-(passed as f64) / FADE_MS).exp();
        self.faded_at = now;
        self.sketch.decay(fade);
        self.total *= fade;
        let usual_rate = TARGET_SHARE * capacity.endpoint_rate * capacity.default_spread as f64;
        self.report_threshold = REPORT_SHARE * usual_rate / proxies.max(1) as f64;
        self.peers
            .retain(|_, peer| peer.heard_at + REPORT_LAPSE_MS > now);
        for key in self.candidates() {
            let rate = self.regional_rate(key);
            self.adjust_spread(now, key, rate, capacity);
        }
    }

    /// Keys that are spread, reported by others or heavy here.
    fn candidates(&self) -> Vec<u64> {
        let mut keys: Vec<u64> = self.spreads.keys().copied().collect();
        let reported = self.peers.values().flat_map(|peer| &peer.report.keys);
        keys.extend(reported.map(|&(key, _)| key));
        keys.extend(self.heaviest().keys.into_iter().map(|(key, _)| key));
        keys.sort_unstable();
        keys.dedup();
        keys
    }

    fn adjust_spread(&mut self, now: u64, key: u64, rate: f64, capacity: ServiceCapacity) {
        let ServiceCapacity {
            default_spread: usual,
            endpoint_rate,
            endpoints,
        } = capacity;
        let target = (TARGET_SHARE * endpoint_rate).max(0.1);
        let needed = ((rate / target).ceil() as usize).min(endpoints);
        let Some(spread) = self.spreads.get_mut(&key) else {
            if needed > usual {
                let most = (usual as f64 * GROWTH_FACTOR) as usize;
                let endpoints = needed.min(most).max(usual + 1).min(endpoints);
                self.spreads.insert(
                    key,
                    Spread {
                        endpoints,
                        grown_at: now,
                        shrunk_at: now,
                    },
                );
            }
            return;
        };
        if needed > spread.endpoints && now >= spread.grown_at + GROW_INTERVAL_MS {
            spread.endpoints = needed.min((spread.endpoints as f64 * GROWTH_FACTOR) as usize);
            (spread.grown_at, spread.shrunk_at) = (now, now);
        }
        spread.endpoints = spread.endpoints.min(endpoints.max(1));
        let smaller = (spread.endpoints * 3 / 4).min(spread.endpoints.saturating_sub(1));
        let bearable = SHRINK_SHARE * target * smaller.max(usual) as f64;
        if rate < bearable && now >= spread.shrunk_at + SHRINK_INTERVAL_MS {
            spread.endpoints = smaller;
            spread.shrunk_at = now;
        }
        if spread.endpoints <= usual {
            self.spreads.remove(&key);
        }
    }

    /// Over how many endpoints a hot key is spread; `None` if the key is not hot.
    pub fn spread(&self, key: u64) -> Option<usize> {
        self.spreads.get(&key).map(|spread| spread.endpoints)
    }

    /// The keys that are hot now, each with the number of its endpoints.
    pub fn hot_keys(&self) -> impl Iterator<Item = (u64, usize)> + '_ {
        self.spreads
            .iter()
            .map(|(&key, spread)| (key, spread.endpoints))
    }
}

/// How long after the last report a rate is reported again that was between these two, in milliseconds.
fn report_delay(lower: f64, higher: f64) -> u64 {
    if higher <= CHANGE_FACTOR * lower {
        REPORT_UNCHANGED_MS
    } else if higher - lower > CHANCE_DEVIATIONS * higher.sqrt() {
        REPORT_SOON_MS
    } else {
        REPORT_CHANGE_MS
    }
}
