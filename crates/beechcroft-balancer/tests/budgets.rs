//! Limits that hold summed over all proxies.

use beechcroft_balancer::{CanaryQuota, LinkPacer, RetryBudget, SlowStart, INITIAL_CANARY_TOKENS};

#[test]
fn canary_requests_match_the_total_traffic_even_if_each_proxy_has_little() {
    for proxies in [3_usize, 9, 91] {
        let draw = |index: usize| (index as f64 * 0.618_034).fract();
        let mut all: Vec<CanaryQuota> = (0..proxies)
            .map(|index| CanaryQuota::new(draw(index), proxies))
            .collect();
        let mut taken = 0;
        for _ in 0..6 {
            taken += all
                .iter_mut()
                .filter_map(|quota| quota.try_take(0.08).then_some(()))
                .count();
        }
        let earned = 0.08 * 6.0 * proxies as f64;
        assert!(
            f64::from(taken as u32) <= earned + INITIAL_CANARY_TOKENS,
            "{proxies} proxies: {taken}"
        );
        assert!(proxies > 40 || taken >= 1, "{proxies} proxies: {taken}");
    }
}

#[test]
fn retries_of_all_proxies_stay_within_the_rule_even_after_restarts() {
    for proxies in [9, 90] {
        let mut all: Vec<RetryBudget> = (0..proxies)
            .map(|_| RetryBudget::new(0.2, 58.0, proxies))
            .collect();
        let (mut requests, mut retries) = (0.0, 0.0);
        for round in 0..100 {
            for (index, budget) in all.iter_mut().enumerate() {
                if round == 50 && index % 2 == 0 {
                    *budget = RetryBudget::new(0.2, 58.0, proxies);
                }
                budget.record_request();
                requests += 1.0;
                while budget.try_take() {
                    retries += 1.0;
                }
            }
        }
        assert!(
            retries <= 0.2 * requests + 58.0,
            "{proxies}: {retries} of {requests}"
        );
        assert!(
            retries >= 0.1 * requests,
            "{proxies}: {retries} of {requests}"
        );
    }
}

#[test]
fn all_proxies_together_stay_within_the_slow_start_rate() {
    let (rate, mut max_per_second) = (2.6, 0);
    let mut proxies: Vec<SlowStart> = vec![SlowStart::default(); 4]; // twice the intended number, as views may differ
    let mut sent: Vec<u64> = Vec::new();
    for now in (0..10_000).step_by(10) {
        sent.extend(
            proxies
                .iter_mut()
                .filter_map(|slow_start| slow_start.try_take(now, rate / 2.0).then_some(now)),
        );
        max_per_second =
            max_per_second.max(sent.iter().filter(|&&sent_at| sent_at + 1000 > now).count());
    }
    assert!(
        max_per_second as f64 <= rate * 1.5 + 5.0,
        "{max_per_second}"
    );
    assert!(sent.len() > 20);
}

#[test]
fn chunks_are_paced_at_the_link_rate_and_an_idle_link_has_no_delay() {
    let mut pacer = LinkPacer::new(1_000_000.0);
    assert_eq!(pacer.reserve_us(5_000_000, 8000), 0);
    assert_eq!(pacer.reserve_us(5_000_000, 8000), 8000);
    assert_eq!(pacer.reserve_us(5_004_000, 8000), 12_000);
    assert_eq!(pacer.reserve_us(9_000_000, 8000), 0);
}

#[test]
fn the_canary_share_holds_from_the_first_request_on() {
    let mut quota = CanaryQuota::default();
    for requests in 1..1000 {
        quota.try_take(0.08);
        let (_, canary_requests) =
            (0..requests).fold((CanaryQuota::default(), 0), |(mut quota, taken), _| {
                let taken = taken + u32::from(quota.try_take(0.08));
                (quota, taken)
            });
        assert!(f64::from(canary_requests) <= 0.08 * f64::from(requests) + 1.0);
    }
}
