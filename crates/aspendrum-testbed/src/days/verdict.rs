//! Evaluates reports of the bench.

use serde_json::Value;
use std::fmt::Write;

/// The result of a play according to the bench's report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BenchVerdict {
    /// A description of all problems, or `none`.
    pub text: String,
    /// Whether there were no problems.
    pub passed: bool,
}

/// Returns the verdict of a report: broken rules, faults of processes, and missed gates. An incomplete report counts as a
/// failure.
pub fn verdict(report: &Value) -> BenchVerdict {
    let (breaks, short) = (&report["breaks"], &report["short"]);
    if !breaks.is_object() || !short.is_array() || report.get("fault").is_none() {
        let text = "the report lacks the broken rules, the fault or the missed gates".into();
        return BenchVerdict {
            text,
            passed: false,
        };
    }
    let mut problems = String::new();
    for (rule, count) in breaks.as_object().into_iter().flatten() {
        // Writing to a string cannot fail, here and below.
        let _ = write!(problems, "{rule} {count}; ");
    }
    if !report["fault"].is_null() {
        let _ = write!(problems, "fault: {}; ", report["fault"]);
    }
    for gate in short.as_array().into_iter().flatten() {
        let _ = write!(problems, "gate: {gate}; ");
    }
    match problems.strip_suffix("; ") {
        Some(problems) => BenchVerdict {
            text: problems.into(),
            passed: false,
        },
        None => BenchVerdict {
            text: "none".into(),
            passed: true,
        },
    }
}
