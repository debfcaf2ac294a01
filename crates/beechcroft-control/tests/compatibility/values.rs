//! The values that the fixtures hold: every variant and every field, none at its default.

use beechcroft_consensus::voter::Register;
use beechcroft_consensus::{
    Ask, Ballot, ConfigStore, Epochs, Identity, Op, Orders, Reply, Stage, Value,
};
use beechcroft_gossip::letter::{Crowded, Sign};
use beechcroft_gossip::{Beat, Item, Letter, Member, Ranges, Standing, Sums, Who};
use beechcroft_hotkeys::Word as Keys;
use beechcroft_outlier::{Count as UnitCount, Word as Seen};
use beechcroft_registry::{Note, State};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

pub const CONFIG_BODY: &[u8] = include_bytes!("../fixtures/config.json");

pub fn ballot(count: u64) -> Ballot {
    Ballot {
        count,
        nonce: 0x1234_5678_9abc_def0 ^ count,
    }
}

pub fn epochs() -> Epochs {
    Epochs::from([
        ("core-1".into(), (1, "core-1".into())),
        ("core-2".into(), (77, "core-4".into())),
    ])
}

pub fn identity() -> Identity {
    let voters = ["core-1", "core-2", "core-3"].map(str::to_owned).to_vec();
    Identity {
        voter_id: "core-2".into(),
        epoch: 77,
        voters,
        epochs: epochs(),
    }
}

/// A configuration that was taken after another one.
pub fn config_store() -> ConfigStore {
    let mut store = ConfigStore::default();
    let first = Op::Replace {
        version: 1,
        base: 0,
        digest: [7; 16],
        body: vec![1, 2, 3],
    };
    store.apply(&first).unwrap();
    store.apply(&Op::replace(0xb, 1, CONFIG_BODY)).unwrap();
    store
}

/// Rollouts in each stage, an evacuated zone, a base and a placement.
pub fn orders() -> Orders {
    let mut orders = Orders::default();
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    for op in operations() {
        orders.apply(&op, &mut rng).unwrap();
    }
    for (service, to) in [
        ("boards", Stage::Active(2)),
        ("ledger", Stage::Complete),
        ("archive", Stage::Reverted),
    ] {
        let begin = Op::Begin {
            service: service.into(),
            target: "v9".into(),
            ramp_ms: 30_000,
            at_ms: 1_700_000_000_123,
            repeat_ms: 8000,
        };
        orders.apply(&begin, &mut rng).unwrap();
        let begun = orders.rollouts[service].begun;
        let step = Op::Move {
            service: service.into(),
            begun,
            from: Stage::Active(0),
            to,
        };
        assert!(orders.apply(&step, &mut rng).unwrap());
    }
    orders
}

pub fn operations() -> Vec<Op> {
    let zone = "rennes-a".to_owned();
    vec![
        Op::Read,
        Op::replace(0xb, 1, CONFIG_BODY),
        Op::Begin {
            service: "queue".into(),
            target: "v3".into(),
            ramp_ms: 9,
            at_ms: 1_700_000_000_000,
            repeat_ms: 8,
        },
        Op::Move {
            service: "queue".into(),
            begun: 3,
            from: Stage::Active(1),
            to: Stage::Reverted,
        },
        Op::Evacuate {
            zone: zone.clone(),
            begin: true,
        },
        Op::Evacuate {
            zone: "vannes-a".into(),
            begin: false,
        },
        Op::Base {
            service: "boards".into(),
            version: "v1".into(),
        },
        Op::Place {
            service: "ledger".into(),
            from: 0,
            aside: BTreeSet::from(["i-7".into(), "i-8".into()]),
        },
    ]
}

pub fn register(register: usize) -> Register {
    let bytes = if register == 0 {
        config_store().encode()
    } else {
        orders().encode()
    };
    Register {
        promised: ballot(9),
        accepted: Some((ballot(8), Value { revision: 2, bytes })),
    }
}

pub fn asks() -> Vec<(&'static str, Ask)> {
    let quorum = vec![("core-1".to_owned(), 1), ("core-2".to_owned(), 77)];
    let value = Value {
        revision: 300,
        bytes: vec![2, 0, 9, 255],
    };
    vec![
        (
            "prepare",
            Ask::Prepare {
                register: 1,
                ballot: ballot(300),
                have: ballot(2),
            },
        ),
        (
            "accept",
            Ask::Accept {
                register: 0,
                ballot: ballot(4),
                value,
                quorum: quorum.clone(),
            },
        ),
        (
            "confirm",
            Ask::Confirm {
                register: 1,
                ballot: ballot(5),
                of: ballot(4),
                quorum,
            },
        ),
        (
            "fence",
            Ask::Fence {
                voter_id: "core-2".into(),
                epoch: 78,
                holder: "core-5".into(),
            },
        ),
        (
            "tell",
            Ask::Tell {
                by: Some(("core-2".into(), 77)),
                epochs: epochs(),
            },
        ),
        (
            "tell-nameless",
            Ask::Tell {
                by: None,
                epochs: epochs(),
            },
        ),
    ]
}

