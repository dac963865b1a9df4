//! An operator that follows the protocol: which responses end an order, which control node is tried next and after which
//! delay. All calls except those about evacuations are recorded with their responses.

use super::fleet::Fleet;
use super::http_call::{call, CALL_TIMEOUT};
use aspendrum_checker::system::{ConfigText, ControlCall, OperatorCall};
use aspendrum_checker::Millis;
use aspendrum_fake_services::lock;
use serde_json::Value;
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The time after which an operator gives up sending or reading a configuration.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(20);
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The number of 4xx responses with no specific meaning that together end an order.
const MAX_OTHER_REFUSALS: u32 = 3;
const STATUS_OK: u16 = 200;

/// What a response means for its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// The order is acknowledged.
    Acknowledged,
    /// The order is rejected with the given status, and is not retried.
    Refused(u16),
    /// The order is sent to the next control node after a backoff.
    Retry,
}

/// Returns what a response status means for the order. `None` stands for a call without a response in time.
///
/// `other_refusals` counts the order's 4xx responses that have no specific meaning, and is incremented for each further one.
pub fn next_step(status: Option<u16>, other_refusals: &mut u32) -> OrderStep {
    match status {
        Some(200..=299) => OrderStep::Acknowledged,
        Some(status @ (400 | 409 | 412 | 413 | 422)) => OrderStep::Refused(status),
        None | Some(408 | 429) => OrderStep::Retry,
        Some(status @ 400..=499) => {
            *other_refusals += 1;
            if *other_refusals < MAX_OTHER_REFUSALS {
                OrderStep::Retry
            } else {
                OrderStep::Refused(status)
            }
        }
        Some(_) => OrderStep::Retry,
    }
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OrderOutcome {
    /// The order was acknowledged at the given time.
    Acknowledged(Millis),
    /// The order was rejected with the given status.
    Refused(u16),
    /// The order was given up without a definite response, and may or may not be in force.
    Unclear,
}

/// An operator that sends orders to the control nodes and records its calls.
pub struct Operator {
    fleet: Arc<Fleet>,
    calls: Mutex<Vec<ControlCall>>,
}

impl Operator {
    /// Creates an operator of a fleet.
    pub fn new(fleet: Arc<Fleet>) -> Operator {
        Operator {
            fleet,
            calls: Mutex::default(),
        }
    }

    /// Returns all calls about configurations so far. Calls about evacuations are not recorded.
    pub fn calls(&self) -> Vec<ControlCall> {
        lock(&self.calls).clone()
    }

    /// Sends a configuration, starting with control node `first`.
    pub async fn send_config(&self, first: usize, number: u32, text: &Arc<str>) -> OrderOutcome {
        let send = |node: usize| async move {
            let call = OperatorCall::Set {
                number,
                text: text.clone(),
            };
            self.post_config(node, call, text).await
        };
        self.send_order(first, CONFIG_TIMEOUT, send).await
    }

    /// Sends an invalid configuration text to one control node. Returns the status of the response, if there was one.
    pub async fn send_invalid(&self, node: usize, number: u32, text: &Arc<str>) -> Option<u16> {
        let call = OperatorCall::SetInvalid {
            number,
            text: text.clone(),
        };
        self.post_config(node, call, text).await
    }

    /// Posts a configuration text. Returns the status of the response, if there was one.
    async fn post_config(&self, node: usize, sent: OperatorCall, text: &str) -> Option<u16> {
        let mut pending = PendingCall {
            operator: self,
            node,
            sent_at: self.fleet.clock.now(),
            call: Some(sent),
            status: None,
        };
        let address = self.fleet.operator_addr(node);
        let response = call(address, "POST", "/api/Cfg.Set", text, CALL_TIMEOUT).await;
        pending.status = response.map(|(status, _)| status);
        pending.status
    }

    /// Begins or finishes an evacuation. The order is retried until the acknowledgement bound has passed.
    pub async fn evacuate(&self, first: usize, zone: &str, begins: bool) -> OrderOutcome {
        let path = format!(
            "/api/Evac.{}/{zone}",
            if begins { "Begin" } else { "Finish" }
        );
        let path = path.as_str();
        let send = |node: usize| async move {
            let response = call(
                self.fleet.operator_addr(node),
                "POST",
                path,
                "",
                CALL_TIMEOUT,
            )
            .await;
            response.map(|(status, _)| status)
        };
        let timeout = Duration::from_secs_f64(self.fleet.scenario.terms.ack / 1000.0);
        self.send_order(first, timeout, send).await
    }

    /// Sends an order to one control node after another until it is acknowledged, rejected or timed out.
    async fn send_order<F: Future<Output = Option<u16>>>(
        &self,
        first: usize,
        timeout: Duration,
        send: impl Fn(usize) -> F,
    ) -> OrderOutcome {
        let started_at = Instant::now();
        let (mut backoff, mut other_refusals, mut node) = (INITIAL_BACKOFF, 0, first);
        while started_at.elapsed() < timeout {
            match next_step(send(node).await, &mut other_refusals) {
                OrderStep::Acknowledged => {
                    return OrderOutcome::Acknowledged(self.fleet.clock.now());
                }
                OrderStep::Refused(status) => return OrderOutcome::Refused(status),
                OrderStep::Retry => sleep(backoff).await,
            }
            (node, backoff) = (self.fleet.next_member(node), (backoff * 2).min(MAX_BACKOFF));
        }
        OrderOutcome::Unclear
    }

    /// Returns the version of the configuration that a control node shows, if it responds within the timeout.
    pub async fn shown_version(&self, node: usize, timeout: Duration) -> Option<u32> {
        let sent_at = self.fleet.clock.now();
        let response = call(
            self.fleet.operator_addr(node),
            "GET",
            "/api/Cfg.Show",
            "",
            timeout,
        )
        .await;
        let (status, body) =
            response.map_or((None, Vec::new()), |(status, body)| (Some(status), body));
        let shown = if status == Some(STATUS_OK) {
            parse_config(&body)
        } else {
            None
        };
        let number = shown.as_ref().map(|config| config.number);
        self.record(node, sent_at, OperatorCall::Show(shown), status);
        number
    }

    /// Returns the version of the configuration at the end of a run, trying one control node after another.
    pub async fn final_version(&self, first: usize) -> Option<u32> {
        let (started_at, mut node) = (Instant::now(), first);
        while started_at.elapsed() < CONFIG_TIMEOUT {
            if let Some(number) = self.shown_version(node, CALL_TIMEOUT).await {
                return Some(number);
            }
            sleep(INITIAL_BACKOFF).await;
            node = self.fleet.next_member(node);
        }
        None
    }

    fn record(&self, node: usize, sent_at: Millis, call: OperatorCall, status: Option<u16>) {
        let ended_at = self.fleet.clock.now();
        lock(&self.calls).push(ControlCall {
            control_node: node,
            sent_at,
            ended_at,
            call,
            status,
        });
    }
}

/// A call in progress, which is recorded when this value is dropped. A call that is abandoned is recorded without a
/// response: it may have taken effect.
struct PendingCall<'o> {
    operator: &'o Operator,
    node: usize,
    sent_at: Millis,
    call: Option<OperatorCall>,
    status: Option<u16>,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            self.operator
                .record(self.node, self.sent_at, call, self.status);
        }
    }
}

/// Parses a configuration that was read back. Its text is normalized, so that it doesn't depend on the order of fields.
fn parse_config(body: &[u8]) -> Option<ConfigText> {
    let config: Value = serde_json::from_slice(body).ok()?;
    let number = u32::from_str_radix(config["gen"].as_str()?, 16).ok()?;
    Some(ConfigText {
        number,
        text: config.to_string().into(),
    })
}
