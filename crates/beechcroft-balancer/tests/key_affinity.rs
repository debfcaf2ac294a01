//! Requests with a key while all endpoints are in slow start.

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
fn requests_with_a_key_respect_the_slow_start_rate() {
    for (spread, is_exclusive) in [(1, false), (2, false), (1, true)] {
        let key = KeyAffinity {
            key: 77,
            spread,
            is_exclusive,
            ..KeyAffinity::default()
        };
        let request = PickRequest {
            class: VersionClass::Base,
            home_regions: &[],
            priority: 0,
            is_bulk: false,
            follows_placement: false,
            key: Some(key),
            tried: &[],
        };
        let sent = (0..1000)
            .filter(|&now| warming_balancer(0.0).pick(now, "s", &request).is_ok())
            .count();
        assert_eq!(sent, 0, "endpoints with a slow-start rate of 0");
        assert_eq!(
            warming_balancer(0.0).pick(0, "s", &request),
            Err(PickError::Overloaded)
        );
        let mut balancer = warming_balancer(2.0);
        let sent = (0..1000)
            .filter(|&now| balancer.pick(now, "s", &request).is_ok())
            .count();
        assert!(
            (2..=4).contains(&sent),
            "{sent} requests in one second to two endpoints with a rate of 2 each"
        );
    }
}
