//! From path=value lines to the module's settings, for the simulator's wire and the limiter's configuration
//! alike. Unknown keys are ignored; a needed one that is missing or absurd is refused by name.

use crate::api::*;
use std::collections::HashMap;

/// The settings tell seconds, the module milliseconds.
pub const MILLIS_PER_SECOND: f64 = 1000.0;

struct Pairs<'a>(HashMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn text(&self, path: &str) -> Result<&'a str, String> {
        self.0
            .get(path)
            .copied()
            .ok_or_else(|| format!("setting {path} is missing"))
    }
    fn number(&self, path: &str) -> Result<f64, String> {
        let value = self.text(path)?;
        match value.parse::<f64>() {
            Ok(n) if n.is_finite() && n >= 0.0 => Ok(n),
            _ => Err(format!("setting {path} is absurd: {value}")),
        }
    }
    fn optional(&self, path: &str) -> Result<f64, String> {
        if self.0.contains_key(path) {
            self.number(path)
        } else {
            Ok(0.0)
        }
    }
    fn whole(&self, path: &str, top: f64) -> Result<u32, String> {
        let n = self.number(path)?;
        if n.fract() == 0.0 && n <= top {
            Ok(n as u32)
        } else {
            Err(format!("setting {path} is absurd: {n}"))
        }
    }
    fn choice<T: Copy>(&self, path: &str, known: &[(&str, T)]) -> Result<T, String> {
        let value = self.text(path)?;
        let found = known.iter().find(|(word, _)| *word == value);
        found
            .map(|(_, t)| *t)
            .ok_or_else(|| format!("setting {path} is absurd: {value}"))
    }
    fn yes(&self, path: &str) -> Result<bool, String> {
        self.choice(path, &[("true", true), ("false", false)])
    }
    fn list<T>(
        &self,
        name: &str,
        item: impl Fn(&Self, &str) -> Result<T, String>,
    ) -> Result<Vec<T>, String> {
        let count = self.whole(&format!("{name}.count"), 1e5)?;
        if count == 0 {
            return Err(format!("setting {name}.count is absurd: 0"));
        }
        (0..count)
            .map(|i| item(self, &format!("{name}.{i}")))
            .collect()
    }
}

fn group(p: &Pairs<'_>, at: &str) -> Result<GroupSettings, String> {
    let semantics = [
        ("retryable", Semantics::Idempotent),
        ("dedup", Semantics::Deduplicated),
        ("fragile", Semantics::NonIdempotent),
    ];
    let repeats = [
        ("all", RepeatGroup::All),
        ("zone", RepeatGroup::Zone),
        ("cell", RepeatGroup::Cell),
    ];
    let semantics = p.choice(&format!("{at}.Semantics"), &semantics)?;
    let keyed = semantics == Semantics::Deduplicated;
    Ok(GroupSettings {
        latency_target: p.number(&format!("{at}.AimS"))? * MILLIS_PER_SECOND,
        hard_limit: p.number(&format!("{at}.HardLimitS"))? * MILLIS_PER_SECOND,
        semantics,
        repeat_group: if keyed {
            p.choice(&format!("{at}.Group"), &repeats)?
        } else {
            RepeatGroup::All
        },
        repeat_window: if keyed {
            p.number(&format!("{at}.RepeatWindowS"))? * MILLIS_PER_SECOND
        } else {
            0.0
        },
        importance: p.number(&format!("{at}.Credit"))?,
        late_value_share: p.optional(&format!("{at}.LateShare"))?,
        is_streaming: p.yes(&format!("{at}.Stream"))?,
    })
}

fn plan(p: &Pairs<'_>, at: &str) -> Result<PlanSettings, String> {
    Ok(PlanSettings {
        is_windowed: false,
        rate: p.number(&format!("{at}.PerSecond"))?,
        burst: p.number(&format!("{at}.Depth"))?,
        price: p.number(&format!("{at}.WorthFactor"))?,
        overage_value: p.optional(&format!("{at}.ExtraWorth"))?,
        overage_cost: p.optional(&format!("{at}.BeyondCosts"))?,
        max_in_flight: p.whole(&format!("{at}.Concurrency"), 1e9)?,
        ceiling_rate: p.number(&format!("{at}.NeverOverRate"))?,
        ceiling_burst: p.number(&format!("{at}.NeverOverDepth"))?,
        ceiling_slack: p.number(&format!("{at}.CapSlack"))?,
    })
}

