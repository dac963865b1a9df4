//! The links between clients, limiters and the fakes: each one a fault proxy of its own.

use super::addresses::AddressBlock;
use super::services::{FakeServices, LOOPBACK};
use crate::scenario::{LinkFault, LinkPath, Scenario, Selector};
use aspendrum_fault_proxy::{Fault, Link, LinkStats, Mesh, Relay};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// The links of a run, by limiter.
pub(super) struct Links {
    /// Datagrams between limiters.
    pub(super) mesh: Mesh,
    /// From clients.
    pub(super) clients: Vec<Relay>,
    /// To the counter.
    pub(super) counter: Vec<Relay>,
    /// To discovery.
    pub(super) discovery: Vec<Relay>,
    /// To each server.
    pub(super) servers: Vec<Vec<Relay>>,
}

impl Links {
    /// Starts all links of a fleet with these addresses.
    ///
    /// # Errors
    /// No port is free.
    pub(super) async fn start(
        scenario: &Scenario,
        addresses: &AddressBlock,
        services: &FakeServices,
    ) -> io::Result<Links> {
        let count = scenario.limiters.count;
        let mut mesh = Mesh::bind(LOOPBACK, count).await?;
        let peers: Vec<SocketAddr> = (0..count).map(|limiter| addresses.peers(limiter)).collect();
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
            .push(Relay::start(LOOPBACK, addresses.clients(limiter)).await?);
        self.servers.push(to_servers);
        Ok(())
    }

    /// Where a limiter finds each server.
    pub(super) fn server_addresses(&self, limiter: usize) -> Vec<SocketAddr> {
        self.servers[limiter].iter().map(Relay::addr).collect()
    }

    /// An occurrence of a fault begins.
    pub(super) fn begin_fault(&self, scenario: &Scenario, fault: &LinkFault, occurrence: u32) {
        let on_link = link_fault(fault);
        for link in self.select(scenario, fault) {
            if on_link != Fault::default() {
                link.set_fault(occurrence, on_link);
            }
            if fault.resets_connections {
                link.reset_connections();
            }
        }
    }

    /// It ends.
    pub(super) fn end_fault(&self, scenario: &Scenario, fault: &LinkFault, occurrence: u32) {
        for link in self.select(scenario, fault) {
            link.clear_fault(occurrence);
        }
    }

    fn select(&self, scenario: &Scenario, fault: &LinkFault) -> Vec<Arc<Link>> {
        let limiters = scenario.select_limiters(&fault.of);
        let mut links = Vec::new();
        for limiter in limiters {
            match fault.path {
                LinkPath::Limiters => links.extend(self.select_peers(scenario, fault, limiter)),
                _ => links.extend(self.select_relays(scenario, fault, limiter)),
            }
        }
        links
    }

    /// The links between a limiter and the others that the fault names.
    fn select_peers(
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

    /// The links of a limiter's connections along the path that the fault names.
    fn select_relays(
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
            LinkPath::Servers => servers_or_all(scenario, &fault.to)
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

    /// What went between limiters, and what was lost.
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

/// The servers that a selector names; all of them where it names none.
pub(super) fn servers_or_all(scenario: &Scenario, selector: &Selector) -> Vec<usize> {
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
