//! The links between the processes of a run: each goes through a relay that can be cut, reset or made to tamper.

use super::addresses::{Addresses, CONTROL_PORT, COUNTER_PORT, GOSSIP_PORT, SNAPSHOT_PORT};
use super::fleet::SERVICES;
use super::scenario::{Form, Scenario, Who};
use super::tamper::{Tampering, TamperingRelay};
use aspendrum_fake_services::origin::OriginServer;
use aspendrum_fault_proxy::{Fault, Link, Mesh, Relay};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// All links of a run.
pub(super) struct Links {
    /// Control nodes, spare ones too.
    control_nodes: usize,
    /// By the machine that connects (control nodes, then those at the edge), then control node.
    pub(super) control: Vec<Vec<Relay>>,
    /// By machine at the edge, then server.
    pub(super) servers: Vec<Vec<Relay>>,
    /// Datagrams between proxies; empty where machines at the edge reach each other directly.
    pub(super) counters: Mesh,
    /// Datagrams between agents; the same.
    pub(super) gossip: Mesh,
    /// By machine at the edge, then control node: updates to its agent.
    updates: Vec<Vec<TamperingRelay>>,
    /// By machine at the edge: updates to its proxy.
    pub(super) proxy_updates: Vec<TamperingRelay>,
    /// By machine at the edge, then by another one: snapshots between agents.
    pub(super) snapshots: Vec<Vec<Relay>>,
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

    /// Bytes that have gone from control nodes to agents so far.
    pub(super) fn bytes_to_agents(&self) -> u64 {
        let to_agents = self.control[self.control_nodes..].iter().flatten();
        to_agents.map(|relay| relay.backward.stats().bytes).sum()
    }

    /// What happens to configurations on their way to that agent or proxy.
    pub(super) fn tamper(&self, who: Who, how: Option<Tampering>) {
        match who {
            Who::Agent(n) => self.updates[n].iter().for_each(|relay| relay.set(how)),
            Who::Proxy(n) => self.proxy_updates[n].set(how),
            Who::Core(_) | Who::Edge(_) | Who::Origin(_) => {}
        }
    }

    /// Cuts what the ones send to the others, and back unless `one_way`, until [`Links::heal`] with the same number.
    pub(super) fn cut(&self, of: &[Who], from: &[Who], one_way: bool, form: Form, number: u32) {
        let fault = if form == Form::Refuse {
            Fault::REFUSE
        } else {
            Fault::CUT
        };
        self.each(of, from, one_way, |link| {
            link.set_fault(number, fault);
            if form != Form::Silent {
                link.reset_connections();
            }
        });
    }

    /// Ends the cut with that number.
    pub(super) fn heal(&self, of: &[Who], from: &[Who], one_way: bool, number: u32) {
        self.each(of, from, one_way, |link| link.clear_fault(number));
    }

    fn each(&self, of: &[Who], from: &[Who], one_way: bool, change: impl Fn(&Link)) {
        for one in of {
            for other in from.iter().filter(|other| !of.contains(other)) {
                let there = self.between(*one, *other);
                let back = if one_way {
                    Vec::new()
                } else {
                    self.between(*other, *one)
                };
                there.into_iter().chain(back).for_each(|link| change(link));
            }
        }
    }

    /// The directions of all links from the one to the other.
    fn between(&self, from: Who, to: Who) -> Vec<&Arc<Link>> {
        let mut links = self.with_control(from, to);
        links.extend(self.between_agents(from, to));
        match (from, to) {
            (Who::Edge(a) | Who::Proxy(a), Who::Edge(b) | Who::Proxy(b))
                if self.are_edges_linked =>
            {
                links.push(self.counters.link(a, b));
            }
            (Who::Edge(a) | Who::Proxy(a), Who::Origin(b)) => {
                links.push(&self.servers[a][b].forward);
            }
            (Who::Origin(a), Who::Edge(b) | Who::Proxy(b)) => {
                links.push(&self.servers[b][a].backward);
            }
            _ => {}
        }
        links
    }

    fn with_control(&self, from: Who, to: Who) -> Vec<&Arc<Link>> {
        let row = |who| match who {
            Who::Core(n) => Some(n),
            Who::Edge(n) | Who::Agent(n) => Some(self.control_nodes + n),
            Who::Proxy(_) | Who::Origin(_) => None,
        };
        let mut links = Vec::new();
        if let (Some(row), Who::Core(to)) = (row(from), to) {
            links.push(&self.control[row][to].forward);
        }
        if let (Who::Core(from), Some(row)) = (from, row(to)) {
            links.push(&self.control[row][from].backward);
        }
        links
    }

    fn between_agents(&self, from: Who, to: Who) -> Vec<&Arc<Link>> {
        match (from, to) {
            (Who::Edge(a) | Who::Agent(a), Who::Edge(b) | Who::Agent(b))
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

/// The links to control nodes, by the machine that connects; those of agents go through one that can tamper.
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

/// So many rows of links to the same addresses.
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
