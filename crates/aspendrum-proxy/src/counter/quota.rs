//! The limit of a counter's window, chosen so that no time span exceeds the tenant's quota and its tolerance.

use aspendrum_core::api::Millis;

/// The quota of one tenant, as granted by its counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second.
    pub rate: f64,
    /// Units per window.
    pub burst: f64,
    /// The length of a window, in milliseconds.
    pub window: Millis,
}

/// The tolerance above a tenant's quota in any time span: `excess` of the quota, plus `slack`.
#[derive(Clone, Copy, Debug)]
pub struct QuotaTolerance {
    /// The length of the span, in seconds.
    pub span_s: f64,
    /// A fraction of the quota in that span.
    pub excess: f64,
    /// Additional units.
    pub slack: f64,
}

/// The fraction of the tolerance that windows may grant. The rest is reserved for isolated proxies, which admit
/// requests by their local share of the quota.
const WINDOW_TOLERANCE_FRACTION: f64 = 0.3;
/// The minimum length of a window, in seconds. With shorter windows, random arrivals alone exceed the window of
/// a tenant that stays well within its quota.
const MIN_WINDOW_S: f64 = 0.5;
/// The maximum length of a window, in seconds: one day. Without it, the window of the lowest rates would be infinite, and
/// their rate 0.
const MAX_WINDOW_S: f64 = 86_400.0;

impl Quota {
    /// Returns the quota of a tenant with this configured rate and burst; `None` if the rate is 0, which means no limit.
    ///
    /// The window is `burst / rate`, within bounds. The limit per window is chosen so that no
    /// span of `tolerance.span_s` seconds, at whatever offset to the windows, exceeds
    /// `(span * rate + burst) * (1 + excess) + slack`, where excess and slack are multiplied by
    /// `WINDOW_TOLERANCE_FRACTION`. A span overlaps at most `span / window + 1` windows.
    pub fn with_tolerance(rate: f64, burst: f64, tolerance: &QuotaTolerance) -> Option<Quota> {
        let burst = if burst > 0.0 { burst } else { rate };
        if rate <= 0.0 {
            return None;
        }
        let window = (burst / rate).clamp(MIN_WINDOW_S, MAX_WINDOW_S);
        let allowed = (tolerance.span_s * rate + burst)
            * (1.0 + WINDOW_TOLERANCE_FRACTION * tolerance.excess)
            + WINDOW_TOLERANCE_FRACTION * tolerance.slack;
        let burst = allowed / (tolerance.span_s / window + 1.0);
        Some(Quota {
            rate: burst / window,
            burst,
            window: window * 1000.0,
        })
    }
}
