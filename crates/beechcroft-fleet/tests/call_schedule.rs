//! Hundreds of relays that vote at one simulated, rate-limited platform, in steps of one tick.

use beechcroft_fleet::call_schedule::{CallSchedule, CallTracker};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(100);
/// How long a vote stands.
const VOTE_LIFETIME: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Vote {
    Advance,
    RollBack,
}

/// Accepts `per_s` calls a second with a burst of twice as many. A vote stands for [`VOTE_LIFETIME`].
struct Platform {
    per_s: f64,
    tokens: f64,
    /// By relay: its last accepted vote, and when it was cast.
    votes: Vec<Option<(Vote, Duration)>>,
    calls: u32,
    rejected: u32,
}

impl Platform {
    fn standing(&self, vote: Vote, now: Duration) -> usize {
        self.votes
            .iter()
            .flatten()
            .filter(|(cast, at)| *cast == vote && now < *at + VOTE_LIFETIME)
            .count()
    }
}

struct Fleet {
    per_s: f64,
    quorum: u32,
    /// Whether another round has just ended, so that the platform's burst allowance is used up.
    follows_round: bool,
    /// By relay: whether it is alive.
    alive: Vec<bool>,
    rng: Pcg64Mcg,
}

impl Fleet {
    fn new(relays: u32, per_s: f64, quorum: u32, seed: u64) -> Fleet {
        let alive = vec![true; relays as usize];
        Fleet {
            per_s,
            quorum,
            follows_round: false,
            alive,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Runs until enough relays have cast `vote`, or for a minute. Returns when that was, and the platform's state. A
    /// stage begins at 0; each relay learns so within half a second, and decides to vote up to a second after
    /// `settled`.
    fn run_until_quorum(&mut self, vote: Vote, settled: Duration) -> (Option<Duration>, Platform) {
        let count = self.alive.len();
        let mut platform = Platform {
            per_s: self.per_s,
            tokens: if self.follows_round {
                0.0
            } else {
                self.per_s * 2.0
            },
            votes: vec![None; count],
            calls: 0,
            rejected: 0,
        };
        let quorum = if vote == Vote::Advance {
            self.quorum as usize
        } else {
            count * 8 / 100
        };
        let mut relays: Vec<(CallSchedule, CallTracker<Vote>, Duration, Duration)> = (0..count
            as u32)
            .map(|position| {
                let schedule = CallSchedule::new(position, count as u32, self.per_s, self.quorum);
                let [began, late]: [f64; 2] = self.rng.random();
                let began = Duration::from_millis(500).mul_f64(began);
                (
                    schedule,
                    CallTracker::default(),
                    began,
                    settled + Duration::from_secs(1).mul_f64(late),
                )
            })
            .collect();
        for step in 0..600 {
            let now = TICK * step;
            platform.tokens = (platform.tokens + platform.per_s * 0.1).min(platform.per_s * 2.0);
            for (index, (schedule, tracker, began, settled_at)) in relays.iter_mut().enumerate() {
                if !self.alive[index] || now < *began {
                    continue;
                }
                let (settled, renew) = (
                    now >= *settled_at,
                    schedule.renewal_interval(VOTE_LIFETIME, 0.6),
                );
                let desired = Some(vote)
                    .filter(|_| settled || vote == Vote::Advance && schedule.may_call_early());
                let desired_since = tracker.set_desired(desired, now);
                let settled_since = tracker.note_settled(settled, now, VOTE_LIFETIME);
                let (slot, renew) = match (vote, settled) {
                    (Vote::Advance, true) => (
                        schedule.advance_slot(
                            *began,
                            self.follows_round,
                            settled_since,
                            VOTE_LIFETIME,
                        ),
                        renew,
                    ),
                    (Vote::Advance, false) => (
                        schedule.advance_slot(
                            *began,
                            self.follows_round,
                            settled_since,
                            VOTE_LIFETIME,
                        ),
                        Duration::MAX,
                    ),
                    (Vote::RollBack, _) => (schedule.urgent_slot(desired_since), renew),
                };
                if !tracker.is_due(slot, now, TICK * 13, TICK * 2, renew) {
                    continue;
                }
                tracker.record_sent(now);
                platform.calls += 1;
                if platform.tokens >= 1.0 {
                    platform.tokens -= 1.0;
                    platform.votes[index] = Some((vote, now));
                    tracker.record_accepted();
                } else {
                    platform.rejected += 1;
                    let jitter = self.rng.random();
                    tracker.record_rejected(now, |times| schedule.retry_delay(times, jitter));
                }
            }
            let standing = platform.standing(vote, now);
            if now < settled {
                assert!(
                    standing < quorum,
                    "{standing} votes stand at {now:?}, before the decision was settled"
                );
            }
            if standing >= quorum {
                return (Some(now), platform);
            }
        }
        (None, platform)
    }
}

#[test]
fn three_hundred_relays_at_sixteen_calls_a_second_reach_the_quorum_for_a_stage() {
    for seed in 0..20 {
        let (reached, platform) = Fleet::new(273, 16.0, 164, seed)
            .run_until_quorum(Vote::Advance, Duration::from_millis(3600));
        // 164 votes, of which 32 come as a burst, take at least 8.3 s.
        let reached = reached.expect("votes for the next stage");
        assert!(
            reached <= Duration::from_secs(10),
            "seed {seed}: {reached:?}"
        );
        assert!(
            platform.rejected * 10 < platform.calls,
            "seed {seed}: {} rejected",
            platform.rejected
        );
    }
}

#[test]
fn a_stage_that_directly_follows_another_reaches_its_quorum_though_votes_expire_within_a_round() {
    for seed in 0..20 {
        // 182 votes at 16 a second take 11.4 s but stand for 10 s: they all stand only after a burst of 32.
        let mut fleet = Fleet::new(304, 16.0, 182, seed);
        fleet.follows_round = true;
        let (reached, _) = fleet.run_until_quorum(Vote::Advance, Duration::from_millis(3600));
        assert!(
            reached.is_some_and(|at| at <= Duration::from_millis(13_500)),
            "seed {seed}: {reached:?}"
        );
    }
}

#[test]
fn a_round_that_waits_for_evidence_is_short_while_the_early_votes_stand() {
    for seed in 0..20 {
        let (reached, _) = Fleet::new(273, 16.0, 100, seed)
            .run_until_quorum(Vote::Advance, Duration::from_millis(6500));
        let reached = reached.expect("votes for the next stage");
        assert!(
            reached <= Duration::from_secs(9),
            "seed {seed}: {reached:?}"
        );
    }
}

#[test]
fn evidence_that_comes_after_the_early_votes_expired_starts_a_new_round() {
    for seed in 0..20 {
        for settled in [9, 12, 20, 30] {
            let (reached, _) = Fleet::new(273, 16.0, 164, seed)
                .run_until_quorum(Vote::Advance, Duration::from_secs(settled));
            let reached = reached.expect("votes for the next stage");
            assert!(
                reached <= Duration::from_secs(settled + 11),
                "seed {seed}, settled at {settled} s: {reached:?}"
            );
        }
    }
}

#[test]
fn a_quorum_is_reached_though_a_quarter_of_the_relays_are_dead() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(273, 40.0, 164, seed);
        for index in 0..273 {
            fleet.alive[index] = index % 4 != 1; // 204 are alive
        }
        let (reached, _) = fleet.run_until_quorum(Vote::Advance, Duration::from_secs(2));
        let reached = reached.expect("votes for the next stage");
        assert!(
            reached <= Duration::from_secs(12),
            "seed {seed}: {reached:?}"
        );
    }
}

