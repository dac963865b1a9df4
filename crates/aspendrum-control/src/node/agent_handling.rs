//! The agents that are connected to this node: their messages, the proxies behind them, and the updates that they are sent.

use super::{ControlNode, MAX_LAG_SHARE, PROXY_COLLECTION_TIME};
use crate::agents::{AgentChange, MajorityView};
use crate::decided::MAX_MAJORITY_AGE;
use crate::event::ConnectionId;
use crate::peer_message::PeerMessage;
use crate::sections::SectionSources;
use aspendrum_consensus::Millis;
use aspendrum_model::message::{ControlAddress, ToControl};

impl ControlNode {
    pub(super) fn on_agent_message(&mut self, id: ConnectionId, message: ToControl) {
        let now = self.clock.now();
        let majority_age = self.replica.majority_age(now);
        let view = MajorityView {
            decided: &self.decided,
            is_recent: majority_age.is_some_and(|age| age <= MAX_MAJORITY_AGE),
            report_validity: self.report_validity,
            max_lag: MAX_LAG_SHARE * self.settings.apply_deadline_ms,
        };
        match self.agents.on_message(now, id, message, &view) {
            AgentChange::Unchanged => {}
            AgentChange::ProxyChanged => self.on_local_proxies_changed(),
            AgentChange::Joined => {
                self.on_local_proxies_changed();
                self.update_agents();
            }
        }
    }

    /// Sends the proxies of the locally connected agents to the other control nodes, and merges the tables again.
    pub(super) fn on_local_proxies_changed(&mut self) {
        let proxies = PeerMessage::Proxies(self.agents.proxy_entries());
        self.peers.broadcast(&proxies);
        self.update_proxies();
    }

    /// Merges the proxy tables of this node and of all reachable control nodes.
    pub(super) fn update_proxies(&mut self) {
        let now = self.clock.now();
        let own = self.agents.proxy_entries();
        let tables = std::iter::once(&own).chain(self.peers.proxy_tables(now));
        if self.proxies.update(now, tables) {
            self.update_agents();
        }
    }

    pub(super) fn update_agents(&mut self) {
        let now = self.clock.now();
        let sources = SectionSources {
            committed: self.decided.state(),
            majority_age: self.replica.majority_age(now),
            servers: self.server_list.section(now),
            has_collected_proxies: now >= PROXY_COLLECTION_TIME,
            proxies: self.proxies.proxies(),
            control: self.control_addresses(now),
        };
        let sections = sources.sections();
        self.agents
            .send_updates(now, &sections, self.decided.report());
    }

    /// Returns the addresses of all known control nodes, this one first.
    pub(super) fn control_addresses(&self, now: Millis) -> Vec<ControlAddress> {
        let own = ControlAddress {
            ip: self.settings.ip,
            zone: self.settings.zone.clone(),
            is_reachable: self.shutdown.is_none(),
        };
        std::iter::once(own)
            .chain(self.peers.addresses(now))
            .collect()
    }
}
