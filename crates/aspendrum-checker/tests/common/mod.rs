//! Bounds shared by the tests.

use aspendrum_checker::system::{Quota, RuleBounds};

/// Bounds of the rules, with no bound for the revocation of credentials.
pub(crate) const BOUNDS: RuleBounds = RuleBounds {
    contact: 4000.0,
    apply: 3000.0,
    revoke: None,
    evac: 5000.0,
    loss: 200.0,
    quota: Quota {
        rate: 0.0,
        burst: 0.0,
    },
    quota_window: 5000.0,
    quota_excess: 0.1,
    quota_slack: 2.0,
};
