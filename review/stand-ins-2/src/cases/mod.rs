//! The cases.

mod first_version;
mod seal_status;
mod tenant_returns;
mod withheld_answer;

use review_stand_ins_2::record::Record;
use review_stand_ins_2::{CannotRun, Verdict};

/// Runs the case with that name.
pub fn run(name: &str, record: &Record, has_trouble: bool) -> Result<Verdict, CannotRun> {
    match name {
        "withheld-answer" => withheld_answer::run(record, has_trouble),
        "first-version" => first_version::run(record, has_trouble),
        "tenant-returns" => tenant_returns::run(record, has_trouble),
        "seal-status" => seal_status::run(record, has_trouble),
        _ => Err(format!("no case {name}")),
    }
}

/// The route of a configuration.
pub(crate) struct RouteText<'a> {
    pub kind: &'a str,
    pub goal_ms: u32,
    pub limit_ms: u32,
}

/// A configuration with one host, and a route with the prefix `/NAME/` for each service NAME.
pub(crate) fn configuration(version: u32, route: &RouteText<'_>, services: &[&str]) -> String {
    let rule = |service: &&str| {
        format!(
            r#"{{"name":"r-{service}","type":"{}","goal-ms":{},"prio":0,"public":false,"match":{{"pfx":"/{service}/"}},"action":{{"svc":"{service}","limit-ms":{},"tries":2,"homes":[]}}}}"#,
            route.kind, route.goal_ms, route.limit_ms
        )
    };
    let pool = |service: &&str| {
        format!(
            r#"{{"name":"{service}","check":"/healthz","max-conns":130,"proto":"h1","tls":false,"warmup-s":0.0,"warm-rate-s":100.0}}"#
        )
    };
    let rules: Vec<String> = services.iter().map(rule).collect();
    let pools: Vec<String> = services.iter().map(pool).collect();
    format!(
        r#"{{"gen":"{version:08x}","caps":{{"hdr-bytes":16384,"body-bytes":67108864,"hdr-ms":3000,"idle-ms":15000}},"ports":[{{"vhost":"app.example","rules":[{}]}}],"pools":[{}]}}"#,
        rules.join(","),
        pools.join(",")
    )
}
