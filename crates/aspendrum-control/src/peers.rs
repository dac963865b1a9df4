//! The table of other control nodes: their connections, liveness and proxy tables, and their statuses for the choice of
//! voters.

use crate::connections;
use crate::event::Event;
use crate::peer_message::{Hello, KnownNode, PeerMessage};
use crate::proxy_table::ProxyEntry;
use aspendrum_consensus::membership::{DiskId, Voters, UNASSIGNED_DISK};
use aspendrum_consensus::membership_planner::NodeStatus;
use aspendrum_consensus::{Millis, NodeId};
use aspendrum_model::message::ControlAddress;
use aspendrum_net::frames::FrameSender;
use aspendrum_net::mailbox::MailboxSender;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The time without a message after which a control node counts as unreachable.
pub const PEER_TIMEOUT: Millis = 1600.0;
/// The time without contact after which a control node is removed from the table, unless it is a seed or a voter.
const FORGET_TIMEOUT: Millis = 60_000.0;

/// The state of another control node.
#[derive(Default)]
struct Peer {
    zone: String,
    disk: DiskId,
    is_leaving: bool,
    link: Option<FrameSender>,
    /// When the node was added to the table.
    added_at: Millis,
    last_received: Option<Millis>,
    /// The proxy table that the node has sent.
    proxies: Vec<ProxyEntry>,
    /// While true, a thread maintains a connection to the node.
    keep_connected: Arc<AtomicBool>,
}

impl Peer {
    fn new(now: Millis) -> Peer {
        Peer {
            added_at: now,
            ..Peer::default()
        }
    }

    fn is_reachable(&self, now: Millis) -> bool {
        self.last_received
            .is_some_and(|at| now - at <= PEER_TIMEOUT)
    }

    /// Returns the time since the last message from the node, or since it was added to the table if there was none.
    fn time_since_contact(&self, now: Millis) -> Millis {
        now - self.last_received.unwrap_or(self.added_at)
    }
}

/// The status of a sender before its message was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// The sender is not in the table.
    Unknown,
    /// The sender was reachable.
    Reachable,
    /// The sender was unreachable, and has become reachable.
    BecameReachable,
}

/// All known control nodes except this one.
pub struct PeerTable {
    peers: BTreeMap<NodeId, Peer>,
    /// The mailbox of this node's thread, for the threads that maintain the connections.
    events: Arc<MailboxSender<Event>>,
}

impl PeerTable {
    /// Creates an empty table. `events` receives the changes of connections.
    pub fn new(events: Arc<MailboxSender<Event>>) -> PeerTable {
        PeerTable {
            peers: BTreeMap::new(),
            events,
        }
    }

