//! Parsing of every value in a complete settings file, every default, and the error text for every missing or invalid
//! value.

use aspendrum_model::settings::{PortRange, Settings, UNKNOWN_REGION};
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddrV4};

const SETTINGS: &str = include_str!("fixtures/settings.json");
const ERRORS: &str = include_str!("fixtures/settings_refusals.txt");

fn address(text: &str) -> SocketAddrV4 {
    text.parse().unwrap()
}

fn read(document: &Value) -> Result<Settings, String> {
    Settings::read(document.to_string().as_bytes()).map_err(|error| error.to_string())
}

#[test]
fn each_value_of_a_complete_file_is_read() {
    let s = Settings::read(SETTINGS.as_bytes()).unwrap();
    assert_eq!(
        (s.host_name.as_str(), s.ip),
        ("edge-1", Ipv4Addr::new(10, 1, 0, 31))
    );
    assert_eq!((s.zone.as_str(), s.region.as_str()), ("poa-a", "poa"));
    assert!(s.counts_as_loss && s.is_first_start && s.enforces_revocation);
    assert_eq!(
        (s.data_dir.as_deref(), s.memory_limit_mb, s.max_open_files),
        (Some("/data"), 260, 4100)
    );
    assert_eq!(s.proxy_addr, Some(address("10.1.0.31:8206")));
    assert_eq!(s.readiness_addr, Some(address("10.1.0.31:8207")));
    assert_eq!(s.operator_addr, Some(address("10.1.0.31:8200")));
    assert_eq!(s.directory_addr, Some(address("10.1.0.31:8201")));
    let range = PortRange {
        first: 7600,
        last: 7615,
    };
    assert_eq!(s.port_range, range);
    assert_eq!(
        s.seeds,
        [address("10.1.0.34:8200"), address("10.1.0.35:8200")]
    );
    let overrides: Vec<_> = s
        .address_overrides
        .iter()
        .map(|(from, to)| (*from, *to))
        .collect();
    assert_eq!(
        overrides,
        [(address("10.1.0.34:7600"), address("127.0.0.1:9000"))]
    );
    let zones: Vec<_> = s
        .zone_regions
        .iter()
        .map(|(zone, region)| (zone.as_str(), region.as_str()))
        .collect();
    assert_eq!(zones, [("cwb-a", "cwb"), ("poa-a", "poa")]);
    assert_eq!(
        (s.cloud_api_addr, s.cloud_api_rate, s.cloud_api_lag_ms),
        (Some(address("10.200.0.187:8205")), 47.5, 800.0)
    );
    assert_eq!(
        (
            s.tolerated_losses,
            s.optional_requirements.iter().map(String::as_str).collect()
        ),
        (2, vec!["base", "quota"])
    );
    assert_eq!(
        [
            s.command_timeout_ms,
            s.rejoin_s,
            s.drain_deadline_ms,
            s.shutdown_grace_s
        ],
        [6000.0, 4.5, 3100.0, 6.0]
    );
    assert_eq!(
        [
            s.apply_deadline_ms,
            s.unsettled_extension_ms,
            s.revocation_deadline_ms
        ],
        [3200.0, 8000.0, 5100.0]
    );
    assert_eq!(
        [
            s.retry_budget_ratio,
            s.retry_budget_window_s,
            s.retry_budget_slack
        ],
        [0.25, 11.0, 58.0]
    );
    assert_eq!(
        [s.quota_window_s, s.quota_excess, s.quota_slack],
        [5.5, 0.1, 20.0]
    );
    assert_eq!([s.slow_start_excess, s.slow_start_slack], [1.5, 5.0]);
    assert_eq!(
        [s.evacuation_deadline_ms, s.recovery_deadline_s, s.max_ttl_s],
        [5200.0, 16.0, 7.0]
    );
}

const MINIMAL_SETTINGS: &str = r#"{"self":{"host-name":"edge-1","ip":"10.1.0.31","az":"poa-a","geo":"poa"},
"net":{"port-range":[7600,7615],"zones":{"poa-a":"poa"}}}"#;

#[test]
fn omitted_settings_have_their_defaults() {
    let s = Settings::read(MINIMAL_SETTINGS.as_bytes()).unwrap();
    assert!(!s.counts_as_loss && !s.is_first_start && !s.enforces_revocation);
    assert_eq!(
        (s.data_dir, s.memory_limit_mb, s.max_open_files),
        (None, 128, 1024)
    );
    assert_eq!(
        [
            s.proxy_addr,
            s.readiness_addr,
            s.operator_addr,
            s.directory_addr,
            s.cloud_api_addr
        ],
        [None; 5]
    );
    assert!(
        s.seeds.is_empty() && s.address_overrides.is_empty() && s.optional_requirements.is_empty()
    );
    assert_eq!(
        (s.cloud_api_rate, s.cloud_api_lag_ms, s.tolerated_losses),
        (1.0, 0.0, 1)
    );
    assert_eq!(
        [
            s.command_timeout_ms,
            s.rejoin_s,
            s.drain_deadline_ms,
            s.shutdown_grace_s
        ],
        [5000.0, 4.0, 3000.0, 5.0]
    );
    assert_eq!(
        [
            s.apply_deadline_ms,
            s.unsettled_extension_ms,
            s.revocation_deadline_ms
        ],
        [3000.0, 0.0, 5000.0]
    );
    assert_eq!(
        [
            s.retry_budget_ratio,
            s.retry_budget_window_s,
            s.retry_budget_slack
        ],
        [0.2, 10.0, 0.0]
    );
    assert_eq!(
        [s.quota_window_s, s.quota_excess, s.quota_slack],
        [5.0, 0.0, 0.0]
    );
    assert_eq!([s.slow_start_excess, s.slow_start_slack], [1.0, 0.0]);
    assert_eq!(
        [s.evacuation_deadline_ms, s.recovery_deadline_s, s.max_ttl_s],
        [5000.0, 15.0, 5.0]
    );
}

