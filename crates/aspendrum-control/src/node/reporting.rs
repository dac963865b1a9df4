//! The reports for operators.

use super::ControlNode;
use crate::event::ReportQuery;
use crate::report::{self, MembershipReport};
use serde_json::Value;

impl ControlNode {
    pub(super) fn report(&self, query: &ReportQuery) -> Value {
        match query {
            ReportQuery::Nodes => self.report_nodes(),
            ReportQuery::Explain { host, path } => {
                report::explain(self.decided.versions(), host, path)
            }
        }
    }

    pub(super) fn report_nodes(&self) -> Value {
        let now = self.clock.now();
        let replica = self.replica.replica();
        let epoch = replica.epoch();
        let membership = MembershipReport {
            epoch: epoch.number,
            voters: epoch.voters.nodes().map(|node| node.to_string()).collect(),
            control_nodes: self.peers.nodes().map(|node| node.to_string()).collect(),
            has_joined: replica.has_joined(),
        };
        let majority_age = self.replica.majority_age(now).map(|age| age as u64);
        let nodes = self.agents.report(now);
        let decided = self.decided.digest();
        report::nodes(
            &self.settings.host_name,
            &decided,
            majority_age,
            &nodes,
            &membership,
        )
    }
}
