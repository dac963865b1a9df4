//! Configuration texts that the operator sends, both valid and invalid.

use super::client_exchange::LONG_BODY_BYTES;
use super::fleet::SERVICES;
use super::scenario::Scenario;
use aspendrum_checker::system::{ConfigVersion, RouteRule, TenantRule};
use serde_json::{json, Value};

/// The credentials of the tenants, by tenant index.
pub const KEYS: [&str; 2] = ["ann-key", "bob-key"];
/// The number of routes in the first configuration: an idempotent one and a once-only one.
pub const FIRST_ROUTES: usize = 2;

/// Returns the path prefix of a route.
pub fn route_prefix(route: usize) -> String {
    match route {
        0 => "/quote/".into(),
        1 => "/send/".into(),
        added => format!("/added-{added}/"),
    }
}

/// Returns the configuration text of a version, including the scenario's filler routes.
pub fn config_text(s: &Scenario, version: &ConfigVersion) -> String {
    document(s, version).to_string()
}

fn document(s: &Scenario, version: &ConfigVersion) -> Value {
    let routes = version.routes.iter().enumerate();
    let mut rules: Vec<Value> = routes.map(|(n, route)| rule(n, route)).collect();
    rules.extend((0..s.filler_routes).map(filler_rule));
    let tenants = version.tenants.iter().enumerate();
    let tenants: Vec<Value> = tenants.map(|(n, t)| tenant(s, n, t)).collect();
    let pool = |name: &&str| json!({"name": name, "check": "/healthz", "max-conns": 130, "warmup-s": 0.0, "warm-rate-s": 50.0});
    let pools: Vec<Value> = SERVICES.iter().map(pool).collect();
    let body_bytes = if s.habits.long > 0.0 {
        LONG_BODY_BYTES
    } else {
        64 << 10
    };
    json!({"gen": format!("{:08x}", version.number), "tenants": tenants, "pools": pools,
        "caps": {"hdr-bytes": 16384, "body-bytes": body_bytes, "hdr-ms": 3000, "idle-ms": 15000},
        "ports": [{"vhost": "a.example", "rules": rules}]})
}

fn rule(number: usize, route: &RouteRule) -> Value {
    let kind = if route.is_once_only {
        "mutating"
    } else {
        "idem"
    };
    json!({"name": format!("r-{number}"), "type": kind, "goal-ms": 800, "prio": number.min(FIRST_ROUTES), "public": false,
        "match": {"pfx": route_prefix(number)},
        "action": {"svc": route.service, "limit-ms": 2000, "tries": 3, "homes": []}})
}

/// Returns a route that receives no requests.
fn filler_rule(number: usize) -> Value {
    json!({"name": format!("filler-{number}"), "type": "idem", "goal-ms": 800, "prio": 1, "public": false,
        "match": {"pfx": format!("/filler-{number}/")},
        "action": {"svc": SERVICES[0], "limit-ms": 2000, "tries": 3, "homes": []}})
}

fn tenant(s: &Scenario, number: usize, tenant: &TenantRule) -> Value {
    let keys = if tenant.has_valid_credential {
        vec![KEYS[number]]
    } else {
        Vec::new()
    };
    json!({"name": tenant.name, "keys": keys, "prio": 0, "rate-s": s.quota_per_s, "burst": s.quota_per_s, "homes": []})
}

/// The fault of an invalid configuration text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFault {
    /// The text is truncated.
    CutShort,
    /// A route refers to an undefined service.
    UnknownService,
    /// Two routes have the same prefix.
    DuplicateRoute,
    /// A route allows no attempts.
    NoAttempts,
    /// Two tenants have the same credential.
    SharedKey,
}

/// All configuration faults.
pub const CONFIG_FAULTS: [ConfigFault; 5] = [
    ConfigFault::CutShort,
    ConfigFault::UnknownService,
    ConfigFault::DuplicateRoute,
    ConfigFault::NoAttempts,
    ConfigFault::SharedKey,
];

/// Returns the configuration text of a version with the given fault.
pub fn invalid_config_text(s: &Scenario, version: &ConfigVersion, fault: ConfigFault) -> String {
    let mut document = document(s, version);
    let rules = &mut document["ports"][0]["rules"];
    match fault {
        ConfigFault::CutShort => {
            let text = document.to_string();
            return text[..text.len() * 2 / 3].to_string();
        }
        ConfigFault::UnknownService => rules[0]["action"]["svc"] = "nowhere".into(),
        ConfigFault::DuplicateRoute => rules[1]["match"]["pfx"] = route_prefix(0).into(),
        ConfigFault::NoAttempts => rules[0]["action"]["tries"] = 0.into(),
        ConfigFault::SharedKey => {
            for tenant in 0..2 {
                document["tenants"][tenant]["keys"] = json!([KEYS[0]]);
            }
        }
    }
    document.to_string()
}
