//! What a report of the bench says.

use serde_json::Value;
use std::fmt::Write;

/// What a report of the bench says of a day.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BenchVerdict {
    /// What was wrong, in words.
    pub text: String,
    /// Whether nothing was.
    pub is_good: bool,
}

/// What a report says was wrong: broken rules, faults of processes, and missed gates.
pub fn verdict(report: &Value) -> BenchVerdict {
    let (breaks, short) = (&report["breaks"], &report["short"]);
    if !breaks.is_object() || !short.is_array() || report.get("fault").is_none() {
        let text = "a report that says nothing of rules, faults or the gate".into();
        return BenchVerdict {
            text,
            is_good: false,
        };
    }
    let mut wrong = String::new();
    for (rule, count) in breaks.as_object().into_iter().flatten() {
        // Writing to memory does not fail, here and below.
        let _ = write!(wrong, "{rule} {count}; ");
    }
    if !report["fault"].is_null() {
        let _ = write!(wrong, "fault: {}; ", report["fault"]);
    }
    for gate in short.as_array().into_iter().flatten() {
        let _ = write!(wrong, "gate: {gate}; ");
    }
    match wrong.strip_suffix("; ") {
        Some(wrong) => BenchVerdict {
            text: wrong.into(),
            is_good: false,
        },
        None => BenchVerdict {
            text: "none".into(),
            is_good: true,
        },
    }
}
