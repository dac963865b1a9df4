//! The settings file of a process, as the platform writes it (JSON).
//!
//! [`Settings`] declares each setting with its path in the file, type, default and range. Fields of the file that are
//! not declared are ignored.

mod error;
mod value;

pub use error::{InvalidSetting, SettingsError};

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use value::find_setting;

/// The environment variable that holds the file's path.
pub const SETTINGS_VARIABLE: &str = "ASPENDRUM_SETTINGS";

/// Declares the settings, one a line: `field: type = "key.path", default or required, check of the range`.
macro_rules! settings {
    ($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident: $type:ty = $key_path:literal, $default:expr,
        $check:expr;)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name {
            $($(#[$field_doc])* pub $field: $type,)*
        }

        impl $name {
            /// Reads the text of a settings file.
            ///
            /// # Errors
            /// [`SettingsError::Syntax`] if it is not JSON, or [`SettingsError::Invalid`] with all settings that are wrong.
            pub fn read(text: &[u8]) -> Result<$name, SettingsError> {
                let document: Value = serde_json::from_slice(text).map_err(SettingsError::Syntax)?;
                let mut invalid = Vec::new();
                $(let $field: Option<$type> = find_setting(&document, $key_path, $default, $check, &mut invalid);)*
                match ($($field,)*) {
                    ($(Some($field),)*) if invalid.is_empty() => Ok($name { $($field,)* }),
                    _ => Err(SettingsError::Invalid(invalid)),
                }
            }
        }
    };
}

/// Stands for the default of a setting that has none.
fn required<T>() -> Option<T> {
    None
}

/// The check of a setting whose every value is allowed.
fn any<T>(_: &T) -> bool {
    true
}

fn positive(value: &f64) -> bool {
    *value > 0.0 && value.is_finite()
}

fn not_negative(value: &f64) -> bool {
    *value >= 0.0 && value.is_finite()
}

/// The exclusive upper limit of `tolerated_losses`.
const MAX_TOLERATED_LOSSES: u64 = 50;
/// The offsets of ports in the range that the machine keeps free; the last port of the range serves metrics.
const CONTROL_PORT: u16 = 0;
const COUNTER_PORT: u16 = 1;
const AGENT_PORT: u16 = 2;
const GOSSIP_PORT: u16 = 3;
const SNAPSHOT_PORT: u16 = 4;

settings! {
    /// The settings of a process. The platform writes the file before the process starts, and replaces it to change them.
    Settings {
        /// The machine's name.
        host_name: String = "self.host-name", required(), |name| !name.is_empty();
        /// The machine's address.
        ip: Ipv4Addr = "self.ip", required(), any;
        /// The zone that the machine is in.
        zone: String = "self.az", required(), |zone| !zone.is_empty();
        /// The region that the machine is in.
        region: String = "self.geo", required(), any;
        /// Whether the loss of this machine counts towards `tolerated_losses`.
        counts_as_loss: bool = "self.quorum", Some(false), any;
        /// Whether this is the first start of the whole system, on empty disks.
        is_first_start: bool = "self.init", Some(false), any;
        /// The directory on the machine's disk; `None`: it has no disk.
        data_dir: Option<String> = "self.datadir", Some(None), any;
        /// The most memory that the process may use, in MB.
        memory_limit_mb: u64 = "self.caps.mem-mb", Some(128), |megabytes| *megabytes > 0;
        /// The most descriptors that the process may open.
        max_open_files: u64 = "self.caps.nofile", Some(1024), |files| *files > 0;
        /// The address at which the proxy accepts clients.
        proxy_addr: Option<SocketAddrV4> = "net.binds.front", Some(None), any;
        /// The address at which the proxy answers readiness checks.
        readiness_addr: Option<SocketAddrV4> = "net.binds.readyz", Some(None), any;
        /// The address at which control takes operators' commands.
        operator_addr: Option<SocketAddrV4> = "net.binds.ctl", Some(None), any;
        /// The address at which control answers clients' lookups of proxies.
        directory_addr: Option<SocketAddrV4> = "net.binds.dir", Some(None), any;
        /// The ports that machines keep free for the system's own connections; the same on all machines.
        port_range: PortRange = "net.port-range", required(), |p| p.first > 0 && p.last >= p.first + SNAPSHOT_PORT;
        /// `operator_addr` of a few control nodes.
        seeds: Vec<SocketAddrV4> = "net.seeds", Some(Vec::new()), any;
        /// Addresses to connect to in place of a peer's or a server's own address: a forwarded port, or a link of the
        /// testbed.
        address_overrides: BTreeMap<SocketAddrV4, SocketAddrV4> = "net.ways", Some(BTreeMap::new()), any;
        /// The region of each zone.
        zone_regions: BTreeMap<String, String> = "net.zones", required(), |zones: &BTreeMap<_, _>| !zones.is_empty();
        /// The address at which the platform serves its list of servers.
        cloud_api_addr: Option<SocketAddrV4> = "plat.cloud-api.addr", Some(None), any;
        /// The calls a second that the platform takes from all processes together.
        cloud_api_rate: f64 = "plat.cloud-api.rate-s", Some(1.0), positive;
        /// How far the platform's list lags behind, in milliseconds.
        cloud_api_lag_ms: f64 = "plat.cloud-api.lag-ms", Some(0.0), not_negative;
        /// How many machines with a disk may be lost at once.
        tolerated_losses: u64 = "terms.tolerate.machs", Some(1), |losses| *losses < MAX_TOLERATED_LOSSES;
        /// The names of the deployment's optional requirements that are in force.
        contracts: BTreeSet<String> = "terms.contracts", Some(BTreeSet::new()), any;
        /// How long operators may retry a command other than a configuration, in milliseconds.
        command_timeout_ms: f64 = "terms.bounds.ack-ms", Some(5000.0), positive;
        /// For how long a machine still counts as lost after its return, in seconds.
        rejoin_s: f64 = "terms.bounds.sync-s", Some(4.0), positive;
        /// Within how many milliseconds a draining server receives no more requests.
        drain_deadline_ms: f64 = "terms.bounds.drain-ms", Some(3000.0), positive;
        /// How long a process has for its graceful shutdown, in seconds.
        shutdown_grace_s: f64 = "terms.bounds.grace-s", Some(5.0), positive;
        /// Within how many milliseconds a configuration is applied.
        apply_deadline_ms: f64 = "terms.bounds.apply-ms", Some(3000.0), positive;
        /// By how many milliseconds that deadline is extended while control is unsettled.
        unsettled_extension_ms: f64 = "terms.bounds.stretch-ms", Some(0.0), not_negative;
        /// Whether removed credentials stop working within `revocation_deadline_ms` at every proxy, connected or not.
        enforces_revocation: bool = "terms.bounds.revoked", Some(false), any;
        /// Within how many milliseconds a removed credential stops working.
        revocation_deadline_ms: f64 = "terms.bounds.revoke-ms", Some(5000.0), positive;
        /// The retry budget of a service: retries as a share of its requests, in each window, plus a constant.
        retry_budget_ratio: f64 = "terms.bounds.retry-ratio", Some(0.2), not_negative;
        /// The window of the retry budget, in seconds.
        retry_budget_window_s: f64 = "terms.bounds.retry-win-s", Some(10.0), positive;
        /// The constant of the retry budget, in requests a window.
        retry_budget_slack: f64 = "terms.bounds.retry-slack", Some(0.0), not_negative;
        /// The window in which a tenant's quota is checked, in seconds.
        quota_window_s: f64 = "terms.bounds.quota-win-s", Some(5.0), positive;
        /// By what share of itself a quota may be exceeded in a window.
        quota_excess: f64 = "terms.bounds.quota-excess", Some(0.0), not_negative;
        /// By how many requests more a quota may be exceeded in a window.
        quota_slack: f64 = "terms.bounds.quota-slack", Some(0.0), not_negative;
        /// The factor by which a server's rate of requests during slow start may be exceeded in a second.
        slow_start_excess: f64 = "terms.bounds.warm-excess", Some(1.0), positive;
        /// By how many requests more that rate may be exceeded in a second.
        slow_start_slack: f64 = "terms.bounds.warm-slack", Some(0.0), not_negative;
        /// Within how many milliseconds an evacuated zone receives no more requests.
        evacuation_deadline_ms: f64 = "terms.bounds.evac-ms", Some(5000.0), positive;
        /// Within how many seconds the system serves again after machines have returned.
        recovery_deadline_s: f64 = "terms.bounds.heal-s", Some(15.0), positive;
        /// The longest that a client may use an answer of the directory, in seconds.
        max_ttl_s: f64 = "terms.bounds.ttl_max_s", Some(5.0), positive;
    }
}

/// A range of ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first port of the range.
    pub first: u16,
    /// The last port of the range, inclusive.
    pub last: u16,
}

