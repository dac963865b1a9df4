//! Dispatcher and decision engine of a proxy: applying decided state, periodic work and request admission.

mod admission;
mod apply;
mod counter;
mod fixture;
mod tick;

use crate::fleet_size::{FleetSize, FLEET_SIZES, TARGET, ZONES};

/// The number of tenants in the admission benchmark of each fleet size. The target size is also measured with all of
/// its tenants.
const ADMISSION_TENANTS: usize = 500;
/// The number of tenants in the benchmark of remote counters.
const REMOTE_COUNTER_TENANTS: usize = 3_000;

pub(super) fn run() {
    for size in FLEET_SIZES {
        tick::measure(&size, 0);
        admission::measure(&FleetSize {
            tenants: ADMISSION_TENANTS,
            ..size
        });
        counter::measure(&size);
    }
    // The servers of one zone are in slow start, as after the zone has recovered.
    tick::measure(&TARGET, TARGET.servers / ZONES);
    admission::measure(&TARGET);
    for size in FLEET_SIZES {
        admission::measure_remote_counters(&FleetSize {
            tenants: REMOTE_COUNTER_TENANTS,
            ..size
        });
    }
    admission::measure_blocked_pools();
    for size in FLEET_SIZES {
        apply::measure(&size);
    }
}
