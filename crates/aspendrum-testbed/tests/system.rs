//! The whole system as real processes, with the troubles of its deployments between them: no rule may break, and
//! what the scenario says must be served is served.

use aspendrum_testbed::system::play::play;
use aspendrum_testbed::system::{library, report};
use std::sync::Mutex;

/// Three at a time: more would wait for each other's processors.
static LANES: [Mutex<()>; 3] = [const { Mutex::new(()) }; 3];

fn holds(name: &str) {
    let lane = LANES.iter().find_map(|l| l.try_lock().ok());
    let turn = name.len() % LANES.len();
    let _lane = lane.unwrap_or_else(|| LANES[turn].lock().unwrap_or_else(|p| p.into_inner()));
    let scenario = library::scenario(name).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let outcome = play(&scenario, folder.path(), &|_| {}).unwrap();
    let broken = outcome.broken(&scenario);
    assert!(broken.is_empty(), "{}", report::table(&scenario, &outcome));
}

macro_rules! plays {
    ($($(#[$about:meta])* $test:ident = $name:literal;)*) => {
        $($(#[$about])* #[test] fn $test() { holds($name); })*

        #[test]
        fn every_scenario_of_the_library_is_played() {
            let played = [$($name),*];
            let all: Vec<&str> = library::ALL.iter().map(|s| s.0).collect();
            assert_eq!(all, played);
        }
    };
}

/// They wait for control, and not for their own mistakes.
#[test]
fn scenarios_that_wait_are_well_formed_and_not_played_twice() {
    for (name, _) in [library::WAITING, library::FULL_SIZE].concat() {
        assert_eq!(library::scenario(name).unwrap().name, name);
        assert!(library::ALL.iter().all(|s| s.0 != name), "{name}");
    }
}

plays! {
    nothing_is_lost_on_a_calm_day = "calm";
    /// Danger: a process that acknowledges before its sync forgets the change here.
    what_was_acknowledged_outlives_a_kill_of_all_control = "control-killed";
    two_operators_on_two_sides_of_a_cut_agree_in_the_end = "two-operators";
    a_machine_that_is_not_heard_harms_nobody = "one-way";
    /// Danger: whoever wakes tells its agents what it knew before.
    whoever_wakes_into_a_newer_world_does_not_go_back = "voted-and-froze";
    a_second_disk_may_be_lost_once_the_first_is_healed = "disk-lost";
    other_seeds_lead_to_the_same_system = "seeds-changed";
    /// Danger: one of three goes on as if it were the majority.
    a_zone_with_most_of_control_comes_back = "zone-gone";
    /// Danger: proxies that hear nothing go on with a key that was taken away.
    a_key_taken_away_binds_whoever_is_cut_off_or_frozen = "keys-taken";
    /// Danger: each new holder of a counter grants the whole quota anew.
    half_of_the_proxies_may_die_without_a_second_quota = "herd";
    /// Danger: a query that was read ends with its connection.
    proxies_that_end_in_turn_lose_nothing = "rolling-term";
    the_others_lose_nothing_by_a_hot_tenant = "hot-tenant";
    the_system_is_back_after_all_of_it_died = "everything-dark";
    /// Danger: a new life at an old address runs what was meant for the old one.
    servers_under_other_names_run_nothing_by_mistake = "new-lives";
    /// Danger: once-only queries that ran without an answer run again, or are refused with a promise.
    spoilt_answers_double_nothing = "spoilt";
    /// Danger: licences end where control is out of reach, though neighbours hear it.
    agents_lend_each_other_a_majoritys_word = "cut-from-control";
    /// Danger: three machines vote where two disks may be lost at once.
    two_lost_disks_of_five_leave_what_was_acknowledged = "two-disks-lost";
    /// Danger: a proxy that missed a change, or got another text by its number, sends once-only queries astray.
    changes_that_nodes_missed_lead_nothing_astray = "missed-changes";
    /// Danger: a machine without a majority acknowledges, or tells what it knew before the cut as if it were in force.
    a_machine_that_is_cut_off_for_long_tells_nothing_old = "cut-for-twenty-seconds";
    /// Danger: orders wait for a machine that is not heard, or that nobody can dial.
    two_machines_out_of_reach_hold_up_no_order = "refused-for-twenty-seconds";
    /// Danger: a machine with an empty disk, or a history of hundreds of changes, brings an old one back.
    hundreds_of_changes_outlive_restarts_and_an_empty_disk = "hundreds-of-changes";
    /// Danger: an order of before comes into force behind the one that was acknowledged.
    a_zone_is_as_the_last_acknowledged_order_says = "evacuations";
    /// Danger: two texts under one number are both acknowledged.
    of_two_texts_under_one_number_one_is_in_force = "races";
    of_two_texts_on_two_sides_of_a_cut_one_is_in_force = "races-cut";
    /// Danger: a machine of control that is gone keeps its vote, and each one more takes a disk off the majority.
    every_machine_of_control_may_be_replaced = "replaced-in-turn";
    the_next_loss_may_come_once_a_successor_counts = "replaced-and-lost";
    /// Danger: a proxy that ends takes queries until its grace is over, and then gives them up.
    /// On a busy machine 1 to 6 requests a run ended without an answer. The proxy closed connections as idle that had just
    /// come up and whose requests were on their way (10 of 11 lost connections stood in a log line of that), and dropped the
    /// first one that its listener accepted when it was to end (1 of 11): docs/incidents/lost-while-shutting-down.md.
    proxies_that_end_slowly_lose_nothing = "drained-late";
    /// Danger: servers work for clients that have left.
    nothing_goes_on_for_clients_that_have_left = "clients-leave";
    /// Danger: an order that lay in the socket of a machine that stood still comes into force behind a newer one.
    an_order_whose_operator_has_gone_is_not_begun = "frozen-for-twenty-seconds";
    /// Danger: each change is pushed whole to each proxy, and the last of them is in force too late.
    a_storm_of_changes_is_in_force_in_time = "config-storm";
}
