//! Hot keys as one proxy and as a region sees them, and the endpoints that serve them.

use beechcroft_hotkeys::{
    rank_endpoints, HotKeyDetector, HotKeyReport, Proximity, ServiceCapacity, TRACKED_KEYS,
};
use std::collections::BTreeMap;

/// Two usual endpoints of 50 requests a second each.
fn capacity(endpoints: usize) -> ServiceCapacity {
    ServiceCapacity {
        default_spread: 2,
        endpoint_rate: 50.0,
        endpoints,
    }
}

fn ids(count: usize) -> Vec<String> {
    (0..count).map(|at| format!("i-{at:05}")).collect()
}

fn first(key: u64, ids: &[String], places: usize) -> Vec<&str> {
    let units = ids
        .iter()
        .map(|id| (id.as_str(), id.as_str(), Proximity::SameRegion));
    rank_endpoints(key, units)
        .into_iter()
        .take(places)
        .collect()
}

#[test]
fn keys_are_spread_evenly_and_only_those_of_a_lost_endpoint_move() {
    let all = ids(20);
    let mut held: BTreeMap<&str, usize> = BTreeMap::new();
    for key in 0..20_000u64 {
        *held.entry(first(key * 7919, &all, 1)[0]).or_default() += 1;
    }
    assert!(
        held.values().all(|&count| (800..1200).contains(&count)),
        "{held:?}"
    );
    let fewer: Vec<String> = all.iter().filter(|id| *id != "i-00007").cloned().collect();
    for key in 0..2000u64 {
        let before = first(key * 7919, &all, 1)[0];
        if before != "i-00007" {
            assert_eq!(before, first(key * 7919, &fewer, 1)[0]);
        }
    }
}

#[test]
fn near_endpoints_come_first_and_those_of_the_zone_have_twice_the_keys() {
    let units = ["z1", "r1", "f1"];
    let near = [
        Proximity::SameZone,
        Proximity::SameRegion,
        Proximity::OtherRegion,
    ];
    let mut zone = 0;
    for key in 0..3000u64 {
        let ranked = rank_endpoints(
            key * 104_729,
            units.iter().zip(near).map(|(id, near)| (near, *id, near)),
        );
        assert_eq!(ranked[2], Proximity::OtherRegion);
        zone += u32::from(ranked[0] == Proximity::SameZone);
    }
    assert!((1850..2150).contains(&zone), "{zone}");
}

/// Feeds a detector at a steady rate for a while; the widest and the last set.
fn feed(
    detector: &mut HotKeyDetector,
    now: &mut u64,
    ms: u64,
    hot: f64,
    rest: f64,
) -> (usize, usize) {
    let (mut widest, mut due, mut other) = (0, 0.0, 0.0);
    for _ in 0..ms / 10 {
        *now += 10;
        (due, other) = (due + hot / 100.0, other + rest / 100.0);
        while due >= 1.0 {
            detector.record_lookup(1);
            due -= 1.0;
        }
        while other >= 1.0 {
            detector.record_lookup(1000 + (*now * 31 + other as u64 * 7) % 5000);
            other -= 1.0;
        }
        detector.tick(*now, capacity(40), 1);
        widest = widest.max(detector.spread(1).unwrap_or(2));
    }
    (widest, detector.spread(1).unwrap_or(2))
}

#[test]
fn a_spread_grows_with_its_load_and_shrinks_by_itself() {
    let (mut detector, mut now) = (HotKeyDetector::default(), 1);
    assert_eq!(
        feed(&mut detector, &mut now, 3000, 20.0, 400.0),
        (2, 2),
        "two places bear 30 a second"
    );
    let (_, last) = feed(&mut detector, &mut now, 4000, 400.0, 400.0);
    assert!(
        (25..=29).contains(&last),
        "400 a second at 15 a place: {last}"
    );
    let (_, last) = feed(&mut detector, &mut now, 12_000, 10.0, 400.0);
    assert_eq!(last, 2);
}

#[test]
fn a_load_that_varies_by_a_fifth_does_not_make_the_spread_oscillate() {
    let (mut detector, mut now) = (HotKeyDetector::default(), 1);
    feed(&mut detector, &mut now, 5000, 300.0, 100.0);
    let mut seen = std::collections::BTreeSet::new();
    for round in 0..10 {
        let rate = if round % 2 == 0 { 270.0 } else { 330.0 };
        seen.insert(feed(&mut detector, &mut now, 1500, rate, 100.0).1);
    }
    assert!(seen.len() <= 3, "{seen:?}");
}

#[test]
fn reports_count_once_lapse_and_sum_over_proxies_that_see_little_each() {
    let (mut detector, mut now) = (HotKeyDetector::default(), 1);
    let word = HotKeyReport {
        total_rate: 20.0,
        keys: vec![(9, 4.0)],
    };
    for _ in 0..3 {
        for proxy in 0..89 {
            detector.add_report(now, &format!("proxy-{proxy}"), 1, 5, word.clone());
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
        "a late report or one of a former incarnation"
    );
    for _ in 0..30 {
        now += 100;
        detector.tick(now, capacity(100), 90);
    }
    assert_eq!(detector.spread(9), Some(24), "356 a second at 15 a place");
    for _ in 0..200 {
        now += 100;
        detector.tick(now, capacity(100), 90);
    }
    assert_eq!((detector.regional_rate(9), detector.spread(9)), (0.0, None));
}

#[test]
fn however_many_keys_are_looked_up_memory_is_bounded_and_none_of_them_is_hot() {
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
