//! The dispatcher: the single thread that owns the decision engine, its timers and the requests in progress.
//!
//! All other threads send it events through one bounded mailbox. The dispatcher passes each event to the decision
//! engine, performs the actions that the engine returns, and never blocks on another thread.

mod pending_request;
mod timers;

use crate::counter::CounterClient;
use crate::event::{AttemptEnd, DiscoveryRequest, DispatcherEvent, RequestDecision};
use crate::health_check::start_health_check;
use crate::peers::PeerSocket;
use crate::state::LimiterState;
use aspendrum_core::api::{
    Action, Event, LoadReport, Millis, Outcome, RequestId, ServerId, Settings,
};
use aspendrum_core::engine::DecisionEngine;
use aspendrum_net::disconnect_metrics::{DisconnectReporter, REACTION_DEADLINE};
use aspendrum_net::disconnects::ClientConnection;
use aspendrum_net::forward::{ForwardStage, Progress};
use aspendrum_net::mailbox::{MailboxReceiver, RecvError};
use crossbeam_channel::Sender;
use pending_request::{Attempt, PendingRequest};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;
use timers::Timers;

/// The `tracing` target of log lines emitted by the decision engine.
const ENGINE_LOG_TARGET: &str = "aspendrum::module";

/// The services that perform the decision engine's actions.
pub(crate) struct Services {
    pub(crate) counter: Option<CounterClient>,
    pub(crate) discovery: Sender<DiscoveryRequest>,
    pub(crate) peers: Option<PeerSocket>,
}

/// The dispatcher's state.
pub(crate) struct Dispatcher {
    engine: DecisionEngine,
    state: Arc<LimiterState>,
    services: Services,
    requests: HashMap<RequestId, PendingRequest>,
    timers: Timers,
    /// Actions returned by the engine and not performed yet. The allocation is reused between events.
    actions: Vec<Action>,
    /// Requests whose threads no longer receive decisions. The engine is notified after the current event.
    abandoned: Vec<RequestId>,
    last_expiry: Instant,
    disconnect_reporter: DisconnectReporter,
}

impl Dispatcher {
    pub(crate) fn new(
        state: Arc<LimiterState>,
        settings: &Settings,
        seed: u64,
        services: Services,
    ) -> Dispatcher {
        let mut actions = Vec::new();
        let engine =
            DecisionEngine::new(state.dispatcher.clock.now(), seed, settings, &mut actions);
        Dispatcher {
            engine,
            state,
            services,
            requests: HashMap::new(),
            timers: Timers::default(),
            actions,
            abandoned: Vec::new(),
            last_expiry: Instant::now(),
            disconnect_reporter: DisconnectReporter::default(),
        }
    }

    /// Handles events and timers until the limiter stops.
    pub(crate) fn run(mut self, events: &MailboxReceiver<DispatcherEvent>) {
        self.perform_actions();
        loop {
            let due = self
                .timers
                .next_due()
                .map(|time| self.state.dispatcher.clock.instant_at(time));
            match events.recv_deadline(due) {
                Ok(DispatcherEvent::Stop) | Err(RecvError::Disconnected) => return,
                Ok(event) => self.handle(event),
                Err(RecvError::TimedOut) => {}
            }
            while let Some(id) = self.abandoned.pop() {
                self.handle_abandoned(id);
            }
            self.run_due();
        }
    }

    fn now(&self) -> Millis {
        self.state.dispatcher.clock.now()
    }

