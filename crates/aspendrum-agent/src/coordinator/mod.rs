//! The one thread that owns what the agent knows. It takes updates from control, never back to older ones, and sees to it
//! that the proxy has them.

mod control_session;
mod desired_state;
mod majority;
mod proxy_session;

use crate::control_endpoints::ControlEndpoints;
use crate::event::Event;
use crate::gossip_socket::GossipSocket;
use crate::snapshot::SnapshotClient;
use aspendrum_gossip::{GossipAction, GossipMessage, GossipNode};
use aspendrum_model::message::{
    ControlAddress, FromControl, ProxyEndpoint, StateDigest, StateSection, ToControl,
};
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::{self, Link};
use aspendrum_net::mailbox::MailboxReceiver;
use aspendrum_reconcile::{MajorityReport, Millis, ReportValidity, SyncAssessment, SyncStatus};
use control_session::{ControlFault, ControlSession};
use crossbeam_channel::Sender;
use desired_state::{DesiredState, Source, Update};
use majority::{latest, MajorityStatus};
use proxy_session::{ProxyIdentity, ProxySession};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// Heartbeat interval to control, which considers an agent without heartbeats as failed.
const HEARTBEAT_EVERY: Millis = 300.0;
/// The same before control's first report of what a majority holds: a proxy waits for it.
const FIRST_HEARTBEATS_EVERY: Millis = 60.0;
/// After this time without proof that control hears this machine, control may soon remove it from its list: it does so 1,000 ms
/// after the last heartbeat. The proof is the answer to a heartbeat, as of when that was sent.
const HEARD_COUNTS_FOR: Millis = 650.0;
/// A proxy that gets its termination signal together with the agent reports the shutdown within this time.
const PROXY_NOTICE: Millis = 1000.0;

/// The process is to end.
struct ShutdownRequest {
    done: Sender<()>,
    requested_at: Millis,
}

/// What the agent knows, and its connections.
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
    /// When the last heartbeat was sent that control has answered.
    heard_at: Option<Millis>,
    heartbeat_at: Option<Millis>,
    shutdown: Option<ShutdownRequest>,
}

