//! Random scenarios within the faults that the system must tolerate: at one time at most `faultTolerance` core machines
//! are lost, or all machines lose power but keep their disks.

use super::disk::SyncFailure;
use super::network::PartitionKind;
use super::scenario::{
    Change, ConcurrentChange, Event, EventKind, FaultTrigger, InjectedSyncFault, Scenario,
};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Seconds between the end of one fault of the core and the next, where both together could exceed the tolerance.
const APART_S: f64 = 6.0;
/// The same after a lost disk, which must be refilled first.
const FILLED_S: f64 = 11.0;

/// Times from which the core tolerates a further loss: one entry per machine that `faultTolerance` allows.
struct LossSlots(Vec<f64>);

impl LossSlots {
    /// Reserves a time from which `machines` core machines may be down for `for_s`, if one ends before `last`.
    fn take(&mut self, machines: usize, for_s: f64, last: f64) -> Option<f64> {
        self.0.sort_by(f64::total_cmp);
        let machines = machines.min(self.0.len());
        let at = self.0[machines - 1];
        if at + for_s > last {
            return None;
        }
        self.0[..machines]
            .iter_mut()
            .for_each(|free| *free = at + for_s);
        Some(at)
    }
}

/// Generates a scenario with that many edge and core machines.
pub fn generate(seed: u64, edges: usize, cores: usize) -> Scenario {
    let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0xd2a3);
    let mut scenario = Scenario::read("name = \"drawn\"").expect("defaults are sound");
    scenario.name = format!("drawn-{seed}");
    (scenario.seed, scenario.edges, scenario.cores) = (seed, edges, cores);
    scenario.rate = rng.random_range(20.0..60.0);
    scenario.seconds = rng.random_range(25.0..55.0);
    scenario.region_ms = *[3, 20, 35].choose(&mut rng).expect("three");
    scenario.sync_ms = *[1, 2, 8].choose(&mut rng).expect("three");
    scenario.loss = *[0.0, 0.0, 0.0, 0.005, 0.03].choose(&mut rng).expect("five");
    scenario.twice = *[0.0, 0.01].choose(&mut rng).expect("two");
    scenario.outlier_detection = rng.random_bool(0.15);
    scenario.usual_places = if rng.random_bool(0.15) { 2 } else { 0 };
    scenario.torn_writes = rng.random_bool(0.5);
    if rng.random_bool(0.15) {
        scenario.lost_datagrams = (0..40).map(|_| rng.random_range(1..4000)).collect();
    }
    if rng.random_bool(0.1) {
        let failure = *[SyncFailure::Fails, SyncFailure::Hangs]
            .choose(&mut rng)
            .expect("two");
        scenario.sync_faults = vec![InjectedSyncFault {
            number: rng.random_range(1..80),
            failure,
        }];
    }
    let last = scenario.seconds - 12.0;
    let tolerated = ((cores - 1) / 2).max(1);
    let mut loss_slots = LossSlots(vec![1.0; tolerated]);
    let mut once = Once::default();
    for _ in 0..rng.random_range(3..10) {
        let at = tenths(rng.random_range(0.5..last));
        let Some(kind) = one(&mut rng, edges, cores, &mut once) else {
            continue;
        };
        let Some((machines, for_s)) = core_loss(&kind, cores) else {
            scenario.event.push(Event { at, kind });
            continue;
        };
        let Some(at) = loss_slots.take(machines, for_s, last) else {
            continue;
        };
        let meets = [
            ConcurrentChange::SingleChange,
            ConcurrentChange::ConflictingChanges,
            ConcurrentChange::PersistentChange,
            ConcurrentChange::Drain,
        ];
        let meets = rng
            .random_bool(0.5)
            .then(|| *meets.choose(&mut rng).expect("four"));
        if let (EventKind::Partition { from, for_s, .. }, true) = (&kind, rng.random_bool(0.3)) {
            // The new seed list starts with the machine that is cut off, and some proxies restart with it.
            let kind = EventKind::ChangeSeeds {
                first: from.clone(),
                restart: rng.random_range(0..3),
            };
            scenario.event.push(Event {
                at: at + for_s / 2.0,
                kind,
            });
        }
        let returns = !matches!(
            kind,
            EventKind::ReplaceMachine { .. }
                | EventKind::RollingRestart { .. }
                | EventKind::TriggeredFault { .. }
        );
        let kind = match meets.filter(|_| returns) {
            Some(concurrent_change) => EventKind::FaultWithChanges {
                concurrent_change,
                fault: Box::new(kind),
            },
            None => kind,
        };
        scenario.event.push(Event { at, kind });
    }
    if rng.random_bool(0.35) {
        // Every earlier fault of the core must be over.
        let wiped = rng.random_bool(0.4) && loss_slots.0.iter().all(|&free| free <= last + 2.0);
        let wipe = wiped.then(|| {
            *["leader", "core-0", "core-1"]
                .choose(&mut rng)
                .expect("three")
        });
        let at = loss_slots.0.iter().copied().fold(last + 2.0, f64::max);
        let kind = match rng.random_bool(0.5) {
            true => EventKind::FinalFault {
                power: rng.random_bool(0.5),
                wipe: wipe.filter(|wipe| *wipe != "leader").map(str::to_owned),
            },
            false => EventKind::TriggeredFault {
                on: "*".into(),
                after: after(&mut rng),
                wait_ms: rng.random_range(0..400),
                power: rng.random_bool(0.5),
                wipe: wipe.map(str::to_owned),
                down_s: 1.0,
                closing: true,
            },
        };
        scenario.event.push(Event { at, kind });
        scenario.seconds = at + 30.0;
    }
    scenario.event.sort_by(|a, b| a.at.total_cmp(&b.at));
    scenario
}

