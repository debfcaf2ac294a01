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
