//! The network links between the processes of a run. Each goes through a relay that can cut or reset connections or tamper
//! with updates.

use super::addresses::{Addresses, CONTROL_PORT, COUNTER_PORT, GOSSIP_PORT, SNAPSHOT_PORT};
use super::fleet::SERVICES;
use super::scenario::{CutForm, Scenario, Target};
use super::tamper::{Tampering, TamperingRelay};
use aspendrum_fake_services::origin::OriginServer;
use aspendrum_fault_proxy::{Fault, Link, Mesh, Relay};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// All links of a run.
pub(super) struct Links {
    /// The number of control nodes, including spares.
    control_nodes: usize,
    /// Links to control nodes, by connecting machine (control nodes, then edge machines) and control node.
    pub(super) control: Vec<Vec<Relay>>,
    /// Links to servers, by edge machine and server.
    pub(super) servers: Vec<Vec<Relay>>,
    /// Datagrams between proxies; empty if edge machines reach each other directly.
    pub(super) counters: Mesh,
    /// Datagrams between agents; empty if edge machines reach each other directly.
    pub(super) gossip: Mesh,
    /// Relays for updates to agents, by edge machine and control node.
    updates: Vec<Vec<TamperingRelay>>,
    /// Relays for updates from an agent to its proxy, by edge machine.
    pub(super) proxy_updates: Vec<TamperingRelay>,
    /// Snapshots between agents, by connecting and listening edge machine.
    pub(super) snapshots: Vec<Vec<Relay>>,
    /// Whether edge machines reach each other through relays.
    are_edges_linked: bool,
}

impl Links {
    /// Opens all links of a scenario.
    pub(super) async fn open(
        s: &Scenario,
        addresses: &Addresses,
        origins: &[Arc<OriginServer>],
    ) -> io::Result<Links> {
        let (control, updates) = open_control(s, addresses).await?;
        let linked = if s.edge_links {
            addresses.edges(s)
        } else {
            Vec::new()
        };
        let server_addresses: Vec<SocketAddr> = origins.iter().map(|o| o.addr()).collect();
        let snapshot_addresses: Vec<SocketAddr> = linked
            .iter()
            .map(|edge| SocketAddr::from((*edge, SNAPSHOT_PORT)))
            .collect();
        let mut proxy_updates = Vec::new();
        for edge in 0..s.edges {
            let agent = addresses.agent(edge);
            proxy_updates.push(TamperingRelay::start(agent.ip(), agent, SERVICES).await?);
        }
        Ok(Links {
            control_nodes: s.machines(),
            control,
            servers: open_rows(s.edges, &server_addresses).await?,
            counters: open_mesh(&linked, COUNTER_PORT).await?,
            gossip: open_mesh(&linked, GOSSIP_PORT).await?,
            updates,
            proxy_updates,
            snapshots: open_rows(s.edges, &snapshot_addresses).await?,
            are_edges_linked: s.edge_links,
        })
    }

    /// Returns the number of bytes that control nodes have sent to agents so far.
    pub(super) fn bytes_to_agents(&self) -> u64 {
        let to_agents = self.control[self.control_nodes..].iter().flatten();
        to_agents.map(|relay| relay.backward.stats().bytes).sum()
    }

    /// Sets what happens to configurations sent to the given agent or proxy; `None` stops the tampering.
    pub(super) fn tamper(&self, target: Target, how: Option<Tampering>) {
        match target {
            Target::Agent(n) => self.updates[n]
                .iter()
                .for_each(|relay| relay.set_tampering(how)),
            Target::Proxy(n) => self.proxy_updates[n].set_tampering(how),
            Target::Core(_) | Target::Edge(_) | Target::Origin(_) => {}
        }
    }

    /// Cuts the links from `of` to `from`, and unless `one_way` also the reverse direction, until [`Links::heal`] is called
    /// with the same number.
    pub(super) fn cut(
        &self,
        of: &[Target],
        from: &[Target],
        one_way: bool,
        form: CutForm,
        number: u32,
    ) {
        let fault = if form == CutForm::Refuse {
            Fault::REFUSE
        } else {
            Fault::CUT
        };
        self.for_each_link(of, from, one_way, |link| {
            link.set_fault(number, fault);
            if form != CutForm::Silent {
                link.reset_connections();
            }
        });
    }