fn tenths(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}

fn after(rng: &mut Pcg64Mcg) -> FaultTrigger {
    let all = [
        FaultTrigger::ConfigAcknowledged,
        FaultTrigger::ConfigSent,
        FaultTrigger::ConfigSent,
        FaultTrigger::WriteSucceeded,
        FaultTrigger::EvacuationAcknowledged,
        FaultTrigger::DrainAcknowledged,
    ];
    *all.choose(rng).expect("six")
}

fn how(rng: &mut Pcg64Mcg) -> PartitionKind {
    *[
        PartitionKind::Silent,
        PartitionKind::Silent,
        PartitionKind::Reset,
        PartitionKind::Refused,
    ]
    .choose(rng)
    .expect("four")
}

/// The number of core machines that an event may take down, and for how many seconds, recovery included.
fn core_loss(kind: &EventKind, cores: usize) -> Option<(usize, f64)> {
    let lost = |on: &str| match on {
        "leader" | "reader" => 1,
        "core" | "*" => cores,
        on if on.starts_with("core") || on.starts_with("zone") => 1,
        on if on.starts_with("region") => cores.div_ceil(3),
        _ => 0,
    };
    let (machines, for_s) = match kind {
        EventKind::Kill { on, down_s } | EventKind::PowerLoss { on, down_s } => {
            (lost(on), down_s + APART_S)
        }
        EventKind::DiskLoss { on, down_s } => (lost(on), down_s + FILLED_S),
        EventKind::ReplaceMachine { on } => (lost(on), FILLED_S),
        EventKind::Freeze { on, for_s } | EventKind::SlowDisk { on, for_s, .. } => {
            (lost(on), for_s + APART_S)
        }
        EventKind::Partition { from, for_s, .. } => (lost(from), for_s + APART_S),
        EventKind::Restart { on } => (lost(on), 3.0 + APART_S),
        EventKind::RollingRestart { on, every_s, .. } if lost(on) > 0 => {
            (cores, cores as f64 * (every_s + 5.0) + APART_S)
        }
        EventKind::TriggeredFault { down_s, wipe, .. } => (
            cores,
            down_s + if wipe.is_some() { FILLED_S } else { APART_S },
        ),
        _ => return None,
    };
    (machines > 0).then_some((machines, for_s))
}

/// Events that occur at most once in a scenario.
#[derive(Default)]
struct Once {
    rolled: bool,
    stormed: bool,
    replaced: bool,
}

