//! Updates of the server list from discovery.

use super::DecisionEngine;
use crate::api::{Action, Health, ListKind, ServerEntry};
use crate::spread::GOLDEN_FRACTION;
use crate::state::server::Server;

/// The initial concurrency limit of a server, summed over all instances.
const INITIAL_CONCURRENCY_LIMIT: f64 = 6.0;
/// The initial concurrency limit of a starting server at each instance.
const SLOW_START_CONCURRENCY_LIMIT: f64 = 1.0;

impl DecisionEngine {
    /// Applies a full or partial server list. After a failed fetch, subscribes to the list again if
    /// discovery has to be polled.
    pub(super) fn update_servers(&mut self, list: ListKind, entries: &[ServerEntry]) {
        if list == ListKind::Failed {
            self.actions.extend(
                self.params
                    .polls_discovery
                    .then_some(Action::WatchServers { on: true }),
            );
            return;
        }
        if list != ListKind::Delta {
            let is_absent =
                |server: &&mut Server| !entries.iter().any(|member| member.server == server.id);
            self.servers
                .iter_mut()
                .filter(is_absent)
                .for_each(|server| server.health = Health::Removed);
        }
        for member in entries {
            let index = self.find_or_add_server(member);
            let server = &mut self.servers[index];
            server.health = member.health;
            server.cell = member.cell;
            server.zone = member.zone;
            server.size = f64::from(member.capacity);
            server.pool = member.pool;
            server.distance_cost = member.distance_cost.into();
        }
        self.dispatch();
    }

    /// Returns the server's index. A restarted server is replaced by a new one that keeps only the
    /// number of requests in flight.
    fn find_or_add_server(&mut self, member: &ServerEntry) -> usize {
        let new = self.new_server(member);
        let id = u64::from(member.server);
        match self.servers.find(id) {
            Some(index) if new.started_at <= self.servers[index].started_at => index,
            Some(index) => {
                let in_flight = self.servers[index].in_flight;
                self.servers[index] = Server { in_flight, ..new };
                index
            }
            None => self.servers.insert(id, new),
        }
    }

    fn new_server(&self, member: &ServerEntry) -> Server {
        let concurrency_limit = if self.is_slow_starting(member.started_at) {
            SLOW_START_CONCURRENCY_LIMIT
        } else {
            INITIAL_CONCURRENCY_LIMIT / self.params.instances
        };
        // Each instance starts with a different fraction of a token, so that the instances of a
        // large fleet do not all send to a starting server at the same time.
        let phase = self.params.slow_start_phase + f64::from(member.server) * GOLDEN_FRACTION;
        Server {
            id: member.server,
            started_at: member.started_at,
            concurrency_limit,
            response_time: self.fleet.response_time,
            reported_load: self.fleet.load,
            slow_start_tokens: phase.fract(),
            slow_start_refilled_at: self.now,
            busy_since: self.now,
            last_probe_at: self.now,
            ..Server::default()
        }
    }
}