impl Settings {
    /// Reads the file whose path [`SETTINGS_VARIABLE`] holds.
    ///
    /// # Errors
    /// [`SettingsError`] says what is wrong with the variable, the file or its settings.
    pub fn load() -> Result<Settings, SettingsError> {
        let path = std::env::var(SETTINGS_VARIABLE).map_err(|_| SettingsError::VariableNotSet)?;
        match std::fs::read(&path) {
            Ok(text) => Settings::read(&text),
            Err(source) => Err(SettingsError::UnreadableFile { path, source }),
        }
    }

    /// The port on which control accepts agents and other control nodes.
    pub fn control_port(&self) -> u16 {
        self.port_range.first + CONTROL_PORT
    }

    /// The port on which proxies ask each other for shares of quotas.
    pub fn counter_port(&self) -> u16 {
        self.port_range.first + COUNTER_PORT
    }

    /// The address at which an agent accepts the proxy of its machine: on loopback, unless overridden.
    pub fn agent_addr(&self) -> SocketAddrV4 {
        self.dial_addr(SocketAddrV4::new(
            Ipv4Addr::LOCALHOST,
            self.port_range.first + AGENT_PORT,
        ))
    }

    /// The port on which agents gossip.
    pub fn gossip_port(&self) -> u16 {
        self.port_range.first + GOSSIP_PORT
    }

    /// The port on which agents send snapshots of their state to each other.
    pub fn snapshot_port(&self) -> u16 {
        self.port_range.first + SNAPSHOT_PORT
    }

    /// The port on which a proxy serves its metrics.
    pub fn metrics_port(&self) -> u16 {
        self.port_range.last
    }

    /// The address to connect to in order to reach `address`: its override, or else itself.
    pub fn dial_addr(&self, address: SocketAddrV4) -> SocketAddrV4 {
        self.address_overrides
            .get(&address)
            .copied()
            .unwrap_or(address)
    }

    /// The address to connect to in order to reach the control node of another machine.
    pub fn control_addr(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        self.dial_addr(SocketAddrV4::new(ip, self.control_port()))
    }

    /// A region's number: its position among the names of all regions in order, so that all nodes agree on it.
    pub fn region_number(&self, region: &str) -> Option<u8> {
        let regions: BTreeSet<&String> = self.zone_regions.values().collect();
        regions
            .iter()
            .position(|known| *known == region)
            .map(|number| number as u8)
    }

    /// The number of a zone's region.
    pub fn region_of(&self, zone: &str) -> Option<u8> {
        self.region_number(self.zone_regions.get(zone)?)
    }
}
