//! Parses settings from lines of `path=value`, as used by both the simulator and the gateway's
//! configuration. Unknown paths are ignored. A missing or invalid setting is reported with its
//! path.

use crate::api::{
    GroupSettings, LoadReportChannel, LoadValue, Millis, PlanSettings, RepeatGroup, Semantics,
    Settings,
};
use derive_more::{Display, Error};
use std::collections::HashMap;

/// The factor between seconds, as used in settings, and milliseconds, as used by the engine.
pub const MILLIS_PER_SECOND: f64 = 1000.0;

/// The maximum number of instances and of entries in a list.
const MAX_COUNT: f64 = 1e5;
const MAX_ATTEMPTS: f64 = 1e6;
const MAX_CONCURRENCY: f64 = 1e9;

/// An error in the settings.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum SettingsError {
    /// A required setting is missing.
    #[display("setting {path} is missing")]
    Missing {
        /// The path.
        path: String,
    },
    /// A value has the wrong type or is out of range.
    #[display("setting {path} is absurd: {value}")]
    Invalid {
        /// The path.
        path: String,
        /// The value.
        value: String,
    },
}

impl SettingsError {
    fn invalid(path: &str, value: impl ToString) -> Self {
        SettingsError::Invalid {
            path: path.into(),
            value: value.to_string(),
        }
    }
}

/// Parses all settings.
///
/// # Errors
///
/// Returns the first setting found to be missing or invalid.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    let pairs = Pairs(
        text.lines()
            .filter_map(|line| line.split_once('='))
            .collect(),
    );
    let settings = parse_settings(&pairs)?;
    if settings.instances == 0 {
        return Err(SettingsError::invalid("Instances", 0));
    }
    Ok(settings)
}

/// Values by path.
struct Pairs<'a>(HashMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn text(&self, path: &str) -> Result<&'a str, SettingsError> {
        self.0
            .get(path)
            .copied()
            .ok_or_else(|| SettingsError::Missing { path: path.into() })
    }

    /// Returns a finite, non-negative number.
    fn number(&self, path: &str) -> Result<f64, SettingsError> {
        let value = self.text(path)?;
        match value.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
            _ => Err(SettingsError::invalid(path, value)),
        }
    }

    /// Returns a number, or 0 if the setting is missing.
    fn number_or_zero(&self, path: &str) -> Result<f64, SettingsError> {
        if self.0.contains_key(path) {
            self.number(path)
        } else {
            Ok(0.0)
        }
    }

    fn seconds(&self, path: &str) -> Result<Millis, SettingsError> {
        Ok(self.number(path)? * MILLIS_PER_SECOND)
    }

    fn seconds_or_zero(&self, path: &str) -> Result<Millis, SettingsError> {
        Ok(self.number_or_zero(path)? * MILLIS_PER_SECOND)
    }

    fn integer(&self, path: &str, max: f64) -> Result<u32, SettingsError> {
        let number = self.number(path)?;
        if number.fract() == 0.0 && number <= max {
            Ok(number as u32)
        } else {
            Err(SettingsError::invalid(path, number))
        }
    }

    fn keyword<T: Copy>(&self, path: &str, keywords: &[(&str, T)]) -> Result<T, SettingsError> {
        let value = self.text(path)?;
        keywords
            .iter()
            .find(|(keyword, _)| *keyword == value)
            .map(|(_, parsed)| *parsed)
            .ok_or_else(|| SettingsError::invalid(path, value))
    }

    fn boolean(&self, path: &str) -> Result<bool, SettingsError> {
        self.keyword(path, &[("true", true), ("false", false)])
    }

    /// Returns a list of at least one entry. `parse_entry` is called with the path of each entry.
    fn list<T>(
        &self,
        path: &str,
        parse_entry: impl Fn(&Self, &str) -> Result<T, SettingsError>,
    ) -> Result<Vec<T>, SettingsError> {
        let count_path = format!("{path}.count");
        let count = self.integer(&count_path, MAX_COUNT)?;
        if count == 0 {
            return Err(SettingsError::invalid(&count_path, 0));
        }
        (0..count)
            .map(|number| parse_entry(self, &format!("{path}.{number}")))
            .collect()
    }
}

