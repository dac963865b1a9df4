//! The desired state of agents, split into sections. A section is sent to an agent when it changes.

use crate::decided::MAX_MAJORITY_AGE;
use aspendrum_consensus::{Millis, ReplicatedState};
use aspendrum_model::message::{ControlAddress, ProxyEndpoint, StateSection};

/// The state from which the sections are built.
pub struct SectionSources<'a> {
    /// The committed state that this node has published.
    pub committed: &'a ReplicatedState,
    /// The time since the last time at which a majority of disks held nothing newer; `None` before the first quorum
    /// read.
    pub majority_age: Option<Millis>,
    /// The server list of the platform; `None` until it has been polled.
    pub servers: Option<StateSection>,
    /// Whether this node has been up long enough to have received the proxy tables of all reachable control nodes.
    pub has_collected_proxies: bool,
    /// The proxies of all reachable control nodes.
    pub proxies: &'a [ProxyEndpoint],
    /// The addresses of the control nodes.
    pub control: Vec<ControlAddress>,
}

impl SectionSources<'_> {
    /// Returns the sections in the order in which they are sent.
    pub fn sections(self) -> Vec<StateSection> {
        let mut sections = Vec::new();
        // Before the first quorum read, the local state may be older than what another node has sent to an agent.
        if self.majority_age.is_some() {
            if let Some(config) = &self.committed.config {
                let text = config.compressed_text.clone();
                sections.push(StateSection::config(config.version, text));
            }
            let evacuated = self.committed.evacuated_zones();
            sections.push(StateSection::EvacuatedZones {
                revision: evacuated.revision,
                zones: evacuated.zones,
            });
        }
        sections.extend(self.servers);
        // Without a recent quorum read this node may be partitioned and know only the proxies of its own agents. The
        // section is then omitted, so that agents keep their table instead of losing the other proxies.
        let is_recent = self.majority_age.is_some_and(|age| age <= MAX_MAJORITY_AGE);
        if is_recent && self.has_collected_proxies && !self.proxies.is_empty() {
            sections.push(StateSection::Proxies(self.proxies.to_vec()));
        }
        sections.push(StateSection::ControlNodes(self.control));
        sections
    }
}
