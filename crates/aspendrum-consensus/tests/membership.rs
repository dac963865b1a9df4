//! Who votes: the first voters, machines that are replaced or come back empty, and what a closed epoch may still do.

mod common;

use aspendrum_consensus::message::{Message, Request};
use aspendrum_consensus::reconfigure::{next_voters, Presence, Reconfigure, Rules};
use aspendrum_consensus::{Epoch, Place, Voters};
use common::{config, Variant, World};
use std::collections::BTreeMap;

fn present(all: &[(Place, u64, &str)]) -> BTreeMap<Place, Presence> {
    let of = |(place, disk, zone): &(Place, u64, &str)| {
        (
            *place,
            Presence {
                disk: *disk,
                zone: zone.to_string(),
                silent: 0.0,
                leaving: false,
            },
        )
    };
    all.iter().map(of).collect()
}

fn voters(all: &[(Place, u64)]) -> Voters {
    Voters(all.iter().copied().collect())
}

/// Danger: the settings name three machines where two may be lost at once, and a majority of three is gone with them.
#[test]
fn as_many_vote_as_the_losses_need_spread_over_zones() {
    let rules = Rules::of(2, 6000.0);
    let epoch = Epoch::first(&[1, 2, 3]);
    let mut first = Reconfigure::new(1, rules, 0.0);
    let mut there = present(&[(1, 11, "a"), (2, 12, "b"), (3, 13, "c")]);
    assert_eq!(
        first.due(100.0, &epoch, &there),
        None,
        "as many as must vote have not come"
    );
    there.extend(present(&[(4, 14, "a"), (5, 15, "d"), (6, 16, "a")]));
    let chosen = first.due(200.0, &epoch, &there).unwrap();
    assert_eq!(
        chosen,
        voters(&[(1, 11), (2, 12), (3, 13), (5, 15), (4, 14)])
    );
    // Whoever has not come is not waited for without end.
    let there = present(&[(1, 11, "a"), (2, 12, "b")]);
    assert_eq!(
        first.due(2600.0, &epoch, &there),
        Some(voters(&[(1, 11), (2, 12)]))
    );
}

/// Danger: a machine that is gone keeps its vote for ever, and each one more takes a disk off the majority.
#[test]
fn whoever_is_gone_gives_way_to_whoever_stands_by() {
    let rules = Rules::of(1, 4000.0);
    let now = voters(&[(1, 11), (2, 12), (3, 13)]);
    let mut there = present(&[(1, 11, "a"), (2, 12, "b"), (3, 13, "a")]);
    assert_eq!(next_voters(&now, &there, &rules), None);
    there.get_mut(&1).unwrap().silent = rules.away;
    assert_eq!(next_voters(&now, &there, &rules), None, "nobody stands by");
    there.extend(present(&[(4, 14, "a"), (5, 15, "c")]));
    assert_eq!(
        next_voters(&now, &there, &rules),
        Some(voters(&[(5, 15), (2, 12), (3, 13)]))
    );
    there.get_mut(&1).unwrap().silent = rules.away - 1.0;
    assert_eq!(
        next_voters(&now, &there, &rules),
        None,
        "it may be back in a moment"
    );
    there.get_mut(&1).unwrap().leaving = true;
    assert!(
        next_voters(&now, &there, &rules).is_some(),
        "it was told to end"
    );
    there.get_mut(&5).unwrap().leaving = true;
    there.get_mut(&4).unwrap().silent = 1200.0;
    assert_eq!(
        next_voters(&now, &there, &rules),
        None,
        "whoever ends or is silent stands by for nobody"
    );
}

/// Danger: an empty disk answers for what it lost.
#[test]
fn a_machine_with_another_disk_takes_its_place_anew() {
    let rules = Rules::of(1, 4000.0);
    let now = voters(&[(1, 11), (2, 12), (3, 13)]);
    let there = present(&[(1, 21, "a"), (2, 12, "b"), (3, 13, "a"), (4, 14, "c")]);
    assert_eq!(
        next_voters(&now, &there, &rules),
        Some(voters(&[(1, 21), (2, 12), (3, 13)]))
    );
}

