//! The choice of an endpoint, and the subsets of proxies.

use beechcroft_balancer::{
    subset, LoadBalancer, PickError, PickRequest, ProxyPosition, Upstream, VersionClass,
    EJECTION_MS,
};
use std::collections::BTreeMap;
use std::rc::Rc;

fn position(index: usize, count: usize) -> ProxyPosition {
    ProxyPosition { index, count }
}

fn balancer() -> LoadBalancer {
    let mut balancer = LoadBalancer::new("west", "w1", 7);
    for (at, (zone, region)) in [
        ("w1", "west"),
        ("w1", "west"),
        ("w2", "west"),
        ("e1", "east"),
    ]
    .iter()
    .enumerate()
    {
        let mut upstream = Upstream::new(
            &format!("i-{at}"),
            "10.0.0.1:80".parse().unwrap(),
            zone,
            region,
            "v1",
            2,
        );
        (upstream.class, upstream.is_available) = (VersionClass::Base, true);
        balancer.service_mut("s").push(upstream);
    }
    balancer
}

fn request(homes: &[String]) -> PickRequest<'_> {
    PickRequest {
        class: VersionClass::Base,
        home_regions: homes,
        priority: 0,
        is_bulk: false,
        follows_placement: false,
        key: None,
        tried: &[],
    }
}

#[test]
fn other_regions_are_used_only_when_the_local_endpoints_are_full() {
    let mut balancer = balancer();
    let mut sent: BTreeMap<Rc<str>, u32> = BTreeMap::new();
    for _ in 0..6 {
        let id = balancer.pick(0, "s", &request(&[])).unwrap().id;
        balancer.request_started("s", &id);
        *sent.entry(id).or_default() += 1;
    }
    assert!(
        ["i-0", "i-1", "i-2"].iter().all(|&id| sent[id] == 2),
        "{sent:?}"
    );
    for _ in 0..4 {
        let id = balancer.pick(0, "s", &request(&[])).unwrap().id;
        balancer.request_started("s", &id);
        *sent.entry(id).or_default() += 1;
    }
    assert!(sent["i-3"] >= 1, "{sent:?}");
}

#[test]
fn subsets_of_all_proxies_cover_endpoints_evenly_and_change_little() {
    for (proxies, count) in [(3, 6), (26, 45), (30, 68), (30, 9), (167, 120)] {
        let endpoints: Vec<usize> = (0..count).collect();
        let mut subsets_per_endpoint = vec![0; count];
        for index in 0..proxies {
            subset(&endpoints, position(index, proxies))
                .into_iter()
                .for_each(|endpoint| subsets_per_endpoint[endpoint] += 1);
        }
        let (least, most) = (
            subsets_per_endpoint.iter().min().unwrap(),
            subsets_per_endpoint.iter().max().unwrap(),
        );
        assert!(
            *least >= 1 && most - least <= 2 + proxies / count,
            "{proxies} proxies, {count} endpoints: {subsets_per_endpoint:?}"
        );
        let fewer: Vec<usize> = endpoints
            .iter()
            .copied()
            .filter(|&endpoint| endpoint != count / 2)
            .collect();
        let moved: usize = (0..proxies)
            .map(|index| {
                let before = subset(&endpoints, position(index, proxies));
                subset(&fewer, position(index, proxies))
                    .into_iter()
                    .filter(|endpoint| !before.contains(endpoint))
                    .count()
            })
            .sum();
        assert!(
            moved <= 2 * proxies,
            "{proxies} proxies, {count} endpoints: {moved} moved"
        );
    }
}

#[test]
fn requests_stay_in_their_home_regions_and_fail_when_those_are_full() {
    let mut balancer = balancer();
    let homes = ["east".to_owned()];
    for _ in 0..6 {
        let id = balancer.pick(0, "s", &request(&homes)).unwrap().id;
        assert_eq!(&*id, "i-3");
        balancer.request_started("s", &id);
    }
    assert_eq!(
        balancer.pick(0, "s", &request(&homes)),
        Err(PickError::Overloaded)
    );
}

#[test]
fn an_endpoint_that_fails_twice_is_ejected_temporarily() {
    let mut balancer = balancer();
    for _ in 0..2 {
        balancer.request_started("s", "i-0");
        balancer.request_ended(0, "s", "i-0", None, Some(true));
    }
    assert!((0..100).all(|_| &*balancer.pick(1, "s", &request(&[])).unwrap().id != "i-0"));
    assert!((0..100).any(|_| &*balancer.pick(EJECTION_MS, "s", &request(&[])).unwrap().id == "i-0"));
}

#[test]
fn endpoints_in_slow_start_get_only_their_rate() {
    let mut balancer = balancer();
    for upstream in balancer.service_mut("s") {
        (upstream.warmup_ends_at, upstream.slow_start_rate) = (3000, 2.0);
    }
    let mut sent = 0;
    for now in 0..1000 {
        sent += u32::from(balancer.pick(now, "s", &request(&[])).is_ok());
    }
    assert!((4..=8).contains(&sent), "{sent}");
}
