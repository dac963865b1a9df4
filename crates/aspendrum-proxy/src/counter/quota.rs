//! What a counter's window may grant, so that no span of time holds more than the tenant's quota and its tolerance.

use aspendrum_core::api::Millis;

/// The quota of one tenant, as its counter grants it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second.
    pub rate: f64,
    /// Units per window.
    pub burst: f64,
    /// Length of a window, in milliseconds.
    pub window: Millis,
}

/// What may be granted above a tenant's quota in any span of time: `excess` of the quota, and `slack` on top.
#[derive(Clone, Copy, Debug)]
pub struct QuotaTolerance {
    /// Length of the span, in seconds.
    pub span_s: f64,
    /// As a share of what the quota allows in that span.
    pub excess: f64,
    /// Units.
    pub slack: f64,
}

/// The share of the tolerance that windows grant. The rest is for proxies that are cut off and decide by their local
/// share.
const TOLERANCE_FOR_WINDOWS: f64 = 0.3;
/// With shorter windows random arrivals alone exceed the window of a tenant well within its quota.
const MIN_WINDOW_S: f64 = 0.5;

impl Quota {
    /// A window of `burst / rate`, and what each may grant so that no span of `tolerance.span_s` seconds, however it lies
    /// over the windows, holds more than `(span * rate + burst) * (1 + excess) + slack`, with `TOLERANCE_FOR_WINDOWS`
    /// of the excess and the slack. A span touches at most `span / window + 1` windows.
    pub fn within(rate: f64, burst: f64, tolerance: &QuotaTolerance) -> Quota {
        let burst = if burst > 0.0 { burst } else { rate };
        if rate <= 0.0 {
            return Quota {
                rate: 0.0,
                burst: 0.0,
                window: 0.0,
            };
        }
        let window = (burst / rate).max(MIN_WINDOW_S);
        let allowed = (tolerance.span_s * rate + burst)
            * (1.0 + TOLERANCE_FOR_WINDOWS * tolerance.excess)
            + TOLERANCE_FOR_WINDOWS * tolerance.slack;
        let burst = allowed / (tolerance.span_s / window + 1.0);
        Quota {
            rate: burst / window,
            burst,
            window: window * 1000.0,
        }
    }
}
