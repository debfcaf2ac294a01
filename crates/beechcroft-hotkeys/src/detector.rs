//! Detection of hot keys, from a sketch of this proxy's lookups and the reports of the region's other proxies.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use topk::FilteredSpaceSaving;

/// Number of keys in a proxy's sketch. It contains every key with a share above 1 / `TRACKED_KEYS` of the proxy's
/// lookups, and overestimates a count by at most the total divided by `TRACKED_KEYS`.
pub const TRACKED_KEYS: usize = 256;
/// Target for a hot key's share of the capacity of each endpoint in its spread. The rest is left to other keys.
pub const TARGET_SHARE: f64 = 0.3;
/// Fraction of an endpoint's slots that one hot key may occupy at a time.
pub const SLOT_SHARE: f64 = 0.5;

/// Time constant with which counts decay (to 1/e, about a third), in milliseconds. A count is therefore a rate over
/// about this time.
const DECAY_MS: f64 = 1000.0;
/// Interval between updates of the spreads, in milliseconds.
const TICK_MS: u64 = 100;
/// Maximum number of keys in a report, the heaviest first.
const MAX_REPORTED_KEYS: usize = 6;
/// A proxy reports a key from this fraction of its share of the hot rate on. The shares assume that all proxies of the
/// region receive equally many lookups.
const REPORT_SHARE: f64 = 0.5;
/// A reported key stays in the reports until its rate falls below this fraction of the reporting threshold.
const REPORT_HYSTERESIS: f64 = 0.5;
/// Factor between the last reported and the current rate above which a change is reported before the regular interval.
const CHANGE_FACTOR: f64 = 2.0;
/// Number of standard deviations (of a Poisson count) above which such a change is significant and is reported
/// promptly.
const SIGNIFICANT_DEVIATIONS: f64 = 2.0;
/// Delay of the report of a significant change, in milliseconds.
const SIGNIFICANT_CHANGE_DELAY_MS: u64 = 200;
/// Delay of the report of any other change, in milliseconds.
const CHANGE_DELAY_MS: u64 = 1000;
/// Interval of reports on unchanged rates, which keeps them from expiring, in milliseconds.
const UNCHANGED_INTERVAL_MS: u64 = 3000;
/// Time after which a report expires, in milliseconds. Allows for the loss of one of three reports.
const REPORT_EXPIRY_MS: u64 = 7000;
/// A spread shrinks when a smaller one would carry the key at this fraction of the target. The gap prevents
/// oscillation.
const SHRINK_SHARE: f64 = 0.6;
/// Maximum factor by which a spread grows in one step.
const GROWTH_FACTOR: f64 = 4.0;
/// Minimum interval between steps of growth, in milliseconds.
const GROW_INTERVAL_MS: u64 = 200;
/// Minimum interval between steps of shrinking, each by a quarter, in milliseconds.
const SHRINK_INTERVAL_MS: u64 = 1000;
/// Counts are scaled by this factor: the sketch holds integers, and they decay.
const COUNT_SCALE: u64 = 100;

/// A proxy's report on the keys of a service, in lookups per second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HotKeyReport {
    /// The rate of all lookups of the service.
    pub total_rate: f32,
    /// The hashes of the heaviest keys, with their rates.
    pub keys: Vec<(u64, f32)>,
}

impl HotKeyReport {
    fn rate(&self, key: u64) -> f64 {
        let entry = self
            .keys
            .iter()
            .find(|(reported_key, _)| *reported_key == key);
        entry.map_or(0.0, |&(_, rate)| f64::from(rate))
    }
}

/// The latest report of another proxy.
struct PeerReport {
    /// The incarnation of the proxy's process and the report's sequence number. The highest one replaces earlier ones.
    version: (u64, u32),
    received_at: u64,
    report: HotKeyReport,
}

/// The number of endpoints that a hot key is spread over, and the times of its last changes.
struct Spread {
    endpoints: usize,
    grown_at: u64,
    shrunk_at: u64,
}

