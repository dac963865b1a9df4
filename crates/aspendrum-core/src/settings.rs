//! From path=value lines to the module's settings, for the simulator's wire and the limiter's configuration
//! alike. Unknown keys are ignored; a needed one that is missing or absurd is refused by name.

use crate::api::*;
use std::collections::HashMap;

/// The settings tell seconds, the module milliseconds.
pub const MS: f64 = 1000.0;

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
        slo: p.number(&format!("{at}.AimS"))? * MS,
        limit: p.number(&format!("{at}.HardLimitS"))? * MS,
        semantics,
        repeat_group: if keyed {
            p.choice(&format!("{at}.Group"), &repeats)?
        } else {
            RepeatGroup::All
        },
        repeat_window: if keyed {
            p.number(&format!("{at}.RepeatWindowS"))? * MS
        } else {
            0.0
        },
        importance: p.number(&format!("{at}.Credit"))?,
        late_share: p.optional(&format!("{at}.LateShare"))?,
        stream: p.yes(&format!("{at}.Stream"))?,
    })
}

fn plan(p: &Pairs<'_>, at: &str) -> Result<PlanSettings, String> {
    Ok(PlanSettings {
        windowed: false,
        rate: p.number(&format!("{at}.PerSecond"))?,
        burst: p.number(&format!("{at}.Depth"))?,
        price: p.number(&format!("{at}.WorthFactor"))?,
        over_worth: p.optional(&format!("{at}.ExtraWorth"))?,
        over_cost: p.optional(&format!("{at}.BeyondCosts"))?,
        open: p.whole(&format!("{at}.Concurrency"), 1e9)?,
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
        me: p.whole("Me", 1e5)?,
        instances: p.whole("Instances", 1e5)?,
        zone: p.optional("Zone")? as u8,
        tick: p.number("TickS")? * MS,
        groups: p.list("Profiles", group)?,
        plans: p.list("TiersOfService", plan)?,
        load_values: names
            .split(',')
            .filter(|word| !word.is_empty())
            .map(load_value)
            .collect(),
        reports: p.choice("Feedback.Via", &via)?,
        discovery_asks: p.choice("Discovery", &[("push", false), ("ask", true)])?,
        must_ask_in: p.optional("Invariants.MustAskInS")? * MS,
        drain_grace: p.number("Invariants.DrainGraceS")? * MS,
        fall_multiple: p.number("Invariants.FallMultiple")?,
        fall_window: p.number("Invariants.FallS")? * MS,
        cold_share: p.number("Invariants.StartCapacity")?,
        cold_time: p.number("Invariants.RampTimeS")? * MS,
        answer_grace: p.number("Invariants.GraceToAnswerS")? * MS,
        may_cancel: p.yes("Limits.Cancelling")?,
        may_probe: p.yes("Limits.Probes")?,
        may_tell: p.yes("Limits.MayTell")?,
        second_copies: p.yes("Limits.SecondCopies")?,
        send_cap: p.whole("Limits.SendCap", 1e6)?,
        retry_after: p.yes("Limits.RetryAfter")?,
        max_retry_after: p.optional("Limits.MaxRetryAfterS")? * MS,
        counter,
        counter_wait: if counter {
            p.number("Specifics.CountWaitS")? * MS
        } else {
            0.0
        },
        counter_price: p.optional("Specifics.CounterPrice")?,
        probe_price: p.optional("Deductions.Probe")?,
        cross_zone_price: p.optional("Deductions.CrossZone")?,
        units_top: p.number("Specifics.UnitsTop")?,
        cost_after: p.yes("Specifics.CostAfter")?,
        meter: p.optional("Specifics.MeteringS")? * MS,
        peer_in_per_s: p.optional("Specifics.PeerInPerS")?,
    };
    if settings.instances == 0 {
        return Err("setting Instances is absurd: 0".into());
    }
    Ok(settings)
}
