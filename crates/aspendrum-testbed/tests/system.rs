//! Plays the library's scenarios on the whole system as processes, with the faults of real deployments. All rules and the
//! bounds of each scenario must hold.

use aspendrum_testbed::system::play::play;
use aspendrum_testbed::system::{library, report};
use std::sync::Mutex;

/// Limits the concurrent runs to three; more would compete for processors.
static RUN_SLOTS: [Mutex<()>; 3] = [const { Mutex::new(()) }; 3];

fn assert_passes(name: &str) {
    let free = RUN_SLOTS.iter().find_map(|slot| slot.try_lock().ok());
    let index = name.len() % RUN_SLOTS.len();
    let _slot = free.unwrap_or_else(|| RUN_SLOTS[index].lock().unwrap_or_else(|p| p.into_inner()));
    let scenario = library::scenario(name).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let outcome = play(&scenario, folder.path(), &|_| {}).unwrap();
    let broken = outcome.broken(&scenario);
    assert!(broken.is_empty(), "{}", report::table(&scenario, &outcome));
}

macro_rules! plays {
    ($($(#[$about:meta])* $test:ident = $name:literal;)*) => {
        $($(#[$about])* #[test] fn $test() { assert_passes($name); })*

        #[test]
        fn every_scenario_of_the_library_is_played() {
            let played = [$($name),*];
            let all: Vec<&str> = library::ALL.iter().map(|s| s.0).collect();
            assert_eq!(all, played);
        }
    };
}

/// Scenarios that CI doesn't play must still be valid.
#[test]
fn scenarios_outside_ci_are_valid_and_listed_once() {
    for (name, _) in [library::WAITING, library::FULL_SIZE].concat() {
        assert_eq!(library::scenario(name).unwrap().name, name);
        assert!(library::ALL.iter().all(|s| s.0 != name), "{name}");
    }
}

plays! {
    nothing_is_lost_without_faults = "calm";
    /// Guards against control nodes that acknowledge a change before syncing it to disk.
    acknowledged_changes_survive_a_kill_of_all_control_nodes = "control-killed";
    changes_from_both_sides_of_a_cut_converge = "two-operators";
    a_one_way_cut_harms_no_other_machine = "one-way";
    /// Guards against a control node that sends outdated state to its agents after it was stopped.
    a_resumed_control_node_does_not_revert_state = "voted-and-froze";
    a_second_disk_may_be_lost_after_the_first_recovered = "disk-lost";
    changed_seeds_lead_to_the_same_system = "seeds-changed";
    /// Guards against one of three control nodes acting as the majority.
    a_zone_with_most_control_nodes_recovers = "zone-gone";
    /// Guards against disconnected proxies that keep accepting a revoked key.
    a_revoked_key_is_rejected_by_cut_off_and_frozen_proxies = "keys-taken";
    /// Guards against each new owner of a counter granting the full quota again.
    killing_half_of_the_proxies_grants_no_second_quota = "herd";
    /// Guards against requests that were read but are lost when the proxy closes their connections.
    a_rolling_restart_of_proxies_loses_nothing = "rolling-term";
    other_tenants_lose_nothing_to_a_hot_tenant = "hot-tenant";
    the_system_recovers_after_all_processes_were_killed = "everything-dark";
    /// Guards against a restarted server that runs requests meant for its predecessor at the same address.
    replaced_servers_run_no_misdirected_request = "new-lives";
    /// Guards against once-only requests that ran without a response being run again, or rejected as not run.
    failed_responses_duplicate_no_request = "spoilt";
    /// Guards against licenses that expire at agents that can't reach the control nodes although other agents can.
    agents_relay_majority_contact_to_each_other = "cut-from-control";
    /// Guards against having only three voters where two disks may be lost at the same time.
    acknowledged_changes_survive_two_lost_disks_of_five = "two-disks-lost";
    /// Guards against once-only requests sent to the wrong service by a proxy that missed a change or received another text
    /// with the same version.
    missed_changes_misroute_no_request = "missed-changes";
    /// Guards against a control node without a majority that acknowledges changes or presents outdated state as current.
    a_long_cut_off_control_node_shows_no_outdated_state = "cut-for-twenty-seconds";
    /// Guards against orders that wait for an unreachable control node.
    two_unreachable_machines_delay_no_order = "refused-for-twenty-seconds";
    /// Guards against old changes that return from a control node with an empty disk or a history of hundreds of changes.
    hundreds_of_changes_survive_restarts_and_an_empty_disk = "hundreds-of-changes";
    /// Guards against an earlier order taking effect after a later one was acknowledged.
    a_zone_has_the_state_of_the_last_acknowledged_order = "evacuations";
    /// Guards against two texts with the same version both being acknowledged.
    only_one_of_two_texts_with_the_same_version_is_in_force = "races";
    only_one_of_two_texts_from_both_sides_of_a_cut_is_in_force = "races-cut";
    /// Guards against removed control nodes that remain voters, so that each replacement lowers the number of disks that may
    /// be lost.
    every_control_node_may_be_replaced = "replaced-in-turn";
    a_control_node_may_be_lost_once_a_replacement_votes = "replaced-and-lost";
    /// Guards against a terminating proxy that accepts requests until its grace period ends and then drops them. On a busy
    /// machine 1 to 6 requests per run ended without a response, because the proxy closed new connections as idle while their
    /// requests were in transit (10 of 11 lost connections, each logged), and dropped the first connection accepted after the
    /// shutdown request (1 of 11): docs/incidents/lost-while-shutting-down.md.
    proxies_that_end_slowly_lose_nothing = "drained-late";
    /// Guards against servers that work for disconnected clients.
    no_work_continues_for_disconnected_clients = "clients-leave";
    /// Guards against an order that was queued in the socket of a stopped machine taking effect after a newer one.
    an_order_whose_operator_disconnected_is_not_started = "frozen-for-twenty-seconds";
    /// Guards against delays from pushing each full configuration of a storm to every proxy.
    a_configuration_storm_is_in_force_in_time = "config-storm";
}
