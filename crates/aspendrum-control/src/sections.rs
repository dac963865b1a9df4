//! The state that every agent should have, split into sections that are sent when they change.

use crate::decided::MAX_MAJORITY_AGE;
use aspendrum_consensus::{Millis, ReplicatedState};
use aspendrum_model::message::{ControlAddress, ProxyEndpoint, StateSection};

/// The sources of the sections.
pub struct SectionSources<'a> {
    /// What is committed, as far as this node has published it.
    pub committed: &'a ReplicatedState,
    /// How long ago a majority was known to hold nothing newer; none if it was never read.
    pub majority_age: Option<Millis>,
    /// The platform's list of servers, if it is known.
    pub servers: Option<StateSection>,
    /// Whether this node has been up long enough to hear of the proxies of all reachable control nodes.
    pub has_gathered: bool,
    /// All known proxies.
    pub proxies: &'a [ProxyEndpoint],
    /// Where the control nodes are.
    pub control: Vec<ControlAddress>,
}

impl SectionSources<'_> {
    /// The sections, in the order in which they are sent.
    pub fn sections(self) -> Vec<StateSection> {
        let mut sections = Vec::new();
        // Until a majority was read, this node's state may be older than the state that another node sent an agent.
        if self.majority_age.is_some() {
            let config = &self.committed.config;
            if config.version > 0 {
                let text = config.compressed_text.clone();
                sections.push(StateSection::config(config.version, text));
            }
            let evacuated = self.committed.evacuated_zones();
            sections.push(StateSection::Evacuated {
                revision: evacuated.revision,
                zones: evacuated.zones,
            });
        }
        sections.extend(self.servers);
        // Without a recent majority this node may know only its own agents' proxies. Agents keep the table that they
        // have rather than lose the other proxies.
        let is_recent = self.majority_age.is_some_and(|age| age <= MAX_MAJORITY_AGE);
        if is_recent && self.has_gathered && !self.proxies.is_empty() {
            sections.push(StateSection::Proxies(self.proxies.to_vec()));
        }
        sections.push(StateSection::Control(self.control));
        sections
    }
}
