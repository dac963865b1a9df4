//! The operator numbers its configurations from zero.

use super::{configuration, RouteText};
use review_stand_ins_2::deployment::{Addresses, Deployment, ZONES};
use review_stand_ins_2::http::{call, Connection, Head, Seen};
use review_stand_ins_2::record::Record;
use review_stand_ins_2::server::{self, run_soundly, Runs, ServerContext};
use review_stand_ins_2::{CannotRun, Verdict};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long the operator asks for the configuration: at the end of a day it asks for `contact-ms` at least.
const READ_BACK: Duration = Duration::from_secs(12);
const CORES: usize = 3;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, CannotRun> {
    let addresses = Addresses::find().ok_or("no free addresses")?;
    let runs = Runs::new(record, true);
    let behaviour = |context: &ServerContext, connection: &mut Connection, head: &Head| {
        run_soundly(context, connection, head, Duration::from_millis(20))
    };
    let behaviour: Arc<server::Behaviour> = Arc::new(behaviour);
    let started = server::start(addresses.services(), "i-0", "store", ZONES[0], &runs, behaviour);
    let servers = [started.map_err(|e| e.to_string())?];
    let platform = server::start_platform(addresses.services(), &servers).map_err(|e| e.to_string())?;
    let deployment = Deployment::start(addresses, 1, platform, record)?;
    let route = RouteText { kind: "idem", goal_ms: 500, limit_ms: 2000 };
    let text = configuration(if has_trouble { 0 } else { 1 }, &route, &["store"]);
    deployment.set_config(&text)?;
    let deadline = Instant::now() + READ_BACK;
    let mut n = 0;
    while Instant::now() < deadline {
        let address = addresses.operator(n % CORES);
        let head = format!("GET /api/Cfg.Show HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n");
        let seen = call(address, &head, b"", Duration::from_secs(1));
        record.line(&format!("operator: Cfg.Show at core-{}: {}", n % CORES, seen.describe()));
        if let Seen::Answer { head, body } = &seen {
            if head.status() == 200 {
                let is_same = body.as_slice() == text.as_bytes();
                record.line(&format!("the configuration that was acknowledged comes back: {is_same}"));
                return Ok(if is_same { Verdict::Held } else { Verdict::Broken });
            }
        }
        sleep(Duration::from_millis(300));
        n += 1;
    }
    record.line("the configuration that was acknowledged does not come back");
    Ok(Verdict::Broken)
}
