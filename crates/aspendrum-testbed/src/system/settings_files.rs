//! The settings files of the processes, in the form that the platform writes.

use super::addresses::{
    Addresses, AGENT_PORT, CONTROL_PORT, COUNTER_PORT, GOSSIP_PORT, PORT_RANGE, SNAPSHOT_PORT,
};
use super::fleet::{region_name, zone_name};
use super::links::Links;
use super::scenario::Scenario;
use aspendrum_fake_services::origin::OriginServer;
use serde_json::{json, Map, Value};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;

/// Builds the settings of the processes of a run.
pub(super) struct SettingsWriter<'f> {
    pub(super) scenario: &'f Scenario,
    pub(super) addresses: &'f Addresses,
    pub(super) links: &'f Links,
    pub(super) origins: &'f [Arc<OriginServer>],
    /// The address of the platform's server list.
    pub(super) cloud_api: SocketAddr,
    /// The control nodes that the settings list as seeds.
    pub(super) seeds: &'f [usize],
}

impl SettingsWriter<'_> {
    /// Returns the settings of a control node.
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

    /// Returns the settings of the proxy or the agent of an edge machine. `agent` is the address to which the proxy connects or
    /// on which the agent listens.
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
            overrides.extend(
                peers.map(|(to, relay)| (self.edge_port(to, port), relay.to_string().into())),
            );
        }
        let snapshots = links.snapshots[number].iter().enumerate();
        overrides.extend(snapshots.map(|(to, relay)| {
            (
                self.edge_port(to, SNAPSHOT_PORT),
                relay.addr().to_string().into(),
            )
        }));
        let servers = self.origins.iter().zip(&links.servers[number]);
        overrides.extend(
            servers.map(|(server, relay)| {
                (server.addr().to_string(), relay.addr().to_string().into())
            }),
        );
        let own_agent = SocketAddr::from((Ipv4Addr::LOCALHOST, AGENT_PORT));
        overrides.insert(own_agent.to_string(), agent.to_string().into());
        let own = json!({"host-name": format!("edge-{number}"), "ip": addresses.edge(number),
            "caps": {"nofile": 1024, "mem-mb": 256}});
        let binds =
            json!({"front": addresses.proxy(number), "readyz": addresses.readiness(number)});
        self.common(scenario.zone(number), own, &binds, overrides)
    }

    /// Returns the address of a control node, and the address of the relay through which a machine reaches it. `row` is the
    /// machine's index in [`Links::control`].
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
        let zones = (0..s.zones).map(|z| (zone_name(z), region_name(z).into()));
        let zones: Map<String, Value> = zones.collect();
        let seeds = self.seeds.iter().map(|seed| self.addresses.operator(*seed));
        let seeds: Vec<SocketAddr> = seeds.collect();
        own["az"] = zone_name(own_zone).into();
        own["geo"] = region_name(own_zone).into();
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

/// Replaces a file atomically, because a process may read it at the same time.
pub(super) fn replace_file(file: &Path, text: &str) -> io::Result<()> {
    let next = file.with_extension("next");
    std::fs::write(&next, text)?;
    std::fs::rename(next, file)
}
