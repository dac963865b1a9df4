//! The other control nodes: their connections, their heartbeats, and their statuses for the choice of voters.

use crate::connections;
use crate::event::Event;
use crate::peer_message::{Hello, KnownNode, PeerMessage};
use crate::proxy_table::ProxyEntry;
use aspendrum_consensus::membership::{DiskId, Voters, FOUNDING_DISK};
use aspendrum_consensus::membership_planner::NodeStatus;
use aspendrum_consensus::{Millis, NodeId};
use aspendrum_model::message::ControlAddress;
use aspendrum_net::frames::Link;
use aspendrum_net::mailbox::MailboxSender;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A control node without contact for this time does not count as reachable.
pub const PEER_TIMEOUT: Millis = 1600.0;
/// A control node that is neither a seed nor a voter is forgotten after this time without contact.
const FORGET_AFTER: Millis = 60_000.0;

/// Another control node.
#[derive(Default)]
struct Peer {
    zone: String,
    disk: DiskId,
    is_leaving: bool,
    link: Option<Link>,
    /// When this node first learnt of the other one.
    known_since: Millis,
    last_received: Option<Millis>,
    /// The proxies whose agents are connected to it.
    proxies: Vec<ProxyEntry>,
    /// While true, a thread keeps a connection to the node and reconnects if it is lost.
    keep_connected: Arc<AtomicBool>,
}

impl Peer {
    fn new(now: Millis) -> Peer {
        Peer {
            known_since: now,
            ..Peer::default()
        }
    }

    fn is_reachable(&self, now: Millis) -> bool {
        self.last_received
            .is_some_and(|at| now - at <= PEER_TIMEOUT)
    }

    /// The time since the last message from the node, or since this node learnt of it if there was none.
    fn time_since_contact(&self, now: Millis) -> Millis {
        now - self.last_received.unwrap_or(self.known_since)
    }
}

/// How the sender of a message was known before the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// The sender is not in the table.
    Unknown,
    /// The sender was reachable.
    Reachable,
    /// The sender was not reachable, and is now.
    ReachableAgain,
}

/// All known control nodes except this one.
pub struct PeerTable {
    peers: BTreeMap<NodeId, Peer>,
    /// Cloned for the threads that keep the connections, which send events to this node's thread.
    events: Arc<MailboxSender<Event>>,
}

impl PeerTable {
    /// An empty table. `events`: receives changes of connections.
    pub fn new(events: Arc<MailboxSender<Event>>) -> PeerTable {
        PeerTable {
            peers: BTreeMap::new(),
            events,
        }
    }

    /// All known nodes, in order.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.peers.keys().copied()
    }

    /// The nodes that are reachable: a message came from each within [`PEER_TIMEOUT`].
    pub fn reachable(&self, now: Millis) -> impl Iterator<Item = NodeId> + '_ {
        let reachable = self
            .peers
            .iter()
            .filter(move |(_, peer)| peer.is_reachable(now));
        reachable.map(|(node, _)| *node)
    }

    /// The proxy table of each reachable node.
    pub fn proxy_tables(&self, now: Millis) -> impl Iterator<Item = &Vec<ProxyEntry>> {
        let reachable = self
            .peers
            .values()
            .filter(move |peer| peer.is_reachable(now));
        reachable.map(|peer| &peer.proxies)
    }

    /// Keeps a connection to a node from now on, and adds the node if it is not known yet.
    pub fn connect(&mut self, now: Millis, node: NodeId, address: SocketAddrV4) {
        let peer = self.peers.entry(node).or_insert_with(|| Peer::new(now));
        if peer.keep_connected.swap(true, Ordering::AcqRel) {
            return;
        }
        let keep = peer.keep_connected.clone();
        let peer_timeout = Duration::from_millis(PEER_TIMEOUT as u64);
        let started = connections::keep_connected(node, address, peer_timeout, keep, &self.events);
        if let Err(error) = started {
            log::error!("event=link_not_started why=\"{error}\"");
        }
    }

    /// The connection to a node came up, or was lost. Returns whether the node is known and connected now.
    pub fn on_link(&mut self, node: NodeId, link: Option<Link>) -> bool {
        let is_connected = link.is_some();
        match self.peers.get_mut(&node) {
            Some(peer) => {
                peer.link = link;
                is_connected
            }
            None => false,
        }
    }

    /// Sends a message to a node, if it is connected.
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

    /// Records that a message came from a node, if the node is known.
    pub fn on_received(&mut self, now: Millis, from: NodeId) -> Contact {
        let Some(peer) = self.peers.get_mut(&from) else {
            return Contact::Unknown;
        };
        let was_reachable = peer.is_reachable(now);
        peer.last_received = Some(now);
        if was_reachable {
            Contact::Reachable
        } else {
            Contact::ReachableAgain
        }
    }

    /// A node that was not known until now has introduced itself.
    pub fn insert(&mut self, now: Millis, node: NodeId) {
        let peer = Peer {
            last_received: Some(now),
            ..Peer::new(now)
        };
        self.peers.insert(node, peer);
    }

    /// A node has introduced itself and the nodes that it knows of. `local_node` among those is skipped.
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

    /// A node has sent its proxy table.
    pub fn set_proxies(&mut self, node: NodeId, proxies: Vec<ProxyEntry>) {
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.proxies = proxies;
        }
    }

    /// The nodes that this node reports to the others, and their zones. Nodes without contact for [`FORGET_AFTER`] are
    /// left out: otherwise the nodes would keep introducing a removed node to each other.
    pub fn known_nodes(&self, now: Millis) -> Vec<KnownNode> {
        let is_recent = |peer: &Peer| {
            peer.last_received.is_some() && peer.time_since_contact(now) < FORGET_AFTER
        };
        let recent = self.peers.iter().filter(|(_, peer)| is_recent(peer));
        recent
            .map(|(node, peer)| KnownNode {
                node: *node,
                zone: peer.zone.clone(),
            })
            .collect()
    }

    /// Forgets the nodes without contact for [`FORGET_AFTER`], except seeds and voters.
    pub fn forget_silent(&mut self, now: Millis, seeds: &[NodeId], voters: &Voters) {
        self.peers.retain(|node, peer| {
            let is_required = seeds.contains(node) || voters.contains_node(*node);
            let keep = is_required || peer.time_since_contact(now) < FORGET_AFTER;
            if !keep {
                log::info!("event=peer_forgotten node={node}");
                peer.keep_connected.store(false, Ordering::Release);
            }
            keep
        });
    }

    /// The statuses of all other control nodes. A voter that this node does not know counts as without contact since
    /// this process started.
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
                disk: FOUNDING_DISK,
                zone: String::new(),
                time_since_contact: now,
                is_leaving: false,
            });
        }
        statuses
    }

    /// Where the other control nodes are, for agents.
    pub fn addresses(&self, now: Millis) -> impl Iterator<Item = ControlAddress> + '_ {
        self.peers.iter().map(move |(node, peer)| ControlAddress {
            ip: node.address(),
            zone: peer.zone.clone(),
            reachable: peer.is_reachable(now) && !peer.is_leaving,
        })
    }
}
