//! Views at the sizes of fleets to come, by simulation: no I/O, no clock, the same run for the same seed.

use aspendrum_gossip::view::{View, PLACES};
use fastrand::Rng;
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::Ipv4Addr;

fn ip(n: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a00_0001 + n as u32)
}

struct World {
    views: HashMap<Ipv4Addr, View>,
    rng: Rng,
}

impl World {
    /// Each begins with a few out of control's list.
    fn of(n: usize) -> World {
        let mut world = World {
            views: HashMap::new(),
            rng: Rng::with_seed(n as u64),
        };
        let list: Vec<Ipv4Addr> = (0..n).map(ip).collect();
        for me in &list {
            let mut view = View::new(*me);
            view.meet(&mut world.rng, &list);
            world.views.insert(*me, view);
        }
        world
    }

    /// A round of shuffles, of which a share is lost on the way.
    fn round(&mut self, lost: f64) {
        let mut all: Vec<Ipv4Addr> = self.views.keys().copied().collect();
        all.sort();
        self.rng.shuffle(&mut all);
        for me in all {
            let Some((to, offer)) = self
                .views
                .get_mut(&me)
                .and_then(|v| v.shuffle(&mut self.rng))
            else {
                continue;
            };
            if self.rng.f64() < lost {
                continue;
            }
            let Some(back) = self
                .views
                .get_mut(&to)
                .map(|v| v.asked(&mut self.rng, &offer))
            else {
                continue;
            };
            if self.rng.f64() >= lost {
                self.views.get_mut(&me).unwrap().answered(to, &back);
            }
        }
    }

    /// How many can be reached from the first, over neighbours in either direction.
    fn reached(&self) -> usize {
        let mut edges: HashMap<Ipv4Addr, Vec<Ipv4Addr>> = HashMap::new();
        for (me, view) in &self.views {
            for n in view
                .neighbours()
                .iter()
                .filter(|n| self.views.contains_key(&n.ip))
            {
                edges.entry(*me).or_default().push(n.ip);
                edges.entry(n.ip).or_default().push(*me);
            }
        }
        let Some(first) = self.views.keys().min() else {
            return 0;
        };
        let (mut seen, mut next) = (HashSet::from([*first]), VecDeque::from([*first]));
        while let Some(at) = next.pop_front() {
            for to in edges.get(&at).into_iter().flatten() {
                if seen.insert(*to) {
                    next.push_back(*to);
                }
            }
        }
        seen.len()
    }

    /// Neighbours that are gone, of all.
    fn dead(&self) -> f64 {
        let all: Vec<Ipv4Addr> = self
            .views
            .values()
            .flat_map(|v| v.neighbours())
            .map(|n| n.ip)
            .collect();
        all.iter().filter(|ip| !self.views.contains_key(ip)).count() as f64
            / all.len().max(1) as f64
    }
}

/// Danger: 30% of all machines are lost at once, and the rest falls into parts that never hear of each other again.
#[test]
fn a_fleet_stays_connected_when_a_third_goes_and_forgets_who_has_gone() {
    for n in [70, 300, 1000] {
        let mut world = World::of(n);
        (0..40).for_each(|_| world.round(0.02));
        assert!(
            world
                .views
                .values()
                .all(|v| v.neighbours().len() >= PLACES - 2),
            "{n}: views are not full"
        );
        let mut in_degree: HashMap<Ipv4Addr, usize> = HashMap::new();
        world
            .views
            .values()
            .flat_map(|v| v.neighbours())
            .for_each(|n| *in_degree.entry(n.ip).or_default() += 1);
        let most = in_degree.values().max().copied().unwrap_or(0);
        assert!(most <= 4 * PLACES, "{n}: one machine is known to {most}");
        for i in 0..n * 3 / 10 {
            world.views.remove(&ip(i * 10 / 3));
        }
        assert_eq!(
            world.reached(),
            world.views.len(),
            "{n}: in parts right after the loss"
        );
        (0..3 * PLACES).for_each(|_| world.round(0.02));
        assert_eq!(world.reached(), world.views.len(), "{n}: in parts later");
        assert!(
            world.dead() < 0.02,
            "{n}: {} of the neighbours are gone machines",
            world.dead()
        );
    }
}

/// Danger: a machine that comes back, or a new one that knows a single other, stays unknown.
#[test]
fn a_newcomer_is_known_to_others_soon() {
    let mut world = World::of(70);
    (0..40).for_each(|_| world.round(0.0));
    let mut view = View::new(ip(500));
    view.meet(&mut world.rng, &[ip(3)]);
    world.views.insert(ip(500), view);
    (0..10).for_each(|_| world.round(0.3));
    let known = world
        .views
        .values()
        .filter(|v| v.neighbours().iter().any(|n| n.ip == ip(500)))
        .count();
    assert!(known >= 3, "known to {known}");
    assert!(world.views[&ip(500)].neighbours().len() >= 4);
}

/// Danger: an answer that nobody asked for fills a view with whoever its sender likes.
#[test]
fn an_answer_without_a_question_changes_nothing() {
    let mut rng = Rng::with_seed(1);
    let mut view = View::new(ip(0));
    view.meet(&mut rng, &[ip(1), ip(2)]);
    let before = view.neighbours().to_vec();
    view.answered(ip(9), &[aspendrum_gossip::Neighbour { ip: ip(8), age: 0 }]);
    assert_eq!(view.neighbours(), before);
    // Its own address is nobody's neighbour.
    view.asked(
        &mut rng,
        &[aspendrum_gossip::Neighbour { ip: ip(0), age: 0 }],
    );
    assert!(view.neighbours().iter().all(|n| n.ip != ip(0)));
}