pub fn replies() -> Vec<(&'static str, Reply)> {
    let voter_id = "core-2".to_owned();
    let value = Value {
        revision: 3,
        bytes: vec![2, 1, 1],
    };
    let voters = identity().voters;
    vec![
        (
            "promise",
            Reply::Promise {
                voter_id: voter_id.clone(),
                epoch: 77,
                accepted: Some((ballot(2), Some(value.clone()))),
            },
        ),
        (
            "promise-known",
            Reply::Promise {
                voter_id: voter_id.clone(),
                epoch: 77,
                accepted: Some((ballot(2), None)),
            },
        ),
        (
            "promise-empty",
            Reply::Promise {
                voter_id: voter_id.clone(),
                epoch: 1,
                accepted: None,
            },
        ),
        (
            "accepted",
            Reply::Accepted {
                voter_id: voter_id.clone(),
                epoch: 77,
                epochs: epochs(),
            },
        ),
        (
            "refused",
            Reply::Refused {
                promised: ballot(9),
                epochs: epochs(),
            },
        ),
        (
            "copy",
            Reply::Copy {
                by: (voter_id, 77),
                before: Some(5),
                voters: voters.clone(),
                epochs: epochs(),
                registers: [0, 1].map(register),
            },
        ),
        ("learner", Reply::Learner),
        (
            "known",
            Reply::Known {
                voters,
                epochs: epochs(),
            },
        ),
    ]
}

pub fn note() -> Note {
    Note {
        id: "i-7".into(),
        service: "boards".into(),
        version: "v2".into(),
        zone: "rennes-a".into(),
        address: "10.1.0.7:9000".parse().unwrap(),
        capacity: 12,
        state: State::Draining,
        sequence: 301,
        warm_left_ms: 1500,
        age_ms: 40,
    }
}

pub fn member(standing: Standing) -> Member {
    Member {
        name: "edge-rennes-1".into(),
        ip: "127.0.0.1".parse().unwrap(),
        core: false,
        quorum: false,
        region: "ille-vilaine".into(),
        zone: "rennes-a".into(),
        ingress: Some("127.0.0.1:8548".parse().unwrap()),
        control: None,
        incarnation: 1_700_000_000_456,
        mark: 3,
        standing,
    }
}

fn sign() -> Sign {
    Sign {
        relay: "edge-rennes-1".into(),
        incarnation: 1_700_000_000_456,
        count: 12,
        service: "boards".into(),
        begun: 0xfeed_beef,
        stage: 2,
        stage_ms: 4321,
        alarm: true,
        divergence: 0.25,
        trials: 99,
        failures: 3,
        asked: 1000,
        good: 0.01,
        old_open: 4,
        units: vec![(0xabc, 50, 2), (0xdef, 49, 1)],
        times: vec![0, 3, 9, 1],
    }
}

fn seen() -> Seen {
    let count = UnitCount {
        answers: 300,
        late: 4,
        errors: 3,
        wrong: 2,
        unreachable: 1,
    };
    Seen {
        relay: "edge-rennes-1".into(),
        region: "ille-vilaine".into(),
        incarnation: 1_700_000_000_456,
        number: 77,
        service: "boards".into(),
        units: vec![(0xdead_beef, count)],
    }
}

fn crowded() -> Crowded {
    Crowded {
        relay: "edge-rennes-1".into(),
        incarnation: 1_700_000_000_456,
        count: 8,
        service: "boards".into(),
        word: Keys {
            all: 400.5,
            keys: vec![(0xffee_ddcc_bbaa_9988, 120.25)],
        },
    }
}

/// One of each kind.
pub fn items() -> Vec<Item> {
    let beat = Beat {
        id: "i-7".into(),
        sequence: 302,
        warm_left_ms: 9,
        age_ms: 300,
    };
    let core = Member {
        name: "core-2".into(),
        core: true,
        quorum: true,
        control: Some("127.0.0.2:8544".parse().unwrap()),
        ingress: None,
        ..member(Standing::Coming)
    };
    vec![
        Item::Member(member(Standing::Ready)),
        Item::Member(core),
        Item::Member(member(Standing::Leaving)),
        Item::Member(member(Standing::Down)),
        Item::Unit(note()),
        Item::Unit(Note {
            state: State::Ready,
            ..note()
        }),
        Item::Unit(Note {
            state: State::Gone,
            ..note()
        }),
        Item::Beat(beat),
        Item::Sign(sign()),
        Item::Crowd(crowded()),
        Item::Seen(seen()),
        Item::Ping(70_000),
        Item::Pong(70_000, true),
    ]
}

/// A letter with everything that one may hold.
pub fn letter(items: Vec<Item>) -> Letter {
    let from = Who {
        name: "edge-rennes-1".into(),
        incarnation: 1_700_000_000_456,
        mark: 3,
        standing: Standing::Ready,
    };
    let sums = Sums {
        members: 0xaabb_ccdd,
        units: 7,
        revisions: [300, 2],
        settled: [true, false],
        touch: Some((120, 2)),
    };
    let mut ranges = Ranges {
        members: [0; 8],
        units: [0; 16],
    };
    (ranges.members[3], ranges.units[15]) = (0x1111, 0x2222_3333);
    Letter {
        from,
        ask: true,
        sums,
        ranges: Some(ranges),
        items,
    }
}