/// The capacity of a service's endpoints, for [`HotKeyDetector::tick`].
#[derive(Clone, Copy, Debug)]
pub struct ServiceCapacity {
    /// Number of endpoints that serve a key that is not hot.
    pub default_spread: usize,
    /// Requests per second that one endpoint can take.
    pub endpoint_rate: f64,
    /// Number of endpoints that a key can be spread over.
    pub endpoints: usize,
}

/// Detects the hot keys of one service at one proxy.
pub struct HotKeyDetector {
    sketch: FilteredSpaceSaving<u64>,
    /// The decayed number of all lookups.
    total: f64,
    decayed_at: u64,
    /// The latest reports of the region's other proxies, by proxy name.
    peers: BTreeMap<String, PeerReport>,
    spreads: BTreeMap<u64, Spread>,
    /// The rate at this proxy from which a key is reported, in lookups per second.
    report_threshold: f64,
    last_report: HotKeyReport,
    last_report_at: u64,
}

impl Default for HotKeyDetector {
    fn default() -> Self {
        HotKeyDetector {
            sketch: FilteredSpaceSaving::new(TRACKED_KEYS),
            total: 0.0,
            decayed_at: 0,
            peers: BTreeMap::new(),
            spreads: BTreeMap::new(),
            report_threshold: f64::INFINITY,
            last_report: HotKeyReport::default(),
            last_report_at: 0,
        }
    }
}

/// Converts a decayed count to lookups per second.
fn rate_of(count: f64) -> f64 {
    count / DECAY_MS * 1000.0
}

impl HotKeyDetector {
    /// Records a client's lookup of a key.
    pub fn record_lookup(&mut self, key: u64) {
        self.sketch.insert(key, COUNT_SCALE);
        self.total += 1.0;
    }

    /// Number of keys in the sketch, at most [`TRACKED_KEYS`].
    pub fn tracked_keys(&self) -> usize {
        self.sketch.iter().count()
    }

    /// A key's rate by this proxy's own count, in lookups per second.
    fn own_rate(&self, key: u64) -> f64 {
        let counter = self.sketch.get(&key);
        counter.map_or(0.0, |counter| {
            let count = counter.estimated_count() - counter.associated_error();
            count as f64 / COUNT_SCALE as f64 / DECAY_MS * 1000.0
        })
    }

    /// A report of the heaviest keys at this proxy that exceed the reporting threshold.
    fn heavy_key_report(&self) -> HotKeyReport {
        let was_reported = |key: u64| {
            self.last_report
                .keys
                .iter()
                .any(|&(reported_key, _)| reported_key == key)
        };
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
        keys.truncate(MAX_REPORTED_KEYS);
        HotKeyReport {
            total_rate: rate_of(self.total) as f32,
            keys,
        }
    }

