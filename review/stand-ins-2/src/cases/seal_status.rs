//! A server's own failure, which it has stamped.

use super::{configuration, RouteText};
use review_stand_ins_2::deployment::{Addresses, Deployment, ZONES};
use review_stand_ins_2::http::{call, Connection, Head, Seen};
use review_stand_ins_2::record::Record;
use review_stand_ins_2::server::{self, answer, run_soundly, seal, Runs, ServerContext};
use review_stand_ins_2::{CannotRun, Verdict};
use std::sync::Arc;
use std::time::Duration;

const REQUESTS: usize = 10;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, CannotRun> {
    let addresses = Addresses::find().ok_or("no free addresses")?;
    let runs = Runs::new(record, true);
    let behaviour = move |context: &ServerContext, connection: &mut Connection, head: &Head| {
        if !has_trouble {
            return run_soundly(context, connection, head, Duration::from_millis(20));
        }
        connection.read_body(head.content_length())?;
        context.runs.add(&context.uid, head);
        let seal = format!("Seal: {}", seal(context, head));
        answer(connection, 503, head.header("Try-Id").unwrap_or(""), &[&seal], b"failed")?;
        Ok(true)
    };
    let behaviour: Arc<server::Behaviour> = Arc::new(behaviour);
    let mut servers = Vec::new();
    for n in 0..4 {
        let (uid, zone) = (format!("i-{n}"), ZONES[n % 2]);
        let started = server::start(addresses.services(), &uid, "store", zone, &runs, behaviour.clone());
        servers.push(started.map_err(|e| e.to_string())?);
    }
    let platform = server::start_platform(addresses.services(), &servers).map_err(|e| e.to_string())?;
    let deployment = Deployment::start(addresses, 1, platform, record)?;
    let route = RouteText { kind: "mutating", goal_ms: 800, limit_ms: 2000 };
    deployment.set_config(&configuration(1, &route, &["store"]))?;
    deployment.await_ready()?;
    let mut mixed = 0;
    for n in 0..REQUESTS {
        let id = format!("try-{n}");
        let head = format!(
            "POST /store/pay HTTP/1.1\r\nHost: app.example\r\nTry-Id: {id}\r\nBudget-Ms: 2000\r\nContent-Length: 5\r\n"
        );
        let seen = call(addresses.front(0), &head, b"small", Duration::from_secs(3));
        record.line(&format!("client: {id} got {}", seen.describe()));
        if !has_trouble && seen.status() != 200 {
            return Err(format!("an ordinary request got {}", seen.describe()));
        }
        if let Seen::Answer { head, .. } = &seen {
            let has_run = runs.count(&id) > 0;
            mixed += usize::from(has_run && has_trouble && head.header("Seal").is_some() && head.status() != 503);
        }
    }
    record.line(&format!("{mixed} of {REQUESTS} failures bear a server's Seal and another status than the server's 503"));
    Ok(if mixed > 0 { Verdict::Broken } else { Verdict::Held })
}
