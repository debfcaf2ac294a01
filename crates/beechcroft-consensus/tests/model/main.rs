//! Consensus and placement under a model checker: the production code, with messages that are reordered, lost and
//! delayed. The models are explored breadth first and by random walks. Each exploration prints how much it covered,
//! and must cover at least a stated number of states. `examples/model.rs` explores the same models for longer.

mod consensus;
mod explore;
mod machines;
mod placement;
mod state;

use explore::{explore, Bounds, Strategy};
use std::time::Duration;

/// Number of threads of each exploration: at most 8.
fn threads() -> usize {
    std::thread::available_parallelism()
        .map_or(2, |n| n.get())
        .min(8)
}

fn bounds(max_states: usize) -> Bounds {
    Bounds {
        max_states,
        max_depth: 150,
        threads: threads(),
        time_limit: Duration::from_secs(120),
        delivery_probability: 0.85,
    }
}

/// Competing proposals of two operators, without takeovers.
mod competing_proposals {
    use super::*;
    use crate::consensus::{ConsensusModel, Start, REACHABILITY_PROPERTIES, SAFETY_PROPERTIES};
    use crate::state::FaultBudget;

    fn competing_model(budget: FaultBudget, skips_sync: bool) -> ConsensusModel {
        ConsensusModel {
            skips_sync,
            ..ConsensusModel::new(3, 0, Start::Race, budget)
        }
    }

    fn assert_safe(title: &str, model: ConsensusModel, states: usize, expected: &[&str]) {
        for strategy in [Strategy::Breadth, Strategy::Walks(7)] {
            let exploration = explore(title, model.clone(), strategy, bounds(states));
            assert!(exploration.trace.is_none(), "{:?}", exploration.trace);
            assert!(
                exploration.unique_states >= states / 4,
                "too few states were explored"
            );
            if strategy != Strategy::Breadth {
                let missed: Vec<_> = expected
                    .iter()
                    .filter(|name| !exploration.discoveries.contains(name))
                    .collect();
                assert!(missed.is_empty(), "no walk reaches: {missed:?}");
            }
        }
    }

    #[test]
    fn two_operators_compete_and_messages_are_reordered_and_lost() {
        let budget = FaultBudget {
            message_losses: 2,
            ticks: 2,
            ..FaultBudget::default()
        };
        assert_safe(
            "two operators compete",
            competing_model(budget, false),
            60_000,
            &REACHABILITY_PROPERTIES[..1],
        );
    }

    #[test]
    fn nodes_restart_and_lose_a_disk_while_two_operators_compete() {
        let budget = FaultBudget {
            message_losses: 1,
            restarts: 2,
            disk_losses: 1,
            fence_requests: 2,
            ticks: 2,
            ..FaultBudget::default()
        };
        assert_safe(
            "two operators compete, with restarts and a lost disk",
            competing_model(budget, false),
            60_000,
            &REACHABILITY_PROPERTIES[..1],
        );
    }

    #[test]
    fn responses_without_a_sync_violate_safety() {
        let budget = FaultBudget {
            restarts: 1,
            ticks: 1,
            ..FaultBudget::default()
        };
        let exploration = explore(
            "no syncs",
            competing_model(budget, true),
            Strategy::Walks(7),
            bounds(1_000_000),
        );
        assert!(
            SAFETY_PROPERTIES
                .iter()
                .any(|name| exploration.discoveries.contains(name)),
            "{:?}",
            exploration.discoveries
        );
    }
}

/// The exclusivity of placements.
mod placements {
    use super::*;
    use crate::placement::{PlacementModel, LEASE_EXPIRED, MOVED, STEP_MS};
    use beechcroft_safeguards::Safeguard;

    fn two_proxies(reads_at_once: bool, disabled_safeguard: Option<Safeguard>) -> PlacementModel {
        PlacementModel {
            disabled_safeguard,
            ..PlacementModel::new(2, reads_at_once)
        }
    }

    /// The staleness of quorum reads that the difference of fence and lease tolerates, in milliseconds.
    const MAX_STALENESS_MS: u64 =
        beechcroft_outlier::placement::FENCE_MS - beechcroft_outlier::placement::LEASE_MS;

    #[test]
    fn a_key_has_one_unit_while_proxies_are_partitioned_delayed_or_restarted() {
        for (strategy, reads_at_once) in [
            (Strategy::Breadth, true),
            (Strategy::Walks(3), true),
            (Strategy::Walks(4), false),
        ] {
            let bounds = Bounds {
                delivery_probability: 0.5,
                ..bounds(1_000_000)
            };
            let exploration = explore(
                "placement",
                two_proxies(reads_at_once, None),
                strategy,
                bounds,
            );
            assert!(exploration.trace.is_none(), "{:?}", exploration.trace);
            assert!(
                exploration.unique_states >= 500_000,
                "too few states were explored"
            );
            if strategy != Strategy::Breadth {
                assert!(
                    [MOVED, LEASE_EXPIRED]
                        .iter()
                        .all(|name| exploration.discoveries.contains(name)),
                    "{:?}",
                    exploration.discoveries
                );
            }
        }
    }

    #[test]
    fn quorum_reads_staler_than_fence_and_lease_allow_violate_exclusivity() {
        let bounds = Bounds {
            delivery_probability: 0.5,
            ..bounds(2_000_000)
        };
        let exploration = explore(
            "placement, quorum reads too stale",
            PlacementModel {
                max_staleness_ms: MAX_STALENESS_MS + STEP_MS,
                ..two_proxies(true, None)
            },
            Strategy::Walks(3),
            bounds,
        );
        assert!(exploration.trace.is_some(), "{:?}", exploration.discoveries);
    }