    fn handle(&mut self, event: DispatcherEvent) {
        match event {
            DispatcherEvent::Request {
                request,
                decisions,
                forward,
            } => {
                self.requests
                    .insert(request.id, PendingRequest::new(decisions, forward));
                self.notify_engine(&Event::Request(request));
            }
            DispatcherEvent::ClientDisconnected { id } => self.handle_disconnect(id),
            DispatcherEvent::AttemptEnded(end) => self.handle_attempt_end(&end),
            DispatcherEvent::Abandoned { id } => self.handle_abandoned(id),
            DispatcherEvent::Engine(event) => self.notify_engine(&event),
            DispatcherEvent::Servers {
                list,
                version,
                entries,
            } => {
                self.notify_engine(&Event::ServerList {
                    list,
                    version,
                    entries: &entries,
                });
            }
            DispatcherEvent::PeerDatagram { from, data } => {
                self.notify_engine(&Event::DatagramReceived { from, data: &data });
            }
            DispatcherEvent::CounterAddressChanged { address } => {
                if let Some(counter) = &mut self.services.counter {
                    counter.change_address(address);
                }
            }
            DispatcherEvent::Stop => {}
        }
    }

    /// Passes an event to the decision engine and performs the returned actions.
    fn notify_engine(&mut self, event: &Event<'_>) {
        self.engine.handle(self.now(), event, &mut self.actions);
        self.perform_actions();
    }

    fn handle_disconnect(&mut self, id: RequestId) {
        let Some(request) = self
            .requests
            .get_mut(&id)
            .filter(|request| !request.is_finished)
        else {
            return;
        };
        request.is_finished = true;
        // While an attempt is in flight, the request's thread receives this after the attempt has ended.
        let _ = request
            .decisions
            .try_send(RequestDecision::ClientDisconnected);
        self.notify_engine(&Event::ClientDisconnected { id });
        self.remove_if_done(id);
    }

    /// Handles a request whose thread no longer receives decisions.
    fn handle_abandoned(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let in_flight = request.in_flight.take();
        if !std::mem::replace(&mut request.is_finished, true) {
            self.notify_engine(&Event::ClientDisconnected { id });
        }
        match in_flight {
            // The attempt was never started, so the request did not run.
            Some(Attempt { number, server }) => self.handle_attempt_end(&AttemptEnd {
                id,
                attempt: number,
                server,
                outcome: Outcome::NotSent,
                rtt: 0.0,
                charged: 0,
                load: LoadReport::default(),
            }),
            None => self.remove_if_done(id),
        }
    }

    fn handle_attempt_end(&mut self, end: &AttemptEnd) {
        let id = end.id;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.in_flight = None;
        request.is_finished |= end.outcome == Outcome::Ok;
        let event = Event::AttemptEnded {
            id,
            attempt: end.attempt,
            server: end.server,
            outcome: end.outcome,
            rtt: end.rtt,
            is_final: request.is_finished,
            metered_usage: 0,
            actual_units: end.charged,
            load: end.load,
        };
        self.notify_engine(&event);
        self.remove_if_done(id);
    }

