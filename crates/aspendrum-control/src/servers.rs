//! The platform's list of servers: one machine of control reads it at a time and tells the others.

use crate::directory;
use crate::peer_message::PeerMessage;
use crate::server::{Ms, Server};
use aspendrum_consensus::Place;
use aspendrum_model::message::StateSection;
use aspendrum_model::servers::{ServerInstance as Origin, ServerList};
use crossbeam_channel::Sender;
use std::net::SocketAddrV4;
use std::time::Instant;

/// Of the time in which a draining server must be left, what passes between two looks at the list at most.
const POLL_SHARE: f64 = 0.25;
/// How much later the next machine steps in when the list has grown old.
const POLL_STEP: Ms = 600.0;
/// Of the platform's calls a second, what is taken at the most.
const RATE_SHARE: f64 = 0.5;

pub struct Servers {
    roster: ServerList,
    /// When the platform's list was last read by anyone, by this clock.
    polled: Option<Ms>,
    polling: bool,
    poll: Sender<SocketAddrV4>,
    failures: u32,
}

impl Servers {
    pub fn new(poll: Sender<SocketAddrV4>) -> Servers {
        Servers {
            roster: ServerList::default(),
            polled: None,
            polling: false,
            poll,
            failures: 0,
        }
    }

    /// How long ago the list was read, milliseconds.
    pub fn age(&self, now: Ms) -> Option<u32> {
        self.polled.map(|at| (now - at).max(0.0) as u32)
    }

    /// Another machine says how old its list is.
    pub fn heard_age(&mut self, now: Ms, age: Option<u32>) {
        if let Some(age) = age {
            self.read_at(now - f64::from(age));
        }
    }

    fn read_at(&mut self, at: Ms) {
        self.polled = Some(self.polled.unwrap_or(f64::NEG_INFINITY).max(at));
    }

    /// What another machine is told of the list, if there is one.
    pub fn message(&self, now: Ms) -> Option<PeerMessage> {
        let polled = self.roster.polled_at?;
        Some(PeerMessage::Servers {
            age: (now - polled).max(0.0) as u32,
            list: self.roster.snapshot(now),
        })
    }

    /// What agents are told of it.
    pub fn part(&self, now: Ms) -> Option<StateSection> {
        let polled = self.roster.polled_at?;
        Some(StateSection::Servers {
            age_ms: (now - polled).max(0.0) as u32,
            list: self.roster.snapshot(now),
        })
    }
}

impl Server {
    /// The platform was asked for the list by this machine.
    pub(crate) fn polled(&mut self, asked: Instant, list: Result<Vec<Origin>, String>) {
        self.servers.polling = false;
        let (now, at) = (self.now(), self.at(asked));
        match list {
            Ok(list) => {
                self.servers.failures = 0;
                self.take_servers(list, at, true);
            }
            Err(why) => {
                self.servers.failures += 1;
                log::warn!(
                    "event=list_not_read failures={} why=\"{why}\"",
                    self.servers.failures
                );
                // Not at once again: the rate is shared by all.
                self.servers.polled = Some(now);
            }
        }
    }

    /// Takes in a list that the platform was asked for at `polled`. `own`: by this machine.
    pub(crate) fn take_servers(&mut self, list: Vec<Origin>, polled: Ms, own: bool) {
        self.servers.read_at(polled);
        let now = self.now();
        if !self.servers.roster.replace(now, list, polled) {
            return;
        }
        if let Some(message) = self.servers.message(now).filter(|_| own) {
            self.say_all(&message);
        }
        self.tell_agents();
    }

    pub(crate) fn poll_if_due(&mut self, now: Ms) {
        let Some(cloud) = self
            .settings
            .cloud_api_addr
            .filter(|_| !self.servers.polling)
        else {
            return;
        };
        let live: Vec<Place> = self.peers.up(now).map(|p| *p.0).collect();
        let every = (POLL_SHARE * self.settings.drain_deadline_ms)
            .max(1000.0 / (RATE_SHARE * self.settings.cloud_api_rate));
        let age = self.servers.polled.map(|at| now - at);
        let due = directory::polls(self.me, &live, age, every, POLL_STEP);
        if due && self.servers.poll.try_send(cloud).is_ok() {
            self.servers.polling = true;
        }
    }
}
