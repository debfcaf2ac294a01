//! What outcomes say of a build: the sums, the bit, and what relays tell each other.

use super::*;

impl Relay {
    /// Evidence: what trial units do against what the earlier build's do; failed connects speak of machines.
    pub(super) fn judge(&mut self, ended: &Ended) {
        if ended.repeat || ended.apart && ended.outcome != Outcome::Error {
            return; // what failed elsewhere before may fail anywhere
        }
        let unit = &self.fleet.units[ended.unit];
        let Some(failed) = ended
            .failed()
            .filter(|_| ended.outcome != Outcome::ConnectFailed)
        else {
            return;
        };
        let late = ended.outcome == Outcome::TimeOut;
        if (ended.cold && late) || unit.streak > STREAK {
            return; // departure: cold or silent units are no evidence against a build
        }
        // Departure: lateness under more load, of both builds, or after the release proves nothing.
        if self.judge.ambient > NATS_FLOOR || self.load() > LOADED * self.judge.load_before {
            self.judge.excused_at = self.now;
        }
        let excused = !self.news.is_some_and(News::is_on_trial)
            || self.now.saturating_sub(ended.spent) <= self.judge.excused_at;
        let (build, kind, judged) = (unit.build, unit.kind, self.judged() == Some(unit.build));
        let (all, keep) = (self.tracks.len(), self.meter.keep);
        let track = &mut self.tracks[ended.track.0];
        let slow = track
            .slow_mark(kind, SLOW_SHARE, BASELINE)
            .filter(|_| !failed)
            .map(|mark| Histogram::bin(ended.spent) > mark);
        // Departure: errors and losses have good rates of their own, so that neither hides the other.
        let kinds = [
            ended.outcome == Outcome::Error,
            failed && ended.outcome != Outcome::Error,
        ];
        if !judged {
            if self.news.is_some_and(|news| build <= news.build) {
                let pasts = track.failures.entry(kind).or_default();
                for ((past, failed), surge) in
                    pasts.iter_mut().zip(kinds).zip(&mut self.judge.surge)
                {
                    // Departure: while the earlier build's failures rise, a build's prove nothing.
                    *surge = (*surge + log_ratio(past.good(), failed)).clamp(0.0, LOG_GAMMA);
                    past.beside
                        .add(failed, if *surge > NATS_FLOOR { KEEP } else { keep });
                }
                slow.into_iter().for_each(|slow| track.slow.add(slow, keep));
                // Departure: the earlier build's own lateness, against the time before the trial.
                let ratio = lateness(
                    pasts[1].before + SLOW_SHARE,
                    LATE_TIMES,
                    late || slow == Some(true),
                );
                self.judge.ambient = (self.judge.ambient + ratio).clamp(0.0, LOG_GAMMA);
            }
            return;
        }
        let (pasts, good_slow) = (track.past(kind), track.slow.rate().max(SLOW_SHARE));
        let error = log_ratio(pasts[0].good(), kinds[0]);
        let loss = lateness(pasts[1].good(), LATE_TIMES, kinds[1]);
        let [errors, losses] = self.judge.surge.map(|surge| surge < NATS_FLOOR);
        if errors {
            self.blame(ended.unit, ended.track.0, error);
            self.blame(ended.unit, all, error);
            self.judge.outcomes += 1;
        }
        if losses && !(excused && late) {
            self.blame(ended.unit, all + 1, loss);
        }
        if let Some(slow) = slow.filter(|_| !excused && !ended.cold) {
            self.blame(ended.unit, all + 2, lateness(good_slow, SLOW_TIMES, slow));
        }
        self.judge.tick_outcomes += 1.0;
    }

    pub(super) fn blame(&mut self, unit: usize, sum: usize, ratio: f64) {
        let own = &mut self.fleet.units[unit].sums;
        own.resize(self.judge.sums.len(), cusum::Cusum::default());
        own[sum].z += ratio;
        self.judge.sums[sum].z += ratio;
    }

    /// The build that is judged: one seen on trial here, else there is nothing to compare it with.
    pub(super) fn judged(&self) -> Option<BuildId> {
        self.news
            .filter(|news| news.is_live() && self.judge.on_trial)
            .map(|news| news.build)
    }

