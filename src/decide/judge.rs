//! The evidence about a build on trial: the sums, the alarm bit, and the messages that relays send each other.

use super::*;

impl Relay {
    /// Compares the outcomes of units on trial with those of the earlier build. Failed connects are no evidence, as
    /// they are about machines and not about the software.
    pub(super) fn record_evidence(&mut self, report: &OutcomeReport) {
        // A task that failed elsewhere before may fail on any build.
        if report.is_retry || report.late_everywhere && report.outcome != Outcome::Error {
            return;
        }
        let unit = &self.fleet.units[report.unit];
        let Some(failed) = report
            .failed()
            .filter(|_| report.outcome != Outcome::ConnectFailed)
        else {
            return;
        };
        let timed_out = report.outcome == Outcome::TimeOut;
        // Departure: units that warm up or do not answer at all are no evidence against a build.
        if (report.cold && timed_out) || unit.failure_streak > EJECTION_STREAK {
            return;
        }
        // Departure: lateness is no evidence under higher load, where both builds are late, or after the release.
        if self.detector.baseline_lateness > MIN_THRESHOLD_NATS
            || self.load_per_unit() > LOAD_INCREASE * self.detector.load_before
        {
            self.detector.excused_at = self.now;
        }
        let lateness_excused = !self.rollout.is_some_and(RolloutState::is_on_trial)
            || self.now.saturating_sub(report.elapsed) <= self.detector.excused_at;
        let (build, machine_type) = (unit.build, unit.machine_type);
        let is_judged = self.judged_build() == Some(unit.build);
        let (all_errors, window) = (self.tracks.len(), self.meter.baseline_window);
        let track = &mut self.tracks[report.track.0];
        let slow = track
            .slow_bin(machine_type, SLOW_SHARE, MIN_BASELINE_SAMPLES)
            .filter(|_| !failed)
            .map(|bin| Histogram::bin(report.elapsed) > bin);
        // Departure: errors and losses have baselines of their own, so that a high rate of one does not hide the
        // other.
        let kinds = [
            report.outcome == Outcome::Error,
            failed && report.outcome != Outcome::Error,
        ];
        if !is_judged {
            if self.rollout.is_some_and(|rollout| build <= rollout.build) {
                let baselines = track.failures.entry(machine_type).or_default();
                for ((baseline, failed), surge) in baselines
                    .iter_mut()
                    .zip(kinds)
                    .zip(&mut self.detector.baseline_surge)
                {
                    // Departure: while failures of the earlier build rise, those of the new one are no evidence.
                    *surge =
                        (*surge + log_ratio(baseline.failure_rate(), failed)).clamp(0.0, LOG_GAMMA);
                    baseline.during_trial.add(
                        failed,
                        if *surge > MIN_THRESHOLD_NATS {
                            MIN_BASELINE_WINDOW
                        } else {
                            window
                        },
                    );
                }
                slow.into_iter()
                    .for_each(|slow| track.slow.add(slow, window));
                // Departure: lateness of the earlier build is compared with the time before the trial.
                let ratio = lateness_log_ratio(
                    baselines[1].before_trial + SLOW_SHARE,
                    LOSS_RATE_FACTOR,
                    timed_out || slow == Some(true),
                );
                self.detector.baseline_lateness =
                    (self.detector.baseline_lateness + ratio).clamp(0.0, LOG_GAMMA);
            }
            return;
        }
        let (baselines, slow_rate) = (
            track.baseline(machine_type),
            track.slow.rate().max(SLOW_SHARE),
        );
        let error = log_ratio(baselines[0].failure_rate(), kinds[0]);
        let loss = lateness_log_ratio(baselines[1].failure_rate(), LOSS_RATE_FACTOR, kinds[1]);
        let [errors_count, losses_count] = self
            .detector
            .baseline_surge
            .map(|surge| surge < MIN_THRESHOLD_NATS);
        if errors_count {
            self.add_evidence(report.unit, report.track.0, error);
            self.add_evidence(report.unit, all_errors, error);
            self.detector.outcomes += 1;
        }
        if losses_count && !(lateness_excused && timed_out) {
            self.add_evidence(report.unit, all_errors + 1, loss);
        }
        if let Some(slow) = slow.filter(|_| !lateness_excused && !report.cold) {
            self.add_evidence(
                report.unit,
                all_errors + 2,
                lateness_log_ratio(slow_rate, SLOW_RATE_FACTOR, slow),
            );
        }
        self.detector.tick_outcomes += 1.0;
    }

