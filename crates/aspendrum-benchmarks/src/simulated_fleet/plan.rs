//! How large a simulated fleet is, and what happens to it: the options of the command line.

use crate::fleet_size::FleetSize;
use bpaf::Bpaf;

/// How large the fleet is, and what happens to it
#[derive(Clone, Debug, Bpaf)]
pub struct Plan {
    /// Control processes
    #[bpaf(long("controls"), argument("N"), fallback(4))]
    pub control_nodes: usize,
    /// Disks that may be lost at once, as the settings tell control
    #[bpaf(long("losses"), argument("N"), fallback(1))]
    pub tolerated_losses: usize,
    /// Simulated agents
    #[bpaf(long("agents"), argument("N"), fallback(30))]
    pub agents: usize,
    /// Real limiters beside them: a proxy process and its agent process each
    #[bpaf(long("whole"), argument("N"), fallback(0))]
    pub limiters: usize,
    /// Bandwidth from each real limiter to control, Mbit/s; 0: as much as loopback has
    #[bpaf(long("mbps"), argument("MBIT"), fallback(0.0))]
    pub bandwidth_mbps: f64,
    /// Servers of all services
    #[bpaf(long("servers"), argument("N"), fallback(230))]
    pub servers: usize,
    /// Services
    #[bpaf(long("services"), argument("N"), fallback(16))]
    pub services: usize,
    /// Routes of the configuration
    #[bpaf(long("routes"), argument("N"), fallback(100))]
    pub routes: usize,
    /// Tenants of the configuration
    #[bpaf(long("tenants"), argument("N"), fallback(500))]
    pub tenants: usize,
    /// One-way delay between control processes, milliseconds
    #[bpaf(long("delay-ms"), argument("MS"), fallback(0.0))]
    pub control_delay_ms: f64,
    /// From the call for a page to its answer at the platform, milliseconds
    #[bpaf(long("page-ms"), argument("MS"), fallback(1))]
    pub page_delay_ms: u64,
    /// The platform's rate limit, calls a second
    #[bpaf(long("rate"), argument("N"), fallback(300.0))]
    pub platform_calls_per_s: f64,
    /// Between the starts of two agents, milliseconds; 0: all at once, as after a loss of everything
    #[bpaf(long("every-ms"), argument("MS"), fallback(0))]
    pub agent_start_interval_ms: u64,
    /// For how long the idle fleet is observed, and each rate of traffic sent, seconds
    #[bpaf(long("seconds"), argument("S"), fallback(8))]
    pub seconds: u64,
    /// Requests a second through the first real limiter, one run each, separated by commas
    #[bpaf(long("traffic"), argument("RATES"), fallback("67,300".into()))]
    pub traffic_rates: String,
    /// Changes of the configuration
    #[bpaf(long("changes"), argument("N"), fallback(5))]
    pub changes: u32,
}

impl Plan {
    /// The size of the fleet.
    pub fn size(&self) -> FleetSize {
        FleetSize {
            limiters: self.agents,
            servers: self.servers,
            services: self.services,
            routes: self.routes,
            tenants: self.tenants,
        }
    }

    /// The rates of traffic, requests a second. What is not a positive number is left out.
    pub(super) fn traffic_rates(&self) -> impl Iterator<Item = f64> + '_ {
        let rates = self.traffic_rates.split(',');
        rates
            .filter_map(|rate| rate.parse::<f64>().ok())
            .filter(|rate| *rate > 0.0)
    }
}
