//! The gossip protocol of one agent.
//!
//! While control is reachable, an agent only shuffles its partial view. When its majority report has expired, it
//! requests reports from its neighbours. The age of a received report is measured from the time of the request, so it
//! can only increase with each hop: a forwarded report never expires later than the original.

use crate::message::{GossipAction, GossipMessage};
use crate::view::PartialView;
use aspendrum_model::message::StateDigest;
use aspendrum_model::time::Millis;
use fastrand::Rng;
use std::net::Ipv4Addr;

/// The interval between two shuffles. A shuffle takes 80 bytes in each direction: 63 agents send 5 KB per second in
/// total.
const SHUFFLE_INTERVAL: Millis = 2000.0;
/// The interval between two rounds of report requests of an isolated agent.
const REQUEST_INTERVAL: Millis = 300.0;
/// The number of neighbours that receive a request in one round.
const REQUESTS_PER_ROUND: usize = 2;
/// The time window of the requests from which the isolated share of the fleet is estimated.
const SAMPLE_WINDOW: Millis = 2000.0;
/// The minimum number of requests for that estimate.
const MIN_SAMPLES: usize = 4;
/// The minimum interval between two snapshot fetches: another report may arrive before the last snapshot is applied.
const FETCH_INTERVAL: Millis = 500.0;

/// A recent report request, and whether the neighbour replied that it is isolated.
struct RequestSample {
    sent_at: u64,
    neighbour: Ipv4Addr,
    neighbour_isolated: bool,
}

/// The gossip protocol state of one agent.
pub struct GossipNode {
    view: PartialView,
    rng: Rng,
    last_shuffle: Millis,
    last_request_round: Millis,
    last_fetch: Millis,
    samples: Vec<RequestSample>,
}

impl GossipNode {
    /// Creates a node with an empty view. `seed` initializes its random number generator.
    pub fn new(local_agent: Ipv4Addr, seed: u64) -> GossipNode {
        GossipNode {
            view: PartialView::new(local_agent),
            rng: Rng::with_seed(seed),
            last_shuffle: f64::NEG_INFINITY,
            last_request_round: f64::NEG_INFINITY,
            last_fetch: f64::NEG_INFINITY,
            samples: Vec::new(),
        }
    }

    /// Returns the current partial view of this node.
    pub fn view(&self) -> &PartialView {
        &self.view
    }

    /// Adds agents from control's list to the free entries of the view.
    pub fn add_known_agents(&mut self, agents: &[Ipv4Addr]) {
        self.view.fill(&mut self.rng, agents);
    }

    /// Whether at least half of the agents have no valid majority report, estimated from recent requests.
    ///
    /// A neighbour that does not reply counts as connected to control. Otherwise a small group of agents that are
    /// partitioned from the rest would mistake itself for the majority of the fleet.
    pub fn half_of_agents_isolated(&self, now: Millis) -> bool {
        let recent = self
            .samples
            .iter()
            .filter(|sample| now - sample.sent_at as Millis <= SAMPLE_WINDOW);
        let (requests, isolated) = recent.fold((0, 0), |(requests, isolated), sample| {
            (
                requests + 1,
                isolated + usize::from(sample.neighbour_isolated),
            )
        });
        requests >= MIN_SAMPLES && 2 * isolated >= requests
    }

    /// Returns the actions that are due. `is_isolated` states whether this agent has no valid majority report.
    pub fn tick(&mut self, now: Millis, is_isolated: bool) -> Vec<GossipAction> {
        let mut actions = Vec::new();
        if now - self.last_shuffle >= SHUFFLE_INTERVAL {
            self.last_shuffle = now;
            actions.extend(self.start_shuffle());
        }
        if is_isolated && now - self.last_request_round >= REQUEST_INTERVAL {
            self.last_request_round = now;
            actions.extend(self.request_reports(now));
        }
        actions
    }

