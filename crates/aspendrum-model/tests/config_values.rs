//! Parsing of every value in a complete configuration, and the text of every error.

use aspendrum_model::config::{Config, RequestLimits, RouteEntry};
use test_case::test_case;

const CONFIG: &str = include_str!("fixtures/config.json");

fn config() -> Config {
    Config::read(CONFIG.as_bytes()).unwrap()
}

#[test]
fn version_and_request_limits_are_read() {
    let config = config();
    assert_eq!(config.version, 300);
    let limits = RequestLimits {
        header_bytes: 16_384,
        body_bytes: 1_048_576,
        header_timeout_ms: 3000.0,
        idle_timeout_ms: 15_000.5,
    };
    assert_eq!(config.limits, limits);
}

#[test]
fn tenants_are_read() {
    let config = config();
    let [ann, bob] = &config.tenants.as_deref().unwrap() else {
        panic!("two tenants")
    };
    assert_eq!((ann.name.as_str(), bob.name.as_str()), ("ann", "bob"));
    assert_eq!(
        (ann.keys.join(" "), bob.keys.join(" ")),
        ("k1 k2".into(), "k3".into())
    );
    assert_eq!(
        [ann.priority, ann.rate_per_second, ann.burst],
        [3.0, 61.5, 122.0]
    );
    assert_eq!([bob.priority, bob.rate_per_second, bob.burst], [0.0; 3]);
    assert_eq!(
        (ann.home_regions.join(" "), bob.home_regions.join(" ")),
        ("poa cwb".into(), String::new())
    );
    assert_eq!(
        ["k1", "k2", "k3", "k4"].map(|key| config.tenant(key)),
        [Some(0), Some(0), Some(1), None]
    );
    let mut keys: Vec<&String> = config.keys_of(0).collect();
    keys.sort();
    assert_eq!(keys, ["k1", "k2"]);
}

#[test]
fn a_configuration_without_tenants_has_no_keys() {
    let from = CONFIG.find("\"tenants\"").unwrap();
    let to = CONFIG.find("\"ports\"").unwrap();
    let config = Config::read((CONFIG[..from].to_string() + &CONFIG[to..]).as_bytes()).unwrap();
    assert!(config.tenants.is_none() && config.tenant("k1").is_none());
}

#[test]
fn services_are_read() {
    let config = config();
    let [s1, s2] = &config.services[..] else {
        panic!("two services")
    };
    assert_eq!(
        [
            &s1.name,
            &s1.health_check_path,
            &s2.name,
            &s2.health_check_path
        ],
        ["s1", "/healthz", "s2", "/ready"]
    );
    assert_eq!(
        (s1.max_connections, s1.slow_start_s, s1.slow_start_rate),
        (110, 3.5, 10.5)
    );
    assert_eq!(
        (s2.max_connections, s2.slow_start_s, s2.slow_start_rate),
        (0, 0.0, 0.0)
    );
    assert_eq!(
        config.service("s2").map(|s| s.health_check_path.as_str()),
        Some("/ready")
    );
    assert!(config.service("s3").is_none());
}

#[test]
fn routes_are_read() {
    let config = config();
    let [r1, r2, r3] = &config.routes[..] else {
        panic!("three routes")
    };
    assert_eq!([&r1.name, &r2.name, &r3.name], ["r1", "r2", "r3"]);
    assert_eq!([r1, r2, r3].map(|r| r.is_idempotent), [true, false, false]);
    assert_eq!(
        [r1, r2, r3].map(|r| r.latency_target_ms),
        [500.0, 250.5, 400.0]
    );
    assert_eq!([r1, r2, r3].map(|r| r.timeout_ms), [2000.0, 1000.0, 1500.0]);
    assert_eq!([r1, r2, r3].map(|r| r.priority), [2.0, 0.0, 1.0]);
    assert_eq!([r1, r2, r3].map(|r| r.is_public), [true, false, false]);
    assert_eq!([r1, r2, r3].map(|r| r.max_attempts), [3, 1, 2]);
    assert_eq!(
        [r1, r2, r3].map(|r| r.home_regions.join(" ")),
        ["poa", "", ""]
    );
    let services = [r1, r2, r3].map(|r| {
        r.services
            .iter()
            .map(|s| (s.service.as_str(), s.weight))
            .collect::<Vec<_>>()
    });
    assert_eq!(
        services,
        [
            vec![("s1", 90.0), ("s2", 10.0)],
            vec![("s2", 1.0)],
            vec![("s1", 1.0)]
        ]
    );
}

#[test]
fn routes_are_found_by_host_and_prefix() {
    let config = config();
    let mut entries: Vec<RouteEntry<'_>> = config.route_entries().collect();
    entries.sort();
    let entries: Vec<(&str, &str, usize)> = entries
        .iter()
        .map(|e| (e.host, e.prefix, e.route))
        .collect();
    assert_eq!(
        entries,
        [
            ("a.example", "/a/", 0),
            ("a.example", "/a/b/", 1),
            ("b.example", "/", 2)
        ]
    );
    assert_eq!(config.route("a.EXAMPLE:8080", "/a/b/c?d"), Some(1));
    assert_eq!(config.route("b.example", "/any"), Some(2));
}

