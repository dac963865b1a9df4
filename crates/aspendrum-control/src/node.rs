//! The event loop of a control node. A single thread owns all state of the node; other threads send it events. The node
//! compares the desired state of each agent with the state that was already sent to it, and sends the difference.
//!
//! The loop composes modules that are independent of each other: [`crate::replica_driver`] (the replicated state),
//! [`crate::peers`] (other control nodes), [`crate::agents`] (agents and their proxies) and [`crate::server_list`] (the
//! platform's list of servers).

mod agent_handling;
mod peer_handling;
mod reporting;

use crate::agents::AgentSessions;
use crate::clock::Clock;
use crate::decided::DecidedState;
use crate::directory::Directory;
use crate::event::Event;
use crate::membership::{self, Membership};
use crate::peer_message::PeerMessage;
use crate::peers::PeerTable;
use crate::proxy_table::MergedProxies;
use crate::replica_driver::{ReplicaDriver, ReplicaOutput};
use crate::server_list::{PollSchedule, ServerListPoller};
use crate::shutdown::Shutdown;
use aspendrum_consensus::{Command, CommandOutcome, Message, Millis, NodeId};
use aspendrum_model::config::format_version;
use aspendrum_model::settings::Settings;
use aspendrum_net::mailbox::{MailboxReceiver, MailboxSender};
use aspendrum_reconcile::ReportValidity;
use crossbeam_channel::Sender;
use std::net::SocketAddrV4;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between quorum reads. A read renews the agents' permission to serve, and finds commands that other
/// nodes committed but whose commit notices were lost.
const READ_INTERVAL: Millis = 400.0;
/// The interval between quorum reads until the first one succeeds. It is shorter than [`READ_INTERVAL`] because after
/// a power failure all proxies wait for that read.
const FIRST_READ_INTERVAL: Millis = 100.0;
const HEARTBEAT_INTERVAL: Millis = 500.0;
/// The delay after startup before the node sends its agents a table of all proxies. The other nodes connect within
/// about 100 ms and send their proxy tables first.
const PROXY_COLLECTION_TIME: Millis = 150.0;
/// The maximum time that a command may spend in the mailbox; an older command is dropped. By then its caller has
/// retried at another node, and operators may have submitted newer commands.
const MAX_COMMAND_AGE: Duration = Duration::from_millis(850);
/// The fraction of the apply deadline after which clients are no longer directed to a proxy that has not applied a
/// change.
const MAX_LAG_SHARE: f64 = 0.5;

/// The dependencies of a [`ControlNode`].
pub struct ControlNodeOptions {
    /// The clock of the process.
    pub clock: Clock,
    /// The initial settings.
    pub settings: Settings,
    /// The replicated state.
    pub replica: ReplicaDriver,
    /// The sender of the node's own mailbox, for the threads that the node starts.
    pub events: Arc<MailboxSender<Event>>,
    /// Sends the platform's address to the polling thread, which then polls the platform once.
    pub poll_requests: Sender<SocketAddrV4>,
    /// The lookup directory, shared with the threads that answer lookups.
    pub directory: Arc<RwLock<Directory>>,
}

/// The state of a control node and the loop that handles its events.
pub struct ControlNode {
    settings: Settings,
    local_node: NodeId,
    clock: Clock,
    replica: ReplicaDriver,
    membership: Membership,
    decided: DecidedState,
    report_validity: ReportValidity,
    peers: PeerTable,
    agents: AgentSessions,
    server_list: ServerListPoller,
    proxies: MergedProxies,
    last_read: Option<Millis>,
    last_heartbeat: Option<Millis>,
    /// Whether [`PROXY_COLLECTION_TIME`] has passed and the agents have been updated since.
    has_sent_collected_proxies: bool,
    shutdown: Option<Shutdown>,
}

