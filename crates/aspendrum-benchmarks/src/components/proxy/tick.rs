//! Periodic work of an idle dispatcher, as a share of a CPU core.

use super::fixture::{config_section, new_dispatcher, servers_section};
use crate::figure::FigureLine;
use crate::fleet_data::{config_text, proxies, servers};
use crate::fleet_size::FleetSize;
use crate::measure::{thread_cpu_ms, Samples};
use aspendrum_model::message::StateSection;
use aspendrum_proxy::dispatcher::TICK_MS;
use std::thread::sleep;
use std::time::{Duration, Instant};

const MEASUREMENT_TIME: Duration = Duration::from_secs(2);
/// The cost of a tick does not depend on the number of tenants.
const TENANTS: usize = 50;
const SLOW_START_LEFT_MS: u32 = 60_000;

/// Measures ticks while `slow_starting` servers are in slow start.
pub(super) fn measure(size: &FleetSize, slow_starting: usize) {
    let dispatcher = new_dispatcher();
    let few_tenants = FleetSize {
        tenants: TENANTS,
        ..*size
    };
    let text = config_text(&few_tenants, size.services, 1);
    dispatcher.apply(config_section(&text, 1));
    let mut list = servers(size);
    for server in list.iter_mut().take(slow_starting) {
        server.slow_start_left_ms = SLOW_START_LEFT_MS;
    }
    dispatcher.apply(servers_section(list));
    dispatcher.apply(StateSection::Proxies(proxies(size.limiters)));
    let (started_at, cpu_before, mut times) = (Instant::now(), thread_cpu_ms(), Vec::new());
    while started_at.elapsed() < MEASUREMENT_TIME {
        sleep(Duration::from_secs_f64(TICK_MS / 1000.0));
        let tick_started_at = thread_cpu_ms();
        dispatcher.tick();
        times.push(thread_cpu_ms() - tick_started_at);
    }
    // The share is computed from the configured tick interval, because a thread that waits for a core ticks less often.
    let cpu_per_tick = (thread_cpu_ms() - cpu_before) / times.len() as f64;
    FigureLine::new("proxy.beat")
        .with("servers", size.servers)
        .with("limiters", size.limiters)
        .with("cold", slow_starting)
        .with("beats", times.len())
        .milliseconds("beat", &Samples::new(times))
        .number("core_share", cpu_per_tick / TICK_MS)
        .print();
}