    #[test]
    fn exclusivity_requires_earlier_and_unseen_placements_to_count() {
        for safeguard in [Safeguard::EarlierPlacements, Safeguard::UnseenPlacements] {
            let bounds = Bounds {
                delivery_probability: 0.5,
                ..bounds(2_000_000)
            };
            let model = two_proxies(true, Some(safeguard));
            let exploration = explore(
                &format!("placement without {safeguard:?}"),
                model,
                Strategy::Walks(3),
                bounds,
            );
            assert!(exploration.trace.is_some(), "{:?}", exploration.discoveries);
        }
    }
}

/// Lost disks, takeovers by empty nodes, former holders that come back with a current or an older disk, successors
/// that are lost during a takeover, further losses after a recovery, and power outages.
mod members {
    use super::*;
    use crate::consensus::{ConsensusModel, Start, REACHABILITY_PROPERTIES, SAFETY_PROPERTIES};
    use crate::state::FaultBudget;
    use beechcroft_safeguards::Safeguard;

    fn model_with_all_faults(replica_count: usize, start: Start) -> ConsensusModel {
        ConsensusModel::with_all_faults(replica_count, start)
    }

    fn assert_safe(replica_count: usize, states: usize) {
        for start in Start::ALL
            .into_iter()
            .filter(|start| start.applies_to(replica_count))
        {
            let title = format!("{replica_count} replicas, {start:?}");
            let small_model = ConsensusModel::with_few_faults(replica_count, start);
            let breadth_first = explore(&title, small_model, Strategy::Breadth, bounds(states / 2));
            assert!(breadth_first.trace.is_none(), "{:?}", breadth_first.trace);
            assert!(
                breadth_first.unique_states >= states / 8,
                "too few states were explored"
            );
            let walks = explore(
                &title,
                model_with_all_faults(replica_count, start),
                Strategy::Walks(11),
                bounds(states),
            );
            assert!(walks.trace.is_none(), "{:?}", walks.trace);
            assert!(walks.states >= states, "too few states were explored");
            let missed = REACHABILITY_PROPERTIES
                .iter()
                .filter(|name| !walks.discoveries.contains(name));
            assert_eq!(
                missed.count(),
                0,
                "walks reach only {:?}",
                walks.discoveries
            );
        }
    }

    #[test]
    fn three_replicas_tolerate_one_loss() {
        assert_safe(3, 40_000);
    }

    #[test]
    fn five_replicas_tolerate_two_losses() {
        assert_safe(5, 40_000);
    }

    /// Asserts that a safety property is violated without the safeguard, and that none is with it. The budget has few
    /// faults besides those that the safeguard is for.
    fn assert_required(
        safeguard: Safeguard,
        replica_count: usize,
        spares: usize,
        start: Start,
        budget: FaultBudget,
    ) {
        let budget = FaultBudget {
            changes: 2,
            reads: 1,
            ticks: 1,
            ..budget
        };
        let model = ConsensusModel {
            disabled_safeguard: Some(safeguard),
            ..ConsensusModel::new(replica_count, spares, start, budget)
        };
        let exploration = explore(
            &format!("without {safeguard:?}"),
            model.clone(),
            Strategy::Walks(7),
            bounds(1_000_000),
        );
        assert!(
            SAFETY_PROPERTIES
                .iter()
                .any(|name| exploration.discoveries.contains(name)),
            "{safeguard:?}: {:?}",
            exploration.discoveries
        );
        let with_safeguard = ConsensusModel {
            disabled_safeguard: None,
            ..model
        };
        let exploration = explore(
            &format!("with {safeguard:?}"),
            with_safeguard,
            Strategy::Walks(7),
            bounds(40_000),
        );
        assert!(exploration.trace.is_none(), "{:?}", exploration.trace);
    }

    #[test]
    fn safety_requires_promises_and_acceptances_of_a_former_epoch_not_to_count() {
        assert_required(
            Safeguard::FencedPromises,
            3,
            1,
            Start::Offered,
            FaultBudget::default(),
        );
        assert_required(
            Safeguard::FencedAcceptances,
            3,
            1,
            Start::Offered,
            FaultBudget::default(),
        );
    }

    #[test]
    fn safety_requires_states_of_a_former_epoch_not_to_count() {
        let budget = FaultBudget {
            fence_requests: 1,
            ..FaultBudget::default()
        };
        assert_required(Safeguard::FencedReplicaStates, 3, 1, Start::Lost, budget);
    }

    #[test]
    fn a_holder_that_hands_over_is_silent() {
        assert_required(
            Safeguard::DeposedIsSilent,
            3,
            1,
            Start::Taking,
            FaultBudget::default(),
        );
    }

    #[test]
    fn safety_requires_a_single_successor_for_an_epoch() {
        let budget = FaultBudget {
            fence_requests: 2,
            announcements: 1,
            ..FaultBudget::default()
        };
        assert_required(Safeguard::SingleSuccessor, 3, 2, Start::Taking, budget);
    }

    #[test]
    fn safety_requires_a_recovered_node_to_merge_the_known_epochs() {
        assert_required(
            Safeguard::MergedEpochs,
            5,
            1,
            Start::Made,
            FaultBudget::default(),
        );
    }

    #[test]
    fn safety_requires_a_response_to_count_for_the_responders_replica() {
        assert_required(
            Safeguard::ResponderReplica,
            5,
            1,
            Start::Crossed,
            FaultBudget::default(),
        );
    }
}
