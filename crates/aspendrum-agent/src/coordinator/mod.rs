//! The coordinator thread, which owns the state of the agent. It accepts updates from control, never reverts to older
//! ones, and ensures that the proxy applies them.

mod control_session;
mod desired_state;
mod majority;
mod proxy_session;

use crate::control_endpoints::ControlEndpoints;
use crate::event::Event;
use crate::gossip_socket::GossipSocket;
use crate::snapshot::SnapshotClient;
use aspendrum_gossip::{GossipAction, GossipMessage, GossipNode};
use aspendrum_model::config::format_version;
use aspendrum_model::message::{
    ControlAddress, FromControl, ProxyEndpoint, StateDigest, StateSection, ToControl,
};
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::{self, FrameSender};
use aspendrum_net::mailbox::MailboxReceiver;
use aspendrum_reconcile::{MajorityReport, Millis, ReportValidity, SyncAssessment, SyncStatus};
use control_session::{ControlFault, ControlSession};
use crossbeam_channel::Sender;
use desired_state::{AcceptResult, DesiredState, Source};
use majority::{latest, MajorityStatus};
use proxy_session::{ProxyIdentity, ProxySession};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// The interval of heartbeats to control, which considers an agent failed if its heartbeats stop.
const HEARTBEAT_INTERVAL: Millis = 300.0;
/// The heartbeat interval until the first majority report arrives. It is shorter because the proxy is waiting for that
/// report.
const STARTUP_HEARTBEAT_INTERVAL: Millis = 60.0;
/// Control counts as reachable for this long after the last answered heartbeat was sent. Control removes a machine from
/// its list 1,000 ms after the machine's last heartbeat, so this must be shorter.
const CONTROL_REACHABLE_TIMEOUT: Millis = 650.0;
/// The time within which a proxy that receives its termination signal together with the agent reports that it is
/// shutting down.
const PROXY_SHUTDOWN_NOTICE: Millis = 1000.0;

/// A pending shutdown of the process.
struct ShutdownRequest {
    done: Sender<()>,
    requested_at: Millis,
}

/// The state of the agent and its connections.
pub struct Coordinator {
    settings: Settings,
    started_at: Instant,
    endpoints: ControlEndpoints,
    gossip_socket: GossipSocket,
    snapshots: SnapshotClient,
    gossip: GossipNode,
    control: Option<ControlSession>,
    proxy: Option<ProxySession>,
    desired: DesiredState,
    majority: MajorityStatus,
    report_validity: ReportValidity,
    /// When the most recent heartbeat that control has answered was sent.
    last_answered_heartbeat_at: Option<Millis>,
    last_heartbeat_at: Option<Millis>,
    shutdown: Option<ShutdownRequest>,
}

impl Coordinator {
    /// Creates a coordinator without connections and with an empty desired state.
    pub fn new(
        settings: Settings,
        endpoints: ControlEndpoints,
        gossip_socket: GossipSocket,
        snapshots: SnapshotClient,
    ) -> Coordinator {
        Coordinator {
            report_validity: ReportValidity::from_limits(
                settings.apply_deadline_ms,
                settings.unsettled_extension_ms,
            ),
            gossip: GossipNode::new(settings.ip, fastrand::u64(..)),
            settings,
            started_at: Instant::now(),
            endpoints,
            gossip_socket,
            snapshots,
            control: None,
            proxy: None,
            desired: DesiredState::default(),
            majority: MajorityStatus::default(),
            last_answered_heartbeat_at: None,
            last_heartbeat_at: None,
            shutdown: None,
        }
    }