fn load_value(word: &str) -> LoadValue {
    match word {
        "busy_reqs" => LoadValue::RequestsInFlight,
        "pending" => LoadValue::RequestsQueued,
        "cpu_share" => LoadValue::CpuUtilization,
        "svc_ms" => LoadValue::ServiceTimeMs,
        "served_ps" => LoadValue::ResponsesPerSecond,
        "failed_ps" => LoadValue::FailuresPerSecond,
        _ => LoadValue::Unknown,
    }
}

pub fn read(text: &str) -> Result<Settings, String> {
    let p = Pairs(
        text.lines()
            .filter_map(|line| line.split_once('='))
            .collect(),
    );
    let via = [
        ("inline", LoadReportChannel::Responses),
        ("on_probe", LoadReportChannel::Probes),
        ("off", LoadReportChannel::Disabled),
    ];
    let names = p.0.get("Feedback.Names").copied().unwrap_or("");
    let counter = p.yes("Specifics.Counter")?;
    let settings = Settings {
        instance: p.whole("Me", 1e5)?,
        instances: p.whole("Instances", 1e5)?,
        zone: p.optional("Zone")? as u8,
        tick: p.number("TickS")? * MILLIS_PER_SECOND,
        groups: p.list("Profiles", group)?,
        plans: p.list("TiersOfService", plan)?,
        load_values: names
            .split(',')
            .filter(|word| !word.is_empty())
            .map(load_value)
            .collect(),
        load_reports: p.choice("Feedback.Via", &via)?,
        polls_discovery: p.choice("Discovery", &[("push", false), ("ask", true)])?,
        discovery_poll_limit: p.optional("Invariants.MustAskInS")? * MILLIS_PER_SECOND,
        drain_grace: p.number("Invariants.DrainGraceS")? * MILLIS_PER_SECOND,
        collapse_multiple: p.number("Invariants.FallMultiple")?,
        collapse_window: p.number("Invariants.FallS")? * MILLIS_PER_SECOND,
        slow_start_capacity: p.number("Invariants.StartCapacity")?,
        slow_start_time: p.number("Invariants.RampTimeS")? * MILLIS_PER_SECOND,
        answer_grace: p.number("Invariants.GraceToAnswerS")? * MILLIS_PER_SECOND,
        may_cancel: p.yes("Limits.Cancelling")?,
        may_probe: p.yes("Limits.Probes")?,
        may_send_datagrams: p.yes("Limits.MayTell")?,
        may_hedge: p.yes("Limits.SecondCopies")?,
        max_attempts: p.whole("Limits.SendCap", 1e6)?,
        sends_retry_after: p.yes("Limits.RetryAfter")?,
        max_retry_after: p.optional("Limits.MaxRetryAfterS")? * MILLIS_PER_SECOND,
        has_counter: counter,
        counter_timeout: if counter {
            p.number("Specifics.CountWaitS")? * MILLIS_PER_SECOND
        } else {
            0.0
        },
        counter_price: p.optional("Specifics.CounterPrice")?,
        probe_price: p.optional("Deductions.Probe")?,
        cross_zone_price: p.optional("Deductions.CrossZone")?,
        max_units: p.number("Specifics.UnitsTop")?,
        cost_known_after: p.yes("Specifics.CostAfter")?,
        metering_window: p.optional("Specifics.MeteringS")? * MILLIS_PER_SECOND,
        peer_datagrams_per_second: p.optional("Specifics.PeerInPerS")?,
    };
    if settings.instances == 0 {
        return Err("setting Instances is absurd: 0".into());
    }
    Ok(settings)
}
