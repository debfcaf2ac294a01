//! The values of the fixtures: every variant and every field, none at its default.

use beechcroft_consensus::{
    AcceptedValue, Ballot, ConfigStore, Epoch, Epochs, Holder, InstalledEpochs, Operation,
    OperationsState, PerRegister, PromisedValue, Register, RegisterId, ReplicaEpoch,
    ReplicaIdentity, Request, Response, Revision, Stage, Value,
};
use beechcroft_gossip::{
    AlarmUpdate, EndpointCount, Heartbeat, HotKeyUpdate, Item, Member, MemberState, Message,
    QuorumReadAge, RangeDigests, Sender, SettledTables, TableDigests,
};
use beechcroft_hotkeys::HotKeyReport;
use beechcroft_outlier::{Observation, OutcomeCounts};
use beechcroft_registry::{EndpointRecord, EndpointState};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

pub const CONFIG_BODY: &[u8] = include_bytes!("../fixtures/config.json");

pub fn ballot(number: u64) -> Ballot {
    Ballot {
        number,
        nonce: 0x1234_5678_9abc_def0 ^ number,
    }
}

fn holder(epoch: u64, node: &str) -> Holder {
    Holder {
        epoch: Epoch(epoch),
        node: node.into(),
    }
}

pub fn epochs() -> Epochs {
    Epochs::from_iter([
        ("core-1".into(), holder(1, "core-1")),
        ("core-2".into(), holder(77, "core-4")),
    ])
}

pub fn identity() -> ReplicaIdentity {
    let replicas = ["core-1", "core-2", "core-3"].map(str::to_owned).to_vec();
    ReplicaIdentity {
        replica: "core-2".into(),
        epoch: Epoch(77),
        replicas,
        epochs: epochs(),
    }
}

fn replica_epoch(replica: &str, epoch: u64) -> ReplicaEpoch {
    ReplicaEpoch {
        replica: replica.into(),
        epoch: Epoch(epoch),
    }
}

/// A configuration that has replaced an earlier one.
pub fn config_store() -> ConfigStore {
    let mut store = ConfigStore::default();
    let first = Operation::ReplaceConfig {
        version: 1,
        base: 0,
        digest: [7; 16],
        body: vec![1, 2, 3],
    };
    store.apply(&first).unwrap();
    store
        .apply(&Operation::replace_config(0xb, 1, CONFIG_BODY))
        .unwrap();
    store
}

/// A state with rollouts that are active, complete and reverted, an evacuated zone, a base version and a placement.
pub fn operations_state() -> OperationsState {
    let mut state = OperationsState::default();
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    for operation in operations() {
        state.apply(&operation, &mut rng).unwrap();
    }
    for (service, to) in [
        ("boards", Stage::Active(2)),
        ("ledger", Stage::Complete),
        ("archive", Stage::Reverted),
    ] {
        let begin = Operation::BeginRollout {
            service: service.into(),
            target: "v9".into(),
            ramp_ms: 30_000,
            at_ms: 1_700_000_000_123,
            repeat_ms: 8000,
        };
        state.apply(&begin, &mut rng).unwrap();
        let rollout = state.rollouts[service].id;
        let from = Stage::Active(0);
        let service = service.into();
        let advance = Operation::AdvanceRollout {
            service,
            rollout,
            from,
            to,
        };
        assert!(state.apply(&advance, &mut rng).unwrap());
    }
    state
}

pub fn operations() -> Vec<Operation> {
    vec![
        Operation::Read,
        Operation::replace_config(0xb, 1, CONFIG_BODY),
        Operation::BeginRollout {
            service: "queue".into(),
            target: "v3".into(),
            ramp_ms: 9,
            at_ms: 1_700_000_000_000,
            repeat_ms: 8,
        },
        Operation::AdvanceRollout {
            service: "queue".into(),
            rollout: 3,
            from: Stage::Active(1),
            to: Stage::Reverted,
        },
        Operation::SetEvacuation {
            zone: "rennes-a".into(),
            is_evacuated: true,
        },
        Operation::SetEvacuation {
            zone: "vannes-a".into(),
            is_evacuated: false,
        },
        Operation::SetBaseVersion {
            service: "boards".into(),
            version: "v1".into(),
        },
        Operation::SetPlacement {
            service: "ledger".into(),
            base: 0,
            excluded: BTreeSet::from(["i-7".into(), "i-8".into()]),
        },
    ]
}