    pub(super) fn taken(&self) -> f64 {
        self.tracks
            .iter()
            .map(|track| track.taken.sum(self.now, TICK * 20))
            .sum()
    }

    pub(super) fn fleet_rate(&self) -> f64 {
        (self.taken()
            + self
                .peers
                .heard(self.now, PEER_LAPSE)
                .map(|peer| peer.taken)
                .sum::<f64>())
            / (TICK * 20).as_secs_f64()
    }

    /// Tasks a second for each place; earlier units that do not answer are none, the judged build's own are.
    pub(super) fn load(&self) -> f64 {
        let place =
            |unit: &&Unit| match (Some(unit.build) == self.judged(), self.cap_of(unit.build)) {
                (true, cap) => self.fig.replace || cap.is_none(),
                (false, cap) => cap.is_none() && !self.is_aside(unit),
            };
        self.fleet_rate() / self.fleet.ready().filter(place).count().max(1) as f64
    }

    pub fn build_news(&mut self, build: BuildId, stage: Stage, phase: Phase, cap: f64, act: Act) {
        let news = News {
            build,
            stage,
            phase,
            cap,
        };
        let same = self.news.is_some_and(|last| last.build == build);
        self.judge.on_trial = phase == Phase::OnTrial || (same && self.judge.on_trial);
        let Some(last) = self.news.replace(news).filter(|&last| last != news) else {
            return;
        };
        if last.build != build {
            self.judge
                .starts(self.load(), self.meter.shed_within(BUSY_FOR, self.now));
            self.tracks
                .iter_mut()
                .for_each(|track| track.trial_begins(SLOW_SHARE));
            self.exposure.starts(build);
        } else if cap < last.cap {
            self.exposure.lower_cap_at = Some(self.now + self.fig.drain_grace);
        }
        if (last.build, last.stage) != (build, stage) {
            self.judge.stage_begins(self.now);
        }
        self.voice.reset();
        if self.fig.fuses {
            act.log(&format!(
                "build {} stage {} {phase:?} cap {cap}",
                build.0, stage.0
            ));
        }
    }

    pub fn complaint(&mut self, unit: &UnitId, track: TrackId) {
        let at = self.fleet.index.get(unit).copied();
        at.into_iter()
            .for_each(|at| self.learn(&Ended::report(at, track), true));
    }

    /// The chain's outward way, for this relay's own outcomes and, departure, for those that peers tell.
    pub(super) fn learn(&mut self, ended: &Ended, own: bool) {
        match ended.flagged {
            true => self.flagged(ended.unit, ended.track),
            false => CHAIN
                .iter()
                .rev()
                .for_each(|(_, outward)| outward(self, ended)),
        }
        let tell = own && self.fig.tells;
        self.judge
            .untold
            .extend(tell.then(|| self.fleet.told(ended)).into_iter().flatten());
    }

    pub(super) fn flagged(&mut self, at: usize, track: TrackId) {
        let Unit { build, kind, .. } = self.fleet.units[at];
        if self.judged() != Some(build) {
            self.tracks[track.0].failures.entry(kind).or_default()[0]
                .beside
                .failures += 1.0;
            return;
        }
        // Departure: it was counted as good; where only a share is reported, each report speaks for more.
        let wrong = (1.0 / self.fig.complaint_share.max(0.01)).clamp(1.0, FLAG_WEIGHT);
        let good = self.tracks[track.0].past(kind)[0].good();
        let ratio = (log_ratio(good, true) - log_ratio(good, false)) * wrong;
        [track.0, self.tracks.len()]
            .iter()
            .for_each(|&sum| self.blame(at, sum, ratio));
    }

    pub fn note_from(&mut self, from: PeerId, payload: &[u8]) {
        let Some((entry, rest)) = PeerEntry::decode(payload, self.now) else {
            return;
        };
        if !self.fig.fuses && from.0 < FUSERS {
            self.meter.time_ratio += (entry.time_ratio - self.meter.time_ratio) * 0.5;
        }
        self.peers.0.insert(from, entry);
        let told = self
            .fleet
            .shun(rest, self.now + TICK * TELL_EVERY as u32 * 3 / 2);
        let told: Vec<Ended> = self.fleet.heard(told, self.tracks.len()).collect();
        told.iter().for_each(|ended| self.learn(ended, false));
    }

