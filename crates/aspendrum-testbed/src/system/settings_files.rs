//! The settings files of a run's processes, as the platform writes them.

use super::addresses::{
    Addresses, AGENT_PORT, CONTROL_PORT, COUNTER_PORT, GOSSIP_PORT, PORT_RANGE, SNAPSHOT_PORT,
};
use super::fleet::{region, zone};
use super::links::Links;
use super::scenario::Scenario;
use aspendrum_fake_services::origin::OriginServer;
use serde_json::{json, Map, Value};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;

/// What settings are written from.
pub(super) struct SettingsWriter<'f> {
    pub(super) scenario: &'f Scenario,
    pub(super) addresses: &'f Addresses,
    pub(super) links: &'f Links,
    pub(super) origins: &'f [Arc<OriginServer>],
    /// Where the platform's list of servers is.
    pub(super) cloud_api: SocketAddr,
    /// The control nodes that the settings name.
    pub(super) seeds: &'f [usize],
}

impl SettingsWriter<'_> {
    /// Of a control node.
    pub(super) fn control(
        &self,
        number: usize,
        is_first_start: bool,
        disk: Option<&Path>,
    ) -> Value {
        let others = (0..self.scenario.machines()).filter(|other| *other != number);
        let overrides = others.map(|other| self.control_override(number, other));
        let own = json!({"host-name": format!("core-{number}"), "ip": self.addresses.control(number), "quorum": true,
            "init": is_first_start, "datadir": disk});
        let binds = json!({"ctl": self.addresses.operator(number), "dir": self.addresses.directory(number)});
        let zone = self.scenario.zone(number);
        self.common(zone, own, &binds, overrides.collect())
    }

    /// Of the proxy or the agent of a machine. `agent`: where the agent is found, or listens.
    pub(super) fn edge(&self, number: usize, agent: SocketAddr) -> Value {
        let (scenario, addresses, links) = (self.scenario, self.addresses, self.links);
        let row = scenario.machines() + number;
        let nodes = 0..scenario.machines();
        let mut overrides: Map<String, Value> =
            nodes.map(|node| self.control_override(row, node)).collect();
        for (mesh, port) in [
            (&links.counters, COUNTER_PORT),
            (&links.gossip, GOSSIP_PORT),
        ] {
            let peers = mesh
                .peers(number)
                .unwrap_or_default()
                .into_iter()
                .enumerate();
            overrides
                .extend(peers.map(|(to, by)| (self.edge_port(to, port), by.to_string().into())));
        }
        let snapshots = links.snapshots[number].iter().enumerate();
        overrides.extend(snapshots.map(|(to, by)| {
            (
                self.edge_port(to, SNAPSHOT_PORT),
                by.addr().to_string().into(),
            )
        }));
        let servers = self.origins.iter().zip(&links.servers[number]);
        overrides.extend(
            servers.map(|(server, by)| (server.addr().to_string(), by.addr().to_string().into())),
        );
        let own_agent = SocketAddr::from((Ipv4Addr::LOCALHOST, AGENT_PORT));
        overrides.insert(own_agent.to_string(), agent.to_string().into());
        let own = json!({"host-name": format!("edge-{number}"), "ip": addresses.edge(number),
            "caps": {"nofile": 1024, "mem-mb": 256}});
        let binds =
            json!({"front": addresses.proxy(number), "readyz": addresses.readiness(number)});
        self.common(scenario.zone(number), own, &binds, overrides)
    }

    /// Where a machine reaches a control node: its address, and the relay in its place.
    fn control_override(&self, row: usize, node: usize) -> (String, Value) {
        let address = SocketAddr::from((self.addresses.control(node), CONTROL_PORT));
        let relay = self.links.control[row][node].addr();
        (address.to_string(), relay.to_string().into())
    }

    fn edge_port(&self, number: usize, port: u16) -> String {
        SocketAddr::from((self.addresses.edge(number), port)).to_string()
    }

    fn common(
        &self,
        own_zone: usize,
        mut own: Value,
        binds: &Value,
        overrides: Map<String, Value>,
    ) -> Value {
        let (s, t) = (self.scenario, &self.scenario.terms);
        let zones = (0..s.zones).map(|z| (zone(z), region(z).into()));
        let zones: Map<String, Value> = zones.collect();
        let seeds = self.seeds.iter().map(|seed| self.addresses.operator(*seed));
        let seeds: Vec<SocketAddr> = seeds.collect();
        own["az"] = zone(own_zone).into();
        own["geo"] = region(own_zone).into();
        json!({
            "self": own,
            "net": {"binds": binds, "port-range": PORT_RANGE, "seeds": seeds, "zones": zones, "ways": overrides},
            "plat": {"cloud-api": {"addr": self.cloud_api, "rate-s": 40.0, "lag-ms": 0}},
            "terms": {"tolerate": {"machs": s.losses}, "bounds": {
                "ack-ms": t.ack, "sync-s": t.sync_s, "contact-ms": t.contact, "apply-ms": t.apply, "revoked": t.revoked, "revoke-ms": t.revoke, "evac-ms": t.evac,
                "drain-ms": t.drain, "grace-s": t.grace_s, "retry-slack": 200, "quota-win-s": 5,
                "quota-excess": 0.1, "quota-slack": 20, "ttl_max_s": 1,
            }},
        })
    }
}

/// Replaces a file as a whole: a process may start in the same moment.
pub(super) fn replace_file(file: &Path, text: &str) -> io::Result<()> {
    let next = file.with_extension("next");
    std::fs::write(&next, text)?;
    std::fs::rename(next, file)
}
