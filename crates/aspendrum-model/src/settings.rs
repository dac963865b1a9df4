//! The settings file of a process, written by the platform in JSON.
//!
//! [`Settings`] declares each setting with its path in the file, type, default and valid range. Undeclared fields in
//! the file are ignored.

mod error;
mod value;

pub use error::{InvalidSetting, SettingsError};

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use value::find_setting;

/// The environment variable that contains the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "ASPENDRUM_SETTINGS";

/// The number of the region of a zone without a region number. Regions are numbered below it.
pub const UNKNOWN_REGION: u8 = u8::MAX;

/// Declares the settings, one per line: `field: type = "key.path", default or required(), range check`.
macro_rules! settings {
    ($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident: $type:ty = $key_path:literal, $default:expr,
        $check:expr;)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name {
            $($(#[$field_doc])* pub $field: $type,)*
        }

        impl $name {
            /// Parses the text of a settings file.
            ///
            /// # Errors
            /// Returns [`SettingsError::Syntax`] if the text is not JSON, or [`SettingsError::Invalid`] with all
            /// invalid settings.
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

/// The default of a setting without a default value.
fn required<T>() -> Option<T> {
    None
}

/// The range check of a setting that accepts all values.
fn any<T>(_: &T) -> bool {
    true
}

fn positive(value: &f64) -> bool {
    *value > 0.0 && value.is_finite()
}

fn not_negative(value: &f64) -> bool {
    *value >= 0.0 && value.is_finite()
}

const BYTES_PER_MB: u64 = 1 << 20;
/// The exclusive upper bound of `tolerated_losses`.
const MAX_TOLERATED_LOSSES: u64 = 50;
// Offsets of ports in the reserved port range. The last port of the range serves metrics.
const CONTROL_PORT: u16 = 0;
const COUNTER_PORT: u16 = 1;
const AGENT_PORT: u16 = 2;
const GOSSIP_PORT: u16 = 3;
const SNAPSHOT_PORT: u16 = 4;

settings! {
    /// The settings of a process. The platform writes the file before the process starts, and replaces it to change the
    /// settings.
    Settings {
        /// The host name of the machine.
        host_name: String = "self.host-name", required(), |name| !name.is_empty();
        /// The IP address of the machine.
        ip: Ipv4Addr = "self.ip", required(), any;
        /// The zone in which the machine is located.
        zone: String = "self.az", required(), |zone| !zone.is_empty();
        /// The region in which the machine is located.
        region: String = "self.geo", required(), any;
        /// Whether the loss of this machine counts towards `tolerated_losses`.
        counts_as_loss: bool = "self.quorum", Some(false), any;
        /// Whether this is the first start of the whole system, with empty disks.
        is_first_start: bool = "self.init", Some(false), any;
        /// The data directory on the machine's disk; `None` if the machine has no disk.
        data_dir: Option<String> = "self.datadir", Some(None), any;
        /// The maximum memory usage of the process, in MB.
        memory_limit_mb: u64 = "self.caps.mem-mb", Some(128), |megabytes| *megabytes > 0;
        /// The maximum number of open file descriptors.
        max_open_files: u64 = "self.caps.nofile", Some(1024), |files| *files > 0;
        /// The address at which the proxy accepts clients.
        proxy_addr: Option<SocketAddrV4> = "net.binds.front", Some(None), any;
        /// The address at which the proxy answers readiness checks.
        readiness_addr: Option<SocketAddrV4> = "net.binds.readyz", Some(None), any;
        /// The address at which control accepts operator commands.
        operator_addr: Option<SocketAddrV4> = "net.binds.ctl", Some(None), any;
        /// The address at which control serves client lookups of proxies.
        directory_addr: Option<SocketAddrV4> = "net.binds.dir", Some(None), any;
        /// The ports reserved for connections within the system; the same on all machines.
        port_range: PortRange = "net.port-range", required(), PortRange::is_usable;
        /// The `operator_addr` of some control nodes.
        seeds: Vec<SocketAddrV4> = "net.seeds", Some(Vec::new()), any;
        /// Replacements for the addresses of peers and servers, such as a forwarded port or a simulated link of the
        /// testbed.
        address_overrides: BTreeMap<SocketAddrV4, SocketAddrV4> = "net.ways", Some(BTreeMap::new()), any;
        /// The region of each zone.
        zone_regions: BTreeMap<String, String> = "net.zones", required(), |zones: &BTreeMap<_, _>| !zones.is_empty();
        /// The address at which the platform serves its server list.
        cloud_api_addr: Option<SocketAddrV4> = "plat.cloud-api.addr", Some(None), any;
        /// The maximum rate of calls that the platform accepts from all processes together, per second.
        cloud_api_rate: f64 = "plat.cloud-api.rate-s", Some(1.0), positive;
        /// The lag of the platform's server list, in milliseconds.
        cloud_api_lag_ms: f64 = "plat.cloud-api.lag-ms", Some(0.0), not_negative;
        /// The number of machines with a disk that may be lost at the same time.
        tolerated_losses: u64 = "terms.tolerate.machs", Some(1), |losses| *losses < MAX_TOLERATED_LOSSES;
        /// The names of the optional requirements that apply to the deployment.
        optional_requirements: BTreeSet<String> = "terms.contracts", Some(BTreeSet::new()), any;
        /// The time within which operators may retry a command other than a configuration, in milliseconds.
        command_timeout_ms: f64 = "terms.bounds.ack-ms", Some(5000.0), positive;
        /// The time for which a machine still counts as lost after its return, in seconds.
        rejoin_s: f64 = "terms.bounds.sync-s", Some(4.0), positive;
        /// The time after which a draining server receives no more requests, in milliseconds.
        drain_deadline_ms: f64 = "terms.bounds.drain-ms", Some(3000.0), positive;
        /// The maximum duration of a graceful shutdown, in seconds.
        shutdown_grace_s: f64 = "terms.bounds.grace-s", Some(5.0), positive;
        /// The time within which a configuration is applied, in milliseconds.
        apply_deadline_ms: f64 = "terms.bounds.apply-ms", Some(3000.0), positive;
        /// The extension of `apply_deadline_ms` while control is unsettled, in milliseconds.
        unsettled_extension_ms: f64 = "terms.bounds.stretch-ms", Some(0.0), not_negative;
        /// Whether removed credentials stop working within `revocation_deadline_ms` at every proxy, even if it is
        /// partitioned from control.
        enforces_revocation: bool = "terms.bounds.revoked", Some(false), any;
        /// The time within which a removed credential stops working, in milliseconds.
        revocation_deadline_ms: f64 = "terms.bounds.revoke-ms", Some(5000.0), positive;
        /// The retry budget of a service: the ratio of retries to requests allowed in each window, in addition to
        /// `retry_budget_slack`.
        retry_budget_ratio: f64 = "terms.bounds.retry-ratio", Some(0.2), not_negative;
        /// The window of the retry budget, in seconds.
        retry_budget_window_s: f64 = "terms.bounds.retry-win-s", Some(10.0), positive;
        /// The number of retries allowed in each window in addition to `retry_budget_ratio`.
        retry_budget_slack: f64 = "terms.bounds.retry-slack", Some(0.0), not_negative;
        /// The window in which tenant quotas are checked, in seconds.
        quota_window_s: f64 = "terms.bounds.quota-win-s", Some(5.0), positive;
        /// The fraction by which a quota may be exceeded in a window.
        quota_excess: f64 = "terms.bounds.quota-excess", Some(0.0), not_negative;
        /// The number of requests by which a quota may be exceeded in a window, in addition to `quota_excess`.
        quota_slack: f64 = "terms.bounds.quota-slack", Some(0.0), not_negative;
        /// The factor by which the slow start rate of a server may be exceeded in any second.
        slow_start_excess: f64 = "terms.bounds.warm-excess", Some(1.0), positive;
        /// The number of requests by which the slow start rate may be exceeded in any second, in addition to
        /// `slow_start_excess`.
        slow_start_slack: f64 = "terms.bounds.warm-slack", Some(0.0), not_negative;
        /// The time after which an evacuated zone receives no more requests, in milliseconds.
        evacuation_deadline_ms: f64 = "terms.bounds.evac-ms", Some(5000.0), positive;
        /// The time within which the system serves requests again after machines have returned, in seconds.
        recovery_deadline_s: f64 = "terms.bounds.heal-s", Some(15.0), positive;
        /// The maximum time that a client may cache a directory response, in seconds.
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

impl PortRange {
    /// Whether all ports of the range exist and the reserved ones fit into it.
    fn is_usable(&self) -> bool {
        let last_reserved = self.first.checked_add(SNAPSHOT_PORT);
        self.first > 0 && last_reserved.is_some_and(|port| port <= self.last)
    }
}

impl Settings {
    /// Reads the settings file whose path is in [`SETTINGS_VARIABLE`].
    ///
    /// # Errors
    /// Returns [`SettingsError`] if the variable is not set, the file cannot be read, or the settings are invalid.
    pub fn load() -> Result<Settings, SettingsError> {
        let path = std::env::var(SETTINGS_VARIABLE).map_err(|_| SettingsError::VariableNotSet)?;
        match std::fs::read(&path) {
            Ok(text) => Settings::read(&text),
            Err(source) => Err(SettingsError::UnreadableFile { path, source }),
        }
    }

    /// Returns the maximum memory usage of the process, in bytes.
    pub fn memory_limit_bytes(&self) -> usize {
        self.memory_limit_mb.saturating_mul(BYTES_PER_MB) as usize
    }

    /// Returns the port on which control accepts agents and other control nodes.
    pub fn control_port(&self) -> u16 {
        self.port_range.first + CONTROL_PORT
    }

    /// Returns the port on which proxies request quota shares from each other.
    pub fn counter_port(&self) -> u16 {
        self.port_range.first + COUNTER_PORT
    }

    /// Returns the address at which an agent accepts the proxy of its machine, on loopback unless overridden.
    pub fn agent_addr(&self) -> SocketAddrV4 {
        self.dial_addr(SocketAddrV4::new(
            Ipv4Addr::LOCALHOST,
            self.port_range.first + AGENT_PORT,
        ))
    }

    /// Returns the port on which agents gossip.
    pub fn gossip_port(&self) -> u16 {
        self.port_range.first + GOSSIP_PORT
    }

    /// Returns the port on which agents serve snapshots of their state to each other.
    pub fn snapshot_port(&self) -> u16 {
        self.port_range.first + SNAPSHOT_PORT
    }

    /// Returns the port on which a proxy serves its metrics.
    pub fn metrics_port(&self) -> u16 {
        self.port_range.last
    }

    /// Returns the address to connect to in order to reach `address`, which is its override or else `address` itself.
    pub fn dial_addr(&self, address: SocketAddrV4) -> SocketAddrV4 {
        self.address_overrides
            .get(&address)
            .copied()
            .unwrap_or(address)
    }

    /// Returns the address to connect to in order to reach the control node on another machine.
    pub fn control_addr(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        self.dial_addr(SocketAddrV4::new(ip, self.control_port()))
    }

    /// Returns the index of a region in the sorted list of all region names, which is the same on all nodes. Returns
    /// `None` for an unknown region, and for those with index [`UNKNOWN_REGION`] or higher.
    pub fn region_number(&self, region: &str) -> Option<u8> {
        let regions: BTreeSet<&String> = self.zone_regions.values().collect();
        let number = regions.iter().position(|known| *known == region)?;
        let number = u8::try_from(number).ok();
        number.filter(|number| *number < UNKNOWN_REGION)
    }

    /// Returns the region number of a zone.
    pub fn zone_region_number(&self, zone: &str) -> Option<u8> {
        self.region_number(self.zone_regions.get(zone)?)
    }
}
