//! Votes to the platform: which vote this relay wants, and when it is cast.

use super::*;

impl Relay {
    /// Whether load is shed that was not shed before the trial.
    pub(super) fn is_newly_shedding(&self) -> bool {
        !self.detector.shedding_before && self.meter.shed_within(SHEDDING_SPAN, self.now)
    }

    /// The vote that this relay wants, and whether the evidence for it is complete; a vote without that is cast
    /// ahead of the evidence.
    pub(super) fn wanted_vote(&mut self, rollout: RolloutState, fused: f64) -> (Vote, bool) {
        self.detector.can_advance = self.may_advance(rollout, fused);
        match rollout.phase {
            Phase::OnTrial | Phase::Released if fused >= ALARMS_M => return (Vote::Back, true),
            Phase::OnTrial => {}
            _ => return (Vote::Nothing, true),
        }
        let judges = || {
            self.live_peers()
                .filter(|peer| peer.stage == rollout.stage && peer.outcomes > 0)
        };
        let majority = judges().filter(|peer| peer.can_advance).count() * 2 > judges().count();
        let can_advance = if self.params.is_judge {
            self.detector.can_advance
        } else {
            fused <= 0.0 && majority
        };
        let vote = match self.params.gate {
            GateMode::Automatic if self.detector.alarm => Vote::Hold,
            GateMode::FirstVote if can_advance && self.params.own_id.0 < FIRST_VOTE_VOTERS => {
                Vote::On
            }
            // Departure: where a round of votes takes long, relays whose votes alone do not move the build vote
            // before the evidence is complete.
            GateMode::VoteCount
                if can_advance
                    || self.params.turns.may_call_early() && self.is_free_of_alarms(fused) =>
            {
                Vote::On
            }
            _ => Vote::Nothing,
        };
        (vote, can_advance || vote == Vote::Hold)
    }

    /// Whether no relay has raised an alarm and this one sees no sign of harm.
    pub(super) fn is_free_of_alarms(&self, fused: f64) -> bool {
        fused <= 0.0 && !self.detector.alarm && self.max_sum().0 < CLEAR_SUM_NATS
    }

    /// Whether, by this relay's own evidence, the build may advance to the next stage.
    pub(super) fn may_advance(&self, rollout: RolloutState, fused: f64) -> bool {
        let trial = self.fleet.ready_of(rollout.build);
        let youngest = trial
            .map(|unit| self.now.saturating_sub(unit.started.unwrap_or_default()))
            .min();
        let Some(youngest) = youngest else {
            return false;
        };
        // Departure: a stage ends only once enough of its units are listed, as those that are not have shown
        // nothing.
        let earlier = self
            .fleet
            .ready()
            .filter(|unit| unit.build < rollout.build)
            .count();
        let (seen, share) = (
            self.fleet.ready_of(rollout.build).count(),
            self.params.stage_shares.get(rollout.stage.0),
        );
        let places = if self.params.in_place {
            earlier + seen
        } else {
            earlier.max(seen)
        } as f64;
        if (seen as f64) < share.unwrap_or(&0.0) * places * MIN_LISTED_SHARE {
            return false;
        }
        // Departure: in the last stage before the release, waiting costs little, as the earlier units are still
        // there. Every unit must have warmed up.
        let last = rollout.stage.0 == self.params.stage_caps.len().saturating_sub(1)
            && !self.params.in_place;
        let min_age = if last {
            self.params.warm_up + TICK * 10
        } else {
            Duration::ZERO
        };
        // Departure: no stage ends while load is shed, both builds are late, or failures of the earlier build rise.
        let calm = !self.is_newly_shedding()
            && self.detector.baseline_lateness < MIN_THRESHOLD_NATS
            || rollout.cap < SMALL_CAP;
        let calm = calm
            && self
                .detector
                .baseline_surge
                .iter()
                .all(|&surge| surge < MIN_THRESHOLD_NATS);
        let clear =
            calm && fused <= 0.0 && self.max_sum().0 < CLEAR_SUM_NATS && youngest >= min_age;
        // Departure: the higher the cap of the next stage, the more outcomes are needed.
        let next_cap = *self
            .params
            .stage_caps
            .get(rollout.stage.0 + 1)
            .unwrap_or(&1.0);
        let enough = f64::from(self.detector.outcomes) >= OUTCOMES_TO_ADVANCE * next_cap;
        clear && enough && self.now >= self.detector.clear_since + youngest.min(self.params.warm_up)
    }

    /// Casts the wanted vote if it is this relay's turn and the vote differs from the standing one, was not
    /// accepted, or has to be renewed.
    pub(super) fn update_vote(&mut self, fused: f64, actions: DynActions) {
        let Some(rollout) = self.rollout else { return };
        let (vote, settled) = self.wanted_vote(rollout, fused);
        // Where one vote is enough, a few relays vote for all, as the platform takes only so many votes per second.
        let voters = if self.params.gate == GateMode::FirstVote {
            JUDGING_RELAYS
        } else {
            self.params.relays
        };
        let wished = self
            .ballot
            .set_desired(Some(vote).filter(|&vote| vote != Vote::Nothing), self.now);
        let (turns, ttl) = (&self.params.turns, self.params.vote_ttl);
        let settled = self.ballot.note_settled(settled, self.now, ttl);
        let turn = match vote {
            Vote::Back => turns.urgent_slot(wished),
            Vote::Nothing => turns.withdrawal_slot(wished),
            _ => turns.advance_slot(
                self.detector.stage_started_at,
                rollout.stage.0 > 0,
                settled,
                ttl,
            ),
        };
        let ahead_of_evidence = vote == Vote::On && settled.is_none();
        let renew = if ahead_of_evidence {
            Duration::MAX
        } else {
            turns.renewal_interval(ttl, VOTE_RENEWAL_SHARE)
        };
        let wait = self.params.vote_timeout + TICK;
        if self.params.own_id.0 >= voters
            || !self.ballot.is_due(
                turn,
                self.now,
                wait,
                turns.min_interval(voters, TICK * 2),
                renew,
            )
        {
            return;
        }
        if self.ballot.last_call().unwrap_or(Vote::Nothing) != vote && self.params.is_judge {
            actions.log(&self.detector.log_line(rollout, vote, fused, self.max_sum()));
        }
        self.ballot.record_sent(self.now);
        actions.vote(rollout.build, rollout.stage, vote);
    }

    /// Follows the list of units again after the connection to discovery failed.
    pub fn discovery_failed(&self, actions: DynActions) {
        actions.watch_units();
    }

    /// Takes the platform's answer to a vote.
    pub fn vote_answered(&mut self, outcome: Outcome) {
        let draw = self.rng.random();
        match outcome {
            Outcome::Ok => self.ballot.record_accepted(),
            // The build has moved on, so the vote is not cast again before the platform says where it stands.
            Outcome::Moot => self
                .ballot
                .record_rejected(self.now, |_| self.params.vote_ttl),
            _ => self
                .ballot
                .record_rejected(self.now, |times| self.params.turns.retry_delay(times, draw)),
        }
    }
}
