//! Detection of hot keys at one proxy and in a region, and the ranking of endpoints for a key.

use beechcroft_hotkeys::{
    rank_endpoints, HotKeyDetector, HotKeyReport, Proximity, ServiceCapacity, TRACKED_KEYS,
};
use std::collections::BTreeMap;

/// Endpoints that take 50 requests per second each, with a default spread of two.
fn capacity(endpoints: usize) -> ServiceCapacity {
    ServiceCapacity {
        default_spread: 2,
        endpoint_rate: 50.0,
        endpoints,
    }
}

fn ids(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("i-{index:05}")).collect()
}

fn first_endpoints(key: u64, ids: &[String], count: usize) -> Vec<&str> {
    let endpoints = ids
        .iter()
        .map(|id| (id.as_str(), id.as_str(), Proximity::SameRegion));
    rank_endpoints(key, endpoints)
        .into_iter()
        .take(count)
        .collect()
}

#[test]
fn keys_are_spread_evenly_and_only_those_of_a_removed_endpoint_move() {
    let all = ids(20);
    let mut keys_per_endpoint: BTreeMap<&str, usize> = BTreeMap::new();
    for key in 0..20_000u64 {
        *keys_per_endpoint
            .entry(first_endpoints(key * 7919, &all, 1)[0])
            .or_default() += 1;
    }
    assert!(
        keys_per_endpoint
            .values()
            .all(|&count| (800..1200).contains(&count)),
        "{keys_per_endpoint:?}"
    );
    let fewer: Vec<String> = all.iter().filter(|id| *id != "i-00007").cloned().collect();
    for key in 0..2000u64 {
        let before = first_endpoints(key * 7919, &all, 1)[0];
        if before != "i-00007" {
            assert_eq!(before, first_endpoints(key * 7919, &fewer, 1)[0]);
        }
    }
}

#[test]
fn endpoints_in_the_zone_get_twice_the_keys_and_other_regions_rank_last() {
    let endpoints = ["z1", "r1", "f1"];
    let proximities = [
        Proximity::SameZone,
        Proximity::SameRegion,
        Proximity::OtherRegion,
    ];
    let mut first_in_zone = 0;
    for key in 0..3000u64 {
        let ranked = rank_endpoints(
            key * 104_729,
            endpoints
                .iter()
                .zip(proximities)
                .map(|(id, proximity)| (proximity, *id, proximity)),
        );
        assert_eq!(ranked[2], Proximity::OtherRegion);
        first_in_zone += u32::from(ranked[0] == Proximity::SameZone);
    }
    assert!((1850..2150).contains(&first_in_zone), "{first_in_zone}");
}

/// Records lookups at a steady rate for `duration_ms`: `hot_rate` per second of one key, and `other_rate` per second of
/// many other keys. Returns the largest and the last spread of the hot key.
fn record_lookups(
    detector: &mut HotKeyDetector,
    now: &mut u64,
    duration_ms: u64,
    hot_rate: f64,
    other_rate: f64,
) -> (usize, usize) {
    let (mut max_spread, mut hot_due, mut other_due) = (0, 0.0, 0.0);
    for _ in 0..duration_ms / 10 {
        *now += 10;
        (hot_due, other_due) = (hot_due + hot_rate / 100.0, other_due + other_rate / 100.0);
        while hot_due >= 1.0 {
            detector.record_lookup(1);
            hot_due -= 1.0;
        }
        while other_due >= 1.0 {
            detector.record_lookup(1000 + (*now * 31 + other_due as u64 * 7) % 5000);
            other_due -= 1.0;
        }
        detector.tick(*now, capacity(40), 1);
        max_spread = max_spread.max(detector.spread(1).unwrap_or(2));
    }
    (max_spread, detector.spread(1).unwrap_or(2))
}

#[test]
fn a_spread_grows_and_shrinks_with_its_load() {
    let (mut detector, mut now) = (HotKeyDetector::default(), 1);
    assert_eq!(
        record_lookups(&mut detector, &mut now, 3000, 20.0, 400.0),
        (2, 2),
        "two endpoints take 30 lookups of one key per second"
    );
    let (_, last) = record_lookups(&mut detector, &mut now, 4000, 400.0, 400.0);
    assert!(
        (25..=29).contains(&last),
        "400 per second at 15 per endpoint: {last}"
    );
    let (_, last) = record_lookups(&mut detector, &mut now, 12_000, 10.0, 400.0);
    assert_eq!(last, 2);
}

#[test]
fn a_load_that_varies_by_a_fifth_does_not_make_the_spread_oscillate() {
    let (mut detector, mut now) = (HotKeyDetector::default(), 1);
    record_lookups(&mut detector, &mut now, 5000, 300.0, 100.0);
    let mut seen = std::collections::BTreeSet::new();
    for round in 0..10 {
        let rate = if round % 2 == 0 { 270.0 } else { 330.0 };
        seen.insert(record_lookups(&mut detector, &mut now, 1500, rate, 100.0).1);
    }
    assert!(seen.len() <= 3, "{seen:?}");
}

#[test]
fn reports_count_once_expire_and_are_summed_over_proxies() {
    let (mut detector, mut now) = (HotKeyDetector::default(), 1);
    let report = HotKeyReport {
        total_rate: 20.0,
        keys: vec![(9, 4.0)],
    };
    for _ in 0..3 {
        for proxy in 0..89 {
            detector.add_report(now, &format!("proxy-{proxy}"), 1, 5, report.clone());
        }
    }
    assert_eq!(detector.regional_rate(9), 89.0 * 4.0);
    detector.add_report(
        now,
        "proxy-3",
        1,
        4,
        HotKeyReport {
            total_rate: 1.0,
            keys: vec![(9, 900.0)],
        },
    );
    detector.add_report(
        now,
        "proxy-3",
        0,
        9,
        HotKeyReport {
            total_rate: 1.0,
            keys: vec![(9, 900.0)],
        },
    );
    assert_eq!(
        detector.regional_rate(9),
        89.0 * 4.0,
        "late reports and those of an earlier incarnation are ignored"
    );
    for _ in 0..30 {
        now += 100;
        detector.tick(now, capacity(100), 90);
    }
    assert_eq!(
        detector.spread(9),
        Some(24),
        "356 per second at 15 per endpoint"
    );
    for _ in 0..200 {
        now += 100;
        detector.tick(now, capacity(100), 90);
    }
    assert_eq!((detector.regional_rate(9), detector.spread(9)), (0.0, None));
}

#[test]
fn with_many_keys_memory_is_bounded_and_none_of_them_is_hot() {
    let mut detector = HotKeyDetector::default();
    for n in 0..200_000u64 {
        detector.record_lookup(n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        if n % 100 == 0 {
            detector.tick(1 + n, capacity(40), 1);
        }
    }
    assert!(detector.tracked_keys() <= TRACKED_KEYS);
    assert_eq!(detector.hot_keys().count(), 0);
}
