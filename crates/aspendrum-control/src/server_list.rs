//! The platform's list of servers. One control node at a time polls the platform and passes the list on to the others.

use crate::errors::PlatformError;
use crate::peer_message::PeerMessage;
use aspendrum_consensus::{Millis, NodeId};
use aspendrum_model::hash::{digest, rank};
use aspendrum_model::message::StateSection;
use aspendrum_model::servers::{ServerInstance, ServerList};
use crossbeam_channel::Sender;
use std::net::SocketAddrV4;

/// The poll interval as a share of the time within which a draining server must receive no more requests.
const POLL_INTERVAL_SHARE: f64 = 0.25;
/// How much longer each next node in the ranking waits before it takes over the polling.
const TAKEOVER_STEP: Millis = 600.0;
/// The largest share of the platform's call rate that polls may use.
const CALL_RATE_SHARE: f64 = 0.5;
/// The key by which the nodes are ranked for polling.
const RANK_KEY: &[u8] = b"servers";

/// Whether this node polls the platform now. The highest-ranked reachable node polls once the list is `interval` old;
/// each next node waits `step` longer, and so takes over if those above it fail to poll. Two nodes that poll at once
/// cost one extra call and do no other harm. `list_age`: none if the list was never read.
pub fn should_poll(
    local_node: NodeId,
    reachable: &[NodeId],
    list_age: Option<Millis>,
    interval: Millis,
    step: Millis,
) -> bool {
    let key = digest(RANK_KEY);
    let rank_of = |node: NodeId| rank(key, u64::from(node.as_u32()));
    let higher = reachable
        .iter()
        .filter(|node| rank_of(**node) > rank_of(local_node));
    let higher_count = higher.count() as f64;
    list_age.is_none_or(|age| age >= interval + higher_count * step)
}

/// How often the platform may and must be polled.
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    /// The time within which a draining server must receive no more requests.
    pub drain_time: Millis,
    /// How many calls a second the platform takes.
    pub calls_per_second: f64,
}

impl PollSchedule {
    fn interval(&self) -> Millis {
        let shortest = 1000.0 / (CALL_RATE_SHARE * self.calls_per_second);
        (POLL_INTERVAL_SHARE * self.drain_time).max(shortest)
    }
}

/// The list as this node knows it, and its polls.
pub struct ServerListPoller {
    list: ServerList,
    /// When the platform was last polled by any node, by this node's clock.
    last_polled: Option<Millis>,
    is_polling: bool,
    /// Asks the polling thread for the list.
    requests: Sender<SocketAddrV4>,
    failures: u32,
}

impl ServerListPoller {
    /// `requests`: read by the thread that polls the platform at that address.
    pub fn new(requests: Sender<SocketAddrV4>) -> ServerListPoller {
        ServerListPoller {
            list: ServerList::default(),
            last_polled: None,
            is_polling: false,
            requests,
            failures: 0,
        }
    }

    /// How long ago the platform was polled, milliseconds.
    pub fn age(&self, now: Millis) -> Option<u32> {
        self.last_polled.map(|at| age_ms(now, at))
    }

    /// Another node has reported the age of the last poll that it knows of, in milliseconds.
    pub fn observe_age(&mut self, now: Millis, age: Option<u32>) {
        if let Some(age) = age {
            self.observe_poll(now - f64::from(age));
        }
    }

    fn observe_poll(&mut self, polled_at: Millis) {
        let last = self.last_polled.unwrap_or(f64::NEG_INFINITY);
        self.last_polled = Some(last.max(polled_at));
    }

    /// Stores a list whose poll began at `polled_at`, if that is newer than the present one. Returns whether anything
    /// changed.
    pub fn update(&mut self, now: Millis, list: Vec<ServerInstance>, polled_at: Millis) -> bool {
        self.observe_poll(polled_at);
        self.list.replace(now, list, polled_at)
    }

    /// This node's poll has ended. Returns whether the list has changed.
    pub fn on_polled(
        &mut self,
        now: Millis,
        asked_at: Millis,
        result: Result<Vec<ServerInstance>, PlatformError>,
    ) -> bool {
        self.is_polling = false;
        match result {
            Ok(list) => {
                self.failures = 0;
                self.update(now, list, asked_at)
            }
            Err(error) => {
                self.failures += 1;
                let failures = self.failures;
                log::warn!("event=server_list_not_read failures={failures} why=\"{error}\"");
                // Waits a full interval before the next poll: all nodes share the platform's call rate.
                self.last_polled = Some(now);
                false
            }
        }
    }

    /// Polls the platform if a poll is due and it is this node's turn.
    pub fn poll_if_due(
        &mut self,
        now: Millis,
        platform: Option<SocketAddrV4>,
        schedule: PollSchedule,
        local_node: NodeId,
        reachable: &[NodeId],
    ) {
        let Some(platform) = platform.filter(|_| !self.is_polling) else {
            return;
        };
        let age = self.last_polled.map(|at| now - at);
        let interval = schedule.interval();
        if should_poll(local_node, reachable, age, interval, TAKEOVER_STEP) {
            self.is_polling = self.requests.try_send(platform).is_ok();
        }
    }

    /// The list for other control nodes, if there is one.
    pub fn peer_message(&self, now: Millis) -> Option<PeerMessage> {
        let polled_at = self.list.polled_at?;
        Some(PeerMessage::Servers {
            age: age_ms(now, polled_at),
            list: self.list.snapshot(now),
        })
    }

    /// The list for agents, if there is one.
    pub fn section(&self, now: Millis) -> Option<StateSection> {
        let polled_at = self.list.polled_at?;
        Some(StateSection::Servers {
            age_ms: age_ms(now, polled_at),
            list: self.list.snapshot(now),
        })
    }
}

fn age_ms(now: Millis, at: Millis) -> u32 {
    (now - at).max(0.0) as u32
}
