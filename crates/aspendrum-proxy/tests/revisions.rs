//! A proxy never goes back to an older state in one life.

mod common;

use aspendrum_model::message::StateSection;
use common::{test_proxy, GOOD};

fn evacuated(revision: u64, zones: &[&str]) -> StateSection {
    let zones = zones.iter().map(ToString::to_string).collect();
    StateSection::Evacuated { revision, zones }
}

/// An agent that was restarted holds nothing, and may first get a neighbour's snapshot, which is older than what it had
/// given its proxy: the proxy must not take an evacuation back that it knows of.
///
/// Found by reading, for "came back older": a configuration was compared with the one in force, an evacuation was not.
#[test]
fn an_older_evacuation_command_changes_nothing() {
    let proxy = test_proxy(1, |_| Some(GOOD));
    let dispatcher = &proxy.state.dispatcher;
    dispatcher.apply(evacuated(4, &["poa-b"]));
    let applied = dispatcher.applied();
    dispatcher.apply(evacuated(3, &[]));
    assert_eq!(dispatcher.applied(), applied);
    dispatcher.apply(evacuated(5, &[]));
    assert_eq!(dispatcher.applied().revision.evacuation, 5);
    // Tables that are built again take what comes.
    dispatcher.rebuild_tables();
    dispatcher.apply(evacuated(3, &["poa-b"]));
    assert_eq!(dispatcher.applied().revision.evacuation, 3);
}
