//! Tests which responses end an order of the testbed's operator, and the validation of scenario steps.

use aspendrum_checker::system::OperatorCall;
use aspendrum_testbed::system::error::ScenarioError;
use aspendrum_testbed::system::fleet::Fleet;
use aspendrum_testbed::system::operator::{next_step, Operator, OrderStep};
use aspendrum_testbed::system::scenario::Scenario;
use std::sync::Arc;
use tokio::net::TcpListener;

#[test]
fn a_response_ends_an_order_as_the_protocol_defines() {
    let once = |status| next_step(status, &mut 0);
    for status in [200, 204] {
        assert_eq!(once(Some(status)), OrderStep::Acknowledged);
    }
    for status in [400, 409, 412, 413, 422] {
        assert_eq!(once(Some(status)), OrderStep::Refused(status));
    }
    for status in [None, Some(408), Some(429), Some(500), Some(503), Some(307)] {
        assert_eq!(once(status), OrderStep::Retry);
    }
    let mut others = 0;
    let steps: Vec<OrderStep> = [404, 503, 403, 429, 404]
        .map(|s| next_step(Some(s), &mut others))
        .to_vec();
    assert_eq!(
        steps,
        [
            OrderStep::Retry,
            OrderStep::Retry,
            OrderStep::Retry,
            OrderStep::Retry,
            OrderStep::Refused(404)
        ]
    );
}

fn scenario(steps: &str) -> Result<Scenario, ScenarioError> {
    let text = "name = \"x\"\nabout = \"y\"\nseconds = 1.0\ncores = 3\nspares = 1\nedges = 1\n";
    Scenario::read(&format!("{text}steps = [{steps}]\n"))
}

#[test]
fn a_scenario_with_invalid_targets_is_rejected() {
    assert!(scenario("{ at_s = 0.0, what = \"replace\", of = \"core 0\" }").is_ok());
    assert!(
        scenario("{ at_s = 0.0, what = \"kill\", of = \"core 3\" }").is_ok(),
        "a step may target a spare"
    );
    for (steps, why) in [
        (
            "{ at_s = 0.0, what = \"replace\", of = \"core 0-1\" }",
            "only 1 spares",
        ),
        (
            "{ at_s = 0.0, what = \"replace\", of = \"edge 0\" }",
            "control nodes only",
        ),
        (
            "{ at_s = 0.0, what = \"race\", of = \"origin 0\" }",
            "control nodes only",
        ),
        ("{ at_s = 0.0, what = \"race\" }", "control nodes only"),
        (
            "{ at_s = 0.0, what = \"kill\", of = \"core 4\" }",
            "matches no machine",
        ),
        (
            "{ at_s = 0.0, what = \"cut\", of = \"core 0\", form = \"loud\" }",
            "form",
        ),
    ] {
        let error = scenario(steps).unwrap_err().to_string();
        assert!(error.contains(why), "{steps}: {error}");
    }
}

/// Guards against a text that is read back and counts as never sent, because its call was abandoned at the end of a run.
#[tokio::test]
async fn a_call_that_is_abandoned_is_recorded_without_a_response() {
    let folder = tempfile::tempdir().unwrap();
    let scenario = scenario("").unwrap();
    let fleet = Fleet::prepare(&scenario, folder.path()).await.unwrap();
    let control_node = TcpListener::bind(fleet.operator_addr(0)).await.unwrap();
    let operator = Operator::new(Arc::new(fleet));
    let text = "{}".into();
    tokio::select! {
        outcome = operator.send_config(0, 5, &text) => panic!("{outcome:?}"),
        accepted = control_node.accept() => assert!(accepted.is_ok()),
    }
    let calls = operator.calls();
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].status, None);
    assert!(matches!(calls[0].call, OperatorCall::Set { number: 5, .. }));
}
