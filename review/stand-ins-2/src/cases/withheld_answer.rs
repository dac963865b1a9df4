//! A server answers before it has read a long body, and reads on slowly.

use super::{configuration, RouteText};
use review_stand_ins_2::deployment::{Addresses, Deployment, ZONES};
use review_stand_ins_2::http::{call, Connection, Head};
use review_stand_ins_2::record::Record;
use review_stand_ins_2::server::{self, answer, run_soundly, seal, Runs, ServerContext};
use review_stand_ins_2::{CannotRun, Verdict};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const BODY_BYTES: usize = 10 << 20;
const READ_FIRST_BYTES: usize = 256 << 10;
/// It reads on by this much at a time.
const PIECE_BYTES: usize = 64 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(400);
const LIMIT_MS: u32 = 2000;
/// The rule: a final answer is due this long after the route's time.
const GRACE_MS: f64 = 500.0;
/// How long the clients wait, far beyond their own deadline.
const WAIT: Duration = Duration::from_secs(15);
const REQUESTS: usize = 10;
/// The rule: eight or more, and over a quarter.
const MIN_LATE: usize = 8;

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
        let mut rest = length - READ_FIRST_BYTES;
        while rest > 0 {
            sleep(PIECE_PAUSE);
            let piece = rest.min(PIECE_BYTES);
            connection.read_body(piece)?;
            rest -= piece;
        }
        Ok(true)
    };
    let behaviour: Arc<server::Behaviour> = Arc::new(behaviour);
    let mut servers = Vec::new();
    for n in 0..8 {
        let (uid, zone) = (format!("i-{n}"), ZONES[n % 2]);
        let started = server::start(addresses.services(), &uid, "store", zone, &runs, behaviour.clone());
        servers.push(started.map_err(|e| e.to_string())?);
    }
    let platform = server::start_platform(addresses.services(), &servers).map_err(|e| e.to_string())?;
    let deployment = Deployment::start(addresses, 1, platform, record)?;
    let route = RouteText { kind: "mutating", goal_ms: 800, limit_ms: LIMIT_MS };
    deployment.set_config(&configuration(1, &route, &["store"]))?;
    deployment.await_ready()?;
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let front = addresses.front(0);
    let clients: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let (body, record) = (body.clone(), record.clone());
            sleep(Duration::from_millis(150));
            thread::spawn(move || {
                let id = format!("long-{n}");
                let head = format!(
                    "POST /store/pay HTTP/1.1\r\nHost: app.example\r\nTry-Id: {id}\r\nBudget-Ms: {LIMIT_MS}\r\nContent-Length: {}\r\n",
                    body.len()
                );
                record.line(&format!("client sends {id}"));
                let sent_at = Instant::now();
                let seen = call(front, &head, &body, WAIT);
                let took = sent_at.elapsed().as_secs_f64() * 1000.0;
                record.line(&format!("client: {id} got {} after {took:.0} ms", seen.describe()));
                (id, seen.status(), took)
            })
        })
        .collect();
    let seen: Vec<(String, u16, f64)> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let mut late = 0;
    for (id, status, took) in &seen {
        let has_run = runs.count(id) > 0;
        let is_late = *status == 0 || *took > f64::from(LIMIT_MS) + GRACE_MS;
        late += usize::from(is_late && has_run);
    }
    record.line(&format!(
        "{late} of {} requests that servers ran and answered had no final answer {GRACE_MS} ms after their route's {LIMIT_MS} ms",
        seen.len()
    ));
    let is_broken = late >= MIN_LATE && 4 * late > seen.len();
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
