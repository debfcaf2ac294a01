//! Which vote follows, and when it is cast.

use super::*;

impl Relay {
    pub(super) fn is_busy(&self) -> bool {
        !self.judge.busy_before && self.meter.shed_within(BUSY_FOR, self.now)
    }

    /// Which vote this relay stands for, and whether the evidence is in: else it is one ahead of it.
    pub(super) fn stance(&mut self, news: News, fused: f64) -> (Vote, bool) {
        self.judge.on = self.may_go_on(news, fused);
        match news.phase {
            Phase::OnTrial | Phase::Released if fused >= ALARMS_M => return (Vote::Back, true),
            Phase::OnTrial => {}
            _ => return (Vote::Nothing, true),
        }
        let fusers = || {
            self.live_peers()
                .filter(|peer| peer.stage == news.stage && peer.outcomes > 0)
        };
        let most = fusers().filter(|peer| peer.on).count() * 2 > fusers().count();
        let on = if self.fig.fuses {
            self.judge.on
        } else {
            fused <= 0.0 && most
        };
        let vote = match self.fig.gate {
            GateMode::Automatic if self.judge.bit => Vote::Hold,
            GateMode::FirstVoice if on && self.fig.me.0 < PROCEED_VOICES => Vote::On,
            // Departure: a round of votes takes long: those without whom it is not one vote ahead of it.
            GateMode::ByCount
                if on || self.fig.turns.may_call_early() && self.is_unharmed(fused) =>
            {
                Vote::On
            }
            _ => Vote::Nothing,
        };
        (vote, on || vote == Vote::Hold)
    }

    pub(super) fn is_unharmed(&self, fused: f64) -> bool {
        fused <= 0.0 && !self.judge.bit && self.worst().0 < CLEAR_NATS
    }

    pub(super) fn may_go_on(&self, news: News, fused: f64) -> bool {
        let trial = self.fleet.ready_of(news.build);
        let youngest = trial
            .map(|unit| self.now.saturating_sub(unit.started.unwrap_or_default()))
            .min();
        let Some(youngest) = youngest else {
            return false;
        };
        // Departure: a stage most of whose units the list does not show yet has shown nothing.
        let earlier = self
            .fleet
            .ready()
            .filter(|unit| unit.build < news.build)
            .count();
        let (seen, share) = (
            self.fleet.ready_of(news.build).count(),
            self.fig.stage_shares.get(news.stage.0),
        );
        let places = if self.fig.replace {
            earlier + seen
        } else {
            earlier.max(seen)
        } as f64;
        if (seen as f64) < share.unwrap_or(&0.0) * places * LISTED {
            return false;
        }
        // Departure: the last stage, with the earlier units still standing by, is the cheap place to wait.
        let last = news.stage.0 == self.fig.stage_caps.len().saturating_sub(1) && !self.fig.replace;
        let wait = if last {
            self.fig.warm_up + TICK * 10
        } else {
            Duration::ZERO
        };
        // Departure: nothing goes on while tasks are shed, both are late, or what fails proves nothing.
        let calm = !self.is_busy() && self.judge.ambient < NATS_FLOOR || news.cap < SMALL_CAP;
        let calm = calm && self.judge.surge.iter().all(|&surge| surge < NATS_FLOOR);
        let clear = calm && fused <= 0.0 && self.worst().0 < CLEAR_NATS && youngest >= wait;
        // Departure: the more the next stage exposes, the more outcomes it takes.
        let next = *self.fig.stage_caps.get(news.stage.0 + 1).unwrap_or(&1.0);
        let enough = f64::from(self.judge.outcomes) >= EVIDENCE * next;
        clear && enough && self.now >= self.judge.clear_since + youngest.min(self.fig.warm_up)
    }

    pub(super) fn cast(&mut self, fused: f64, act: Act) {
        let Some(news) = self.news else { return };
        let (vote, settled) = self.stance(news, fused);
        // Where one voice is enough, hundreds need not speak; the platform takes so many votes of all.
        let voices = if self.fig.gate == GateMode::FirstVoice {
            FUSERS
        } else {
            self.fig.relays
        };
        let wished = self
            .voice
            .set_desired(Some(vote).filter(|&vote| vote != Vote::Nothing), self.now);
        let (turns, life) = (&self.fig.turns, self.fig.vote_life);
        let settled = self.voice.note_settled(settled, self.now, life);
        let turn = match vote {
            Vote::Back => turns.urgent_slot(wished),
            Vote::Nothing => turns.withdrawal_slot(wished),
            _ => turns.advance_slot(self.judge.stage_at, news.stage.0 > 0, settled, life),
        };
        let ahead = vote == Vote::On && settled.is_none();
        let renew = if ahead {
            Duration::MAX
        } else {
            turns.renewal_interval(life, RENEW)
        };
        let wait = self.fig.answer_wait + TICK;
        if self.fig.me.0 >= voices
            || !self.voice.is_due(
                turn,
                self.now,
                wait,
                turns.min_interval(voices, TICK * 2),
                renew,
            )
        {
            return;
        }
        if self.voice.last_call().unwrap_or(Vote::Nothing) != vote && self.fig.fuses {
            act.log(&self.judge.line(news, vote, fused, self.worst()));
        }
        self.voice.record_sent(self.now);
        act.vote(news.build, news.stage, vote);
    }

    pub fn list_failed(&self, act: Act) {
        act.follow_list();
    }

    pub fn vote_answered(&mut self, outcome: Outcome) {
        let draw = self.rng.random();
        match outcome {
            Outcome::Ok => self.voice.record_accepted(),
            Outcome::Moot => self.voice.record_rejected(self.now, |_| self.fig.vote_life), // the news is on its way
            _ => self
                .voice
                .record_rejected(self.now, |times| self.fig.turns.retry_delay(times, draw)),
        }
    }
}
