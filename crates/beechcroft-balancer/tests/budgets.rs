//! Budgets that hold summed over all proxies.

use beechcroft_balancer::{CanaryQuota, LinkPacer, RetryBudget, SlowStart, INITIAL_CANARY_TOKENS};

#[test]
fn canary_requests_come_as_often_as_all_proxies_are_asked_though_each_is_asked_little() {
    for edges in [3_usize, 9, 91] {
        let draw = |at: usize| (at as f64 * 0.618_034).fract();
        let mut all: Vec<CanaryQuota> = (0..edges)
            .map(|at| CanaryQuota::new(draw(at), edges))
            .collect();
        let mut taken = 0;
        for _ in 0..6 {
            taken += all
                .iter_mut()
                .filter_map(|quota| quota.try_take(0.08).then_some(()))
                .count();
        }
        let earned = 0.08 * 6.0 * edges as f64;
        assert!(
            f64::from(taken as u32) <= earned + INITIAL_CANARY_TOKENS,
            "{edges} proxies: {taken}"
        );
        assert!(edges > 40 || taken >= 1, "{edges} proxies: {taken}");
    }
}

#[test]
fn retries_of_all_proxies_sum_to_less_than_the_rule_allows_even_after_restarts() {
    for proxies in [9, 90] {
        let mut all: Vec<RetryBudget> = (0..proxies)
            .map(|_| RetryBudget::new(0.2, 58.0, proxies))
            .collect();
        let (mut asked, mut further) = (0.0, 0.0);
        for round in 0..100 {
            for (at, budget) in all.iter_mut().enumerate() {
                if round == 50 && at % 2 == 0 {
                    *budget = RetryBudget::new(0.2, 58.0, proxies);
                }
                budget.record_request();
                asked += 1.0;
                while budget.try_take() {
                    further += 1.0;
                }
            }
        }
        assert!(
            further <= 0.2 * asked + 58.0,
            "{proxies}: {further} of {asked}"
        );
        assert!(further >= 0.1 * asked, "{proxies}: {further} of {asked}");
    }
}

#[test]
fn the_bound_of_a_warming_endpoint_holds_for_the_proxies_that_may_send_to_it() {
    let (rate, mut most) = (2.6, 0);
    let mut proxies: Vec<SlowStart> = vec![SlowStart::default(); 4]; // twice those meant, as views differ
    let mut sent: Vec<u64> = Vec::new();
    for now in (0..10_000).step_by(10) {
        sent.extend(
            proxies
                .iter_mut()
                .filter_map(|slow_start| slow_start.try_take(now, rate / 2.0).then_some(now)),
        );
        most = most.max(sent.iter().filter(|&&at| at + 1000 > now).count());
    }
    assert!(most as f64 <= rate * 1.5 + 5.0, "{most}");
    assert!(sent.len() > 20);
}

#[test]
fn pieces_of_large_responses_take_turns_at_the_rate_and_an_idle_link_lets_the_first_pass() {
    let mut pacer = LinkPacer::new(1_000_000.0);
    assert_eq!(pacer.reserve_us(5_000_000, 8000), 0);
    assert_eq!(pacer.reserve_us(5_000_000, 8000), 8000);
    assert_eq!(pacer.reserve_us(5_004_000, 8000), 12_000);
    assert_eq!(pacer.reserve_us(9_000_000, 8000), 0);
}

#[test]
fn a_canarys_share_is_kept_from_its_first_request_on() {
    let mut quota = CanaryQuota::default();
    for asked in 1..1000 {
        quota.try_take(0.08);
        let trials = (0..asked).fold((CanaryQuota::default(), 0), |(mut quota, n), _| {
            let n = n + u32::from(quota.try_take(0.08));
            (quota, n)
        });
        assert!(f64::from(trials.1) <= 0.08 * f64::from(asked) + 1.0);
    }
}