fn one(rng: &mut Pcg64Mcg, edges: usize, cores: usize, once: &mut Once) -> Option<EventKind> {
    let service = (*["boards", "ledger", "archive"].choose(rng)?).to_owned();
    let edge = format!("edge-{}", rng.random_range(0..edges));
    let core = match rng.random_range(0..4) {
        0 => "leader".to_owned(),
        1 if rng.random_bool(0.5) => "reader".to_owned(),
        _ => format!("core-{}", rng.random_range(0..cores)),
    };
    let zone = format!("zone-{}{}", rng.random_range(0..3), ["a", "b"].choose(rng)?);
    let region = format!("region-{}", rng.random_range(0..3));
    let count = rng.random_range(1..4);
    let for_s = tenths(rng.random_range(0.2_f64..8.0));
    let down_s = tenths(rng.random_range(0.2_f64..4.0));
    let share = (rng.random_range(0.05_f64..1.0) * 100.0).round() / 100.0;
    Some(match rng.random_range(0..40) {
        0 | 1 => {
            let routes = if rng.random_bool(0.1) {
                200
            } else {
                rng.random_range(0..6)
            };
            EventKind::Config {
                routes,
                drop: rng.random_bool(0.3),
            }
        }
        2 => match rng.random_bool(0.5) {
            true => EventKind::ConflictingConfigs,
            false => EventKind::ChangeSettings {
                change: *[Change::Weights, Change::Timeout, Change::Idle].choose(rng)?,
            },
        },
        3 => EventKind::InvalidConfig,
        4 | 5 if !once.rolled => {
            once.rolled = true;
            let bad = rng.random_bool(0.6);
            let slowdown = if bad && rng.random_bool(0.4) {
                6.0
            } else {
                0.0
            };
            let failure_rate = if bad && slowdown == 0.0 {
                share.max(0.2)
            } else {
                0.0
            };
            EventKind::Rollout {
                service,
                failure_rate,
                slowdown,
                ramp_s: 10.0,
            }
        }
        6 => EventKind::Evacuate {
            zone,
            for_s: for_s + 3.0,
        },
        7 => EventKind::DrainUnits { service, count },
        8 => EventKind::AddUnits { service, count },
        9 => EventKind::CrashUnits {
            service,
            count,
            reuse: rng.random_bool(0.5),
        },
        10 => EventKind::ImpairUnits {
            service,
            count,
            for_s,
            failure_rate: share,
            slowdown: 0.0,
            response_loss_rate: 0.0,
            malformed_response_rate: 0.0,
            inverts_health: rng.random_bool(0.5),
        },
        11 => EventKind::ImpairUnits {
            service,
            count,
            for_s,
            failure_rate: 0.0,
            slowdown: 5.0,
            response_loss_rate: 0.0,
            malformed_response_rate: 0.0,
            inverts_health: false,
        },
        12 => EventKind::ImpairUnits {
            service,
            count,
            for_s,
            failure_rate: 0.0,
            slowdown: 0.0,
            response_loss_rate: share / 2.0,
            malformed_response_rate: share / 2.0,
            inverts_health: false,
        },
        13 => EventKind::FlapUnits {
            service,
            count,
            for_s,
            every_s: 3.0,
        },
        14 => EventKind::CoolUnits { service, count },
        15 => EventKind::Kill { on: edge, down_s },
        16 | 17 => EventKind::Kill { on: core, down_s },
        18 => EventKind::Restart {
            on: if rng.random_bool(0.6) { edge } else { core },
        },
        19 | 20 => EventKind::Freeze {
            on: if rng.random_bool(0.4) { edge } else { core },
            for_s: down_s,
        },
        21 => EventKind::PowerLoss {
            on: if rng.random_bool(0.5) { zone } else { edge },
            down_s,
        },
        22 => EventKind::DiskLoss { on: core, down_s },
        23 => EventKind::ReplaceMachine { on: core },
        24 => EventKind::Partition {
            from: edge,
            to: "*".into(),
            for_s,
            one_way: rng.random_bool(0.4),
            how: how(rng),
        },
        25 | 26 => {
            let to = if rng.random_bool(0.5) { "core" } else { "*" };
            EventKind::Partition {
                from: core,
                to: to.into(),
                for_s,
                one_way: rng.random_bool(0.4),
                how: how(rng),
            }
        }
        27 => EventKind::Partition {
            from: region,
            to: "*".into(),
            for_s,
            one_way: rng.random_bool(0.3),
            how: how(rng),
        },
        28 => EventKind::SlowDisk {
            on: core,
            sync_ms: rng.random_range(50..800),
            for_s,
        },
        29 => EventKind::Burst {
            times: rng.random_range(2.0..4.0),
            for_s,
        },
        30 => EventKind::ClockSkew {
            on: edge,
            ms: rng.random_range(-3000..3000),
        },
        31 => EventKind::SameVersionTwice,
        32 | 33 if !once.stormed => {
            once.stormed = true;
            EventKind::ChangeStorm {
                count: rng.random_range(20..300),
                every_ms: rng.random_range(30..200),
                lost: *[0.0, 0.0, 0.1, 0.3].choose(rng)?,
                races: *[0.0, 0.2].choose(rng)?,
                again: *[0.0, 0.3].choose(rng)?,
            }
        }
        34 => EventKind::LostOperatorResponses {
            part: share.min(0.6),
            for_s,
        },
        35 => EventKind::ChangeSeeds {
            first: core,
            restart: rng.random_range(0..3),
        },
        36 if !once.replaced => {
            once.replaced = true;
            let on = if rng.random_bool(0.7) { "core" } else { "edge" };
            EventKind::RollingRestart {
                on: on.into(),
                remove: rng.random_bool(0.5),
                every_s: 4.0,
            }
        }
        37 => EventKind::MassFailure {
            on: "edge".into(),
            share: share.min(0.7),
            power: rng.random_bool(0.5),
            down_s,
        },
        38 | 39 => {
            let all = rng.random_bool(0.4);
            let on = if all { "*".to_owned() } else { core.clone() };
            EventKind::TriggeredFault {
                on,
                after: after(rng),
                wait_ms: rng.random_range(0..400),
                power: rng.random_bool(0.7),
                wipe: rng.random_bool(0.4).then_some(core),
                down_s,
                closing: false,
            }
        }
        _ => return None,
    })
}
