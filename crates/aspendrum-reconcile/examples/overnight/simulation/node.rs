//! A simulated machine with an agent and a proxy.

use super::faults::NodeFaults;
use super::{digest_of, Variant, APPLY_LIMIT, STRETCH_LIMIT, TABLE_DIGEST_INTERVAL};
use aspendrum_gossip::GossipNode;
use aspendrum_model::message::StateDigest;
use aspendrum_reconcile::{
    MajorityReport, Millis, Repair, RepairStep, ReportValidity, Section, SyncAssessment, SyncStatus,
};
use std::net::Ipv4Addr;

/// The last digest that a proxy computed of its tables.
pub(crate) struct TableDigest {
    pub(crate) computed_at: Millis,
    pub(crate) digest: StateDigest,
}

/// A period during which a node has not applied the decided state.
pub(crate) struct OutOfSync {
    pub(crate) since: Millis,
    /// When the node first rejected non-idempotent requests in this period.
    pub(crate) rejecting_since: Option<Millis>,
}

pub(crate) struct Node {
    pub(crate) gossip: GossipNode,
    repair: Repair,
    /// The state that the agent holds.
    pub(crate) held: StateDigest,
    /// The latest time at which a majority is known to have held no newer state.
    pub(crate) confirmed_as_of: Option<Millis>,
    /// The digest of the proxy's current tables.
    pub(crate) tables: StateDigest,
    table_digest: TableDigest,
    pub(crate) corrupt_since: Option<Millis>,
    pub(crate) out_of_sync: Option<OutOfSync>,
    pub(crate) assessment: SyncAssessment,
    pub(crate) faults: NodeFaults,
}

impl Node {
    pub(crate) fn new(ip: Ipv4Addr, other_agents: &[Ipv4Addr], seed: u64) -> Node {
        let mut gossip = GossipNode::new(ip, seed);
        gossip.add_known_agents(other_agents);
        Node {
            gossip,
            repair: Repair::default(),
            held: digest_of(1),
            confirmed_as_of: Some(0.0),
            tables: digest_of(1),
            table_digest: TableDigest {
                computed_at: 0.0,
                digest: digest_of(1),
            },
            corrupt_since: None,
            out_of_sync: None,
            assessment: SyncAssessment::UNKNOWN,
            faults: NodeFaults::default(),
        }
    }

    pub(crate) fn confirm(&mut self, as_of: Millis) {
        self.confirmed_as_of = Some(self.confirmed_as_of.map_or(as_of, |known| known.max(as_of)));
    }

    /// Runs one step of the proxy: the agent updates and repairs it, and the proxy computes its digest and its
    /// assessment.
    pub(crate) fn update_proxy(&mut self, now: Millis, variant: Variant) {
        if now >= self.faults.agent_down_until {
            self.update_from_agent(now, variant);
        } else if now - self.table_digest.computed_at >= TABLE_DIGEST_INTERVAL {
            // Without its agent, the proxy keeps its last assessment but compares its tables with the received updates.
            self.compute_digest(now);
            if self.table_digest.digest != self.intact_tables() {
                self.assessment.status = SyncStatus::Diverged;
            }
        }
        let is_corrupt = self.tables != self.intact_tables();
        self.corrupt_since = is_corrupt.then(|| self.corrupt_since.unwrap_or(now));
    }

    /// Returns the digest that the tables of this version have unless they are corrupt.
    fn intact_tables(&self) -> StateDigest {
        let version = self.tables.revision.config;
        version.map(digest_of).unwrap_or_default()
    }

    fn update_from_agent(&mut self, now: Millis, variant: Variant) {
        let validity = ReportValidity::from_limits(APPLY_LIMIT, STRETCH_LIMIT);
        let updates_arrive = now >= self.faults.updates_to_proxy_until;
        // An update is sent once. Later differences are detected by their digest and repaired.
        if updates_arrive && self.held.revision != self.tables.revision {
            self.apply_held(now);
        }
        let held = MajorityReport {
            decided: self.held,
            as_of: now,
        };
        let applied = self.table_digest.digest;
        let status = SyncAssessment::new(&applied, Some(&held), false, &validity).status;
        let differing = Section::differing(&applied, &self.held);
        let step = self.repair.next_step(now, status, &differing);
        if updates_arrive && step.is_some_and(|step| step != RepairStep::Alert) {
            self.apply_held(now);
        }
        if now - self.table_digest.computed_at >= TABLE_DIGEST_INTERVAL {
            self.compute_digest(now);
        }
        let half_isolated = self.gossip.half_of_agents_isolated(now);
        let report = self.confirmed_as_of.map(|as_of| MajorityReport {
            decided: self.held,
            as_of,
        });
        let applied = &self.table_digest.digest;
        self.assessment = match variant {
            Variant::Correct => {
                SyncAssessment::new(applied, report.as_ref(), half_isolated, &validity)
            }
            Variant::TrustsUpdates => SyncAssessment {
                status: SyncStatus::Current,
                valid_until: f64::INFINITY,
            },
        };
    }

    fn apply_held(&mut self, now: Millis) {
        self.tables = self.held;
        self.compute_digest(now);
    }

    fn compute_digest(&mut self, now: Millis) {
        self.table_digest = TableDigest {
            computed_at: now,
            digest: self.tables,
        };
    }
}
