//! Merging of records that arrive late, in any order or through other nodes.

use beechcroft_registry::{EndpointRecord, EndpointRegistry, EndpointState, MergeOutcome};

fn record(id: &str, state: EndpointState, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        service: "s".into(),
        version: "v1".into(),
        zone: "z".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        capacity: 2,
        state,
        sequence,
        warmup_left_ms: 0,
        age_ms: 0,
    }
}

#[test]
fn a_late_heartbeat_does_not_revert_draining() {
    let mut registry = EndpointRegistry::default();
    let ready = |sequence| record("i", EndpointState::Ready, sequence);
    let draining = |sequence| record("i", EndpointState::Draining, sequence);
    assert_eq!(registry.merge(0, ready(1)), MergeOutcome::Changed);
    assert_eq!(registry.merge(10, draining(3)), MergeOutcome::Changed);
    assert_eq!(registry.merge(20, ready(2)), MergeOutcome::Unchanged);
    assert_eq!(registry.merge(20, ready(4)), MergeOutcome::Heartbeat);
    assert_eq!(
        registry.get("i").unwrap().record.state,
        EndpointState::Draining
    );
    assert!(registry.mark_gone("i"));
    assert_eq!(registry.merge(30, draining(9)), MergeOutcome::Heartbeat);
    assert_eq!(registry.get("i").unwrap().record.state, EndpointState::Gone);
}

// Guards against a warm-up that is reported again and again, so that every heartbeat of it is disseminated and stored.
#[test]
fn only_a_new_or_longer_warmup_is_reported_as_one() {
    let mut registry = EndpointRegistry::default();
    let warming_up = |sequence, warmup_left_ms| EndpointRecord {
        warmup_left_ms,
        ..record("i", EndpointState::Ready, sequence)
    };
    assert_eq!(registry.merge(0, warming_up(1, 0)), MergeOutcome::Changed);
    let steps = [
        (1000, 2, 10_000, MergeOutcome::Warmup),
        // The same warm-up, by a heartbeat that took 150 ms longer on its way.
        (2150, 3, 9000, MergeOutcome::Heartbeat),
        (3000, 4, 8000, MergeOutcome::Heartbeat),
        // It began anew.
        (4000, 5, 10_000, MergeOutcome::Warmup),
        // A late heartbeat.
        (4100, 2, 30_000, MergeOutcome::Unchanged),
        (14_000, 6, 0, MergeOutcome::Heartbeat),
        (15_000, 7, 3000, MergeOutcome::Warmup),
    ];
    for (now, sequence, warmup_left_ms, expected) in steps {
        let outcome = registry.merge(now, warming_up(sequence, warmup_left_ms));
        assert_eq!(outcome, expected, "heartbeat {sequence} at {now} ms");
    }
    assert_eq!(registry.get("i").unwrap().warmup_ends_at, 18_000);
}

#[test]
fn registries_that_merged_the_same_records_in_any_order_have_equal_digests() {
    let records: Vec<EndpointRecord> = (0..40)
        .flat_map(|i| {
            let id = format!("i-{}", i % 20);
            let state = if i % 3 == 0 {
                EndpointState::Draining
            } else {
                EndpointState::Ready
            };
            [record(&id, EndpointState::Ready, 1), record(&id, state, 2)]
        })
        .collect();
    let (mut one, mut two) = (EndpointRegistry::default(), EndpointRegistry::default());
    for record in &records {
        one.merge(0, record.clone());
    }
    for record in records.iter().rev() {
        two.merge(5, record.clone());
    }
    assert_eq!(one.digests(), two.digests());
    two.mark_gone("i-7");
    let other_digests = two.digests();
    let differing: Vec<&str> = one.ids_in_differing_ranges(&other_digests).collect();
    assert!(differing.contains(&"i-7"));
    let other_digests = one.digests();
    for id in two
        .ids_in_differing_ranges(&other_digests)
        .map(str::to_owned)
        .collect::<Vec<_>>()
    {
        one.merge(9, two.record(9, &id).unwrap());
    }
    assert_eq!(one.digests(), two.digests());
}

#[test]
fn a_late_record_does_not_delay_the_end_of_the_warm_up() {
    let mut registry = EndpointRegistry::default();
    let warming = record("i", EndpointState::Ready, 1);
    registry.merge(
        10_000,
        EndpointRecord {
            warmup_left_ms: 3000,
            age_ms: 1000,
            ..warming
        },
    );
    assert_eq!(registry.get("i").unwrap().warmup_ends_at, 12_000);
}