pub fn register(register: RegisterId) -> Register {
    let bytes = match register {
        RegisterId::Config => config_store().encode(),
        RegisterId::Operations => operations_state().encode(),
    };
    let value = Value {
        revision: Revision(2),
        bytes,
    };
    Register {
        promised: ballot(9),
        accepted: Some(AcceptedValue {
            ballot: ballot(8),
            value,
        }),
    }
}

pub fn requests() -> Vec<(&'static str, Request)> {
    let quorum = vec![replica_epoch("core-1", 1), replica_epoch("core-2", 77)];
    let value = Value {
        revision: Revision(300),
        bytes: vec![2, 0, 9, 255],
    };
    let (config, operations) = (RegisterId::Config, RegisterId::Operations);
    vec![
        (
            "prepare",
            Request::Prepare {
                register: operations,
                ballot: ballot(300),
                known: ballot(2),
            },
        ),
        (
            "accept",
            Request::Accept {
                register: config,
                ballot: ballot(4),
                value,
                quorum: quorum.clone(),
            },
        ),
        (
            "confirm",
            Request::Confirm {
                register: operations,
                ballot: ballot(5),
                accepted: ballot(4),
                quorum,
            },
        ),
        (
            "fence",
            Request::Fence {
                replica: "core-2".into(),
                epoch: Epoch(78),
                holder: "core-5".into(),
            },
        ),
        (
            "install",
            Request::Install {
                replica: "core-2".into(),
                epoch: Epoch(78),
                holder: "core-5".into(),
            },
        ),
        (
            "tell",
            Request::AnnounceEpochs {
                sender: Some(replica_epoch("core-2", 77)),
                epochs: epochs(),
            },
        ),
        (
            "tell-nameless",
            Request::AnnounceEpochs {
                sender: None,
                epochs: epochs(),
            },
        ),
    ]
}

pub fn responses() -> Vec<(&'static str, Response)> {
    let value = Value {
        revision: Revision(3),
        bytes: vec![2, 1, 1],
    };
    let replicas = identity().replicas;
    let promise = |epoch, accepted| Response::Promise {
        replica: "core-2".into(),
        epoch: Epoch(epoch),
        accepted,
    };
    let promised = |value| {
        Some(PromisedValue {
            ballot: ballot(2),
            value,
        })
    };
    vec![
        ("promise", promise(77, promised(Some(value)))),
        ("promise-known", promise(77, promised(None))),
        ("promise-empty", promise(1, None)),
        (
            "accepted",
            Response::Accepted {
                replica: "core-2".into(),
                epoch: Epoch(77),
                epochs: epochs(),
            },
        ),
        (
            "refused",
            Response::Rejected {
                promised: ballot(9),
                epochs: epochs(),
            },
        ),
        (
            "copy",
            Response::ReplicaState {
                sender: replica_epoch("core-2", 77),
                installed: Some(Epoch(5)),
                replicas: replicas.clone(),
                epochs: epochs(),
                registers: PerRegister(RegisterId::ALL.map(register)),
            },
        ),
        (
            "installed",
            Response::Installed {
                sender: replica_epoch("core-2", 77),
                epochs: epochs(),
                installed: InstalledEpochs::from_iter([("core-2".to_owned(), Epoch(77))]),
            },
        ),
        ("learner", Response::Learner),
        (
            "known",
            Response::KnownEpochs {
                replicas,
                epochs: epochs(),
            },
        ),
    ]
}

pub fn record() -> EndpointRecord {
    EndpointRecord {
        id: "i-7".into(),
        service: "boards".into(),
        version: "v2".into(),
        zone: "rennes-a".into(),
        address: "10.1.0.7:9000".parse().unwrap(),
        capacity: 12,
        state: EndpointState::Draining,
        sequence: 301,
        warmup_left_ms: 1500,
        age_ms: 40,
    }
}