#[test_case("\"svc\":\"s2\",\"limit-ms\"", "\"svc\":\"s9\",\"limit-ms\"", "route r2 names the service s9, which is not there" ; "unknown service")]
#[test_case("/a/b/", "/a/", "two routes have the host a.example and the prefix /a/" ; "two routes at one prefix")]
#[test_case("\"wt\":90},{\"svc\":\"s2\",\"wt\":10", "\"wt\":0},{\"svc\":\"s2\",\"wt\":0", "the weights of route r1 come to nothing" ; "weights of 0")]
#[test_case("\"wt\":90", "\"wt\":-90", "the weights of route r1 come to nothing" ; "a negative weight")]
#[test_case("\"goal-ms\":500", "\"goal-ms\":62000", "the aim of route r1 is a minute or more above its limit" ; "aim a minute above the limit")]
#[test_case("\"tries\":3", "\"tries\":0", "route r1 has no tries" ; "no tries")]
#[test_case("\"/a/b/\"", "\"a/b/\"", "the prefix a/b/ does not begin with a slash" ; "a prefix without a slash")]
#[test_case("\"k3\"", "\"k1\"", "two tenants have one key" ; "a shared key")]
#[test_case("\"0000012c\"", "\"12c\"", "it cannot be read whole: gen 12c" ; "a short version")]
#[test_case("\"0000012c\"", "\"0000012g\"", "it cannot be read whole: gen 0000012g" ; "a version that is no number")]
#[test_case("\"idem\"", "\"once\"", "it cannot be read whole: route r1 is of the type once" ; "an unknown type")]
#[test_case("\"svc\":\"s2\",\"limit-ms\"", "\"limit-ms\"", "it cannot be read whole: route r2 goes nowhere" ; "no service")]
#[test_case("\"gen\":\"0000012c\",", "", "it cannot be read whole: missing field `gen` at line 14 column 27" ; "no version")]
#[test_case("\"pfx\":\"/a/\"", "", "it cannot be read whole: missing field `pfx` at line 7 column 74" ; "no prefix")]
#[test_case("\"hdr-ms\":3000", "\"hdr-ms\":\"3\"", "it cannot be read whole: invalid type: string \"3\", expected f64 at line 1 column 77" ; "a time that is no number")]
fn invalid_configurations_are_rejected_with_the_expected_text(from: &str, to: &str, text: &str) {
    assert!(CONFIG.contains(from));
    let error = Config::read(CONFIG.replacen(from, to, 1).as_bytes()).unwrap_err();
    assert_eq!(error.to_string(), text);
}

/// Guards against numbers in forms that operators do not mean: a version with a sign, and negative numbers, of which a
/// negative rate was taken for "no quota". A configuration that was decided before stays readable.
#[test_case("\"0000012c\"", "\"+000012c\"", "it cannot be read whole: gen +000012c" ; "a version with a sign")]
#[test_case("\"hdr-ms\":3000", "\"hdr-ms\":-1", "hdr-ms of caps is below 0" ; "a negative header time")]
#[test_case("\"idle-ms\":15000.5", "\"idle-ms\":-0.1", "idle-ms of caps is below 0" ; "a negative idle time")]
#[test_case("\"rate-s\":61.5", "\"rate-s\":-61.5", "rate-s of ann is below 0" ; "a negative rate")]
#[test_case("\"burst\":122", "\"burst\":-1e-300", "burst of ann is below 0" ; "a negative burst")]
#[test_case("\"prio\":3", "\"prio\":-1", "prio of ann is below 0" ; "a negative priority of a tenant")]
#[test_case("\"goal-ms\":500", "\"goal-ms\":-1e308", "goal-ms of r1 is below 0" ; "a negative target")]
fn unusual_forms_of_numbers_are_rejected_when_submitted(from: &str, to: &str, text: &str) {
    assert!(CONFIG.contains(from));
    let unusual = CONFIG.replacen(from, to, 1);
    let error = Config::read_submitted(unusual.as_bytes()).unwrap_err();
    assert_eq!(error.to_string(), text);
    assert!(Config::read(unusual.as_bytes()).is_ok());
    assert!(Config::read_submitted(CONFIG.as_bytes()).is_ok());
}

#[test_case("00000000", 0)]
#[test_case("ffffffff", u32::MAX)]
#[test_case("FFFFFFFF", u32::MAX)]
fn each_number_of_eight_digits_is_a_version(digits: &str, version: u32) {
    let text = CONFIG.replacen("0000012c", digits, 1);
    let config = Config::read_submitted(text.as_bytes()).unwrap();
    assert_eq!(config.version, version);
}
