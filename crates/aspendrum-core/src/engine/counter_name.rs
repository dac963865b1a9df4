//! Names in the shared counter. The low bits hold the tenant's id; the high bits hold the window's
//! number if the tenant is counted per window.

use crate::api::{Millis, TenantId};

/// How long the shared counter keeps a name. This is the longest that it allows: when an expired
/// name is created again, the units that other instances added just before are lost.
const NAME_TTL: Millis = 60_000.0;
/// How much longer than its window a window's name is kept. It covers the latency to the counter.
const WINDOW_NAME_GRACE: Millis = 1000.0;
/// The number of low bits of a counter name that hold the tenant's id.
const TENANT_ID_BITS: u32 = 40;
const TENANT_ID_MASK: u64 = (1 << TENANT_ID_BITS) - 1;
const WINDOW_MASK: u64 = (1 << (64 - TENANT_ID_BITS)) - 1;

/// Returns the tenant that a counter name belongs to.
pub(crate) fn tenant_of_name(name: u64) -> TenantId {
    name & TENANT_ID_MASK
}

/// Whether the name is that of one of a tenant's windows, rather than of a tenant's whole count.
pub(crate) fn is_window_name(name: u64) -> bool {
    name >> TENANT_ID_BITS > 0
}

/// Whether the tenant's id fits into a counter name.
pub(crate) fn fits_counter_name(id: TenantId) -> bool {
    id >> TENANT_ID_BITS == 0
}

/// A name in the shared counter and its time to live.
pub(crate) struct CounterName {
    pub(crate) name: u64,
    pub(crate) ttl: Millis,
}

impl CounterName {
    /// Returns the name of a tenant's whole count.
    pub(crate) fn of_tenant(id: TenantId) -> Self {
        CounterName {
            name: id,
            ttl: NAME_TTL,
        }
    }

    /// Returns the name of a tenant's count in a window of the given length.
    pub(crate) fn of_window(id: TenantId, window: f64, length: Millis) -> Self {
        let window = (window as u64 + 1) & WINDOW_MASK;
        CounterName {
            name: window << TENANT_ID_BITS | id,
            ttl: length + WINDOW_NAME_GRACE,
        }
    }
}