/// Voters propose in turns, so that they seldom outbid each other; whoever does not vote never does.
#[test]
fn voters_propose_one_after_another() {
    let rules = Rules::of(1, 4000.0);
    let epoch = Epoch {
        number: 3,
        voters: voters(&[(1, 11), (2, 12), (3, 13)]),
        ..Epoch::default()
    };
    let mut there = present(&[(1, 11, "a"), (2, 12, "b"), (3, 13, "c"), (4, 14, "d")]);
    there.get_mut(&1).unwrap().silent = 5000.0;
    let proposed_at = |me: Place| {
        let mut reconfigure = Reconfigure::new(me, rules, 0.0);
        (0..100)
            .map(|n| f64::from(n) * 50.0)
            .find(|now| reconfigure.due(*now, &epoch, &there).is_some())
    };
    assert_eq!([2, 3, 4].map(proposed_at), [Some(0.0), Some(300.0), None]);
}

/// What must be true of a write that was begun in an epoch whose voters have moved on.
fn a_write_overtaken_by_a_change_of_the_voters(variant: Variant) -> bool {
    let mut world = World::new(variant);
    let voters: Vec<Place> = world.epoch().voters.places().collect();
    let standby = world
        .places()
        .into_iter()
        .find(|p| !voters.contains(p))
        .unwrap();
    let (asker, slow, other) = (voters[0], voters[1], voters[2]);
    // The asker has its number prepared and accepts the text itself; its requests to the others are on their way.
    world.order(asker, config(8, 1));
    let accept = |m: &Message| {
        matches!(
            m,
            Message::Request {
                request: Request::Accept { .. },
                ..
            }
        )
    };
    world.deliver_where(|_, to, m| to == asker || !accept(m));
    let late = world
        .messages
        .iter()
        .position(|m| m.1 == slow && accept(&m.2))
        .unwrap();
    let (from, to, message) = world.messages.remove(late);
    world.messages.clear();
    // It was told to end, and its place is taken before anything of that reaches it.
    world.leave(asker);
    world.pass_among(&[slow, other, standby], 3);
    world.messages.clear();
    assert!(
        !world.epoch().voters.names(asker) && world.healed(),
        "{:?}",
        world.epoch()
    );
    // Only now its request arrives.
    world.deliver(from, to, message);
    world.deliver_where(|from, to, _| from == slow && to == asker);
    world.messages.clear();
    let acknowledged = world.config;
    // It ends for good, and one disk is lost, as the terms allow; what was acknowledged must be there.
    world.power(asker);
    world.disks.remove(&asker);
    world.power(slow);
    world.disks.insert(slow, None);
    world
        .read_back()
        .iter()
        .all(|read| read.is_some_and(|version| version >= acknowledged))
}

#[test]
fn a_closed_epoch_acknowledges_nothing() {
    assert!(a_write_overtaken_by_a_change_of_the_voters(Variant::Sound));
    // Without the mechanism the same write is acknowledged by a voter of two epochs, and lost with its disk.
    assert!(!a_write_overtaken_by_a_change_of_the_voters(
        Variant::NoSeal
    ));
}

/// Whether a majority of which one lost its disk tells less than was acknowledged.
fn an_empty_disk_hides_what_was_acknowledged(variant: Variant) -> bool {
    let mut world = World::new(variant);
    let voters: Vec<Place> = world.epoch().voters.places().collect();
    let (lost, other, late) = (voters[0], voters[1], voters[2]);
    // Acknowledged by two, before the third hears of it.
    world.order(lost, config(8, 1));
    world.deliver_where(|from, to, _| from != late && to != late);
    world.messages.clear();
    assert_eq!(world.config, 8);
    world.power(lost);
    world.disks.insert(lost, None);
    world.start(lost);
    // It comes back empty while the other one is out of reach.
    let epoch = world.up[&late].epoch().clone();
    let effects = world
        .up
        .get_mut(&lost)
        .unwrap()
        .heard_epoch_from(world.now, late, epoch);
    world.act(lost, effects);
    world.pass_among(&[lost, late], 4);
    world.order(late, aspendrum_consensus::Order::Read);
    world.pass_among(&[lost, late], 4);
    let read = &world.up[&late];
    assert!(world.up.contains_key(&other));
    read.as_of().is_some() && read.settled().config.version < 8
}

/// Danger: an empty disk answers for what it lost.
#[test]
fn a_lost_disk_votes_no_more() {
    assert!(!an_empty_disk_hides_what_was_acknowledged(Variant::Sound));
    assert!(an_empty_disk_hides_what_was_acknowledged(
        Variant::SameAfterWipe
    ));
}