#[test]
fn ports_and_addresses_are_derived_from_the_port_range() {
    let s = Settings::read(SETTINGS.as_bytes()).unwrap();
    assert_eq!(
        (s.control_port(), s.counter_port(), s.metrics_port()),
        (7600, 7601, 7615)
    );
    assert_eq!(
        (s.agent_addr(), [s.gossip_port(), s.snapshot_port()]),
        (address("127.0.0.1:7602"), [7603, 7604])
    );
    assert_eq!(
        s.control_addr(Ipv4Addr::new(10, 1, 0, 34)),
        address("127.0.0.1:9000"),
        "a forwarded port"
    );
    assert_eq!(
        s.control_addr(Ipv4Addr::new(10, 1, 0, 35)),
        address("10.1.0.35:7600")
    );
    assert_eq!(
        s.dial_addr(address("10.1.0.34:7600")),
        address("127.0.0.1:9000")
    );
    assert_eq!(
        ["cwb", "poa", "else"].map(|region| s.region_number(region)),
        [Some(0), Some(1), None]
    );
    assert_eq!(
        ["cwb-a", "poa-a", "else"].map(|zone| s.zone_region_number(zone)),
        [Some(0), Some(1), None]
    );
}

/// Guards against region numbers that wrap around: two regions with one number would share their servers, also for
/// requests that must stay in one of them.
#[test]
fn no_two_of_300_regions_have_the_same_number() {
    let mut document: Value = serde_json::from_str(SETTINGS).unwrap();
    let zones = (0..300).map(|n| (format!("zone-{n}"), json!(format!("region-{n:03}"))));
    document["net"]["zones"] = Value::Object(zones.collect());
    let settings = read(&document).unwrap();
    let numbers = (0..300).filter_map(|n| settings.zone_region_number(&format!("zone-{n}")));
    let numbers: Vec<u8> = numbers.collect();
    let expected: Vec<u8> = (0..UNKNOWN_REGION).collect();
    assert_eq!(numbers, expected);
    assert_eq!(settings.region_number("region-255"), None);
    assert_eq!(settings.region_number("region-299"), None);
}

/// Collects the paths of all values in the document, in alphabetical order.
fn collect_key_paths(value: &Value, key_path: &str, all: &mut Vec<String>) {
    match value {
        Value::Object(map) if !["net.ways", "net.zones"].contains(&key_path) => {
            for (key, inner) in map {
                let key_path = if key_path.is_empty() {
                    key.clone()
                } else {
                    format!("{key_path}.{key}")
                };
                collect_key_paths(inner, &key_path, all);
            }
        }
        _ => all.push(key_path.to_string()),
    }
}

fn with_value(document: &Value, key_path: &str, value: Option<Value>) -> Value {
    let mut document = document.clone();
    let (parent, key) = key_path.rsplit_once('.').unwrap();
    let parent = document
        .pointer_mut(&format!("/{}", parent.replace('.', "/")))
        .unwrap();
    match value {
        Some(value) => parent[key] = value,
        None => {
            parent.as_object_mut().unwrap().remove(key);
        }
    }
    document
}

/// Compares the result for each setting when it is missing, of a different type, or at the edge of its range.
#[test]
fn each_invalid_setting_is_reported_with_its_path_and_expected_type() {
    let mut document: Value = serde_json::from_str(SETTINGS).unwrap();
    document.as_object_mut().unwrap().remove("unknown");
    let mut all = Vec::new();
    collect_key_paths(&document, "", &mut all);
    let mut text = String::new();
    for key_path in all {
        let values = [
            ("missing", None),
            ("null", Some(Value::Null)),
            ("nested", Some(json!([[]]))),
            ("empty text", Some(json!(""))),
            ("empty table", Some(json!({}))),
            ("zero", Some(json!(0))),
            ("negative", Some(json!(-1))),
            ("fifty", Some(json!(50))),
            ("ports", Some(json!([7600, 7603]))),
        ];
        for (name, value) in values {
            let error = read(&with_value(&document, &key_path, value)).err();
            text += &format!(
                "{key_path} {name}: {}\n",
                error.as_deref().unwrap_or("accepted")
            );
        }
    }
    assert_eq!(text, ERRORS);
}

#[test]
fn text_that_is_not_json_is_rejected() {
    let error = Settings::read(b"{").unwrap_err().to_string();
    assert_eq!(
        error,
        "settings: EOF while parsing an object at line 1 column 1"
    );
}

/// This is a single test because the environment variable is global to the process.
#[test]
fn settings_are_loaded_from_the_file_named_by_the_variable() {
    let load = || Settings::load().map_err(|error| error.to_string());
    std::env::remove_var("ASPENDRUM_SETTINGS");
    assert_eq!(load(), Err("ASPENDRUM_SETTINGS is not set".to_string()));
    std::env::set_var("ASPENDRUM_SETTINGS", "/no/such/file");
    assert_eq!(
        load(),
        Err("/no/such/file: No such file or directory (os error 2)".to_string())
    );
    let file = std::env::temp_dir().join(format!("settings-{}.json", std::process::id()));
    std::fs::write(&file, SETTINGS).unwrap();
    std::env::set_var("ASPENDRUM_SETTINGS", &file);
    assert_eq!(load(), Ok(Settings::read(SETTINGS.as_bytes()).unwrap()));
    std::fs::remove_file(file).unwrap();
}
