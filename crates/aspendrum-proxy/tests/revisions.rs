//! A running proxy never reverts to an older state.

mod common;

use aspendrum_model::message::StateSection;
use common::{test_proxy, OK_RESPONSE};

fn evacuated(revision: u64, zones: &[&str]) -> StateSection {
    let zones = zones.iter().map(ToString::to_string).collect();
    StateSection::EvacuatedZones { revision, zones }
}

/// Guards against reverting an evacuation: a restarted agent holds no state and may first get a neighbour's snapshot
/// that is older than the state it had sent to its proxy.
#[test]
fn an_older_evacuation_command_is_ignored() {
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
    let dispatcher = &proxy.state.dispatcher;
    dispatcher.apply(evacuated(4, &["poa-b"]));
    let applied = dispatcher.applied();
    dispatcher.apply(evacuated(3, &[]));
    assert_eq!(dispatcher.applied(), applied);
    dispatcher.apply(evacuated(5, &[]));
    assert_eq!(dispatcher.applied().revision.evacuation, 5);
    // A rebuild accepts any revision.
    dispatcher.rebuild_tables();
    dispatcher.apply(evacuated(3, &["poa-b"]));
    assert_eq!(dispatcher.applied().revision.evacuation, 3);
}