impl Coordinator {
    /// Nothing is known yet.
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
            heard_at: None,
            heartbeat_at: None,
            shutdown: None,
        }
    }

    fn now(&self) -> Millis {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Handles events, and sends heartbeats, for as long as the process lives.
    pub fn run(mut self, events: &MailboxReceiver<Event>) {
        loop {
            let is_first = self.majority.as_of().is_none();
            let every = if is_first {
                FIRST_HEARTBEATS_EVERY
            } else {
                HEARTBEAT_EVERY
            };
            let due_ms = self.heartbeat_at.unwrap_or(0.0) + every;
            let due = self.started_at + Duration::from_secs_f64(due_ms / 1000.0);
            match events.recv_until_due(due) {
                Ok(event) => self.handle(event),
                Err(_) => self.heartbeat(),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ControlConnected { id, ip, link } => self.control_connected(id, ip, link),
            Event::ControlMessage { id, message } if self.is_connected_to_control(id) => {
                self.control_message(message);
            }
            Event::ControlDisconnected { id } if self.is_connected_to_control(id) => {
                log::info!("event=control_lost");
                self.drop_control();
            }
            // Of a connection that was replaced.
            Event::ControlMessage { .. } | Event::ControlDisconnected { .. } => {}
            Event::ProxyConnected { id, link } => {
                self.proxy = Some(ProxySession::new(id, link, self.now()))
            }
            Event::ProxyMessage { id, message } => self.proxy_message(id, message),
            Event::ProxyDisconnected { id } => self.proxy_disconnected(id),
            Event::Gossip { from, message } => self.gossip_message(from, message),
            Event::SnapshotRequest { reply } => self.send_snapshot(&reply),
            Event::SnapshotChunk(section) => self.snapshot_chunk(section),
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

    fn is_connected_to_control(&self, id: u64) -> bool {
        self.control
            .as_ref()
            .is_some_and(|control| control.id == id)
    }

    fn control_connected(&mut self, id: u64, ip: Ipv4Addr, link: Link) {
        log::info!("event=control_reached ip={ip}");
        self.control = Some(ControlSession::new(id, ip, link, self.now()));
        self.heartbeat();
    }

    fn control_message(&mut self, message: FromControl) {
        // Any message is a sign of life: answers to heartbeats wait behind long updates.
        let now = self.now();
        if let Some(control) = &mut self.control {
            control.last_received_at = now;
        }
        match message {
            FromControl::Heartbeat {
                sent_at_ms,
                majority_age: age,
                decided: of,
                ..
            } => {
                self.heard_at = latest(self.heard_at, Some(sent_at_ms as Millis));
                // Counted from when this was asked: the answer cannot be older than that, however late it comes.
                let as_of = age.map(|age| sent_at_ms as Millis - f64::from(age));
                self.control_report(now, of, as_of);
            }
            FromControl::Update { number, section } => {
                if let Some(control) = &mut self.control {
                    control.record_update(number);
                }
                self.update(section, Source::Control);
                self.acknowledge_applied();
            }
            // Only proxies are asked to resynchronize.
            FromControl::Resync => {}
        }
    }

    /// Control reports what was decided; `as_of`: when a majority of its disks held nothing newer.
    fn control_report(&mut self, now: Millis, decided: StateDigest, as_of: Option<Millis>) {
        let Some(control) = &mut self.control else {
            return;
        };
        let held = self.desired.digest();
        let report = MajorityReport {
            decided,
            as_of: 0.0,
        };
        let status = SyncAssessment::new(&held, Some(&report), false, &self.report_validity).status;
        if status == SyncStatus::Current {
            control.record_report(as_of);
            self.majority.record_current(as_of);
        } else if as_of.is_some() && self.majority.record_gap(now) {
            // Updates come before the reports that rest on them: one was missed, and a new connection begins with a
            // snapshot. Not again at once: a snapshot takes a moment, and other agents are asked meanwhile.
            let (new, old) = (decided.revision.config, held.revision.config);
            log::warn!(
                "event=update_gap status={} decided={new:08x} held={old:08x}",
                status.as_str()
            );
            control.disconnect();
        }
    }

    /// Takes in what is newer than what is held.
    fn update(&mut self, section: StateSection, source: Source) {
        if !section.has_valid_checksum() {
            // The next report of what was decided shows that something is missing here.
            log::warn!("event=corrupt_update");
            return;
        }
        match &section {
            StateSection::Proxies(proxies) => self.update_peers(proxies),
            StateSection::Control(nodes) => self.update_endpoints(nodes),
            StateSection::Config { .. }
            | StateSection::Evacuated { .. }
            | StateSection::Servers { .. } => {}
        }
        let now = self.now();
        if let Update::Accepted { kind } = self.desired.accept(now, section, source) {
            self.send_to_proxy(kind);
        }
    }

    /// Beside each proxy there is an agent.
    fn update_peers(&mut self, proxies: &[ProxyEndpoint]) {
        let addresses = proxies.iter().map(|proxy| *proxy.addr.ip());
        let peers: Vec<Ipv4Addr> = addresses.filter(|ip| *ip != self.settings.ip).collect();
        self.gossip.add_known_agents(&peers);
    }

    fn update_endpoints(&mut self, nodes: &[ControlAddress]) {
        let is_first_list = !self.desired.knows_control();
        self.endpoints.update(&self.settings, nodes);
        let Some(control) = &self.control else { return };
        // Seeds do not tell their zones: before anything depends on the connection it moves to the nearest node. And a
        // node that says of itself that it ends is left for another at once.
        let is_ending = nodes
            .iter()
            .any(|node| node.ip == control.ip && !node.reachable);
        let has_others = nodes.iter().any(|node| node.reachable);
        let is_far = is_first_list && !self.endpoints.is_nearest(control.ip);
        if is_far || is_ending && has_others {
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

    /// Lets control send its next updates once those before are in force, or no proxy can be waited for.
    fn acknowledge_applied(&mut self) {
        let now = self.now();
        let is_waited_for = |proxy: &ProxySession| !proxy.needs_no_update(now);
        if self.proxy.as_ref().is_some_and(is_waited_for) {
            return;
        }
        if let Some(control) = &mut self.control {
            control.acknowledge();
        }
    }

    fn proxy_message(&mut self, id: u64, message: ToControl) {
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
                if proxy.has_waiting_updates() {
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
                if proxy.has_waiting_updates() {
                    self.send_all_to_proxy();
                }
                self.acknowledge_applied();
            }
            // Proxies have one agent.
            ToControl::Disconnecting => {}
        }
    }

    fn answer_heartbeat(&mut self, now: Millis, sent_at_ms: u64) {
        let decided = self.desired.digest();
        let newest = self.majority.as_of();
        let newest = newest.map(|as_of| MajorityReport { decided, as_of });
        let Some(proxy) = &mut self.proxy else { return };
        let report = newest.map(|newest| proxy.report(newest));
        proxy.link.send(&FromControl::Heartbeat {
            sent_at_ms,
            majority_age: report.map(|report| (now - report.as_of).max(0.0).ceil() as u32),
            decided: report.map_or(decided, |report| report.decided),
            control_reachable: self
                .heard_at
                .is_some_and(|heard_at| now - heard_at <= HEARD_COUNTS_FOR),
            most_agents_isolated: self.gossip.most_agents_isolated(now),
        });
    }

    /// Sees to it that the proxy has in force what is held here.
    fn repair_proxy(&mut self, now: Millis) {
        let held = self.desired.digest();
        let Some(proxy) = &mut self.proxy else { return };
        let repair = proxy.next_repair(now, &held, &self.report_validity);
        if repair.resyncs {
            proxy.link.send(&FromControl::Resync);
        }
        for kind in repair.kinds {
            if let Some(section) = self.desired.section(kind, now) {
                proxy.resend(now, section);
            }
        }
    }

    fn proxy_disconnected(&mut self, id: u64) {
        if let Some(proxy) = self.proxy.as_mut().filter(|proxy| proxy.id == id) {
            log::info!("event=proxy_lost");
            proxy.disconnected();
            self.heartbeat();
        }
    }

    fn gossip_message(&mut self, from: Ipv4Addr, message: GossipMessage) {
        let now = self.now();
        let as_of = self.majority.fresh_as_of(now);
        let actions = self
            .gossip
            .handle(now, from, message, &self.desired.digest(), as_of);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<GossipAction>) {
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

    fn snapshot_chunk(&mut self, section: StateSection) {
        // Orders are numbered; what else another agent knows counts only where nothing better is heard.
        let is_order = matches!(
            section,
            StateSection::Config { .. } | StateSection::Evacuated { .. }
        );
        let is_cut_off = self.majority.is_stale(self.now());
        if is_order || is_cut_off && !matches!(section, StateSection::Control(_)) {
            self.update(section, Source::Peer);
        }
    }

    fn drop_control(&mut self) {
        self.control = None;
    }

    /// Lets the process end once its proxy has ended, or shows by its readiness that it is not shutting down.
    fn finish_shutdown(&self) {
        let Some(shutdown) = &self.shutdown else {
            return;
        };
        let had_notice = self.now() - shutdown.requested_at >= PROXY_NOTICE;
        let needs_no_agent =
            |proxy: &ProxySession| proxy.is_disconnected || proxy.is_ready() && had_notice;
        if self.proxy.as_ref().is_none_or(needs_no_agent) {
            let _ = shutdown.done.try_send(());
        }
    }

    /// Sends a heartbeat to control, or ends a connection that is of no use.
    fn heartbeat(&mut self) {
        let now = self.now();
        self.heartbeat_at = Some(now);
        self.finish_shutdown();
        self.acknowledge_applied();
        let asks_peers = self.majority.has_gap() || self.majority.is_stale(now);
        let actions = self.gossip.tick(now, asks_peers);
        self.carry_out(actions);
        let Some(control) = &mut self.control else {
            return;
        };
        if let Some(fault) = control.fault(now) {
            log::info!("event=control_left stale={}", fault == ControlFault::Stale);
            control.end(fault);
            self.endpoints.avoid(control.ip);
            return self.drop_control();
        }
        if let Some(proxy) = &self.proxy {
            control.report_proxy(now, proxy, &self.settings.zone);
        }
    }
}
