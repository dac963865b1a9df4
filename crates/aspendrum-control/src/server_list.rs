//! The platform's list of servers. One control node at a time polls the platform and sends the list to the others.

use crate::errors::PlatformError;
use crate::peer_message::PeerMessage;
use aspendrum_consensus::{Millis, NodeId};
use aspendrum_model::hash::{digest, rendezvous_weight};
use aspendrum_model::message::StateSection;
use aspendrum_model::servers::{ServerInstance, ServerList};
use crossbeam_channel::Sender;
use std::net::SocketAddrV4;

/// The poll interval, as a fraction of the time after which a draining server must not receive requests.
const POLL_INTERVAL_SHARE: f64 = 0.25;
/// The additional age of the list, per rank, before a lower-ranked node takes over polling.
const TAKEOVER_DELAY: Millis = 600.0;
/// The maximum fraction of the platform's call rate that polls may use.
const CALL_RATE_SHARE: f64 = 0.5;
/// The key for the rendezvous hash that ranks the nodes for polling.
const RANK_KEY: &[u8] = b"servers";

/// Returns whether this node should poll the platform now. The highest-ranked reachable node polls once the list is
/// `interval` old. Each lower rank waits `takeover_delay` longer, and so takes over if the nodes above it fail to poll.
/// Concurrent polls by two nodes are harmless except for the extra call. `list_age` is `None` if the list was never
/// read.
pub fn should_poll(
    local_node: NodeId,
    reachable: &[NodeId],
    list_age: Option<Millis>,
    interval: Millis,
    takeover_delay: Millis,
) -> bool {
    let key = digest(RANK_KEY);
    let rank_of = |node: NodeId| rendezvous_weight(key, u64::from(node.as_u32()));
    let higher = reachable
        .iter()
        .filter(|node| rank_of(**node) > rank_of(local_node));
    let higher_count = higher.count() as f64;
    list_age.is_none_or(|age| age >= interval + higher_count * takeover_delay)
}

/// The requirements from which the poll interval is derived.
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    /// The time after which a draining server must not receive requests.
    pub drain_time: Millis,
    /// The call rate that the platform allows, in calls per second.
    pub calls_per_second: f64,
}

impl PollSchedule {
    fn interval(&self) -> Millis {
        let min_interval = 1000.0 / (CALL_RATE_SHARE * self.calls_per_second);
        (POLL_INTERVAL_SHARE * self.drain_time).max(min_interval)
    }
}

/// The latest list known to this node, and the state of its polls.
pub struct ServerListPoller {
    list: ServerList,
    /// When any node last polled the platform, on this node's clock.
    last_polled: Option<Millis>,
    is_polling: bool,
    /// Requests a poll from the polling thread.
    requests: Sender<SocketAddrV4>,
    failures: u32,
}

impl ServerListPoller {
    /// Creates a poller without a list. `requests` is read by the polling thread, which polls the platform once at each
    /// address that it receives.
    pub fn new(requests: Sender<SocketAddrV4>) -> ServerListPoller {
        ServerListPoller {
            list: ServerList::default(),
            last_polled: None,
            is_polling: false,
            requests,
            failures: 0,
        }
    }

    /// Returns the time in milliseconds since the platform was last polled; `None` if it never was.
    pub fn age(&self, now: Millis) -> Option<u32> {
        self.last_polled.map(|at| age_ms(now, at))
    }

    /// Handles the age in milliseconds of the last poll that another node has observed.
    pub fn observe_age(&mut self, now: Millis, age: Option<u32>) {
        if let Some(age) = age {
            self.observe_poll(now - f64::from(age));
        }
    }

    fn observe_poll(&mut self, polled_at: Millis) {
        let last = self.last_polled.unwrap_or(f64::NEG_INFINITY);
        self.last_polled = Some(last.max(polled_at));
    }

    /// Stores a list whose poll started at `polled_at` if it is newer than the current one. Returns whether the list
    /// has changed.
    pub fn update(&mut self, now: Millis, list: Vec<ServerInstance>, polled_at: Millis) -> bool {
        self.observe_poll(polled_at);
        self.list.replace(now, list, polled_at)
    }

    /// Handles the result of this node's poll, which started at `started_at`. Returns whether the list has changed.
    pub fn on_polled(
        &mut self,
        now: Millis,
        started_at: Millis,
        result: Result<Vec<ServerInstance>, PlatformError>,
    ) -> bool {
        self.is_polling = false;
        match result {
            Ok(list) => {
                self.failures = 0;
                self.update(now, list, started_at)
            }
            Err(error) => {
                self.failures += 1;
                let failures = self.failures;
                log::warn!("event=server_list_not_read failures={failures} why=\"{error}\"");
                // A failed poll also counts as a poll, so that the next one is a full interval later: all nodes share
                // the platform's call rate.
                self.last_polled = Some(now);
                false
            }
        }
    }

    /// Requests a poll if one is due and it is this node's turn.
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
        if should_poll(local_node, reachable, age, interval, TAKEOVER_DELAY) {
            self.is_polling = self.requests.try_send(platform).is_ok();
        }
    }

    /// Returns the message that sends the list to other control nodes; `None` without a list.
    pub fn peer_message(&self, now: Millis) -> Option<PeerMessage> {
        let polled_at = self.list.polled_at?;
        Some(PeerMessage::Servers {
            age: age_ms(now, polled_at),
            list: self.list.snapshot(now),
        })
    }

    /// Returns the section that sends the list to agents; `None` without a list.
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
