//! Helpers of the tests of decisions: a relay with plain settings, and a trace of its actions.

use beechcroft::decide::Relay;
use beechcroft::*;
use std::fmt::Write;
use std::time::Duration;

/// A duration in milliseconds.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Answers of a healthy unit: 60 to 120 ms.
pub fn healthy(_: &str, nth: u64) -> (Outcome, u64) {
    (Outcome::Ok, 60 + nth % 7 * 10)
}

/// Records dispatches, answers, cancellations and votes as lines. Timers, log lines and messages to peers are left
/// out.
#[derive(Default)]
pub struct Trace {
    /// One line for each action.
    pub text: String,
    /// Dispatches, in their order.
    pub sent: Vec<(TaskId, UnitId)>,
    /// Messages to peers that the test has not taken yet.
    pub messages: Vec<(Option<PeerId>, Vec<u8>)>,
}

impl Trace {
    fn line(&mut self, line: std::fmt::Arguments) {
        writeln!(self.text, "{line}").unwrap();
    }
}

impl Actions for Trace {
    fn dispatch(&mut self, task: &TaskId, unit: &UnitId, time_out: Duration) {
        self.sent.push((task.clone(), unit.clone()));
        self.line(format_args!(
            "dispatch {} to {} for {time_out:?}",
            task.0, unit.0
        ));
    }
    fn nack(&mut self, task: &TaskId, retry_after: Duration) {
        self.line(format_args!("nack {} for {retry_after:?}", task.0));
    }
    fn terminate(&mut self, task: &TaskId) {
        self.line(format_args!("terminate {}", task.0));
    }
    fn cancel(&mut self, task: &TaskId, dispatch: DispatchNo) {
        self.line(format_args!("abandon {} dispatch {}", task.0, dispatch.0));
    }
    fn send_to_peers(&mut self, peer: Option<PeerId>, payload: &[u8]) {
        self.messages.push((peer, payload.to_vec()));
    }
    fn vote(&mut self, build: BuildId, stage: Stage, vote: Vote) {
        self.line(format_args!(
            "vote {vote:?} build {} stage {}",
            build.0, stage.0
        ));
    }
    fn set_timer(&mut self, _after: Duration, _timer: TimerId) {}
    fn watch_units(&mut self) {}
    fn log(&mut self, _line: &str) {}
}

/// One relay and three tracks of rising utility: 0 is idempotent, 1 deduplicated for 5 s, 2 unrepeatable.
pub fn settings() -> Settings {
    let track = |effect, utility| Track {
        effect,
        quoted_time: ms(600),
        utility,
        late_utility: 0.0,
        quoted_time_per_work: 0.0,
    };
    let deduplicated = Effect::Deduplicated {
        scope: DedupScope::All,
        window: ms(5000),
    };
    Settings {
        own_id: PeerId(0),
        relays: 1,
        zone: Some(ZoneId(0)),
        tracks: vec![
            track(Effect::Idempotent, 1.0),
            track(deduplicated, 3.0),
            track(Effect::Unrepeatable, 5.0),
        ],
        tenant_quotas: vec![],
        over_quota_weight: 0.1,
        clock_granularity: ms(5),
        cross_zone_charge: 0.0,
        discovery_on_request: false,
        may_message_peers: true,
        may_cancel: true,
        may_set_retry_after: true,
        max_dispatches: 3,
        max_retry_after: ms(1000),
        drain_grace: ms(250),
        idle_close: ms(15_000),
        cold_capacity: 0.4,
        warm_up: ms(3600),
        overload_multiple: 2.0,
        overload_duration: ms(3000),
        gate: GateMode::VoteCount,
        in_place: false,
        stage_caps: vec![0.05, 0.2, 0.7, 1.0],
        stage_shares: vec![],
        idempotent_only_stages: 1,
        exposure_allowance: 2.0,
        exposure_window: ms(4000),
        exposure_by_track: false,
        forward_only: false,
        vote_timeout: ms(1200),
        vote_ttl: ms(10_000),
        votes_per_s: 100.0,
        votes_to_advance: 2,
        delay_price: 0.35,
        complaint_share: 0.5,
    }
}

/// A relay under a simulated clock, with units whose answers the test decides.
pub struct TestRelay {
    /// The relay under test.
    pub inner: Relay,
    /// Its actions.
    pub trace: Trace,
    /// The simulated time.
    pub now: Duration,
    tasks: u64,
}