pub fn member(state: MemberState) -> Member {
    Member {
        name: "edge-rennes-1".into(),
        ip: "127.0.0.1".parse().unwrap(),
        is_control: false,
        is_quorum_member: false,
        region: "ille-vilaine".into(),
        zone: "rennes-a".into(),
        ingress: Some("127.0.0.1:8548".parse().unwrap()),
        control: None,
        incarnation: 1_700_000_000_456,
        version: 3,
        state,
    }
}

fn alarm() -> AlarmUpdate {
    let count = |endpoint, trials, failures| EndpointCount {
        endpoint,
        trials,
        failures,
    };
    AlarmUpdate {
        proxy: "edge-rennes-1".into(),
        incarnation: 1_700_000_000_456,
        sequence: 12,
        service: "boards".into(),
        rollout: 0xfeed_beef,
        stage: 2,
        stage_ms: 4321,
        is_alarmed: true,
        divergence: 0.25,
        trials: 99,
        failures: 3,
        requests: 1000,
        baseline_failure_rate: 0.01,
        baseline_in_flight: 4,
        endpoints: vec![count(0xabc, 50, 2), count(0xdef, 49, 1)],
        baseline_latencies: vec![0, 3, 9, 1],
    }
}

fn observation() -> Observation {
    let counts = OutcomeCounts {
        responses: 300,
        late: 4,
        errors: 3,
        invalid: 2,
        unreachable: 1,
    };
    Observation {
        proxy: "edge-rennes-1".into(),
        region: "ille-vilaine".into(),
        incarnation: 1_700_000_000_456,
        period: 77,
        service: "boards".into(),
        endpoints: vec![(0xdead_beef, counts)],
    }
}

fn hot_keys() -> HotKeyUpdate {
    HotKeyUpdate {
        proxy: "edge-rennes-1".into(),
        incarnation: 1_700_000_000_456,
        sequence: 8,
        service: "boards".into(),
        report: HotKeyReport {
            total_rate: 400.5,
            keys: vec![(0xffee_ddcc_bbaa_9988, 120.25)],
        },
    }
}

/// Items of every kind, with members and endpoints in each state.
pub fn items() -> Vec<Item> {
    let heartbeat = Heartbeat {
        id: "i-7".into(),
        sequence: 302,
        warmup_left_ms: 9,
        age_ms: 300,
    };
    let control = Member {
        name: "core-2".into(),
        is_control: true,
        is_quorum_member: true,
        control: Some("127.0.0.2:8544".parse().unwrap()),
        ingress: None,
        ..member(MemberState::Starting)
    };
    vec![
        Item::Member(member(MemberState::Ready)),
        Item::Member(control),
        Item::Member(member(MemberState::Leaving)),
        Item::Member(member(MemberState::Down)),
        Item::Endpoint(record()),
        Item::Endpoint(EndpointRecord {
            state: EndpointState::Ready,
            ..record()
        }),
        Item::Endpoint(EndpointRecord {
            state: EndpointState::Gone,
            ..record()
        }),
        Item::Heartbeat(heartbeat),
        Item::Alarm(alarm()),
        Item::HotKeys(hot_keys()),
        Item::Observation(observation()),
        Item::Ping { number: 70_000 },
        Item::Pong {
            number: 70_000,
            in_contact: true,
        },
    ]
}

/// A message with every optional part.
pub fn message(items: Vec<Item>) -> Message {
    let sender = Sender {
        name: "edge-rennes-1".into(),
        incarnation: 1_700_000_000_456,
        version: 3,
        state: MemberState::Ready,
    };
    let digests = TableDigests {
        members: 0xaabb_ccdd,
        endpoints: 7,
        revisions: PerRegister([Revision(300), Revision(2)]),
        settled: SettledTables {
            members: true,
            endpoints: false,
        },
        quorum_read: Some(QuorumReadAge {
            age_ms: 120,
            revision: Revision(2),
        }),
    };
    let mut ranges = RangeDigests {
        members: [0; 8],
        endpoints: [0; 16],
    };
    (ranges.members[3], ranges.endpoints[15]) = (0x1111, 0x2222_3333);
    Message {
        sender,
        wants_response: true,
        digests,
        ranges: Some(ranges),
        items,
    }
}