    pub(super) fn run_cusum(&mut self) {
        let busy = self.is_busy();
        let judge = &mut self.judge;
        let units = self.fleet.units.iter_mut().flat_map(|unit| &mut unit.sums);
        for sum in judge.sums.iter_mut().chain(units) {
            sum.tick();
        }
        judge.tick(busy || judge.ambient > NATS_FLOOR, TICK, 0.97, 0.1); // it fades where none answers
        let rate = if self.fig.fuses {
            judge.outcome_rate
        } else {
            0.0
        }; // the others' is weighed there
        let good = TrackState::good_rate(&self.tracks);
        self.judge.divergence = cusum::divergence(good, rate);
        let weight = self.judge.divergence / self.largest();
        let threshold = cusum::threshold(weight, ALARMS_M);
        // Departure: the build may slow both; the dearer a good one lost, the longer that is borne.
        let held = self.judge.held > HOLD.mul_f64(self.fig.delay_price)
            && self.news.is_some_and(News::is_on_trial);
        let alarm = || self.judge.outcomes >= MIN_OUTCOMES && self.worst().0 > threshold;
        self.judge.bit = self.fig.fuses && (held || alarm());
    }

    /// The largest sum, and which. Departure: what the worst units bring beyond the median one is left out.
    pub(super) fn worst(&self) -> (f64, usize) {
        let trial = || {
            self.judged()
                .into_iter()
                .flat_map(|build| self.fleet.ready_of(build))
        };
        let count = trial().count();
        // After the release nothing runs beside: what half of the units do not show is not the build's.
        let share = if self.news.is_some_and(News::is_on_trial) {
            ASIDE_SHARE / 2.0
        } else {
            0.5
        };
        let few = ((count as f64 * share) as usize).max(usize::from(count >= 3));
        let own = |at: usize| {
            trial()
                .filter_map(|unit| Some(unit.sums.get(at)?.w))
                .collect()
        };
        // Fewer than 3 units may be slow machines all, so that only errors and reports count.
        let late = [self.tracks.len() + 1, self.tracks.len() + 2];
        let sums = self
            .judge
            .sums
            .iter()
            .enumerate()
            .filter(|(at, _)| count >= 3 || !late.contains(at));
        let sums = sums.map(|(at, sum)| (sum.w - excess(own(at), few), at));
        sums.fold(
            (0.0, 0),
            |most, sum| if sum.0 > most.0 { sum } else { most },
        )
    }

    pub(super) fn live_peers(&self) -> impl Iterator<Item = &PeerEntry> {
        let judged = self.judged();
        self.peers
            .heard(self.now, PEER_LAPSE)
            .filter(move |peer| Some(peer.build) == judged)
    }

    pub(super) fn largest(&self) -> f64 {
        self.live_peers()
            .map(|peer| peer.divergence)
            .fold(self.judge.divergence.max(1e-9), f64::max)
    }

    pub(super) fn fuse(&self) -> f64 {
        let own = (self.judge.bit, self.judge.divergence);
        let bits = self
            .live_peers()
            .map(|peer| (peer.bit, peer.divergence))
            .chain([own]);
        cusum::fuse(bits, self.largest())
    }

    /// Departure: outcomes go to the first few, which count them as their own and tell all what follows.
    pub(super) fn tell(&mut self, act: Act) {
        let untold = std::mem::take(&mut self.judge.untold);
        let Some(news) = self.news.filter(|_| self.fig.tells) else {
            return;
        };
        let entry = self
            .judge
            .entry(news, self.now, self.taken(), self.meter.time_ratio);
        let all_fuse = self.fig.relays <= FUSERS;
        let fusers = (0..FUSERS)
            .filter(|&fuser| fuser != self.fig.me.0)
            .map(|fuser| Some(PeerId(fuser)));
        let to: Vec<Option<PeerId>> = if all_fuse {
            vec![None]
        } else {
            fusers.collect()
        };
        for note in entry.notes(&[], &untold) {
            to.iter().for_each(|&peer| act.tell(peer, &note));
        }
        if !all_fuse && self.fig.fuses {
            let units = self.fleet.ready().filter(|unit| self.now < unit.away_until);
            entry
                .notes(&Fleet::tags(units), &[])
                .iter()
                .for_each(|note| act.tell(None, note));
        }
    }
}
