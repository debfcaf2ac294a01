//! Budget transfers through a store that may lose, repeat, reorder or restore any write; marks of tasks; the circuit
//! breaker.

use beechcroft::{DedupScope, Effect, PeerId, UnitId};
use beechcroft_shared::breaker::{Admission, Breaker, BreakerConfig};
use beechcroft_shared::cold_load::ColdUnitLoad;
use beechcroft_shared::escrow::{Escrow, MilliTasks, Transfer, TransferRequest, UnitStart};
use beechcroft_shared::marks::{
    permission, retention, ClaimOutcome, Command, ExecutionMark, Permission, CLAIM_RETENTION,
    RETENTION_MARGIN,
};
use beechcroft_shared::RelayIncarnation;
use proptest::prelude::*;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn incarnation(relay: u32, number: u64) -> RelayIncarnation {
    RelayIncarnation {
        relay: PeerId(relay),
        incarnation: number,
    }
}

fn unit_start(start: u64) -> UnitStart {
    UnitStart {
        unit: UnitId("u-1".into()),
        started: ms(start),
    }
}

/// A relay that spends what its escrow allows.
struct Relay {
    own: RelayIncarnation,
    escrow: Escrow,
    spent: u64,
}

const SHARE: MilliTasks = MilliTasks(1000);

impl Relay {
    fn new(relay: u32, number: u64) -> Relay {
        let own = incarnation(relay, number);
        Relay {
            own,
            escrow: Escrow::new(own),
            spent: 0,
        }
    }

    /// Spends an amount, or what is left of the allowance.
    fn spend(&mut self, amount: u64) {
        let allowed = self.escrow.allowance(&unit_start(7), SHARE).0;
        self.spent += amount.min(allowed.saturating_sub(self.spent));
    }
}