    fn now(&self) -> Millis {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Handles events and sends heartbeats while the process runs.
    pub fn run(mut self, events: &MailboxReceiver<Event>) {
        loop {
            let awaits_first_report = self.majority.as_of().is_none();
            let interval = if awaits_first_report {
                STARTUP_HEARTBEAT_INTERVAL
            } else {
                HEARTBEAT_INTERVAL
            };
            let due_ms = self.last_heartbeat_at.unwrap_or(0.0) + interval;
            let due = self.started_at + Duration::from_secs_f64(due_ms / 1000.0);
            match events.recv_until_due(due) {
                Ok(event) => self.handle(event),
                Err(_) => self.heartbeat(),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ControlConnected { id, ip, link } => self.on_control_connected(id, ip, link),
            Event::ControlMessage {
                id,
                message,
                memory: _reserved,
            } if self.is_current_control(id) => {
                self.on_control_message(message);
            }
            Event::ControlDisconnected { id } if self.is_current_control(id) => {
                log::info!("event=control_lost");
                self.drop_control();
            }
            // Events of a connection that has been replaced are ignored.
            Event::ControlMessage { .. } | Event::ControlDisconnected { .. } => {}
            Event::ProxyConnected { id, link } => {
                self.proxy = Some(ProxySession::new(id, link, self.now()))
            }
            Event::ProxyMessage {
                id,
                message,
                memory: _reserved,
            } => self.on_proxy_message(id, message),
            Event::ProxyDisconnected { id } => self.on_proxy_disconnected(id),
            Event::Gossip { from, message } => self.on_gossip_message(from, message),
            Event::SnapshotRequest { reply } => self.send_snapshot(&reply),
            Event::SnapshotSection {
                section,
                memory: _reserved,
            } => self.on_snapshot_section(section),
            Event::SettingsChanged(settings) => {
                self.settings = *settings;
                self.endpoints.update(&self.settings, &[]);
            }
            Event::Shutdown { done } => {
                self.shutdown = Some(ShutdownRequest {
                    done,
                    requested_at: self.now(),
                });
                self.finish_shutdown();
            }
        }
    }

    fn is_current_control(&self, id: u64) -> bool {
        self.control
            .as_ref()
            .is_some_and(|control| control.id == id)
    }

    fn on_control_connected(&mut self, id: u64, ip: Ipv4Addr, link: FrameSender) {
        log::info!("event=control_reached ip={ip}");
        self.control = Some(ControlSession::new(id, ip, link, self.now()));
        self.heartbeat();
    }

    fn on_control_message(&mut self, message: FromControl) {
        // Any message counts as a sign of life, because replies to heartbeats queue behind large updates.
        let now = self.now();
        if let Some(control) = &mut self.control {
            control.last_received_at = now;
        }
        match message {
            // A heartbeat of the future was not sent by this process.
            FromControl::HeartbeatReply { sent_at_ms, .. } if sent_at_ms as Millis > now => {
                log::warn!("event=reply_of_the_future sent_at_ms={sent_at_ms}");
            }
            FromControl::HeartbeatReply {
                sent_at_ms,
                majority_age,
                decided,
                ..
            } => {
                self.last_answered_heartbeat_at =
                    latest(self.last_answered_heartbeat_at, Some(sent_at_ms as Millis));
                // The age is subtracted from the time of the request, which bounds it regardless of how late the reply
                // arrives.
                let as_of = majority_age.map(|age| sent_at_ms as Millis - f64::from(age));
                self.on_majority_report(now, decided, as_of);
            }
            FromControl::Update { number, section } => {
                if let Some(control) = &mut self.control {
                    control.record_update(number);
                }
                self.apply_section(section, Source::Control);
                self.acknowledge_applied();
            }
            // Control does not send this message to agents; agents send it to proxies.
            FromControl::Resync => {}
        }
    }

    /// Handles a report by control of the decided state. `as_of` is when a majority of its disks held nothing newer.
    fn on_majority_report(&mut self, now: Millis, decided: StateDigest, as_of: Option<Millis>) {
        let Some(control) = &mut self.control else {
            return;
        };
        let desired = self.desired.digest();
        let report = MajorityReport {
            decided,
            as_of: 0.0,
        };
        let status =
            SyncAssessment::new(&desired, Some(&report), false, &self.report_validity).status;
        if status == SyncStatus::Current {
            control.record_majority_report(as_of);
            self.majority.record_current(as_of);
        } else if as_of.is_some() && self.majority.record_gap(now) {
            // Updates are sent before the reports that refer to them, so an update was missed. A new connection starts
            // with a snapshot. Reconnections are rate-limited, because a snapshot takes time to arrive and other agents
            // are queried in the meantime.
            let (new, old) = (decided.revision.config, desired.revision.config);
            log::warn!(
                "event=update_gap status={} decided={} held={}",
                status.as_str(),
                format_version(new),
                format_version(old)
            );
            control.disconnect();
        }
    }

    /// Stores a section if it is newer than the stored one, and sends it to the proxy.
    fn apply_section(&mut self, section: StateSection, source: Source) {
        if !section.has_valid_checksum() {
            // The next report of the decided state will reveal the gap.
            log::warn!("event=corrupt_update");
            return;
        }
        match &section {
            StateSection::Proxies(proxies) => self.update_peers(proxies),
            StateSection::ControlNodes(nodes) => self.update_endpoints(nodes),
            StateSection::Config { .. }
            | StateSection::EvacuatedZones { .. }
            | StateSection::Servers { .. } => {}
        }
        let now = self.now();
        if let AcceptResult::Accepted { kind } = self.desired.accept(now, section, source) {
            self.send_to_proxy(kind);
        }
    }

    /// Adds the agents of the listed proxies to the gossip. Each proxy has an agent on the same machine.
    fn update_peers(&mut self, proxies: &[ProxyEndpoint]) {
        let addresses = proxies.iter().map(|proxy| *proxy.addr.ip());
        let peers: Vec<Ipv4Addr> = addresses.filter(|ip| *ip != self.settings.ip).collect();
        self.gossip.add_known_agents(&peers);
    }

    fn update_endpoints(&mut self, nodes: &[ControlAddress]) {
        let is_first_list = !self.desired.has_control_nodes();
        self.endpoints.update(&self.settings, nodes);
        let Some(control) = &self.control else { return };
        // The zones of seeds are unknown. Once the first list arrives, the agent moves to the nearest node, before
        // anything depends on the connection. It also leaves a node that reports itself as shutting down.
        let is_shutting_down = nodes
            .iter()
            .any(|node| node.ip == control.ip && !node.is_reachable);
        let has_alternative = nodes.iter().any(|node| node.is_reachable);
        let is_far = is_first_list && !self.endpoints.is_nearest(control.ip);
        if is_far || is_shutting_down && has_alternative {
            control.disconnect();
        }
    }

    fn send_to_proxy(&mut self, kind: usize) {
        let now = self.now();
        if let (Some(proxy), Some(section)) = (&mut self.proxy, self.desired.section(kind, now)) {
            proxy.offer(now, section);
        }
        self.record_offered();
    }

    fn send_all_to_proxy(&mut self) {
        let now = self.now();
        if let Some(proxy) = &mut self.proxy {
            let sections = DesiredState::kinds().filter_map(|kind| self.desired.section(kind, now));
            sections.for_each(|section| proxy.offer(now, section));
        }
        self.record_offered();
    }

    fn record_offered(&mut self) {
        let Some(as_of) = self.majority.as_of() else {
            return;
        };
        let decided = self.desired.digest();
        if let Some(proxy) = &mut self.proxy {
            proxy.record_offered(MajorityReport { decided, as_of });
        }
    }

    /// Acknowledges the received updates to control once the proxy has applied them, or if there is no proxy to wait
    /// for.
    fn acknowledge_applied(&mut self) {
        let now = self.now();
        let blocks_acknowledgement = |proxy: &ProxySession| !proxy.allows_acknowledgement(now);
        if self.proxy.as_ref().is_some_and(blocks_acknowledgement) {
            return;
        }
        if let Some(control) = &mut self.control {
            control.acknowledge();
        }
    }

    fn on_proxy_message(&mut self, id: u64, message: ToControl) {
        let now = self.now();
        let Some(proxy) = self.proxy.as_mut().filter(|proxy| proxy.id == id) else {
            return;
        };
        proxy.last_received_at = now;
        match message {
            ToControl::Hello {
                host,
                proxy_addr: address,
                ..
            } => {
                proxy.identity = Some(ProxyIdentity { host, address });
                self.send_all_to_proxy();
                self.heartbeat();
            }
            ToControl::Heartbeat {
                sent_at_ms,
                readiness,
                applied,
            } => {
                let has_changed = proxy.record_heartbeat(readiness, applied);
                if proxy.has_pending_updates() {
                    self.send_all_to_proxy();
                }
                self.answer_heartbeat(now, sent_at_ms);
                if has_changed {
                    self.heartbeat();
                }
                self.repair_proxy(now);
            }
            ToControl::Applied { number } => {
                proxy.acknowledge(number);
                if proxy.has_pending_updates() {
                    self.send_all_to_proxy();
                }
                self.acknowledge_applied();
            }
            // A proxy has only one agent, so it never moves to another one.
            ToControl::Disconnecting => {}
        }
    }

    fn answer_heartbeat(&mut self, now: Millis, sent_at_ms: u64) {
        let decided = self.desired.digest();
        let newest = self.majority.as_of();
        let newest = newest.map(|as_of| MajorityReport { decided, as_of });
        let Some(proxy) = &mut self.proxy else { return };
        let report = newest.map(|newest| proxy.report(newest));
        proxy.link.send(&FromControl::HeartbeatReply {
            sent_at_ms,
            majority_age: report.map(|report| (now - report.as_of).max(0.0).ceil() as u32),
            decided: report.map_or(decided, |report| report.decided),
            control_reachable: self
                .last_answered_heartbeat_at
                .is_some_and(|sent_at| now - sent_at <= CONTROL_REACHABLE_TIMEOUT),
            half_of_agents_isolated: self.gossip.half_of_agents_isolated(now),
        });
    }

    /// Sends the next repair step to the proxy if its applied state differs from the desired state.
    fn repair_proxy(&mut self, now: Millis) {
        let desired = self.desired.digest();
        let Some(proxy) = &mut self.proxy else { return };
        let repair = proxy.next_repair(now, &desired, &self.report_validity);
        if repair.rebuilds_tables {
            proxy.link.send(&FromControl::Resync);
        }
        for kind in repair.kinds {
            if let Some(section) = self.desired.section(kind, now) {
                proxy.resend(now, section);
            }
        }
    }

    fn on_proxy_disconnected(&mut self, id: u64) {
        if let Some(proxy) = self.proxy.as_mut().filter(|proxy| proxy.id == id) {
            log::info!("event=proxy_lost");
            proxy.mark_disconnected();
            self.heartbeat();
        }
    }

    fn on_gossip_message(&mut self, from: Ipv4Addr, message: GossipMessage) {
        let now = self.now();
        let as_of = self.majority.fresh_as_of(now);
        let actions = self
            .gossip
            .handle(now, from, message, &self.desired.digest(), as_of);
        self.execute_gossip_actions(actions);
    }

    fn execute_gossip_actions(&mut self, actions: Vec<GossipAction>) {
        for action in actions {
            match action {
                GossipAction::Send { to, message } => self.gossip_socket.send(to, &message),
                GossipAction::ConfirmedAsOf(as_of) => self.majority.record_from_peer(as_of),
                GossipAction::FetchSnapshot(from) => {
                    log::info!("event=snapshot_asked of={from}");
                    self.snapshots.fetch(from);
                }
            }
        }
    }

    fn send_snapshot(&self, reply: &Sender<Vec<u8>>) {
        let now = self.now();
        let sections = DesiredState::kinds().filter_map(|kind| self.desired.section(kind, now));
        let updates = (1..)
            .zip(sections)
            .map(|(number, section)| FromControl::Update { number, section });
        let _ = reply.try_send(
            updates
                .flat_map(|update| frames::encode_frame(&update))
                .collect(),
        );
    }

    fn on_snapshot_section(&mut self, section: StateSection) {
        // Decided sections are versioned and can be accepted from any agent. Others are accepted only while this agent
        // is partitioned from the majority, except for the list of control nodes.
        let is_decided = matches!(
            section,
            StateSection::Config { .. } | StateSection::EvacuatedZones { .. }
        );
        let is_partitioned = self.majority.is_stale(self.now());
        if is_decided || is_partitioned && !matches!(section, StateSection::ControlNodes(_)) {
            self.apply_section(section, Source::Peer);
        }
    }

    fn drop_control(&mut self) {
        self.control = None;
    }

    /// Completes a pending shutdown if the proxy has disconnected, never connected, or is still ready after
    /// [`PROXY_SHUTDOWN_NOTICE`], which means that it is not shutting down.
    fn finish_shutdown(&self) {
        let Some(shutdown) = &self.shutdown else {
            return;
        };
        let notice_elapsed = self.now() - shutdown.requested_at >= PROXY_SHUTDOWN_NOTICE;
        let needs_no_agent =
            |proxy: &ProxySession| proxy.is_disconnected || proxy.is_ready() && notice_elapsed;
        if self.proxy.as_ref().is_none_or(needs_no_agent) {
            let _ = shutdown.done.try_send(());
        }
    }

    /// Performs the periodic work: gossip, acknowledgements, and a heartbeat to control. Ends a faulty connection to
    /// control instead of sending a heartbeat on it.
    fn heartbeat(&mut self) {
        let now = self.now();
        self.last_heartbeat_at = Some(now);
        self.finish_shutdown();
        self.acknowledge_applied();
        let queries_peers = self.majority.has_gap() || self.majority.is_stale(now);
        let actions = self.gossip.tick(now, queries_peers);
        self.execute_gossip_actions(actions);
        let Some(control) = &mut self.control else {
            return;
        };
        if let Some(fault) = control.fault(now) {
            log::info!("event=control_left stale={}", fault == ControlFault::Stale);
            control.terminate(fault);
            self.endpoints.avoid(control.ip);
            return self.drop_control();
        }
        if let Some(proxy) = &self.proxy {
            control.send_heartbeat(now, proxy, &self.settings.zone);
        }
    }
}