impl ControlNode {
    /// Creates a node without connections to other control nodes.
    pub fn new(options: ControlNodeOptions) -> ControlNode {
        let ControlNodeOptions {
            clock,
            settings,
            replica,
            events,
            poll_requests,
            directory,
        } = options;
        let local_node = NodeId::from(settings.ip);
        ControlNode {
            local_node,
            clock,
            replica,
            membership: Membership::new(local_node, &settings, 0.0),
            decided: DecidedState::new(settings.apply_deadline_ms),
            report_validity: ReportValidity::from_limits(
                settings.apply_deadline_ms,
                settings.unsettled_extension_ms,
            ),
            settings,
            peers: PeerTable::new(events),
            agents: AgentSessions::default(),
            server_list: ServerListPoller::new(poll_requests),
            proxies: MergedProxies::new(directory),
            last_read: None,
            last_heartbeat: None,
            has_sent_collected_proxies: false,
            shutdown: None,
        }
    }

    /// Handles events until the process ends.
    pub fn run(mut self, events: &MailboxReceiver<Event>) {
        self.process_outputs();
        self.connect_peers();
        let mut next_tick = Instant::now();
        loop {
            match events.recv_until_due(next_tick) {
                Ok(event) => self.handle(event),
                Err(_) => {
                    next_tick = Instant::now() + TICK_INTERVAL;
                    self.tick();
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::PeerMessage {
                from,
                message,
                memory: _reserved,
            } => self.on_peer_message(from, message),
            Event::PeerLink { node, link } => self.on_peer_link(node, link),
            Event::AgentConnected { id, link } => {
                self.agents.on_connected(self.clock.now(), id, link);
            }
            Event::AgentMessage {
                id,
                message,
                memory: _reserved,
            } => self.on_agent_message(id, message),
            Event::Disconnected { id } => {
                if self.agents.on_disconnected(self.clock.now(), id) {
                    self.on_local_proxies_changed();
                }
            }
            Event::Command {
                command,
                received_at,
                reply,
            } => self.on_command(command, received_at, reply),
            Event::Report { query, reply } => {
                let _ = reply.try_send(self.report(&query));
            }
            Event::ServerListPolled { started_at, result } => {
                let (now, started_at) = (self.clock.now(), self.clock.to_millis(started_at));
                if self.server_list.on_polled(now, started_at, result) {
                    self.broadcast_server_list(now);
                    self.update_agents();
                }
            }
            Event::WriteFinished(result) => {
                let has_restarted = self.replica.on_write_finished(result, &self.seeds());
                self.process_outputs();
                if has_restarted {
                    self.broadcast_hello();
                }
            }
            Event::SettingsReloaded(settings) => {
                log::info!("event=settings_read seeds={}", settings.seeds.len());
                self.settings = *settings;
                self.connect_peers();
            }
            Event::ShutdownRequested { ready } => self.on_shutdown_requested(ready),
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.replica.tick(now);
        self.process_outputs();
        self.propose_voters_if_due(now);
        self.read_if_due(now);
        self.publish_if_due();
        if is_due(now, self.last_heartbeat, HEARTBEAT_INTERVAL) {
            self.last_heartbeat = Some(now);
            self.heartbeat(now);
            self.update_proxies();
            // Agents that connected before the first successful quorum read do not have the configuration yet.
            self.update_agents();
        }
        if self.agents.expire_silent(now) {
            self.on_local_proxies_changed();
        }
        if !self.has_sent_collected_proxies && now >= PROXY_COLLECTION_TIME {
            self.has_sent_collected_proxies = true;
            self.update_agents();
        }
        if self.agents.has_pending_updates() {
            self.update_agents();
        }
        self.poll_server_list_if_due(now);
        self.replica.retry_disk();
        self.finish_shutdown_if_ready();
    }

    // Replicated state.

    fn on_command(
        &mut self,
        command: Command,
        received_at: Instant,
        reply: Sender<CommandOutcome>,
    ) {
        if received_at.elapsed() > MAX_COMMAND_AGE {
            log::warn!("event=command_late");
            return;
        }
        // During shutdown, pending commands are completed and new ones are refused.
        if self.shutdown.is_some() {
            let _ = reply.try_send(CommandOutcome::NoQuorum);
            return;
        }
        self.replica.submit(command, reply);
        self.process_outputs();
    }

    fn process_outputs(&mut self) {
        while let Some(output) = self.replica.next_output() {
            match output {
                ReplicaOutput::Send { to, message } => {
                    self.peers.send(to, &PeerMessage::Consensus(message));
                }
                ReplicaOutput::CommittedAdvanced => self.on_committed_advanced(),
                ReplicaOutput::EpochChanged => self.on_epoch_changed(),
            }
        }
    }

    fn on_committed_advanced(&mut self) {
        let committed = self.replica.replica().committed();
        let version = format_version(committed.config_version());
        let zones = committed.evacuated_zones().zones;
        log::info!("event=committed version={version} evacuated={zones:?}");
        let notice = PeerMessage::Consensus(Message::CommitNotice);
        self.peers.broadcast(&notice);
        self.publish_if_due();
    }

    /// Publishes the committed state to the agents, unless the last publication is too recent.
    fn publish_if_due(&mut self) {
        let replica = self.replica.replica();
        let (committed, as_of) = (replica.committed(), replica.committed_as_of());
        if self
            .decided
            .publish_if_due(self.clock.now(), committed, as_of)
        {
            self.update_agents();
        }
    }

    fn on_epoch_changed(&mut self) {
        let replica = self.replica.replica();
        log::info!(
            "event=epoch number={} voters={} votes={} joined={}",
            replica.epoch().number,
            replica.epoch().voters.len(),
            replica.is_voter(),
            replica.has_joined()
        );
        self.connect_peers();
        self.broadcast_hello();
    }

    fn propose_voters_if_due(&mut self, now: Millis) {
        let nodes = self.node_statuses();
        let replica = self.replica.replica();
        if let Some(voters) = self.membership.due_voters(now, replica, &nodes) {
            self.replica.propose_voters(now, voters);
            self.process_outputs();
        }
    }

    fn read_if_due(&mut self, now: Millis) {
        let had_read = self.has_read_majority();
        let interval = if had_read {
            READ_INTERVAL
        } else {
            FIRST_READ_INTERVAL
        };
        if !is_due(now, self.last_read, interval) {
            return;
        }
        self.last_read = Some(now);
        self.replica.read(now);
        self.process_outputs();
        self.update_agents_after_first_read(had_read);
    }

    fn has_read_majority(&self) -> bool {
        self.replica.replica().committed_as_of().is_some()
    }

    /// Publishes the committed state after the first successful quorum read. Until then the local state may be
    /// outdated. `had_read` is whether a read had already succeeded before the current operation.
    fn update_agents_after_first_read(&mut self, had_read: bool) {
        if !had_read && self.has_read_majority() {
            self.publish_if_due();
            self.update_agents();
        }
    }

    // Server list of the platform.

    fn poll_server_list_if_due(&mut self, now: Millis) {
        let schedule = PollSchedule {
            drain_time: self.settings.drain_deadline_ms,
            calls_per_second: self.settings.cloud_api_rate,
        };
        let reachable: Vec<NodeId> = self.peers.reachable(now).collect();
        let platform = self.settings.cloud_api_addr;
        self.server_list
            .poll_if_due(now, platform, schedule, self.local_node, &reachable);
    }

    fn broadcast_server_list(&self, now: Millis) {
        if let Some(servers) = self.server_list.peer_message(now) {
            self.peers.broadcast(&servers);
        }
    }

    // Shutdown.

    fn on_shutdown_requested(&mut self, ready: Sender<()>) {
        let replica = self.replica.replica();
        self.shutdown = Some(Shutdown::new(self.clock.now(), replica, ready));
        self.broadcast_hello();
        self.finish_shutdown_if_ready();
    }

    fn finish_shutdown_if_ready(&mut self) {
        let Some(shutdown) = &self.shutdown else {
            return;
        };
        if !self.replica.has_pending_commands() {
            let nodes = self.node_statuses();
            let policy = membership::policy(&self.settings);
            shutdown.finish_if_ready(self.replica.replica(), &nodes, &policy);
        }
    }
}

/// Returns whether `interval` has passed since `last`; always true without a `last`.
fn is_due(now: Millis, last: Option<Millis>, interval: Millis) -> bool {
    last.is_none_or(|last| now - last >= interval)
}
