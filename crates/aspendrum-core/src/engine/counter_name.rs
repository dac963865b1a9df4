//! Names in the shared counter: a tenant's id, and above it the number of a window where the tenant
//! is counted by windows.

use crate::api::{Millis, TenantId};

/// How long the shared counter keeps a name. The longest that it allows: each rebirth hides what
/// others added just before.
const NAME_TTL: Millis = 60_000.0;
/// How much longer than its window a window's name lives: more than the way to the counter.
const WINDOW_NAME_GRACE: Millis = 1000.0;
/// Of a counter name, the low bits that hold the tenant's id; a window's number stands above them.
const TENANT_ID_BITS: u32 = 40;
const TENANT_ID_MASK: u64 = (1 << TENANT_ID_BITS) - 1;
const WINDOW_MASK: u64 = (1 << (64 - TENANT_ID_BITS)) - 1;

/// The tenant that a counter name belongs to.
pub(crate) fn tenant_of_name(name: u64) -> TenantId {
    name & TENANT_ID_MASK
}

/// The name of a window of a sparse tenant's count, not of a tenant's whole count.
pub(crate) fn is_window_name(name: u64) -> bool {
    name >> TENANT_ID_BITS > 0
}

/// Whether counter names have room for the tenant's id.
pub(crate) fn fits_counter_name(id: TenantId) -> bool {
    id >> TENANT_ID_BITS == 0
}

/// A name in the shared counter, and how long the counter is to keep it.
pub(crate) struct CounterName {
    pub(crate) name: u64,
    pub(crate) ttl: Millis,
}

impl CounterName {
    /// The name of a tenant's whole count.
    pub(crate) fn of_tenant(id: TenantId) -> Self {
        CounterName {
            name: id,
            ttl: NAME_TTL,
        }
    }

    /// The name of a tenant's count in a window of that length.
    pub(crate) fn of_window(id: TenantId, window: f64, length: Millis) -> Self {
        let window = (window as u64 + 1) & WINDOW_MASK;
        CounterName {
            name: window << TENANT_ID_BITS | id,
            ttl: length + WINDOW_NAME_GRACE,
        }
    }
}
