//! Requests with a key, where no endpoint can be ranked.

use beechcroft_balancer::{
    KeyAffinity, LoadBalancer, PickError, PickRequest, Upstream, VersionClass,
};

fn warming_balancer(rate: f64) -> LoadBalancer {
    let mut balancer = LoadBalancer::new("west", "w1", 7);
    for id in ["i-0", "i-1"] {
        let mut upstream = Upstream::new(id, "10.0.0.1:80".parse().unwrap(), "w1", "west", "v1", 2);
        (upstream.class, upstream.is_available) = (VersionClass::Base, true);
        (upstream.warmup_ends_at, upstream.slow_start_rate) = (3000, rate);
        balancer.add("s", upstream);
    }
    balancer
}

#[test]
fn a_key_is_bound_by_slow_start_when_all_endpoints_warm_up() {
    for (places, sole) in [(1, false), (2, false), (1, true)] {
        let mut key = KeyAffinity {
            key: 77,
            spread: places,
            ..KeyAffinity::default()
        };
        key.is_exclusive = sole;
        let want = PickRequest {
            class: VersionClass::Base,
            home_regions: &[],
            priority: 0,
            is_bulk: false,
            follows_placement: false,
            key: Some(key),
            tried: &[],
        };
        let sent = (0..1000)
            .filter(|&now| warming_balancer(0.0).pick(now, "s", &want).is_ok())
            .count();
        assert_eq!(sent, 0, "endpoints that bear nothing");
        assert_eq!(
            warming_balancer(0.0).pick(0, "s", &want),
            Err(PickError::Overloaded)
        );
        let mut balancer = warming_balancer(2.0);
        let sent = (0..1000)
            .filter(|&now| balancer.pick(now, "s", &want).is_ok())
            .count();
        assert!(
            (2..=4).contains(&sent),
            "{sent} requests in a second to two endpoints that bear 2 each"
        );
    }
}
