//! The connections to other control nodes: hellos, heartbeats and the messages that they carry.

use super::ControlNode;
use crate::membership;
use crate::peer_message::{Hello, PeerMessage};
use crate::peers::Contact;
use aspendrum_consensus::membership_planner::NodeStatus;
use aspendrum_consensus::{Message, Millis, NodeId};
use aspendrum_net::frames::FrameSender;
use std::collections::{BTreeMap, BTreeSet};

impl ControlNode {
    pub(super) fn seeds(&self) -> Vec<NodeId> {
        let seeds = self.settings.seeds.iter();
        seeds.map(|seed| NodeId::from(*seed.ip())).collect()
    }

    /// Ensures that connections to all seeds, all voters and all other known nodes are maintained.
    pub(super) fn connect_peers(&mut self) {
        let voters = self.replica.replica().epoch().voters.nodes();
        let nodes = self
            .seeds()
            .into_iter()
            .chain(voters)
            .chain(self.peers.nodes());
        let nodes: BTreeSet<NodeId> = nodes.filter(|node| *node != self.local_node).collect();
        for node in nodes {
            let address = self.settings.control_addr(node.address());
            self.peers.connect(self.clock.now(), node, address);
        }
    }

    pub(super) fn on_peer_link(&mut self, node: NodeId, link: Option<FrameSender>) {
        let event = if link.is_some() {
            "peer_connected"
        } else {
            "peer_disconnected"
        };
        log::info!("event={event} node={node}");
        if !self.peers.on_link(node, link) {
            return;
        }
        self.peers.send(node, &self.hello());
        let proxies = PeerMessage::Proxies(self.agents.proxy_entries());
        self.peers.send(node, &proxies);
        if let Some(servers) = self.server_list.peer_message(self.clock.now()) {
            self.peers.send(node, &servers);
        }
    }

    pub(super) fn on_peer_message(&mut self, from: NodeId, message: PeerMessage) {
        let now = self.clock.now();
        let contact = self.peers.on_received(now, from);
        if contact == Contact::Unknown {
            // From an unknown node, only a Hello is accepted; it adds the node to the table.
            if let PeerMessage::Hello(hello) = message {
                self.peers.insert(now, from);
                self.on_hello(now, from, *hello);
            }
            return;
        }
        match message {
            PeerMessage::Hello(hello) => self.on_hello(now, from, *hello),
            PeerMessage::Heartbeat { server_list_age } => {
                self.server_list.observe_age(now, server_list_age);
            }
            PeerMessage::Consensus(message) => self.on_consensus_message(now, from, message),
            PeerMessage::Proxies(proxies) => {
                self.peers.set_proxies(from, proxies);
                self.update_proxies();
            }
            PeerMessage::Servers { age, list } => {
                let polled_at = now - f64::from(age);
                if self.server_list.update(self.clock.now(), list, polled_at) {
                    self.update_agents();
                }
            }
        }
        if contact == Contact::BecameReachable {
            self.update_proxies();
        }
    }

    pub(super) fn on_hello(&mut self, now: Millis, from: NodeId, hello: Hello) {
        let epoch = hello.epoch.clone();
        self.peers.on_hello(now, from, hello, self.local_node);
        self.replica.observe_epoch(now, from, epoch);
        self.process_outputs();
        self.connect_peers();
        self.update_agents();
    }

    pub(super) fn on_consensus_message(&mut self, now: Millis, from: NodeId, message: Message) {
        if message == Message::CommitNotice {
            // Forces a quorum read at the next tick.
            self.last_read = None;
        }
        let had_read = self.has_read_majority();
        self.replica.step(now, from, message);
        self.process_outputs();
        self.update_agents_after_first_read(had_read);
    }

    pub(super) fn heartbeat(&mut self, now: Millis) {
        let server_list_age = self.server_list.age(now);
        self.peers
            .broadcast(&PeerMessage::Heartbeat { server_list_age });
        let health = self.replica.disk_health();
        if self.membership.update_announced_health(health) {
            self.broadcast_hello();
        }
        let voters = &self.replica.replica().epoch().voters;
        self.peers.forget_silent(now, &self.seeds(), voters);
    }

    pub(super) fn local_status(&self) -> NodeStatus {
        membership::local_status(&self.settings, &self.replica, self.shutdown.is_some())
    }

    pub(super) fn hello(&self) -> PeerMessage {
        let status = self.local_status();
        PeerMessage::Hello(Box::new(Hello {
            node: self.local_node,
            zone: status.zone,
            disk: status.disk,
            is_leaving: status.is_leaving,
            epoch: self.replica.replica().epoch().clone(),
            known_nodes: self.peers.known_nodes(self.clock.now()),
        }))
    }

    pub(super) fn broadcast_hello(&self) {
        self.peers.broadcast(&self.hello());
    }

    /// Returns the status of all known control nodes, including this one and all voters.
    pub(super) fn node_statuses(&self) -> BTreeMap<NodeId, NodeStatus> {
        let voters = &self.replica.replica().epoch().voters;
        let mut statuses = self.peers.statuses(self.clock.now(), voters);
        statuses.insert(self.local_node, self.local_status());
        statuses
    }
}
