//! What the judge's tests share.

use aspendrum_checker::system::Bounds;

/// Terms without a bound on keys that were taken away.
pub(crate) const BOUNDS: Bounds = Bounds {
    contact: 4000.0,
    apply: 3000.0,
    revoke: None,
    evac: 5000.0,
    loss: 200.0,
    quota: (0.0, 0.0),
    quota_win: 5000.0,
    quota_excess: 0.1,
    quota_slack: 2.0,
};
