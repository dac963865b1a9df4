//! The links between clients, limiters and fakes, each through a fault proxy of its own.

use super::addresses::AddressBlock;
use super::services::{FakeServices, LOOPBACK};
use crate::scenario::{LinkFault, LinkPath, Scenario, Selector};
use aspendrum_fault_proxy::{Fault, Link, LinkStats, Mesh, Relay};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// The links of a run, indexed by limiter.
pub(super) struct Links {
    /// Datagrams between limiters.
    pub(super) mesh: Mesh,
    /// From clients to the limiter.
    pub(super) clients: Vec<Relay>,
    /// From the limiter to the counter.
    pub(super) counter: Vec<Relay>,
    /// From the limiter to discovery.
    pub(super) discovery: Vec<Relay>,
    /// From the limiter to each server.
    pub(super) servers: Vec<Vec<Relay>>,
}

impl Links {
    /// Starts all links of a fleet.
    ///
    /// # Errors
    /// The I/O error if no port is free.
    pub(super) async fn start(
        scenario: &Scenario,
        addresses: &AddressBlock,
        services: &FakeServices,
    ) -> io::Result<Links> {
        let count = scenario.limiters.count;
        let mut mesh = Mesh::bind(LOOPBACK, count).await?;
        let peers: Vec<SocketAddr> = (0..count)
            .map(|limiter| addresses.peer_listener(limiter))
            .collect();
        mesh.start(&peers);
        let mut links = Links {
            mesh,
            clients: Vec::new(),
            counter: Vec::new(),
            discovery: Vec::new(),
            servers: Vec::new(),
        };
        for limiter in 0..count {
            links.start_limiter(limiter, addresses, services).await?;
        }
        Ok(links)
    }

    async fn start_limiter(
        &mut self,
        limiter: usize,
        addresses: &AddressBlock,
        services: &FakeServices,
    ) -> io::Result<()> {
        let mut to_servers = Vec::new();
        for server in &services.servers {
            to_servers.push(Relay::start(LOOPBACK, server.addr()).await?);
        }
        let dials = to_servers.iter().map(Relay::addr).collect();
        let agent = services
            .discovery
            .start_agent(LOOPBACK, limiter, dials)
            .await?;
        self.discovery.push(Relay::start(LOOPBACK, agent).await?);
        self.counter
            .push(Relay::start(LOOPBACK, services.counter.addr()).await?);
        self.clients
            .push(Relay::start(LOOPBACK, addresses.client_listener(limiter)).await?);
        self.servers.push(to_servers);
        Ok(())
    }

    /// Returns the address through which a limiter reaches each server.
    pub(super) fn server_addresses(&self, limiter: usize) -> Vec<SocketAddr> {
        self.servers[limiter].iter().map(Relay::addr).collect()
    }

    /// Starts an occurrence of a fault on the links that it selects.
    pub(super) fn begin_fault(&self, scenario: &Scenario, fault: &LinkFault, occurrence: u32) {
        let new_fault = link_fault(fault);
        for link in self.select(scenario, fault) {
            if new_fault != Fault::default() {
                link.set_fault(occurrence, new_fault);
            }
            if fault.resets_connections {
                link.reset_connections();
            }
        }
    }

    /// Ends an occurrence of a fault.
    pub(super) fn end_fault(&self, scenario: &Scenario, fault: &LinkFault, occurrence: u32) {
        for link in self.select(scenario, fault) {
            link.clear_fault(occurrence);
        }
    }

    fn select(&self, scenario: &Scenario, fault: &LinkFault) -> Vec<Arc<Link>> {
        let limiters = scenario.select_limiters(&fault.limiters);
        let mut links = Vec::new();
        for limiter in limiters {
            match fault.path {
                LinkPath::Limiters => {
                    links.extend(self.select_peer_links(scenario, fault, limiter))
                }
                _ => links.extend(self.select_relay_links(scenario, fault, limiter)),
            }
        }
        links
    }

    /// Returns the links between a limiter and the peers that the fault selects.
    fn select_peer_links(
        &self,
        scenario: &Scenario,
        fault: &LinkFault,
        limiter: usize,
    ) -> Vec<Arc<Link>> {
        let mut links = Vec::new();
        for peer in scenario.select_limiters(&fault.to) {
            if peer == limiter {
                continue;
            }
            if fault.direction.is_forward() {
                links.push(self.mesh.link(limiter, peer).clone());
            }
            if fault.direction.is_backward() {
                links.push(self.mesh.link(peer, limiter).clone());
            }
        }
        links
    }

    /// Returns the links of a limiter's TCP connections on the path of the fault.
    fn select_relay_links(
        &self,
        scenario: &Scenario,
        fault: &LinkFault,
        limiter: usize,
    ) -> Vec<Arc<Link>> {
        let relays: Vec<&Relay> = match fault.path {
            LinkPath::Limiters => Vec::new(),
            LinkPath::Counter => vec![&self.counter[limiter]],
            LinkPath::Discovery => vec![&self.discovery[limiter]],
            LinkPath::Clients => vec![&self.clients[limiter]],
            LinkPath::Servers => select_servers_or_all(scenario, &fault.to)
                .into_iter()
                .map(|server| &self.servers[limiter][server])
                .collect(),
        };
        let mut links = Vec::new();
        for relay in relays {
            if fault.direction.is_forward() {
                links.push(relay.forward.clone());
            }
            if fault.direction.is_backward() {
                links.push(relay.backward.clone());
            }
        }
        links
    }

    /// Returns the sum of the statistics of all links between limiters.
    pub(super) fn datagram_stats(&self) -> LinkStats {
        let count = self.clients.len();
        let mut total = LinkStats::default();
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                let stats = self.mesh.link(from, to).stats();
                total.messages += stats.messages;
                total.bytes += stats.bytes;
                total.lost += stats.lost;
            }
        }
        total
    }
}

/// Returns the selected servers, or all servers if the selector is empty.
pub(super) fn select_servers_or_all(scenario: &Scenario, selector: &Selector) -> Vec<usize> {
    if selector.is_empty() {
        return (0..scenario.servers.count).collect();
    }
    scenario.select_servers(selector)
}

fn link_fault(fault: &LinkFault) -> Fault {
    Fault {
        is_cut: fault.is_cut,
        refuses_connections: false,
        loss: fault.loss,
        delay_ms: fault.delay_ms,
        jitter_ms: fault.jitter_ms,
        reordering: fault.reordering,
        duplication: fault.duplication,
    }
}