#[test]
fn a_bad_build_is_rolled_back_within_seconds_though_most_relays_are_dead() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(273, 16.0, 164, seed);
        for index in 0..273 {
            fleet.alive[index] = index % 10 < 3;
        }
        let (reached, _) = fleet.run_until_quorum(Vote::RollBack, Duration::from_secs(5));
        let reached = reached.expect("votes to roll back");
        assert!(
            reached <= Duration::from_secs(10),
            "seed {seed}: {reached:?}"
        );
        let (reached, _) = Fleet::new(273, 16.0, 164, seed)
            .run_until_quorum(Vote::RollBack, Duration::from_secs(5));
        assert!(
            reached.is_some_and(|at| at <= Duration::from_secs(7)),
            "seed {seed}: all alive: {reached:?}"
        );
    }
}

/// Guards against a flood of calls when the evidence flaps: for half a minute it changes three times a second, and 100
/// relays together stay below a fixed number of calls.
#[test]
fn a_flapping_decision_causes_few_calls() {
    for seed in 0..5 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut calls = 0;
        let mut trackers = vec![CallTracker::<Vote>::default(); 100];
        for step in 0..300u32 {
            let (now, on) = (TICK * step, step % 3 == 0);
            for (position, tracker) in trackers.iter_mut().enumerate() {
                let schedule = CallSchedule::new(position as u32, 100, 16.0, 60);
                let desired = (on || schedule.may_call_early()).then_some(Vote::Advance);
                let desired_since = tracker.set_desired(desired, now);
                let settled = tracker.note_settled(on, now, VOTE_LIFETIME);
                let slot = match desired {
                    None => schedule.withdrawal_slot(desired_since),
                    Some(_) => schedule.advance_slot(Duration::ZERO, false, settled, VOTE_LIFETIME),
                };
                if tracker.is_due(
                    slot,
                    now,
                    TICK * 13,
                    TICK * 2,
                    schedule.renewal_interval(VOTE_LIFETIME, 0.6),
                ) {
                    tracker.record_sent(now);
                    calls += 1;
                    if rng.random::<f64>() < 0.9 {
                        tracker.record_accepted();
                    } else {
                        tracker.record_rejected(now, |times| schedule.retry_delay(times, 0.5));
                    }
                }
            }
        }
        // Each relay renews its vote five times, and repeats it when the decision is settled again.
        assert!(calls < 720, "seed {seed}: {calls} calls in 30 s");
    }
}