    /// Heals the cut with the given number.
    pub(super) fn heal(&self, of: &[Target], from: &[Target], one_way: bool, number: u32) {
        self.for_each_link(of, from, one_way, |link| link.clear_fault(number));
    }

    /// Applies a change to all links from `of` to `from`, and unless `one_way` to the reverse direction. Targets that are in
    /// both lists are skipped.
    fn for_each_link(&self, of: &[Target], from: &[Target], one_way: bool, change: impl Fn(&Link)) {
        for one in of {
            for other in from.iter().filter(|other| !of.contains(other)) {
                let forward = self.links_between(*one, *other);
                let backward = if one_way {
                    Vec::new()
                } else {
                    self.links_between(*other, *one)
                };
                forward
                    .into_iter()
                    .chain(backward)
                    .for_each(|link| change(link));
            }
        }
    }

    /// Returns all links that carry data from one target to another.
    fn links_between(&self, from: Target, to: Target) -> Vec<&Arc<Link>> {
        let mut links = self.control_links(from, to);
        links.extend(self.agent_links(from, to));
        match (from, to) {
            (Target::Edge(a) | Target::Proxy(a), Target::Edge(b) | Target::Proxy(b))
                if self.are_edges_linked =>
            {
                links.push(self.counters.link(a, b));
            }
            (Target::Edge(a) | Target::Proxy(a), Target::Origin(b)) => {
                links.push(&self.servers[a][b].forward);
            }
            (Target::Origin(a), Target::Edge(b) | Target::Proxy(b)) => {
                links.push(&self.servers[b][a].backward);
            }
            _ => {}
        }
        links
    }

    fn control_links(&self, from: Target, to: Target) -> Vec<&Arc<Link>> {
        let row = |target| match target {
            Target::Core(n) => Some(n),
            Target::Edge(n) | Target::Agent(n) => Some(self.control_nodes + n),
            Target::Proxy(_) | Target::Origin(_) => None,
        };
        let mut links = Vec::new();
        if let (Some(row), Target::Core(to)) = (row(from), to) {
            links.push(&self.control[row][to].forward);
        }
        if let (Target::Core(from), Some(row)) = (from, row(to)) {
            links.push(&self.control[row][from].backward);
        }
        links
    }

    fn agent_links(&self, from: Target, to: Target) -> Vec<&Arc<Link>> {
        match (from, to) {
            (Target::Edge(a) | Target::Agent(a), Target::Edge(b) | Target::Agent(b))
                if self.are_edges_linked =>
            {
                vec![
                    self.gossip.link(a, b),
                    &self.snapshots[a][b].forward,
                    &self.snapshots[b][a].backward,
                ]
            }
            _ => Vec::new(),
        }
    }
}

/// Opens the links to control nodes, by connecting machine. Those of agents also go through a [`TamperingRelay`].
async fn open_control(
    s: &Scenario,
    addresses: &Addresses,
) -> io::Result<(Vec<Vec<Relay>>, Vec<Vec<TamperingRelay>>)> {
    let (mut control, mut updates) = (Vec::new(), Vec::new());
    for from in 0..s.machines() + s.edges {
        let (mut row, mut tampering) = (Vec::new(), Vec::new());
        for node in 0..s.machines() {
            let ip = IpAddr::V4(addresses.control(node));
            let mut to = SocketAddr::from((ip, CONTROL_PORT));
            if from >= s.machines() {
                let relay = TamperingRelay::start(ip, to, SERVICES).await?;
                to = relay.addr();
                tampering.push(relay);
            }
            row.push(Relay::start(ip, to).await?);
        }
        control.push(row);
        if from >= s.machines() {
            updates.push(tampering);
        }
    }
    Ok((control, updates))
}

/// Opens `count` rows of links, each to the same addresses.
async fn open_rows(count: usize, to: &[SocketAddr]) -> io::Result<Vec<Vec<Relay>>> {
    let mut rows = Vec::new();
    for _ in 0..count {
        let mut row = Vec::new();
        for to in to {
            row.push(Relay::start(to.ip(), *to).await?);
        }
        rows.push(row);
    }
    Ok(rows)
}

async fn open_mesh(members: &[IpAddr], port: u16) -> io::Result<Mesh> {
    let mut mesh = Mesh::bind_each(members).await?;
    let listen: Vec<SocketAddr> = members
        .iter()
        .map(|ip| SocketAddr::from((*ip, port)))
        .collect();
    mesh.start(&listen);
    Ok(mesh)
}