    /// Adds a log likelihood ratio, in nats, to the sum with an index and to the unit's own part of it.
    pub(super) fn add_evidence(&mut self, unit: usize, sum: usize, nats: f64) {
        let own = &mut self.fleet.units[unit].cusums;
        own.resize(self.detector.cusums.len(), cusum::Cusum::default());
        own[sum].z += nats;
        self.detector.cusums[sum].z += nats;
    }

    /// The build that is judged. None if this relay has not seen it on trial, as it then has nothing to compare
    /// with.
    pub(super) fn judged_build(&self) -> Option<BuildId> {
        self.rollout
            .filter(|rollout| rollout.is_live() && self.detector.seen_on_trial)
            .map(|rollout| rollout.build)
    }

    /// Tasks received in the last 2 s.
    pub(super) fn recent_arrivals(&self) -> f64 {
        self.tracks
            .iter()
            .map(|track| track.arrivals.sum(self.now, TICK * 20))
            .sum()
    }

    /// Tasks per second of all relays that are heard from.
    pub(super) fn fleet_arrival_rate(&self) -> f64 {
        (self.recent_arrivals()
            + self
                .peers
                .live(self.now, PEER_STATE_TTL)
                .map(|peer| peer.arrivals)
                .sum::<f64>())
            / (TICK * 20).as_secs_f64()
    }

    /// Tasks per second and unit. Units of the earlier build count unless they are avoided. Units of the judged
    /// build count, avoided or not, once it is released or where it replaces the earlier units.
    pub(super) fn load_per_unit(&self) -> f64 {
        let takes_load = |unit: &&Unit| match (
            Some(unit.build) == self.judged_build(),
            self.exposure_cap(unit.build),
        ) {
            (true, cap) => self.params.in_place || cap.is_none(),
            (false, cap) => cap.is_none() && !self.is_avoided(unit),
        };
        self.fleet_arrival_rate() / self.fleet.ready().filter(takes_load).count().max(1) as f64
    }

    /// Takes the platform's statement of where the newest build stands, and the share of the traffic it may get.
    pub fn rollout_updated(
        &mut self,
        build: BuildId,
        stage: Stage,
        phase: Phase,
        cap: f64,
        actions: DynActions,
    ) {
        let rollout = RolloutState {
            build,
            stage,
            phase,
            cap,
        };
        let same_build = self.rollout.is_some_and(|last| last.build == build);
        self.detector.seen_on_trial =
            phase == Phase::OnTrial || (same_build && self.detector.seen_on_trial);
        let Some(last) = self
            .rollout
            .replace(rollout)
            .filter(|&last| last != rollout)
        else {
            return;
        };
        if last.build != build {
            self.detector.start_build(
                self.load_per_unit(),
                self.meter.shed_within(SHEDDING_SPAN, self.now),
            );
            self.tracks
                .iter_mut()
                .for_each(|track| track.start_trial(SLOW_SHARE));
            self.exposure.start_build(build);
        } else if cap < last.cap {
            self.exposure.lower_cap_at = Some(self.now + self.params.drain_grace);
        }
        if (last.build, last.stage) != (build, stage) {
            self.detector.start_stage(self.now);
        }
        self.ballot.reset();
        if self.params.is_judge {
            actions.log(&format!(
                "build {} stage {} {phase:?} cap {cap}",
                build.0, stage.0
            ));
        }
    }

    /// Takes a client's report that an answer of a unit was wrong.
    pub fn complaint_received(&mut self, unit: &UnitId, track: TrackId) {
        let at = self.fleet.index.get(unit).copied();
        at.into_iter()
            .for_each(|at| self.record_outcome(&OutcomeReport::wrong_answer(at, track), true));
    }

