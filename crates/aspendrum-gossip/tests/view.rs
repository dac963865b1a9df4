//! Simulates partial views in fleets of up to a thousand agents. The simulation is deterministic for a given seed.

use aspendrum_gossip::view::{Neighbour, PartialView, VIEW_SIZE};
use fastrand::Rng;
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::Ipv4Addr;

fn ip(agent: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a00_0001 + agent as u32)
}

struct Fleet {
    views: HashMap<Ipv4Addr, PartialView>,
    rng: Rng,
}

impl Fleet {
    /// Creates a fleet in which each view is filled from control's list.
    fn new(size: usize) -> Fleet {
        let mut fleet = Fleet {
            views: HashMap::new(),
            rng: Rng::with_seed(size as u64),
        };
        let agents: Vec<Ipv4Addr> = (0..size).map(ip).collect();
        for agent in &agents {
            let mut view = PartialView::new(*agent);
            view.fill(&mut fleet.rng, &agents);
            fleet.views.insert(*agent, view);
        }
        fleet
    }

    /// Starts a shuffle at each agent. `loss` is the fraction of lost datagrams.
    fn shuffle_all(&mut self, loss: f64) {
        let mut agents: Vec<Ipv4Addr> = self.views.keys().copied().collect();
        agents.sort();
        self.rng.shuffle(&mut agents);
        for agent in agents {
            let started = self
                .views
                .get_mut(&agent)
                .and_then(|view| view.start_shuffle(&mut self.rng));
            let Some((to, offer)) = started else { continue };
            if self.rng.f64() < loss {
                continue;
            }
            let reply = self
                .views
                .get_mut(&to)
                .map(|view| view.handle_request(&mut self.rng, &offer));
            let Some(reply) = reply else { continue };
            if self.rng.f64() >= loss {
                self.views.get_mut(&agent).unwrap().handle_reply(to, &reply);
            }
        }
    }

    /// Returns the number of agents that are connected to the first one, over neighbours in either direction.
    fn connected_to_first(&self) -> usize {
        let mut edges: HashMap<Ipv4Addr, Vec<Ipv4Addr>> = HashMap::new();
        for (agent, view) in &self.views {
            for neighbour in view
                .neighbours()
                .iter()
                .filter(|known| self.views.contains_key(&known.ip))
            {
                edges.entry(*agent).or_default().push(neighbour.ip);
                edges.entry(neighbour.ip).or_default().push(*agent);
            }
        }
        let Some(first) = self.views.keys().min() else {
            return 0;
        };
        let mut seen = HashSet::from([*first]);
        let mut queue = VecDeque::from([*first]);
        while let Some(agent) = queue.pop_front() {
            for neighbour in edges.get(&agent).into_iter().flatten() {
                if seen.insert(*neighbour) {
                    queue.push_back(*neighbour);
                }
            }
        }
        seen.len()
    }

    /// Returns the fraction of view entries that refer to removed agents.
    fn stale_entries(&self) -> f64 {
        let entries: Vec<&Neighbour> = self
            .views
            .values()
            .flat_map(|view| view.neighbours())
            .collect();
        let stale = entries
            .iter()
            .filter(|entry| !self.views.contains_key(&entry.ip))
            .count();
        stale as f64 / entries.len().max(1) as f64
    }

    /// Returns the maximum number of views that contain the same agent.
    fn max_in_degree(&self) -> usize {
        let mut in_degree: HashMap<Ipv4Addr, usize> = HashMap::new();
        for entry in self.views.values().flat_map(|view| view.neighbours()) {
            *in_degree.entry(entry.ip).or_default() += 1;
        }
        in_degree.values().max().copied().unwrap_or(0)
    }
}

/// Guards against a permanent partition of the fleet after the simultaneous loss of 30% of all machines.
#[test]
fn a_fleet_stays_connected_when_a_third_fails_and_forgets_removed_agents() {
    for size in [70, 300, 1000] {
        let mut fleet = Fleet::new(size);
        (0..40).for_each(|_| fleet.shuffle_all(0.02));
        let is_full = |view: &PartialView| view.neighbours().len() >= VIEW_SIZE - 2;
        assert!(
            fleet.views.values().all(is_full),
            "{size}: views are not full"
        );
        let max_in_degree = fleet.max_in_degree();
        assert!(
            max_in_degree <= 4 * VIEW_SIZE,
            "{size}: one agent is in {max_in_degree} views"
        );
        for failed in 0..size * 3 / 10 {
            fleet.views.remove(&ip(failed * 10 / 3));
        }
        assert_eq!(
            fleet.connected_to_first(),
            fleet.views.len(),
            "{size}: partitioned right after the loss"
        );
        (0..3 * VIEW_SIZE).for_each(|_| fleet.shuffle_all(0.02));
        assert_eq!(
            fleet.connected_to_first(),
            fleet.views.len(),
            "{size}: partitioned later"
        );
        let stale = fleet.stale_entries();
        assert!(
            stale < 0.02,
            "{size}: a fraction of {stale} of the entries refers to removed agents"
        );
    }
}

/// Guards against a restarted or new machine that knows a single agent and is not discovered by others.
#[test]
fn a_new_agent_is_discovered_by_others() {
    let mut fleet = Fleet::new(70);
    (0..40).for_each(|_| fleet.shuffle_all(0.0));
    let mut view = PartialView::new(ip(500));
    view.fill(&mut fleet.rng, &[ip(3)]);
    fleet.views.insert(ip(500), view);
    (0..10).for_each(|_| fleet.shuffle_all(0.3));
    let contains_new_agent = |view: &&PartialView| {
        view.neighbours()
            .iter()
            .any(|neighbour| neighbour.ip == ip(500))
    };
    let discovered_by = fleet.views.values().filter(contains_new_agent).count();
    assert!(discovered_by >= 3, "discovered by {discovered_by}");
    assert!(fleet.views[&ip(500)].neighbours().len() >= 4);
}

/// Guards against unsolicited replies that fill a view with agents selected by their sender.
#[test]
fn a_reply_without_a_request_changes_nothing() {
    let mut rng = Rng::with_seed(1);
    let mut view = PartialView::new(ip(0));
    view.fill(&mut rng, &[ip(1), ip(2)]);
    let before = view.neighbours().to_vec();
    view.handle_reply(ip(9), &[Neighbour { ip: ip(8), age: 0 }]);
    assert_eq!(view.neighbours(), before);
}

#[test]
fn an_agent_is_never_its_own_neighbour() {
    let mut rng = Rng::with_seed(1);
    let mut view = PartialView::new(ip(0));
    view.fill(&mut rng, &[ip(1), ip(2)]);
    view.handle_request(&mut rng, &[Neighbour { ip: ip(0), age: 0 }]);
    assert!(view
        .neighbours()
        .iter()
        .all(|neighbour| neighbour.ip != ip(0)));
}
