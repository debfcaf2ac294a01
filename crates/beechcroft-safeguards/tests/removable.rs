//! Safeguards are disabled on one thread only, and the names that earlier releases wrote are still read.

use beechcroft_safeguards::{disable, Safeguard};

#[derive(serde::Deserialize, serde::Serialize)]
struct Scenario {
    without: Safeguard,
}

#[test]
fn a_safeguard_is_disabled_on_one_thread_and_only_until_it_is_restored() {
    let disabled = disable(Some(Safeguard::FencedPromises));
    assert!(!Safeguard::FencedPromises.is_enabled() && Safeguard::FencedAcceptances.is_enabled());
    assert!(
        std::thread::spawn(|| Safeguard::FencedPromises.is_enabled())
            .join()
            .unwrap()
    );
    drop(disabled);
    assert!(Safeguard::FencedPromises.is_enabled());
}

#[test]
fn names_of_the_earlier_release_are_read_and_the_current_ones_written() {
    for (earlier, name) in NAMES {
        let read =
            |name: &str| toml::from_str::<Scenario>(&format!("without = \"{name}\"")).unwrap();
        assert_eq!(read(earlier).without, read(name).without, "{earlier}");
        let written = toml::to_string(&read(earlier)).unwrap();
        assert_eq!(written, format!("without = \"{name}\"\n"));
        assert_eq!(
            read(name).without.to_string(),
            *name,
            "Display must match the serialized name"
        );
    }
}

/// The name of every safeguard in the release before the names were changed, and its current name.
const NAMES: [(&str, &str); 61] = [
    ("earlier_moves", "earlier_placements"),
    ("unseen_moves", "unseen_placements"),
    ("fresh_touches", "fresh_quorum_reads"),
    ("contact_to_serve", "quorum_contact_to_serve"),
    ("two_way_contact", "two_way_contact"),
    ("drain_held_by_majority", "drain_on_majority"),
    ("repeated_drain_held", "repeated_drain_on_majority"),
    ("confirmed_start", "confirmed_start"),
    ("heard_before_resolve", "peers_heard_before_resolve"),
    ("gone_callers", "caller_presence"),
    ("order_limit", "unconditional_deadline"),
    ("stood_still", "stall_rejection"),
    ("same_body", "repeat_has_same_body"),
    ("forgotten_versions", "forgotten_versions"),
    ("confirmed_refusals", "committed_rejections"),
    ("prior_ballots", "stale_ballots"),
    ("begun_anew", "rollout_restart"),
    ("repeat_window", "repeat_window"),
    ("votes_meet_any_stage", "rollback_from_any_stage"),
    ("unreadable_values", "undecodable_values"),
    ("taken_is_taken", "known_chosen_repeat"),
    ("fenced_promises", "fenced_promises"),
    ("fenced_acceptances", "fenced_acceptances"),
    ("fenced_copies", "fenced_replica_states"),
    ("handed_over_once", "single_handover"),
    ("deposed_is_silent", "deposed_is_silent"),
    ("one_taker", "single_successor"),
    ("epochs_told", "epochs_announced"),
    ("leaves_last", "handover_before_exit"),
    ("merged_epochs", "merged_epochs"),
    ("own_membership", "responder_replica"),
    ("synced_mark", "synced_watermark"),
    ("entries_without_gaps", "contiguous_entries"),
    ("damage_is_a_lost_disk", "corruption_is_disk_loss"),
    ("version_of_values", "value_format"),
    ("answer_after_sync", "sync_before_response"),
    ("identity_before_answers", "identity_before_response"),
    ("call_ids", "rpc_ids"),
    ("errand_read_ahead", "client_read_ahead"),
    ("desk_read_ahead", "server_read_ahead"),
    ("own_id", "attempt_id_required"),
    ("nameless_answers", "unidentified_responses"),
    ("strange_answers", "foreign_responses"),
    ("refusal_status", "rejection_status"),
    ("partly_sent", "partial_send"),
    ("clean_connections", "clean_connections"),
    ("maybe_run", "maybe_executed"),
    ("head_leaves_none", "no_reuse_after_head"),
    ("two_owners", "conflicting_attempt_ids"),
    ("broken_off", "truncated_response"),
    ("unread_body", "unread_request_body"),
    ("evidence_of_all_stages", "evidence_of_all_stages"),
    ("few_outcomes_by_lowest_rate", "small_sample_lowest_rate"),
    ("exposure_of_all_stages", "exposure_of_all_stages"),
    ("earlier_version_well", "healthy_baseline"),
    ("first_offers_only", "first_attempts_only"),
    ("further_tries_to_earlier", "retries_to_baseline"),
    ("cold_is_no_build", "slow_start_excused"),
    ("ill_units_are_no_version", "unhealthy_endpoints_excused"),
    ("doubt_at_the_end", "revert_when_in_doubt"),
    ("slow_mark_of_all", "shared_slow_threshold"),
];
