//! Command-line options of the simulated fleet: its size and the events of a run.

use crate::fleet_size::FleetSize;
use bpaf::Bpaf;

/// Size of the fleet and events of the run
#[derive(Clone, Debug, Bpaf)]
pub struct Plan {
    /// Number of control processes
    #[bpaf(long("controls"), argument("N"), fallback(4))]
    pub control_nodes: usize,
    /// Number of simultaneous disk losses that control must tolerate
    #[bpaf(long("losses"), argument("N"), fallback(1))]
    pub tolerated_losses: usize,
    /// Number of simulated agents
    #[bpaf(long("agents"), argument("N"), fallback(30))]
    pub agents: usize,
    /// Number of additional real limiters, each a proxy process and an agent process
    #[bpaf(long("whole"), argument("N"), fallback(0))]
    pub limiters: usize,
    /// Bandwidth between each real limiter and control in Mbit/s; 0 for unlimited
    #[bpaf(long("mbps"), argument("MBIT"), fallback(0.0))]
    pub bandwidth_mbps: f64,
    /// Number of servers over all services
    #[bpaf(long("servers"), argument("N"), fallback(230))]
    pub servers: usize,
    /// Number of services
    #[bpaf(long("services"), argument("N"), fallback(16))]
    pub services: usize,
    /// Number of routes in the configuration
    #[bpaf(long("routes"), argument("N"), fallback(100))]
    pub routes: usize,
    /// Number of tenants in the configuration
    #[bpaf(long("tenants"), argument("N"), fallback(500))]
    pub tenants: usize,
    /// One-way delay between control processes in milliseconds
    #[bpaf(long("delay-ms"), argument("MS"), fallback(0.0))]
    pub control_delay_ms: f64,
    /// Response delay of the platform for a page of the server list in milliseconds
    #[bpaf(long("page-ms"), argument("MS"), fallback(1))]
    pub page_delay_ms: u64,
    /// Rate limit of the platform in calls per second
    #[bpaf(long("rate"), argument("N"), fallback(300.0))]
    pub platform_calls_per_s: f64,
    /// Interval between agent starts in milliseconds; 0 to start all at once, as after a complete outage
    #[bpaf(long("every-ms"), argument("MS"), fallback(0))]
    pub agent_start_interval_ms: u64,
    /// Duration of each idle observation and of each traffic run in seconds
    #[bpaf(long("seconds"), argument("S"), fallback(8))]
    pub seconds: u64,
    /// Comma-separated traffic rates through the first real limiter in requests per second
    #[bpaf(long("traffic"), argument("RATES"), fallback("67,300".into()))]
    pub traffic_rates: String,
    /// Number of configuration changes
    #[bpaf(long("changes"), argument("N"), fallback(5))]
    pub changes: u32,
}

impl Plan {
    /// Returns the size of the fleet.
    pub fn size(&self) -> FleetSize {
        FleetSize {
            limiters: self.agents,
            servers: self.servers,
            services: self.services,
            routes: self.routes,
            tenants: self.tenants,
        }
    }

    /// Returns the traffic rates in requests per second. Values that are not positive numbers are ignored.
    pub(super) fn traffic_rates(&self) -> impl Iterator<Item = f64> + '_ {
        let rates = self.traffic_rates.split(',');
        rates
            .filter_map(|rate| rate.parse::<f64>().ok())
            .filter(|rate| *rate > 0.0)
    }
}