    /// The report that is due now, if any. When the last reported keys fall below the threshold, one report without
    /// them is due.
    pub fn next_report(&mut self, now: u64) -> Option<HotKeyReport> {
        if now < self.last_report_at + SIGNIFICANT_CHANGE_DELAY_MS {
            return None;
        }
        let report = self.heavy_key_report();
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

    /// Records a report of another proxy of the region. Duplicates and reports older than the latest one are ignored.
    pub fn add_report(
        &mut self,
        now: u64,
        proxy: &str,
        incarnation: u64,
        sequence: u32,
        report: HotKeyReport,
    ) {
        let version = (incarnation, sequence);
        if self
            .peers
            .get(proxy)
            .is_none_or(|latest| latest.version < version)
        {
            self.peers.insert(
                proxy.to_owned(),
                PeerReport {
                    version,
                    received_at: now,
                    report,
                },
            );
        }
    }

    /// A key's rate in the region, in lookups per second: this proxy's own rate plus the reported rates of the others.
    pub fn regional_rate(&self, key: u64) -> f64 {
        let reported = self.peers.values().flat_map(|peer| &peer.report.keys);
        let rates = reported
            .filter(|(reported_key, _)| *reported_key == key)
            .map(|&(_, rate)| f64::from(rate));
        self.own_rate(key) + rates.sum::<f64>()
    }

    /// Decays the counts, expires reports and updates the spreads. `proxies` is the number of proxies in the region,
    /// including this one.
    pub fn tick(&mut self, now: u64, capacity: ServiceCapacity, proxies: usize) {
        if now < self.decayed_at + TICK_MS {
            return;
        }
        let elapsed_ms = if self.decayed_at == 0 {
            TICK_MS
        } else {
            now - self.decayed_at
        };
        let decay = (-(elapsed_ms as f64) / DECAY_MS).exp();
        self.decayed_at = now;
        self.sketch.decay(decay);
        self.total *= decay;
        let hot_rate = TARGET_SHARE * capacity.endpoint_rate * capacity.default_spread as f64;
        self.report_threshold = REPORT_SHARE * hot_rate / proxies.max(1) as f64;
        self.peers
            .retain(|_, peer| peer.received_at + REPORT_EXPIRY_MS > now);
        for key in self.candidates() {
            let rate = self.regional_rate(key);
            self.adjust_spread(now, key, rate, capacity);
        }
    }

    /// The keys that are spread already, reported by other proxies or heavy at this one.
    fn candidates(&self) -> Vec<u64> {
        let mut keys: Vec<u64> = self.spreads.keys().copied().collect();
        let reported = self.peers.values().flat_map(|peer| &peer.report.keys);
        keys.extend(reported.map(|&(key, _)| key));
        keys.extend(self.heavy_key_report().keys.into_iter().map(|(key, _)| key));
        keys.sort_unstable();
        keys.dedup();
        keys
    }

    fn adjust_spread(&mut self, now: u64, key: u64, rate: f64, capacity: ServiceCapacity) {
        let ServiceCapacity {
            default_spread,
            endpoint_rate,
            endpoints,
        } = capacity;
        let target = (TARGET_SHARE * endpoint_rate).max(0.1);
        let needed = ((rate / target).ceil() as usize).min(endpoints);
        let Some(spread) = self.spreads.get_mut(&key) else {
            if needed > default_spread {
                let max_initial = (default_spread as f64 * GROWTH_FACTOR) as usize;
                let endpoints = needed
                    .min(max_initial)
                    .max(default_spread + 1)
                    .min(endpoints);
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
        let shrunk = (spread.endpoints * 3 / 4).min(spread.endpoints.saturating_sub(1));
        let shrink_limit = SHRINK_SHARE * target * shrunk.max(default_spread) as f64;
        if rate < shrink_limit && now >= spread.shrunk_at + SHRINK_INTERVAL_MS {
            spread.endpoints = shrunk;
            spread.shrunk_at = now;
        }
        if spread.endpoints <= default_spread {
            self.spreads.remove(&key);
        }
    }

    /// Number of endpoints that a hot key is spread over; `None` if the key is not hot.
    pub fn spread(&self, key: u64) -> Option<usize> {
        self.spreads.get(&key).map(|spread| spread.endpoints)
    }

    /// The keys that are hot now, with the number of endpoints that each is spread over.
    pub fn hot_keys(&self) -> impl Iterator<Item = (u64, usize)> + '_ {
        self.spreads
            .iter()
            .map(|(&key, spread)| (key, spread.endpoints))
    }
}

/// Time from the last report to the next one, in milliseconds, for a key whose last reported and current rates are
/// `lower` and `higher` in ascending order.
fn report_delay(lower: f64, higher: f64) -> u64 {
    if higher <= CHANGE_FACTOR * lower {
        UNCHANGED_INTERVAL_MS
    } else if higher - lower > SIGNIFICANT_DEVIATIONS * higher.sqrt() {
        SIGNIFICANT_CHANGE_DELAY_MS
    } else {
        CHANGE_DELAY_MS
    }
}