#[test]
fn a_small_fleet_does_not_wait_for_slots() {
    let (reached, platform) =
        Fleet::new(5, 200.0, 2, 1).run_until_quorum(Vote::Advance, Duration::from_secs(3));
    assert!(
        reached.is_some_and(|at| at <= Duration::from_millis(4100)),
        "{reached:?}"
    );
    assert_eq!(platform.rejected, 0);
}

proptest! {
    /// For any fleet, the early votes are fewer than the quorum.
    #[test]
    fn early_votes_do_not_reach_the_quorum(relays in 1u32..600, per_s in 0.5f64..400.0, quorum in 0u32..600) {
        let early = (0..relays).filter(|&position| CallSchedule::new(position, relays, per_s, quorum).may_call_early()).count();
        prop_assert!(early == 0 || early < quorum as usize);
    }

    /// The retry delay grows with consecutive rejections, up to the length of a round.
    #[test]
    fn retry_delays_grow_up_to_a_round(relays in 1u32..600, per_s in 0.5f64..400.0, times in 1u32..2000) {
        let schedule = CallSchedule::new(0, relays, per_s, 0);
        let (one, next) = (schedule.retry_delay(times, 1.0), schedule.retry_delay(times + 1, 1.0));
        let round = Duration::from_secs_f64(f64::from(relays) / per_s).max(Duration::from_secs(1));
        prop_assert!(one <= next && next <= round);
    }

    /// A vote is renewed before it expires, unless a round of the quorum takes longer.
    #[test]
    fn a_vote_is_renewed_before_it_expires(per_s in 0.5f64..400.0, quorum in 1u32..600) {
        let renew = CallSchedule::new(0, 600, per_s, quorum).renewal_interval(VOTE_LIFETIME, 0.6);
        prop_assert!(renew >= VOTE_LIFETIME.mul_f64(0.6));
        prop_assert!(renew <= VOTE_LIFETIME.mul_f64(0.6).max(Duration::from_secs_f64(f64::from(quorum) / per_s)));
    }
}