    /// Runs the outcome stages for an outcome: `own` ones of this relay and, a departure, those that peers report.
    pub(super) fn record_outcome(&mut self, report: &OutcomeReport, own: bool) {
        match report.wrong_answer {
            true => self.record_wrong_answer(report.unit, report.track),
            false => PIPELINE
                .iter()
                .rev()
                .for_each(|(_, stage)| stage(self, report)),
        }
        let send = own && self.params.messages_peers;
        self.detector.unsent_outcomes.extend(
            send.then(|| self.fleet.encode_outcome(report))
                .into_iter()
                .flatten(),
        );
    }

    /// Counts a client's report of a wrong answer as an error.
    pub(super) fn record_wrong_answer(&mut self, at: usize, track: TrackId) {
        let Unit {
            build,
            machine_type,
            ..
        } = self.fleet.units[at];
        if self.judged_build() != Some(build) {
            self.tracks[track.0]
                .failures
                .entry(machine_type)
                .or_default()[0]
                .during_trial
                .failures += 1.0;
            return;
        }
        // Departure: the answer was counted as good, which is taken back. Where clients report only a share of
        // wrong answers, each report stands for several.
        let weight = (1.0 / self.params.complaint_share.max(0.01)).clamp(1.0, MAX_COMPLAINT_WEIGHT);
        let rate = self.tracks[track.0].baseline(machine_type)[0].failure_rate();
        let nats = (log_ratio(rate, true) - log_ratio(rate, false)) * weight;
        [track.0, self.tracks.len()]
            .iter()
            .for_each(|&sum| self.add_evidence(at, sum, nats));
    }

    /// Takes a peer's state with the units it has ejected and the outcomes it reports. A message of another form is
    /// ignored.
    pub fn peer_message_received(&mut self, from: PeerId, payload: &[u8]) {
        let Some((state, rest)) = PeerState::decode(payload, self.now) else {
            return;
        };
        // Those that judge have every relay's outcomes, and so the better estimate of the load.
        if !self.params.is_judge && from.0 < JUDGING_RELAYS {
            self.meter.latency_ratio += (state.latency_ratio - self.meter.latency_ratio) * 0.5;
        }
        self.peers.0.insert(from, state);
        let outcomes = self.fleet.apply_peer_ejections(
            rest,
            self.now + TICK * PEER_STATE_INTERVAL_TICKS as u32 * 3 / 2,
        );
        let reports: Vec<OutcomeReport> = self
            .fleet
            .decode_outcomes(outcomes, self.tracks.len())
            .collect();
        reports
            .iter()
            .for_each(|report| self.record_outcome(report, false));
    }

    /// Ends a tick of the sums and sets the alarm bit.
    pub(super) fn update_cusums(&mut self) {
        let shedding = self.is_newly_shedding();
        let detector = &mut self.detector;
        let units = self
            .fleet
            .units
            .iter_mut()
            .flat_map(|unit| &mut unit.cusums);
        for sum in detector.cusums.iter_mut().chain(units) {
            sum.tick();
        }
        // The earlier build's lateness decays by 3% a tick, so that it ends even where nothing answers any more.
        let late = shedding || detector.baseline_lateness > MIN_THRESHOLD_NATS;
        detector.tick(late, TICK, 0.97, 0.1);
        // The judging relays count the outcomes of all others, so only their divergence weighs.
        let rate = if self.params.is_judge {
            detector.outcome_rate
        } else {
            0.0
        };
        let baseline = TrackState::baseline_failure_rate(&self.tracks);
        self.detector.divergence = cusum::divergence(baseline, rate);
        let weight = self.detector.divergence / self.max_divergence();
        let threshold = cusum::threshold(weight, ALARMS_M);
        // Departure: a build may slow both builds. The costlier it is to delay a good build, the longer lateness of
        // both is accepted.
        let late_too_long = self.detector.late_for
            > LATENESS_LIMIT.mul_f64(self.params.delay_price)
            && self.rollout.is_some_and(RolloutState::is_on_trial);
        let alarm = || self.detector.outcomes >= MIN_OUTCOMES && self.max_sum().0 > threshold;
        self.detector.alarm = self.params.is_judge && (late_too_long || alarm());
    }

