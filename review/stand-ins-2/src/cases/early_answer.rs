//! A server answers before it has read a long body, keeps the connection and reads on later.

use super::{configuration, RouteText};
use review_stand_ins_2::deployment::{promises_not_run, Addresses, Deployment, ZONES};
use review_stand_ins_2::http::{call, Connection, Head};
use review_stand_ins_2::record::Record;
use review_stand_ins_2::server::{self, answer, run_soundly, seal, Runs, ServerContext};
use review_stand_ins_2::{CannotRun, Verdict};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// The length of a long body. Shorter ones fit into the buffers of the sockets.
const BODY_BYTES: usize = 40 << 20;
/// A server has read this much of a long body when it answers.
const READ_FIRST_BYTES: usize = 8 << 20;
/// How much later it reads on.
const PAUSE: Duration = Duration::from_millis(5500);
const BUDGET_MS: u32 = 5000;
/// The long requests to each service.
const REQUESTS: usize = 5;
const SERVICES: [&str; 2] = ["store", "single"];

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, CannotRun> {
    let addresses = Addresses::find().ok_or("no free addresses")?;
    let runs = Runs::new(record, true);
    let behaviour = move |context: &ServerContext, connection: &mut Connection, head: &Head| {
        let length = head.content_length();
        if !has_trouble || length < READ_FIRST_BYTES {
            return run_soundly(context, connection, head, Duration::from_millis(20));
        }
        connection.read_body(READ_FIRST_BYTES)?;
        context.runs.add(&context.uid, head);
        let try_id = head.header("Try-Id").unwrap_or("");
        let seal = format!("Seal: {}", seal(context, head));
        answer(connection, 200, try_id, &[&seal], b"done")?;
        context.runs.record.line(&format!("server {} has answered {try_id} with 200", context.uid));
        sleep(PAUSE);
        let rest = connection.read_body(length - READ_FIRST_BYTES);
        let read = match &rest {
            Ok(_) => "whole".to_string(),
            Err(why) => format!("not whole: {why}"),
        };
        context.runs.record.line(&format!("server {} has read on: body {read}", context.uid));
        rest.map(|_| true)
    };
    let behaviour: Arc<server::Behaviour> = Arc::new(behaviour);
    let mut servers = Vec::new();
    // The service `store` has four servers, `single` one.
    for n in 0..5 {
        let (uid, zone) = (format!("i-{n}"), ZONES[n % 2]);
        let service = SERVICES[n / 4];
        let started = server::start(addresses.services(), &uid, service, zone, &runs, behaviour.clone());
        servers.push(started.map_err(|e| e.to_string())?);
    }
    let platform = server::start_platform(addresses.services(), &servers).map_err(|e| e.to_string())?;
    let deployment = Deployment::start(addresses, 1, platform, record)?;
    let route = RouteText { kind: "mutating", goal_ms: 800, limit_ms: BUDGET_MS };
    deployment.set_config(&configuration(1, &route, &SERVICES))?;
    deployment.await_ready()?;
    // Ordinary requests work.
    for service in SERVICES {
        let id = format!("small-{service}");
        let seen = send(&deployment, record, service, &id, b"small");
        if seen != 200 || runs.count(&id) != 1 {
            return Err(format!("an ordinary request got {seen}"));
        }
    }
    let body = vec![b'x'; BODY_BYTES];
    let (mut twice, mut refused) = (0, 0);
    for service in SERVICES {
        for n in 0..REQUESTS {
            let id = format!("{service}-{n}");
            let status = send(&deployment, record, service, &id, &body);
            let count = runs.count(&id);
            record.line(&format!("{id}: the client got {status}, servers ran it {count} times"));
            twice += usize::from(count > 1);
            refused += usize::from(count > 0 && matches!(status, 408 | 421 | 429 | 503));
            // The server reads on meanwhile.
            sleep(Duration::from_millis(1500));
        }
    }
    record.line(&format!(
        "of {} requests that may run once: {twice} ran more than once (TWICE), {refused} ran and got a promise that they had not (REFUSED)",
        2 * REQUESTS
    ));
    Ok(if twice + refused > 0 { Verdict::Broken } else { Verdict::Held })
}

fn send(deployment: &Deployment, record: &Record, service: &str, id: &str, body: &[u8]) -> u16 {
    let head = format!(
        "POST /{service}/pay HTTP/1.1\r\nHost: app.example\r\nTry-Id: {id}\r\nBudget-Ms: {BUDGET_MS}\r\nContent-Length: {}\r\n",
        body.len()
    );
    record.line(&format!("client sends {id} with {} bytes", body.len()));
    let wait = Duration::from_millis(u64::from(BUDGET_MS) + 1000);
    let seen = call(deployment.addresses.front(0), &head, body, wait);
    let promise = if promises_not_run(&seen) { " (a promise that it has not run)" } else { "" };
    record.line(&format!("client: {id} got {}{promise}", seen.describe()));
    seen.status()
}