    /// Removes a request once it is finished and has no attempt in flight.
    fn remove_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(PendingRequest::is_done) {
            self.requests.remove(&id);
        }
    }

    fn run_due(&mut self) {
        let now = self.now();
        while let Some(token) = self.timers.pop_due(now) {
            if let Some(counter) = &mut self.services.counter {
                counter.expire();
            }
            self.notify_engine(&Event::Timer { token });
        }
        if self.state.disconnect_watcher.is_due() {
            self.check_disconnects();
        }
        if self.last_expiry.elapsed() >= self.state.limits.dispatcher.expiry_interval {
            self.last_expiry = Instant::now();
            self.state.pool.close_expired();
        }
    }

    /// Checks whether the clients of all requests in progress are still connected.
    ///
    /// After a disconnect no further attempt is sent to a server. The decision engine decides whether an attempt that
    /// is already in flight is cancelled.
    fn check_disconnects(&mut self) {
        let state = self.state.clone();
        let sessions = state.sessions.with_request();
        for session in state.disconnect_watcher.poll_disconnects(&sessions) {
            let Some(id) = session.connection.request() else {
                continue;
            };
            if let Some(request) = self.requests.get(&id) {
                let stage = request.forward.handle_disconnect();
                state
                    .disconnect_metrics
                    .record_disconnect(request.forward.kind, stage);
            }
            self.handle_disconnect(id);
        }
        sessions
            .iter()
            .for_each(|session| self.check_reaction(&session.connection));
        if let Some(line) = self
            .disconnect_reporter
            .next_line(&state.disconnect_metrics)
        {
            tracing::info!("{line}");
        }
    }

    /// Records a violation of the invariant that a request is either sent completely within [`REACTION_DEADLINE`] of
    /// its client's disconnect or not at all.
    fn check_reaction(&self, connection: &ClientConnection) {
        let watcher = &self.state.disconnect_watcher;
        let since_disconnect = connection.time_since_disconnect(watcher);
        let is_late = since_disconnect
            .is_some_and(|time| !watcher.was_suspended() && time > REACTION_DEADLINE);
        let request = connection
            .request()
            .filter(|_| is_late)
            .and_then(|id| self.requests.get(&id));
        let Some(forward) = request.map(|request| &request.forward) else {
            return;
        };
        let Progress {
            stage,
            is_aborted,
            time_since_end,
        } = forward.progress();
        let is_ending = time_since_end.is_some_and(|time| time <= REACTION_DEADLINE);
        if stage != ForwardStage::AtServer && !is_ending && connection.mark_overdue() {
            self.state
                .disconnect_metrics
                .record_overdue(forward.kind, stage, is_aborted);
        }
    }

    fn perform_actions(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Forward {
                id,
                server,
                timeout,
            } => self.forward(id, server, timeout),
            Action::Shed {
                id, retry_after, ..
            } => {
                let retry_after = Some(retry_after).filter(|time| *time > 0.0);
                self.finish(id, RequestDecision::Shed { retry_after });
            }
            Action::Drop { id } => self.finish(id, RequestDecision::Drop),
            Action::Cancel { id, attempt } => {
                if let Some(request) = self.requests.get(&id) {
                    request.forward.cancel_up_to(attempt);
                }
            }
            Action::AddToCounter { name, units, ttl } => {
                if let Some(counter) = &self.services.counter {
                    counter.add(name, units, ttl);
                }
            }
            Action::Probe { server } => start_health_check(&self.state, server),
            Action::CloseConnections { server } => self.state.pool.close_idle(server),
            Action::Timer { token, wait } => self.timers.add(self.now() + wait.max(0.0), token),
            // Dropped if the channel is full of requests that the discovery client has not received yet.
            Action::FetchServers => drop(self.services.discovery.try_send(DiscoveryRequest::Fetch)),
            Action::WatchServers { on } => drop(
                self.services
                    .discovery
                    .try_send(DiscoveryRequest::Watch(on)),
            ),
            Action::SendDatagram { to, data } => {
                if let Some(peers) = &self.services.peers {
                    peers.send(to, &data);
                }
            }
            Action::Log(text) => tracing::info!(target: ENGINE_LOG_TARGET, "{text}"),
            Action::Fault(text) => tracing::error!(target: ENGINE_LOG_TARGET, "{text}"),
        }
    }

    fn forward(&mut self, id: RequestId, server: ServerId, timeout: Millis) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = request.start_attempt(server);
        let timeout = Some(timeout).filter(|timeout| *timeout > 0.0);
        if request
            .decisions
            .try_send(RequestDecision::Forward {
                attempt,
                server,
                timeout,
            })
            .is_err()
        {
            self.abandoned.push(id);
        }
    }

    fn finish(&mut self, id: RequestId, decision: RequestDecision) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_finished = true;
        // If the mailbox is full, the request's thread is not receiving decisions and ends by its own timeout.
        let _ = request.decisions.try_send(decision);
        if let Some(attempt) = &request.in_flight {
            // The client gets its response now, so a later response of the server would be discarded.
            request.forward.cancel_up_to(attempt.number);
        }
        self.remove_if_done(id);
    }
}