fn parse_settings(pairs: &Pairs<'_>) -> Result<Settings, SettingsError> {
    let has_counter = pairs.boolean("Specifics.Counter")?;
    Ok(Settings {
        instance: pairs.integer("Me", MAX_COUNT)?,
        instances: pairs.integer("Instances", MAX_COUNT)?,
        zone: pairs.number_or_zero("Zone")? as u8,
        tick: pairs.seconds("TickS")?,
        groups: pairs.list("Profiles", parse_group)?,
        plans: pairs.list("TiersOfService", parse_plan)?,
        load_values: parse_load_values(pairs),
        load_reports: pairs.keyword("Feedback.Via", &LOAD_REPORT_CHANNELS)?,
        polls_discovery: pairs.keyword("Discovery", &[("push", false), ("ask", true)])?,
        discovery_poll_limit: pairs.seconds_or_zero("Invariants.MustAskInS")?,
        drain_grace: pairs.seconds("Invariants.DrainGraceS")?,
        collapse_multiple: pairs.number("Invariants.FallMultiple")?,
        collapse_window: pairs.seconds("Invariants.FallS")?,
        slow_start_capacity: pairs.number("Invariants.StartCapacity")?,
        slow_start_time: pairs.seconds("Invariants.RampTimeS")?,
        answer_grace: pairs.seconds("Invariants.GraceToAnswerS")?,
        may_cancel: pairs.boolean("Limits.Cancelling")?,
        may_probe: pairs.boolean("Limits.Probes")?,
        may_send_datagrams: pairs.boolean("Limits.MayTell")?,
        may_hedge: pairs.boolean("Limits.SecondCopies")?,
        max_attempts: pairs.integer("Limits.SendCap", MAX_ATTEMPTS)?,
        sends_retry_after: pairs.boolean("Limits.RetryAfter")?,
        max_retry_after: pairs.seconds_or_zero("Limits.MaxRetryAfterS")?,
        has_counter,
        counter_timeout: if has_counter {
            pairs.seconds("Specifics.CountWaitS")?
        } else {
            0.0
        },
        counter_price: pairs.number_or_zero("Specifics.CounterPrice")?,
        probe_price: pairs.number_or_zero("Deductions.Probe")?,
        cross_zone_price: pairs.number_or_zero("Deductions.CrossZone")?,
        max_units: pairs.number("Specifics.UnitsTop")?,
        cost_known_after: pairs.boolean("Specifics.CostAfter")?,
        metering_window: pairs.seconds_or_zero("Specifics.MeteringS")?,
        peer_datagrams_per_second: pairs.number_or_zero("Specifics.PeerInPerS")?,
    })
}

const SEMANTICS: [(&str, Semantics); 3] = [
    ("retryable", Semantics::Idempotent),
    ("dedup", Semantics::Deduplicated),
    ("fragile", Semantics::NonIdempotent),
];
const REPEAT_GROUPS: [(&str, RepeatGroup); 3] = [
    ("all", RepeatGroup::All),
    ("zone", RepeatGroup::Zone),
    ("cell", RepeatGroup::Cell),
];
const LOAD_REPORT_CHANNELS: [(&str, LoadReportChannel); 3] = [
    ("inline", LoadReportChannel::Responses),
    ("on_probe", LoadReportChannel::Probes),
    ("off", LoadReportChannel::Disabled),
];
const LOAD_VALUES: [(&str, LoadValue); 6] = [
    ("busy_reqs", LoadValue::RequestsInFlight),
    ("pending", LoadValue::RequestsQueued),
    ("cpu_share", LoadValue::CpuUtilization),
    ("svc_ms", LoadValue::ServiceTimeMs),
    ("served_ps", LoadValue::ResponsesPerSecond),
    ("failed_ps", LoadValue::FailuresPerSecond),
];

fn parse_group(pairs: &Pairs<'_>, path: &str) -> Result<GroupSettings, SettingsError> {
    let semantics = pairs.keyword(&format!("{path}.Semantics"), &SEMANTICS)?;
    let is_deduplicated = semantics == Semantics::Deduplicated;
    Ok(GroupSettings {
        latency_target: pairs.seconds(&format!("{path}.AimS"))?,
        hard_limit: pairs.seconds(&format!("{path}.HardLimitS"))?,
        semantics,
        repeat_group: if is_deduplicated {
            pairs.keyword(&format!("{path}.Group"), &REPEAT_GROUPS)?
        } else {
            RepeatGroup::All
        },
        repeat_window: if is_deduplicated {
            pairs.seconds(&format!("{path}.RepeatWindowS"))?
        } else {
            0.0
        },
        importance: pairs.number(&format!("{path}.Credit"))?,
        late_value_share: pairs.number_or_zero(&format!("{path}.LateShare"))?,
        is_streaming: pairs.boolean(&format!("{path}.Stream"))?,
    })
}

fn parse_plan(pairs: &Pairs<'_>, path: &str) -> Result<PlanSettings, SettingsError> {
    Ok(PlanSettings {
        is_windowed: false,
        rate: pairs.number(&format!("{path}.PerSecond"))?,
        burst: pairs.number(&format!("{path}.Depth"))?,
        price: pairs.number(&format!("{path}.WorthFactor"))?,
        overage_value: pairs.number_or_zero(&format!("{path}.ExtraWorth"))?,
        overage_cost: pairs.number_or_zero(&format!("{path}.BeyondCosts"))?,
        max_in_flight: pairs.integer(&format!("{path}.Concurrency"), MAX_CONCURRENCY)?,
        rate_limit: pairs.number(&format!("{path}.NeverOverRate"))?,
        rate_limit_burst: pairs.number(&format!("{path}.NeverOverDepth"))?,
        rate_limit_slack: pairs.number(&format!("{path}.CapSlack"))?,
    })
}

/// Parses the meanings of the values in a load report. An unknown name yields
/// [`LoadValue::Unknown`], so that the other values keep their positions.
fn parse_load_values(pairs: &Pairs<'_>) -> Vec<LoadValue> {
    let names = pairs.0.get("Feedback.Names").copied().unwrap_or("");
    let load_value = |name: &str| {
        let known = LOAD_VALUES.iter().find(|(keyword, _)| *keyword == name);
        known.map_or(LoadValue::Unknown, |(_, value)| *value)
    };
    names
        .split(',')
        .filter(|name| !name.is_empty())
        .map(load_value)
        .collect()
}
