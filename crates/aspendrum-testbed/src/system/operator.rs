//! The operator, as `PROTOCOL` words him: which answers end an order, whom he asks next and how soon, and the record of
//! all that he was told.

use super::clients::{call, CALL};
use super::fleet::Fleet;
use aspendrum_checker::system::{ConfigText, ControlCall, OperatorCall};
use aspendrum_checker::Millis;
use aspendrum_fake_services::lock;
use serde_json::Value;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// An operator gives up a configuration in the end.
const ORDER: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Refusals of no final kind end an order at this one.
const TRIES: u32 = 3;

/// What one answer means for its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Means {
    Done,
    Refused(u16),
    /// Another machine is asked, after a pause that grows.
    Again,
}

/// What an answer means; `None`: none came within a second. `others`: refusals of no final kind so far.
pub fn means(status: Option<u16>, others: &mut u32) -> Means {
    match status {
        Some(200..=299) => Means::Done,
        Some(status @ (400 | 409 | 412 | 413 | 422)) => Means::Refused(status),
        None | Some(408 | 429) => Means::Again,
        Some(status @ 400..=499) => {
            *others += 1;
            if *others < TRIES {
                Means::Again
            } else {
                Means::Refused(status)
            }
        }
        Some(_) => Means::Again,
    }
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Came {
    Acknowledged(Millis),
    Refused(u16),
    /// Given up without a clear answer: it may be in force or not.
    Unclear,
}

pub struct Operator {
    fleet: Arc<Fleet>,
    calls: Mutex<Vec<ControlCall>>,
}

impl Operator {
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

    /// Sends a configuration, to that machine first.
    pub async fn set(&self, first: usize, number: u32, text: &Arc<str>) -> Came {
        let one = |core: usize| async move {
            let sent = self.fleet.clock.now();
            let answer = call(self.fleet.ctl(core), "POST", "/api/Cfg.Set", text, CALL).await;
            let status = answer.map(|a| a.0);
            let asked = OperatorCall::Set {
                number,
                text: text.clone(),
            };
            let ended = self.fleet.clock.now();
            lock(&self.calls).push(ControlCall {
                control_node: core,
                sent_at: sent,
                ended_at: ended,
                call: asked,
                status,
            });
            status
        };
        self.order(first, ORDER, one).await
    }

    /// Begins or finishes an evacuation; sent again only for as long as an acknowledgement may take.
    pub async fn evacuate(&self, first: usize, zone: &str, on: bool) -> Came {
        let path = format!("/api/Evac.{}/{zone}", if on { "Begin" } else { "Finish" });
        let path = path.as_str();
        let one = |core: usize| async move {
            call(self.fleet.ctl(core), "POST", path, "", CALL)
                .await
                .map(|answer| answer.0)
        };
        let longest = Duration::from_secs_f64(self.fleet.scenario.terms.ack / 1000.0);
        self.order(first, longest, one).await
    }

    async fn order<F: std::future::Future<Output = Option<u16>>>(
        &self,
        first: usize,
        longest: Duration,
        one: impl Fn(usize) -> F,
    ) -> Came {
        let (begun, mut pause, mut others, mut core) = (Instant::now(), PAUSE, 0, first);
        while begun.elapsed() < longest {
            match means(one(core).await, &mut others) {
                Means::Done => return Came::Acknowledged(self.fleet.clock.now()),
                Means::Refused(status) => return Came::Refused(status),
                Means::Again => sleep(pause).await,
            }
            (core, pause) = (self.fleet.after(core), (pause * 2).min(LONGEST_PAUSE));
        }
        Came::Unclear
    }

    /// What that machine shows, if anything, within so long.
    pub async fn show(&self, core: usize, patience: Duration) -> Option<u32> {
        let sent = self.fleet.clock.now();
        let answer = call(self.fleet.ctl(core), "GET", "/api/Cfg.Show", "", patience).await;
        let (status, body) = answer.map_or((None, Vec::new()), |a| (Some(a.0), a.1));
        let shown = if status == Some(200) {
            shown(&body)
        } else {
            None
        };
        let number = shown.as_ref().map(|shown| shown.number);
        let ended = self.fleet.clock.now();
        lock(&self.calls).push(ControlCall {
            control_node: core,
            sent_at: sent,
            ended_at: ended,
            call: OperatorCall::Show(shown),
            status,
        });
        number
    }

    /// Asks one machine after the other until one shows something.
    pub async fn read_back(&self, first: usize) -> Option<u32> {
        let (begun, mut core) = (Instant::now(), first);
        while begun.elapsed() < ORDER {
            if let Some(number) = self.show(core, CALL).await {
                return Some(number);
            }
            sleep(PAUSE).await;
            core = self.fleet.after(core);
        }
        None
    }
}

/// A configuration as it was read back, whatever the order of its fields.
fn shown(body: &[u8]) -> Option<ConfigText> {
    let held: Value = serde_json::from_slice(body).ok()?;
    let number = u32::from_str_radix(held["gen"].as_str()?, 16).ok()?;
    Some(ConfigText {
        number,
        text: held.to_string().into(),
    })
}
