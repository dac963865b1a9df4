//! Parsing of each settings key, with the values in `fixtures/settings.txt`.

use aspendrum_core::api::{
    GroupSettings, LoadReportChannel, LoadValue, PlanSettings, RepeatGroup, Semantics, Settings,
};
use aspendrum_core::settings::parse;
use test_case::test_case;

const SETTINGS: &str = include_str!("fixtures/settings.txt");

fn groups() -> Vec<GroupSettings> {
    vec![
        GroupSettings {
            latency_target: 500.0,
            hard_limit: 1500.0,
            semantics: Semantics::Idempotent,
            repeat_group: RepeatGroup::All,
            repeat_window: 0.0,
            importance: 1.25,
            late_value_share: 0.1,
            is_streaming: false,
        },
        GroupSettings {
            latency_target: 750.0,
            hard_limit: 2250.0,
            semantics: Semantics::Deduplicated,
            repeat_group: RepeatGroup::Zone,
            repeat_window: 600.0,
            importance: 2.5,
            late_value_share: 0.2,
            is_streaming: true,
        },
        GroupSettings {
            latency_target: 250.0,
            hard_limit: 375.0,
            semantics: Semantics::NonIdempotent,
            repeat_group: RepeatGroup::All,
            repeat_window: 0.0,
            importance: 3.5,
            late_value_share: 0.3,
            is_streaming: false,
        },
    ]
}

fn plans() -> Vec<PlanSettings> {
    vec![
        PlanSettings {
            is_windowed: false,
            rate: 0.625,
            burst: 2.5,
            price: 0.875,
            overage_value: 0.4,
            overage_cost: 0.3,
            max_in_flight: 11,
            rate_limit: 1.125,
            rate_limit_burst: 4.5,
            rate_limit_slack: 0.15,
        },
        PlanSettings {
            is_windowed: false,
            rate: 16.0,
            burst: 32.0,
            price: 1.0,
            overage_value: 0.0,
            overage_cost: 0.0,
            max_in_flight: 0,
            rate_limit: 0.0,
            rate_limit_burst: 0.0,
            rate_limit_slack: 0.0,
        },
    ]
}

fn expected() -> Settings {
    Settings {
        instance: 3,
        instances: 7,
        zone: 2,
        tick: 4.0,
        groups: groups(),
        plans: plans(),
        load_values: vec![
            LoadValue::RequestsInFlight,
            LoadValue::RequestsQueued,
            LoadValue::CpuUtilization,
            LoadValue::ServiceTimeMs,
            LoadValue::ResponsesPerSecond,
            LoadValue::FailuresPerSecond,
            LoadValue::Unknown,
        ],
        load_reports: LoadReportChannel::Probes,
        polls_discovery: true,
        discovery_poll_limit: 25.0,
        drain_grace: 125.0,
        collapse_multiple: 4.0,
        collapse_window: 3000.0,
        slow_start_capacity: 0.24,
        slow_start_time: 14_000.0,
        answer_grace: 16.0,
        may_cancel: true,
        may_probe: false,
        may_send_datagrams: true,
        may_hedge: false,
        max_attempts: 5,
        sends_retry_after: true,
        max_retry_after: 700.0,
        has_counter: true,
        counter_timeout: 50.0,
        counter_price: 0.01,
        probe_price: 0.02,
        cross_zone_price: 0.03,
        max_units: 6.0,
        cost_known_after: true,
        metering_window: 8000.0,
        peer_datagrams_per_second: 60.0,
    }
}

#[test]
fn each_key_is_read_into_its_setting() {
    assert_eq!(parse(SETTINGS), Ok(expected()));
}

fn without(key: &str) -> String {
    let prefix = format!("{key}=");
    let lines: Vec<&str> = SETTINGS
        .lines()
        .filter(|line| !line.starts_with(&prefix))
        .collect();
    assert_eq!(
        lines.len() + 1,
        SETTINGS.lines().count(),
        "{key} occurs in the fixture once"
    );
    lines.join("\n")
}

