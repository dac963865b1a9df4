//! A proxy's dispatcher and its decision engine: what it costs to apply decided state, to know many servers, and to
//! decide on a request.

mod admission;
mod apply;
mod counter;
mod fixture;
mod tick;

use crate::fleet_size::{FleetSize, GRADES, TARGET, ZONES};

/// The most tenants with which admission is measured below the target.
const ADMISSION_TENANTS: usize = 500;
/// Tenants of which it is counted where their counters are.
const COUNTED_TENANTS: usize = 3_000;

pub(super) fn run() {
    for size in GRADES {
        tick::measure(&size, 0);
        admission::measure(&FleetSize {
            tenants: ADMISSION_TENANTS,
            ..size
        });
        counter::measure(&size);
    }
    // One zone comes back, and its servers are in slow start.
    tick::measure(&TARGET, TARGET.servers / ZONES);
    admission::measure(&TARGET);
    for size in GRADES {
        admission::measure_remote_counters(&FleetSize {
            tenants: COUNTED_TENANTS,
            ..size
        });
    }
    admission::measure_blocked_pools();
    for size in GRADES {
        apply::measure(&size);
    }
}
