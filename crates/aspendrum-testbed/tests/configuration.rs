//! Tests that the operator's valid configuration texts are parsed with all routes, and that each fault is rejected.

use aspendrum_checker::system::{ConfigVersion, RouteRule, TenantRule};
use aspendrum_model::config::{Config, ConfigError};
use aspendrum_testbed::system::configuration::{
    config_text, invalid_config_text, route_prefix, ConfigFault,
};
use aspendrum_testbed::system::scenario::Scenario;

fn scenario() -> Scenario {
    let text =
        "name = \"t\"\nabout = \"t\"\nseconds = 1\ncores = 1\nedges = 1\nfiller_routes = 600\n";
    Scenario::read(text).unwrap()
}

fn version() -> ConfigVersion {
    let route = |is_once_only| RouteRule {
        service: "quotes".into(),
        is_once_only,
    };
    let tenant = |name: &str| TenantRule {
        name: name.into(),
        has_valid_credential: true,
    };
    ConfigVersion {
        number: 9,
        routes: vec![route(false), route(true), route(false)],
        tenants: vec![tenant("ann"), tenant("bob")],
        ..ConfigVersion::default()
    }
}

#[test]
fn a_valid_text_is_parsed_with_all_routes() {
    let config = Config::read(config_text(&scenario(), &version()).as_bytes()).unwrap();
    assert_eq!((config.version, config.routes.len()), (9, 603));
    let route = |number| config.route("a.example", &format!("{}x", route_prefix(number)));
    assert_eq!([route(0), route(1), route(2)], [Some(0), Some(1), Some(2)]);
    assert_eq!(route(3), None);
    assert!(!config.routes[1].is_idempotent && config.routes[2].is_idempotent);
}

#[test]
fn each_fault_is_rejected_with_its_own_error() {
    let error_of = |fault| {
        Config::read(invalid_config_text(&scenario(), &version(), fault).as_bytes()).unwrap_err()
    };
    let cut_short = error_of(ConfigFault::CutShort);
    assert!(matches!(cut_short, ConfigError::Unreadable(_)));
    // The error states where the text ends.
    assert!(cut_short.to_string().contains("line 1 column"));
    assert_eq!(
        error_of(ConfigFault::UnknownService),
        ConfigError::UnknownService {
            route: "r-0".into(),
            service: "nowhere".into()
        }
    );
    assert_eq!(
        error_of(ConfigFault::DuplicateRoute),
        ConfigError::DuplicateRoute {
            host: "a.example".into(),
            prefix: route_prefix(0)
        }
    );
    assert_eq!(
        error_of(ConfigFault::NoAttempts),
        ConfigError::NoAttempts("r-0".into())
    );
    assert_eq!(error_of(ConfigFault::SharedKey), ConfigError::SharedKey);
}
