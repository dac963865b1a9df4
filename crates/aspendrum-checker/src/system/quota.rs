//! The rule QUOTA: in no window do more requests of a tenant run than its quota allows, whether proxies are connected
//! or not.

use super::breach::Breach;
use super::record::{Attempt, Record, RuleBounds};
use crate::Millis;
use std::collections::HashMap;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// An execution that counts against a quota.
#[derive(Clone, Copy)]
struct Counted {
    started_at: Millis,
    sent_at: Millis,
}

/// Checks the quotas of all tenants.
pub(super) fn check_quotas(
    record: &Record,
    attempts: &HashMap<u64, &Attempt>,
    breaches: &mut Vec<Breach>,
) {
    let bounds = &record.bounds;
    if bounds.quota.rate <= 0.0 {
        return;
    }
    let allowed = allowed_in_window(bounds);
    let mut by_tenant: HashMap<usize, Vec<Counted>> = HashMap::new();
    for execution in &record.executions {
        if let Some(attempt) = attempts.get(&execution.id) {
            let counted = Counted {
                started_at: execution.started_at,
                sent_at: attempt.sent_at,
            };
            by_tenant.entry(attempt.tenant).or_default().push(counted);
        }
    }
    for (tenant, mut executions) in by_tenant {
        executions.sort_by(|a, b| a.started_at.total_cmp(&b.started_at));
        if let Some((at, count)) = find_excess(&executions, bounds.quota_window, allowed) {
            let description = format!(
                "tenant {tenant}: {count} requests ran in a window that allows {allowed:.0}"
            );
            breaches.push(Breach::new("QUOTA", at, description));
        }
    }
}

fn allowed_in_window(bounds: &RuleBounds) -> f64 {
    let quota = bounds.quota.rate * bounds.quota_window / MILLIS_PER_SECOND + bounds.quota.burst;
    quota * (1.0 + bounds.quota_excess) + bounds.quota_slack
}

/// Returns the end of the first window with more executions than allowed, and their number. Only executions that were
/// sent and started inside the window count.
fn find_excess(executions: &[Counted], window: Millis, allowed: f64) -> Option<(Millis, usize)> {
    for (index, last) in executions.iter().enumerate() {
        let start = last.started_at - window;
        let until_last = executions[..=index].iter().rev();
        let inside = until_last.take_while(|execution| execution.started_at > start);
        let count = inside.filter(|execution| execution.sent_at > start).count();
        if count as f64 > allowed {
            return Some((last.started_at, count));
        }
    }
    None
}