    /// Handles a datagram.
    ///
    /// `local_state` is the state that this agent holds. `confirmed_as_of` is the time at which a majority of control
    /// held no newer state; `None` if this agent is isolated.
    pub fn handle(
        &mut self,
        now: Millis,
        from: Ipv4Addr,
        message: GossipMessage,
        local_state: &StateDigest,
        confirmed_as_of: Option<Millis>,
    ) -> Vec<GossipAction> {
        match message {
            GossipMessage::ShuffleRequest { offer } => {
                let offer = self.view.handle_request(&mut self.rng, &offer);
                vec![GossipAction::Send {
                    to: from,
                    message: GossipMessage::ShuffleReply { offer },
                }]
            }
            GossipMessage::ShuffleReply { offer } => {
                self.view.handle_reply(from, &offer);
                Vec::new()
            }
            GossipMessage::ReportRequest { sent_at } => {
                let message = answer_request(now, sent_at, local_state, confirmed_as_of);
                vec![GossipAction::Send { to: from, message }]
            }
            GossipMessage::NoReport { sent_at } => {
                self.record_isolated(from, sent_at);
                Vec::new()
            }
            GossipMessage::Report {
                sent_at,
                age,
                decided,
            } => self
                .handle_report(now, from, sent_at as Millis, age, &decided, local_state)
                .into_iter()
                .collect(),
        }
    }

    fn start_shuffle(&mut self) -> Option<GossipAction> {
        let (to, offer) = self.view.start_shuffle(&mut self.rng)?;
        Some(GossipAction::Send {
            to,
            message: GossipMessage::ShuffleRequest { offer },
        })
    }

    fn request_reports(&mut self, now: Millis) -> Vec<GossipAction> {
        let sent_at = now.max(0.0) as u64;
        let neighbours = self.view.sample(&mut self.rng, REQUESTS_PER_ROUND);
        self.samples
            .retain(|sample| now - sample.sent_at as Millis <= SAMPLE_WINDOW);
        self.samples
            .extend(neighbours.iter().map(|neighbour| RequestSample {
                sent_at,
                neighbour: *neighbour,
                neighbour_isolated: false,
            }));
        let message = GossipMessage::ReportRequest { sent_at };
        neighbours
            .into_iter()
            .map(|to| GossipAction::Send {
                to,
                message: message.clone(),
            })
            .collect()
    }

    fn record_isolated(&mut self, neighbour: Ipv4Addr, sent_at: u64) {
        let request = self
            .samples
            .iter_mut()
            .filter(|sample| sample.sent_at == sent_at && sample.neighbour == neighbour);
        request.for_each(|sample| sample.neighbour_isolated = true);
    }

    fn handle_report(
        &mut self,
        now: Millis,
        from: Ipv4Addr,
        requested_at: Millis,
        age: u32,
        decided: &StateDigest,
        local_state: &StateDigest,
    ) -> Option<GossipAction> {
        // A timestamp in the future belongs to a request of an earlier process.
        if requested_at > now {
            return None;
        }
        // Different contents under one revision: only control can determine which of them was decided.
        if local_state.revision == decided.revision && local_state.digests != decided.digests {
            return None;
        }
        if local_state.revision.covers(&decided.revision) {
            return Some(GossipAction::ConfirmedAsOf(requested_at - f64::from(age)));
        }
        if now - self.last_fetch < FETCH_INTERVAL {
            return None;
        }
        self.last_fetch = now;
        Some(GossipAction::FetchSnapshot(from))
    }
}

/// Creates the reply to a report request. The age of the report is rounded up to whole milliseconds.
fn answer_request(
    now: Millis,
    sent_at: u64,
    local_state: &StateDigest,
    confirmed_as_of: Option<Millis>,
) -> GossipMessage {
    match confirmed_as_of {
        Some(as_of) => {
            let age = (now - as_of).max(0.0).ceil().min(f64::from(u32::MAX)) as u32;
            GossipMessage::Report {
                sent_at,
                age,
                decided: *local_state,
            }
        }
        None => GossipMessage::NoReport { sent_at },
    }
}