impl TestRelay {
    /// A relay with `old` units a0.. on build 1, which is released, and `new` units b0.. on build 2, which the
    /// platform has not announced.
    pub fn new(settings: &Settings, old: usize, new: usize) -> TestRelay {
        let now = ms(100_000);
        let mut trace = Trace::default();
        let inner = Relay::start(settings, 7, now, &mut trace);
        let mut relay = TestRelay {
            inner,
            trace,
            now,
            tasks: 0,
        };
        (0..old).for_each(|at| relay.list_unit(&format!("a{at}"), 1, Health::Ready, None));
        (0..new).for_each(|at| relay.list_unit(&format!("b{at}"), 2, Health::Ready, None));
        relay.update_rollout(1, 3, Phase::Released, 1.0);
        relay
    }

    /// The same after 5 s of traffic without failures, with build 2 on trial.
    pub fn on_trial(old: usize, new: usize, tasks: u64, stage: usize, cap: f64) -> TestRelay {
        let mut relay = TestRelay::new(&settings(), old, new);
        relay.traffic(50, tasks, healthy);
        relay.update_rollout(2, stage, Phase::OnTrial, cap);
        relay
    }

    /// Sends the relay a change of one unit in the list.
    pub fn list_unit(&mut self, unit: &str, build: u16, health: Health, started: Option<Duration>) {
        let fleet = self.inner.fleet_mut();
        fleet.begin_update(false);
        let (id, zone) = (UnitId(unit.into()), Some(ZoneId(0)));
        fleet.update_unit(
            id,
            BuildId(build),
            zone,
            MachineTypeId(0),
            CellId(0),
            health,
            1.0,
            started,
        );
        fleet.finish_update();
    }

    /// Sends the relay the state of the newest build.
    pub fn update_rollout(&mut self, build: u16, stage: usize, phase: Phase, cap: f64) {
        self.inner
            .rollout_updated(BuildId(build), Stage(stage), phase, cap, &mut self.trace);
    }

    /// Sends the relay a task; returns its id and the unit that it is dispatched to, if any.
    pub fn submit(&mut self, track: usize) -> (TaskId, Option<UnitId>) {
        self.tasks += 1;
        let id = TaskId(format!("t{}", self.tasks).into());
        let before = self.trace.sent.len();
        let (key, left) = (None, ms(2500));
        self.inner.task_received(
            id.clone(),
            TrackId(track),
            None,
            key,
            left,
            None,
            &mut self.trace,
        );
        (
            id,
            self.trace.sent.get(before).map(|(_, unit)| unit.clone()),
        )
    }

    /// Ends a dispatch; `elapsed` is in milliseconds. The task is settled if the outcome is `Ok`.
    pub fn end(&mut self, task: &TaskId, dispatch: u32, outcome: Outcome, elapsed: u64) {
        let (dispatch, settled) = (DispatchNo(dispatch), outcome == Outcome::Ok);
        self.inner.dispatch_ended(
            task,
            dispatch,
            outcome,
            ms(elapsed),
            settled,
            &mut self.trace,
        );
    }

    /// Lets time pass.
    pub fn pass(&mut self, millis: u64) {
        self.now += ms(millis);
        self.inner.set_time(self.now);
    }

    /// Runs ticks with a number of tasks on track 0 each; `answer` gives the outcome and its time in milliseconds
    /// for a unit and the number of the task.
    pub fn traffic(
        &mut self,
        ticks: u64,
        tasks: u64,
        answer: impl Fn(&str, u64) -> (Outcome, u64),
    ) {
        for tick in 0..ticks {
            self.pass(100);
            for nth in 0..tasks {
                let (task, mut unit) = self.submit(0);
                for dispatch in 0.. {
                    let Some(at) = unit else { break };
                    let (outcome, elapsed) = answer(&at.0, tick * tasks + nth);
                    let before = self.trace.sent.len();
                    self.end(&task, dispatch, outcome, elapsed);
                    unit = self.trace.sent.get(before).map(|(_, unit)| unit.clone());
                }
            }
            self.inner.timer_fired(TimerId(0), &mut self.trace);
        }
    }

    /// How many dispatches went to units whose names begin with a prefix.
    pub fn sent_to(&self, prefix: &str) -> usize {
        self.trace
            .sent
            .iter()
            .filter(|(_, unit)| unit.0.starts_with(prefix))
            .count()
    }

    /// The votes cast, a line each.
    pub fn votes(&self) -> String {
        self.trace
            .text
            .lines()
            .filter(|line| line.starts_with("vote"))
            .map(|line| format!("{line}\n"))
            .collect()
    }
}