/// The optional keys and their defaults.
#[test_case("Zone", |s| s.zone = 0)]
#[test_case("Profiles.0.LateShare", |s| s.groups[0].late_value_share = 0.0)]
#[test_case("Profiles.2.Group", |_| ())]
#[test_case("Profiles.2.RepeatWindowS", |_| ())]
#[test_case("TiersOfService.0.ExtraWorth", |s| s.plans[0].overage_value = 0.0)]
#[test_case("TiersOfService.0.BeyondCosts", |s| s.plans[0].overage_cost = 0.0)]
#[test_case("Feedback.Names", |s| s.load_values.clear())]
#[test_case("Invariants.MustAskInS", |s| s.discovery_poll_limit = 0.0)]
#[test_case("Limits.MaxRetryAfterS", |s| s.max_retry_after = 0.0)]
#[test_case("Specifics.CounterPrice", |s| s.counter_price = 0.0)]
#[test_case("Specifics.MeteringS", |s| s.metering_window = 0.0)]
#[test_case("Specifics.PeerInPerS", |s| s.peer_datagrams_per_second = 0.0)]
#[test_case("Deductions.Probe", |s| s.probe_price = 0.0)]
#[test_case("Deductions.CrossZone", |s| s.cross_zone_price = 0.0)]
#[test_case("Something.New", |_| ())]
fn an_optional_key_has_its_default(key: &str, change: fn(&mut Settings)) {
    let mut settings = expected();
    change(&mut settings);
    assert_eq!(parse(&without(key)), Ok(settings));
}

#[test_case("Me")]
#[test_case("Instances")]
#[test_case("TickS")]
#[test_case("Profiles.count")]
#[test_case("Profiles.0.AimS")]
#[test_case("Profiles.0.HardLimitS")]
#[test_case("Profiles.0.Semantics")]
#[test_case("Profiles.0.Credit")]
#[test_case("Profiles.0.Stream")]
#[test_case("Profiles.1.Group")]
#[test_case("Profiles.1.RepeatWindowS")]
#[test_case("TiersOfService.count")]
#[test_case("TiersOfService.0.PerSecond")]
#[test_case("TiersOfService.0.Depth")]
#[test_case("TiersOfService.0.WorthFactor")]
#[test_case("TiersOfService.0.Concurrency")]
#[test_case("TiersOfService.0.NeverOverRate")]
#[test_case("TiersOfService.0.NeverOverDepth")]
#[test_case("TiersOfService.0.CapSlack")]
#[test_case("Feedback.Via")]
#[test_case("Discovery")]
#[test_case("Invariants.DrainGraceS")]
#[test_case("Invariants.FallMultiple")]
#[test_case("Invariants.FallS")]
#[test_case("Invariants.StartCapacity")]
#[test_case("Invariants.RampTimeS")]
#[test_case("Invariants.GraceToAnswerS")]
#[test_case("Limits.Cancelling")]
#[test_case("Limits.Probes")]
#[test_case("Limits.MayTell")]
#[test_case("Limits.SecondCopies")]
#[test_case("Limits.SendCap")]
#[test_case("Limits.RetryAfter")]
#[test_case("Specifics.Counter")]
#[test_case("Specifics.CountWaitS")]
#[test_case("Specifics.UnitsTop")]
#[test_case("Specifics.CostAfter")]
fn a_missing_required_key_is_reported_by_name(key: &str) {
    let error = parse(&without(key)).unwrap_err();
    assert_eq!(error.to_string(), format!("setting {key} is missing"));
}

#[test]
fn the_counter_timeout_is_optional_without_a_counter() {
    let text = without("Specifics.CountWaitS")
        .replace("Specifics.Counter=true", "Specifics.Counter=false");
    assert_eq!(
        parse(&text),
        Ok(Settings {
            has_counter: false,
            counter_timeout: 0.0,
            ..expected()
        })
    );
}

#[test_case("Me=3", "Me=3.5", "setting Me is absurd: 3.5" ; "fraction")]
#[test_case("Me=3", "Me=100001", "setting Me is absurd: 100001" ; "above the maximum")]
#[test_case("Me=3", "Me=-1", "setting Me is absurd: -1" ; "negative")]
#[test_case("TickS=0.004", "TickS=inf", "setting TickS is absurd: inf" ; "infinite")]
#[test_case("TickS=0.004", "TickS=NaN", "setting TickS is absurd: NaN" ; "not a number")]
#[test_case("Profiles.count=3", "Profiles.count=0", "setting Profiles.count is absurd: 0" ; "no profiles")]
#[test_case("Zone=2", "Zone=x", "setting Zone is absurd: x" ; "optional but invalid")]
#[test_case("Discovery=ask", "Discovery=pull", "setting Discovery is absurd: pull" ; "unknown word")]
#[test_case("Limits.Probes=false", "Limits.Probes=no", "setting Limits.Probes is absurd: no" ; "neither true nor false")]
#[test_case("Instances=7", "Instances=0", "setting Instances is absurd: 0" ; "no instances")]
fn an_invalid_value_is_reported_by_name(from: &str, to: &str, text: &str) {
    let line = |line: &str| {
        if line == from {
            to.to_string()
        } else {
            line.to_string()
        }
    };
    let changed: Vec<String> = SETTINGS.lines().map(line).collect();
    assert_eq!(parse(&changed.join("\n")).unwrap_err().to_string(), text);
}