    /// The largest sum and its index. Departure: what the worst units add beyond the median one is left out, as the
    /// build is the same on all units.
    pub(super) fn max_sum(&self) -> (f64, usize) {
        let trial_units = || {
            self.judged_build()
                .into_iter()
                .flat_map(|build| self.fleet.ready_of(build))
        };
        let count = trial_units().count();
        // After the release there is no earlier build to compare with, so what half of the units do not show is not
        // counted against the build.
        let share = if self.rollout.is_some_and(RolloutState::is_on_trial) {
            MAX_EJECTED_SHARE / 2.0
        } else {
            0.5
        };
        let few = ((count as f64 * share) as usize).max(usize::from(count >= 3));
        let own = |index: usize| {
            trial_units()
                .filter_map(|unit| Some(unit.cusums.get(index)?.w))
                .collect()
        };
        // Fewer than 3 units may all be on slow machines, so only errors and reports of wrong answers count there.
        let lateness_sums = [self.tracks.len() + 1, self.tracks.len() + 2];
        let sums = self
            .detector
            .cusums
            .iter()
            .enumerate()
            .filter(|(index, _)| count >= 3 || !lateness_sums.contains(index));
        let sums = sums.map(|(index, sum)| (sum.w - excess_over_median(own(index), few), index));
        sums.fold(
            (0.0, 0),
            |most, sum| if sum.0 > most.0 { sum } else { most },
        )
    }

    /// The states of peers that judge the same build and were heard from lately.
    pub(super) fn live_peers(&self) -> impl Iterator<Item = &PeerState> {
        let judged = self.judged_build();
        self.peers
            .live(self.now, PEER_STATE_TTL)
            .filter(move |peer| Some(peer.build) == judged)
    }

    /// The largest divergence of any relay; above 0, as it is divided by.
    pub(super) fn max_divergence(&self) -> f64 {
        self.live_peers()
            .map(|peer| peer.divergence)
            .fold(self.detector.divergence.max(1e-9), f64::max)
    }

    /// The weighted sum of all relays' alarm bits.
    pub(super) fn fused_alarm(&self) -> f64 {
        let own = (self.detector.alarm, self.detector.divergence);
        let bits = self
            .live_peers()
            .map(|peer| (peer.alarm, peer.divergence))
            .chain([own]);
        cusum::fuse(bits, self.max_divergence())
    }

    /// Sends this relay's state. Departure: outcomes go to the judging relays only; these count them as their own
    /// and send all relays the state that follows from them.
    pub(super) fn send_peer_state(&mut self, actions: DynActions) {
        let outcomes = std::mem::take(&mut self.detector.unsent_outcomes);
        let Some(rollout) = self.rollout.filter(|_| self.params.messages_peers) else {
            return;
        };
        let state = self.detector.peer_state(
            rollout,
            self.now,
            self.recent_arrivals(),
            self.meter.latency_ratio,
        );
        let all_judge = self.params.relays <= JUDGING_RELAYS;
        let judges = (0..JUDGING_RELAYS)
            .filter(|&judge| judge != self.params.own_id.0)
            .map(|judge| Some(PeerId(judge)));
        let recipients: Vec<Option<PeerId>> = if all_judge {
            vec![None]
        } else {
            judges.collect()
        };
        for message in state.messages(&[], &outcomes) {
            recipients
                .iter()
                .for_each(|&peer| actions.send_to_peers(peer, &message));
        }
        if !all_judge && self.params.is_judge {
            let ejected = self
                .fleet
                .ready()
                .filter(|unit| self.now < unit.ejected_until);
            state
                .messages(&Fleet::short_ids(ejected), &[])
                .iter()
                .for_each(|message| actions.send_to_peers(None, message));
        }
    }
}