    /// Returns all known nodes in ascending order.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.peers.keys().copied()
    }

    /// Returns the reachable nodes: those from which a message was received within [`PEER_TIMEOUT`].
    pub fn reachable(&self, now: Millis) -> impl Iterator<Item = NodeId> + '_ {
        let reachable = self
            .peers
            .iter()
            .filter(move |(_, peer)| peer.is_reachable(now));
        reachable.map(|(node, _)| *node)
    }

    /// Returns the proxy table of each reachable node.
    pub fn proxy_tables(&self, now: Millis) -> impl Iterator<Item = &Vec<ProxyEntry>> {
        let reachable = self
            .peers
            .values()
            .filter(move |peer| peer.is_reachable(now));
        reachable.map(|peer| &peer.proxies)
    }

    /// Adds the node if it is unknown, and starts to maintain a connection to it unless that was already started.
    pub fn connect(&mut self, now: Millis, node: NodeId, address: SocketAddrV4) {
        let peer = self.peers.entry(node).or_insert_with(|| Peer::new(now));
        if peer.keep_connected.swap(true, Ordering::AcqRel) {
            return;
        }
        let keep_connected = peer.keep_connected.clone();
        let peer_timeout = Duration::from_millis(PEER_TIMEOUT as u64);
        let started = connections::maintain_connection(
            node,
            address,
            peer_timeout,
            keep_connected,
            &self.events,
        );
        if let Err(error) = started {
            log::error!("event=link_not_started why=\"{error}\"");
        }
    }

    /// Records that the connection to a node was established or lost. Returns whether the node is known and now
    /// connected.
    pub fn on_link(&mut self, node: NodeId, link: Option<FrameSender>) -> bool {
        let is_connected = link.is_some();
        match self.peers.get_mut(&node) {
            Some(peer) => {
                peer.link = link;
                is_connected
            }
            None => false,
        }
    }

    /// Sends a message to a node if it is connected.
    pub fn send(&self, to: NodeId, message: &PeerMessage) {
        let peer = self.peers.get(&to);
        if let Some(link) = peer.and_then(|peer| peer.link.as_ref()) {
            link.send(&connections::envelope(message));
        }
    }

    /// Sends a message to all connected nodes.
    pub fn broadcast(&self, message: &PeerMessage) {
        for link in self.peers.values().filter_map(|peer| peer.link.as_ref()) {
            link.send(&connections::envelope(message));
        }
    }

    /// Records the receipt of a message from a node if the node is known.
    pub fn on_received(&mut self, now: Millis, from: NodeId) -> Contact {
        let Some(peer) = self.peers.get_mut(&from) else {
            return Contact::Unknown;
        };
        let was_reachable = peer.is_reachable(now);
        peer.last_received = Some(now);
        if was_reachable {
            Contact::Reachable
        } else {
            Contact::BecameReachable
        }
    }

    /// Adds an unknown node that has sent its first message.
    pub fn insert(&mut self, now: Millis, node: NodeId) {
        let peer = Peer {
            last_received: Some(now),
            ..Peer::new(now)
        };
        self.peers.insert(node, peer);
    }

    /// Records the status of a node, and adds the nodes that are known to it except `local_node`.
    pub fn on_hello(&mut self, now: Millis, from: NodeId, hello: Hello, local_node: NodeId) {
        let peer = self.peers.entry(from).or_insert_with(|| Peer::new(now));
        peer.zone = hello.zone;
        peer.disk = hello.disk;
        peer.is_leaving = hello.is_leaving;
        for KnownNode { node, zone } in hello.known_nodes {
            if node == local_node {
                continue;
            }
            let known = self.peers.entry(node).or_insert_with(|| Peer::new(now));
            if known.zone.is_empty() {
                known.zone = zone;
            }
        }
    }

    /// Replaces the proxy table of a node if the node is known.
    pub fn set_proxies(&mut self, node: NodeId, proxies: Vec<ProxyEntry>) {
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.proxies = proxies;
        }
    }

    /// Returns the nodes to announce to other control nodes, with their zones. Nodes that never sent a message, or none
    /// for [`FORGET_TIMEOUT`], are omitted: otherwise control nodes would keep re-adding a removed node to each other's
    /// tables.
    pub fn known_nodes(&self, now: Millis) -> Vec<KnownNode> {
        let is_recent = |peer: &Peer| {
            peer.last_received.is_some() && peer.time_since_contact(now) < FORGET_TIMEOUT
        };
        let recent = self.peers.iter().filter(|(_, peer)| is_recent(peer));
        recent
            .map(|(node, peer)| KnownNode {
                node: *node,
                zone: peer.zone.clone(),
            })
            .collect()
    }

    /// Removes the nodes without contact for [`FORGET_TIMEOUT`], except seeds and voters, and stops maintaining
    /// their connections.
    pub fn forget_silent(&mut self, now: Millis, seeds: &[NodeId], voters: &Voters) {
        self.peers.retain(|node, peer| {
            let is_required = seeds.contains(node) || voters.contains_node(*node);
            let keep = is_required || peer.time_since_contact(now) < FORGET_TIMEOUT;
            if !keep {
                log::info!("event=peer_forgotten node={node}");
                peer.keep_connected.store(false, Ordering::Release);
            }
            keep
        });
    }

    /// Returns the statuses of all other known control nodes and of all voters. A voter that is not in the table counts
    /// as without contact since the start of this process.
    pub fn statuses(&self, now: Millis, voters: &Voters) -> BTreeMap<NodeId, NodeStatus> {
        let status = |peer: &Peer| NodeStatus {
            disk: peer.disk,
            zone: peer.zone.clone(),
            time_since_contact: peer.time_since_contact(now),
            is_leaving: peer.is_leaving,
        };
        let known = self.peers.iter().map(|(node, peer)| (*node, status(peer)));
        let mut statuses: BTreeMap<NodeId, NodeStatus> = known.collect();
        for voter in voters.nodes() {
            statuses.entry(voter).or_insert_with(|| NodeStatus {
                disk: UNASSIGNED_DISK,
                zone: String::new(),
                time_since_contact: now,
                is_leaving: false,
            });
        }
        statuses
    }

    /// Returns the addresses of the other control nodes, for agents.
    pub fn addresses(&self, now: Millis) -> impl Iterator<Item = ControlAddress> + '_ {
        self.peers.iter().map(move |(node, peer)| ControlAddress {
            ip: node.address(),
            zone: peer.zone.clone(),
            is_reachable: peer.is_reachable(now) && !peer.is_leaving,
        })
    }
}