#[derive(Clone, Debug)]
enum Step {
    Spend(usize, u64),
    /// The first relay grants a request of the second; the write may be lost at once.
    Grant(usize, usize, u64, bool),
    /// A relay reads a transfer that is, or once was, in the store.
    Read(usize, usize),
    /// The store restarts without its last writes.
    LoseWrites(usize),
    /// The store restarts with all transfers that were ever written.
    Restore,
    /// A relay is killed after spending its budget, and starts again.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let relay = || 0..4usize;
    prop_oneof![
        5 => (relay(), prop_oneof![1..300u64, Just(u64::MAX)]).prop_map(|(relay, amount)| Step::Spend(relay, amount)),
        5 => (relay(), relay(), 1..900u64, prop::bool::weighted(0.2)).prop_map(|(by, to, amount, lost)| Step::Grant(by, to, amount, lost)),
        8 => (relay(), any::<usize>()).prop_map(|(relay, nth)| Step::Read(relay, nth)),
        1 => (0..5usize).prop_map(Step::LoseWrites),
        1 => Just(Step::Restore),
        1 => relay().prop_map(Step::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 10_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn relays_together_never_spend_more_than_the_sum_of_their_shares(steps in prop::collection::vec(step(), 1..60)) {
        let mut relays: Vec<Relay> = (0..4).map(|relay| Relay::new(relay, 1)).collect();
        let (mut store, mut written): (Vec<Transfer>, Vec<Transfer>) = (Vec::new(), Vec::new());
        // Each incarnation of a relay has a share of its own.
        let (mut shares, mut spent_before, mut incarnations) = (4, 0, 1);
        for step in steps {
            match step {
                Step::Spend(relay, amount) => relays[relay].spend(amount),
                Step::Grant(by, to, amount, lost) => {
                    let request = TransferRequest { unit_start: unit_start(7), requester: relays[to].own, amount: MilliTasks(amount) };
                    let spent = MilliTasks(relays[by].spent);
                    if let Some(transfer) = relays[by].escrow.grant(&request, SHARE, spent) {
                        prop_assert!(by != to && transfer.amount.0 <= amount);
                        written.push(transfer.clone());
                        store.extend((!lost).then_some(transfer));
                    }
                }
                // Any relay may read any transfer any number of times, whether it is its own or not.
                Step::Read(relay, nth) => if !store.is_empty() {
                    let transfer = store[nth % store.len()].clone();
                    relays[relay].escrow.accept(&transfer);
                },
                Step::LoseWrites(count) => store.truncate(store.len().saturating_sub(count)),
                Step::Restore => store.clone_from(&written),
                Step::Restart(relay) => {
                    incarnations += 1;
                    let new = Relay::new(relay as u32, incarnations);
                    spent_before += std::mem::replace(&mut relays[relay], new).spent;
                    shares += 1;
                }
            }
            let spent: u64 = relays.iter().map(|relay| relay.spent).sum();
            prop_assert!(spent + spent_before <= shares * SHARE.0, "{spent} and {spent_before} spent of {shares} shares");
            for relay in &mut relays {
                let allowed = relay.escrow.allowance(&unit_start(7), SHARE).0;
                prop_assert!(relay.spent <= allowed, "{} spent of {allowed}: spent budget was transferred", relay.spent);
            }
        }
    }

    #[test]
    fn load_sent_by_other_relays_reduces_a_share_and_never_increases_it(
        steps in prop::collection::vec((0..300u64, prop::option::of(any::<u64>()), 0..500u64), 1..60),
        more in 0..5000u64, own in 0..2000u64, relays in 1..8u64,
    ) {
        // Both get the same totals, except that those of the second are larger.
        let [mut one, mut two] = [(); 2].map(|()| ColdUnitLoad::new(ms(3000)));
        let mut now = ms(0);
        let (share, whole) = (MilliTasks(own), MilliTasks(own * relays));
        for (gap, total, sent) in steps {
            now += ms(gap);
            for load in [&mut one, &mut two] {
                load.record_sent(&unit_start(7), MilliTasks(sent));
            }
            let reports = [one.take_due_reports(now), two.take_due_reports(now)];
            prop_assert_eq!(&reports[0], &reports[1]);
            if let Some(total) = total {
                // A store may reply with any total.
                let total = if total % 3 == 0 { total } else { total % 20_000 };
                one.record_total(now, &unit_start(7), MilliTasks(total));
                two.record_total(now, &unit_start(7), MilliTasks(total.saturating_add(more)));
            }
            let [allowed, with_more] = [&one, &two].map(|load| load.allowance(now, &unit_start(7), share, whole));
            prop_assert!(allowed <= share && with_more <= share);
        }
        // Totals from before the window have no effect.
        prop_assert_eq!(one.allowance(now + ms(3000), &unit_start(7), share, whole), share);
    }

    #[test]
    fn neither_an_existing_claim_nor_a_missing_reply_is_a_permission(
        owner in 0..3u32, number in 1..3u64, sent in any::<bool>(), remaining in 0..700_000u64, waited in 0..500u64, which in 0..4usize,
    ) {
        let own = incarnation(0, 1);
        let unit = sent.then(|| UnitId("u-1".into()));
        let outcome = [
            ClaimOutcome::Claimed,
            ClaimOutcome::NotSent,
            ClaimOutcome::Unknown,
            ClaimOutcome::AlreadyMarked { mark: ExecutionMark { owner: incarnation(owner, number), unit }, remaining: ms(remaining) },
        ][which].clone();
        let scope = DedupScope::All;
        for effect in [Effect::Unrepeatable, Effect::Deduplicated { scope, window: ms(5000) }, Effect::Idempotent] {
            let permitted = permission(effect, outcome.clone(), own, ms(waited));
            prop_assert_eq!(permitted == Permission::Send, outcome == ClaimOutcome::Claimed);
            if let (Effect::Unrepeatable, ClaimOutcome::AlreadyMarked { .. }) = (effect, &outcome) {
                prop_assert_eq!(&permitted, &Permission::Never);
            }
            if let Permission::Repeat { age, .. } = permitted {
                let Effect::Deduplicated { window, .. } = effect else { panic!("a repeat of {effect:?}") };
                // However late the reply is, the age is never underestimated.
                prop_assert!(age < window && age + ms(remaining) >= window + RETENTION_MARGIN);
            }
        }
    }

    #[test]
    fn a_slow_store_delays_few_tasks_and_is_used_again_when_it_recovers(
        quoted in 100..5000u64, gap in 1..50u64, open_ms in 200..2000u64, jitter in 0.0..1.0f64,
    ) {
        let config = BreakerConfig {
            wait_fraction: 0.05, max_wait: ms(20), failure_threshold: 3, open_time: ms(open_ms), max_open_time: ms(8000),
        };
        let mut breaker = Breaker::new(config);
        let (mut now, mut waited) = (ms(0), 0);
        let tasks = 2000;
        for _ in 0..tasks {
            now += ms(gap);
            if let Admission::Wait(wait) | Admission::Probe(wait) = breaker.admit(now, ms(quoted), jitter) {
                prop_assert!(wait <= ms(20) && wait <= ms(quoted).mul_f64(0.05));
                waited += 1;
                breaker.record_result(now + wait, false);
            }
        }
        // Three at first, then one for each open period, whose length doubles.
        let open_periods = ms(gap * tasks).as_secs_f64() / ms(open_ms).as_secs_f64();
        let max = 3.0 + (open_periods + 1.0).log2() + now.as_secs_f64() / 8.0 + 1.0;
        prop_assert!(f64::from(waited) <= max, "{waited} of {tasks} tasks waited, at most {max} may");
        prop_assert!(breaker.is_open());
        // The store is back: the next probe closes the breaker, within 1.25 times the longest open period after the
        // last wait.
        let mut closed_after = Duration::ZERO;
        while breaker.is_open() {
            closed_after += ms(gap);
            now += ms(gap);
            prop_assert!(closed_after <= ms(10_000 + gap + 20));
            if let Admission::Probe(_) = breaker.admit(now, ms(quoted), jitter) {
                breaker.record_result(now, true);
            }
        }
        prop_assert!(matches!(breaker.admit(now, ms(quoted), jitter), Admission::Wait(_)));
    }
}

#[test]
fn a_repeated_or_restored_transfer_counts_once_and_one_for_an_earlier_incarnation_never() {
    let (mut sender, mut receiver) = (Relay::new(0, 1), Relay::new(1, 1));
    let request = TransferRequest {
        unit_start: unit_start(7),
        requester: receiver.own,
        amount: MilliTasks(300),
    };
    let transfer = sender
        .escrow
        .grant(&request, SHARE, MilliTasks(100))
        .unwrap();
    assert_eq!(
        (
            transfer.amount,
            sender.escrow.allowance(&unit_start(7), SHARE)
        ),
        (MilliTasks(300), MilliTasks(700))
    );
    assert_eq!(
        [(); 3].map(|()| receiver.escrow.accept(&transfer)),
        [MilliTasks(300), MilliTasks(0), MilliTasks(0)]
    );
    assert_eq!(
        receiver.escrow.allowance(&unit_start(7), SHARE),
        MilliTasks(1300)
    );
    let mut restarted = Relay::new(1, 2);
    assert_eq!(restarted.escrow.accept(&transfer), MilliTasks(0));
    // Another start of the unit has an account of its own.
    assert_eq!(receiver.escrow.allowance(&unit_start(8), SHARE), SHARE);
    // A closed account accepts nothing again.
    receiver.escrow.close(&unit_start(7));
    assert_eq!(
        (
            receiver.escrow.accept(&transfer),
            receiver.escrow.allowance(&unit_start(7), SHARE)
        ),
        (MilliTasks(0), SHARE)
    );
}

#[test]
fn a_relay_grants_neither_spent_budget_nor_all_that_is_left() {
    let mut sender = Relay::new(0, 1);
    let request = TransferRequest {
        unit_start: unit_start(7),
        requester: incarnation(1, 1),
        amount: MilliTasks(5000),
    };
    let transfers: Vec<u64> = (0..4)
        .filter_map(|_| sender.escrow.grant(&request, SHARE, MilliTasks(200)))
        .map(|transfer| transfer.amount.0)
        .collect();
    assert_eq!(transfers, [400, 200, 100, 50]);
    assert_eq!(
        sender.escrow.allowance(&unit_start(7), SHARE),
        MilliTasks(250)
    );
    assert!(sender
        .escrow
        .grant(&request, SHARE, MilliTasks(250))
        .is_none());
}

#[test]
fn load_sent_beyond_other_shares_reduces_the_own_share_for_one_window() {
    let mut load = ColdUnitLoad::new(ms(1000));
    let allowed = |load: &ColdUnitLoad, now| {
        load.allowance(ms(now), &unit_start(7), MilliTasks(300), MilliTasks(900))
            .0
    };
    load.record_sent(&unit_start(7), MilliTasks(200));
    assert_eq!(
        load.take_due_reports(ms(5000)),
        [(unit_start(7), MilliTasks(200))]
    );
    load.record_sent(&unit_start(7), MilliTasks(10));
    assert_eq!(load.take_due_reports(ms(5050)), []); // within the report interval
    load.record_total(ms(5000), &unit_start(7), MilliTasks(200)); // only this relay's own
    assert_eq!(allowed(&load, 5000), 300);
    load.record_total(ms(5400), &unit_start(7), MilliTasks(800)); // the others' shares of 600
    assert_eq!(allowed(&load, 5400), 300);
    load.record_total(ms(5600), &unit_start(7), MilliTasks(1000)); // 200 beyond their shares
    assert_eq!(allowed(&load, 5600), 100);
    load.record_total(ms(5700), &unit_start(7), MilliTasks(0)); // the store lost its data; the load remains
    assert_eq!(allowed(&load, 5700), 100);
    assert_eq!(allowed(&load, 6650), 100);
    assert_eq!(allowed(&load, 6700), 300);
    assert_eq!(
        load.allowance(ms(5700), &unit_start(8), MilliTasks(300), MilliTasks(900)),
        MilliTasks(300)
    );
}

#[test]
fn a_mark_outlives_its_window_and_its_age_is_measured_by_the_clock_of_the_store() {
    let window = ms(5000);
    let effect = Effect::Deduplicated {
        scope: DedupScope::All,
        window,
    };
    assert_eq!(
        [
            retention(effect),
            retention(Effect::Unrepeatable),
            retention(Effect::Idempotent)
        ],
        [Some(ms(7000)), Some(CLAIM_RETENTION), None]
    );
    let unit = UnitId("u-1".into());
    let outcome = |left| ClaimOutcome::AlreadyMarked {
        mark: ExecutionMark {
            owner: incarnation(1, 1),
            unit: Some(unit.clone()),
        },
        remaining: ms(left),
    };
    let permitted = |left, waited| permission(effect, outcome(left), incarnation(0, 1), ms(waited));
    assert_eq!(
        permitted(6000, 10),
        Permission::Repeat {
            unit: unit.clone(),
            age: ms(1010)
        }
    );
    assert_eq!(
        [permitted(2000, 0), permitted(2001, 1), permitted(0, 0)],
        [Permission::Never, Permission::Never, Permission::Never]
    );
}

#[test]
fn a_claim_and_a_count_are_never_repeated() {
    let all = [
        Command::Count,
        Command::Transfer,
        Command::TransferRequest,
        Command::Claim,
        Command::Sent,
        Command::Read,
        Command::Probe,
    ];
    let not_repeatable: Vec<_> = all
        .into_iter()
        .filter(|command| !command.may_repeat())
        .collect();
    assert_eq!(not_repeatable, [Command::Count, Command::Claim]);
}
