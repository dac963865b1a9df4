//! An operator, as the protocol defines it: which answers end an order, which control node is asked next and how soon, and
//! the record of all calls and their answers.

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

/// An operator gives up a configuration after so long.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(20);
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// So many refusals that are not final by themselves end an order.
const MAX_OTHER_REFUSALS: u32 = 3;
const STATUS_OK: u16 = 200;

/// What one answer means for its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// It is acknowledged.
    Acknowledged,
    /// It is refused for good, with that status.
    Refused(u16),
    /// Another control node is asked, after a backoff.
    Retry,
}

/// What an answer means; `None`: there was none in time. `other_refusals`: the refusals so far that are not final by
/// themselves.
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

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OrderOutcome {
    /// It was acknowledged then.
    Acknowledged(Millis),
    /// It was refused for good, with that status.
    Refused(u16),
    /// It was given up without a clear answer, and may be in force or not.
    Unclear,
}

/// An operator.
pub struct Operator {
    fleet: Arc<Fleet>,
    calls: Mutex<Vec<ControlCall>>,
}

impl Operator {
    /// An operator of that fleet, without any call so far.
    pub fn new(fleet: Arc<Fleet>) -> Operator {
        Operator {
            fleet,
            calls: Mutex::default(),
        }
    }

    /// All calls so far, but for those about zones.
    pub fn calls(&self) -> Vec<ControlCall> {
        lock(&self.calls).clone()
    }

    /// Sends a configuration, to that control node first.
    pub async fn send_config(&self, first: usize, number: u32, text: &Arc<str>) -> OrderOutcome {
        let send = |node: usize| async move {
            let sent_at = self.fleet.clock.now();
            let answer = call(
                self.fleet.ctl(node),
                "POST",
                "/api/Cfg.Set",
                text,
                CALL_TIMEOUT,
            )
            .await;
            let status = answer.map(|(status, _)| status);
            let call = OperatorCall::Set {
                number,
                text: text.clone(),
            };
            self.record(node, sent_at, call, status);
            status
        };
        self.send_order(first, CONFIG_TIMEOUT, send).await
    }

    /// Sends a text that is not valid to one control node. Returns the status of the answer, if there was one.
    pub async fn send_invalid(&self, node: usize, number: u32, text: &Arc<str>) -> Option<u16> {
        let sent_at = self.fleet.clock.now();
        let answer = call(
            self.fleet.ctl(node),
            "POST",
            "/api/Cfg.Set",
            text,
            CALL_TIMEOUT,
        )
        .await;
        let status = answer.map(|(status, _)| status);
        let call = OperatorCall::SetInvalid {
            number,
            text: text.clone(),
        };
        self.record(node, sent_at, call, status);
        status
    }

    /// Begins or finishes an evacuation. It is sent again only for as long as an acknowledgement may take.
    pub async fn evacuate(&self, first: usize, zone: &str, begins: bool) -> OrderOutcome {
        let path = format!(
            "/api/Evac.{}/{zone}",
            if begins { "Begin" } else { "Finish" }
        );
        let path = path.as_str();
        let send = |node: usize| async move {
            let answer = call(self.fleet.ctl(node), "POST", path, "", CALL_TIMEOUT).await;
            answer.map(|(status, _)| status)
        };
        let timeout = Duration::from_secs_f64(self.fleet.scenario.terms.ack / 1000.0);
        self.send_order(first, timeout, send).await
    }

    /// Sends an order to one control node after another until it is acknowledged, refused or given up.
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
            (node, backoff) = (self.fleet.after(node), (backoff * 2).min(MAX_BACKOFF));
        }
        OrderOutcome::Unclear
    }

    /// The version that a control node shows, if any, within that time.
    pub async fn shown_version(&self, node: usize, timeout: Duration) -> Option<u32> {
        let sent_at = self.fleet.clock.now();
        let answer = call(self.fleet.ctl(node), "GET", "/api/Cfg.Show", "", timeout).await;
        let (status, body) =
            answer.map_or((None, Vec::new()), |(status, body)| (Some(status), body));
        let shown = if status == Some(STATUS_OK) {
            parse_config(&body)
        } else {
            None
        };
        let number = shown.as_ref().map(|config| config.number);
        self.record(node, sent_at, OperatorCall::Show(shown), status);
        number
    }

    /// The version that is shown in the end, by one control node after another.
    pub async fn final_version(&self, first: usize) -> Option<u32> {
        let (started_at, mut node) = (Instant::now(), first);
        while started_at.elapsed() < CONFIG_TIMEOUT {
            if let Some(number) = self.shown_version(node, CALL_TIMEOUT).await {
                return Some(number);
            }
            sleep(INITIAL_BACKOFF).await;
            node = self.fleet.after(node);
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

/// A configuration as it was read, whatever the order of its fields.
fn parse_config(body: &[u8]) -> Option<ConfigText> {
    let config: Value = serde_json::from_slice(body).ok()?;
    let number = u32::from_str_radix(config["gen"].as_str()?, 16).ok()?;
    Some(ConfigText {
        number,
        text: config.to_string().into(),
    })
}
