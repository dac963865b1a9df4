//! A tenant that sends many times its quota is taken out of the configuration and put back.

use super::{configuration, RouteText};
use review_stand_ins_2::deployment::{Addresses, Deployment, ZONES};
use review_stand_ins_2::http::{call_on, Connection, Head, Seen};
use review_stand_ins_2::record::Record;
use review_stand_ins_2::server::{self, run_soundly, Runs, ServerContext};
use review_stand_ins_2::{CannotRun, Verdict};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const EDGES: usize = 2;
const SERVERS: usize = 9;
/// The quota of the tenant.
const RATE: f64 = 50.0;
const BURST: f64 = 200.0;
/// The tenant sends 7.5 times its quota.
const CLIENTS_PER_PROXY: usize = 40;
const CLIENT_INTERVAL: Duration = Duration::from_millis(213);
/// Rounds of changes, with calm time before each.
const ROUNDS: usize = 4;
const CALM: Duration = Duration::from_secs(8);
/// In a round, the tenant is taken out and put back so often.
const RETURNS: usize = 3;
const BETWEEN_CHANGES: Duration = Duration::from_millis(800);
// The rule.
const WINDOW_MS: f64 = 5000.0;
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;
/// A client gives up a try that has no answer for this long.
const PATIENCE: Duration = Duration::from_secs(1);
/// The steps in which the record lists the runs.
const STEP_MS: f64 = 500.0;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, CannotRun> {
    let addresses = Addresses::find().ok_or("no free addresses")?;
    let runs = Runs::new(record, false);
    let behaviour = |context: &ServerContext, connection: &mut Connection, head: &Head| {
        run_soundly(context, connection, head, Duration::ZERO)
    };
    let behaviour: Arc<server::Behaviour> = Arc::new(behaviour);
    let mut servers = Vec::new();
    for n in 0..SERVERS {
        let (uid, zone) = (format!("i-{n}"), ZONES[n % 3]);
        let started = server::start(addresses.services(), &uid, "store", zone, &runs, behaviour.clone());
        servers.push(started.map_err(|e| e.to_string())?);
    }
    let platform = server::start_platform(addresses.services(), &servers).map_err(|e| e.to_string())?;
    let deployment = Deployment::start(addresses, EDGES, platform, record)?;
    let mut version = 1;
    deployment.set_config(&text(version, true))?;
    deployment.await_ready()?;
    // A proxy grants nothing by itself in its first five seconds.
    sleep(Duration::from_secs(6));
    let load = Load {
        fronts: (0..EDGES).map(|n| addresses.front(n)).collect(),
        record: record.clone(),
        sent_at: Arc::default(),
        next_id: Arc::default(),
        is_over: Arc::default(),
    };
    let mut clients = Vec::new();
    for proxy in 0..EDGES {
        for _ in 0..CLIENTS_PER_PROXY {
            let load = load.clone();
            clients.push(thread::spawn(move || load.run_client(proxy)));
            sleep(Duration::from_millis(2));
        }
    }
    for _ in 0..ROUNDS {
        sleep(CALM);
        for change in 0..2 * RETURNS {
            version += 1;
            // Without trouble the versions go up all the same, and the tenant stays.
            let is_present = change % 2 == 1 || !has_trouble;
            let presence = if is_present { "with" } else { "without" };
            record.line(&format!("operator: version {version}, {presence} the tenant"));
            deployment.set_config(&text(version, is_present))?;
            sleep(BETWEEN_CHANGES);
        }
    }
    sleep(CALM);
    load.is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| {
        let _ = client.join();
    });
    Ok(judge(record, &runs, &load))
}

fn text(version: u32, has_hot_tenant: bool) -> String {
    let route = RouteText { kind: "idem", goal_ms: 500, limit_ms: 2000 };
    let hot = format!(r#"{{"name":"hot","keys":["key-hot"],"prio":0,"rate-s":{RATE},"burst":{BURST},"homes":[]}},"#);
    let hot = if has_hot_tenant { hot } else { String::new() };
    let other = r#"{"name":"other","keys":["key-other"],"prio":0,"rate-s":10,"burst":10,"homes":[]}"#;
    configuration(version, &route, &["store"])
        .replace(r#""ports":["#, &format!(r#""tenants":[{hot}{other}],"ports":["#))
}

#[derive(Clone)]
struct Load {
    fronts: Vec<SocketAddr>,
    record: Record,
    sent_at: Arc<Mutex<HashMap<String, f64>>>,
    next_id: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
}

impl Load {
    /// Sends new requests at a fixed interval, each with one try.
    fn run_client(&self, proxy: usize) {
        let mut connection: Option<Connection> = None;
        let mut next_at = Instant::now();
        while !self.is_over.load(Ordering::Relaxed) {
            next_at = (next_at + CLIENT_INTERVAL).max(Instant::now());
            sleep(next_at.saturating_duration_since(Instant::now()));
            let mut open = match connection.take() {
                Some(open) => open,
                None => match TcpStream::connect_timeout(&self.fronts[proxy], PATIENCE) {
                    Ok(stream) => Connection::new(stream),
                    Err(_) => continue,
                },
            };
            let id = format!("t{:08x}", self.next_id.fetch_add(1, Ordering::Relaxed));
            if let Ok(mut sent_at) = self.sent_at.lock() {
                sent_at.insert(id.clone(), self.record.now_ms());
            }
            let head = format!(
                "GET /store/quote HTTP/1.1\r\nHost: app.example\r\nTry-Id: {id}\r\nBudget-Ms: 2000\r\nCredential: key-hot\r\n"
            );
            if let Seen::Answer { head, .. } = call_on(&mut open, &head, b"", PATIENCE) {
                let closes = head.header("Connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                connection = (!closes).then_some(open);
            }
        }
    }
}

/// Counts, for each span of the rule's length, the requests that were both sent and run in it.
fn judge(record: &Record, runs: &Runs, load: &Load) -> Verdict {
    let sent_at = load.sent_at.lock().map(|sent| sent.clone()).unwrap_or_default();
    let list = runs.list.lock().map(|list| list.clone()).unwrap_or_default();
    let mut all: Vec<(f64, f64)> = list
        .iter()
        .filter_map(|run| Some((*sent_at.get(&run.try_id)?, run.at_ms)))
        .collect();
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let last_ms = list.iter().map(|run| run.at_ms).fold(0.0, f64::max);
    for step in 0..=(last_ms / STEP_MS) as usize {
        let step_at = step as f64 * STEP_MS;
        let in_step = |run: &&server::Run| run.at_ms >= step_at && run.at_ms < step_at + STEP_MS;
        record.line(&format!("run from {step_at:.0} ms on, for {STEP_MS} ms: {}", list.iter().filter(in_step).count()));
    }
    let limit = (RATE * WINDOW_MS / 1000.0 + BURST) * (1.0 + EXCESS) + SLACK;
    let mut most = (0, 0.0);
    let mut over = 0;
    for (first, (begin, _)) in all.iter().enumerate() {
        let end = begin + WINDOW_MS;
        let inside = all[first..].iter().take_while(|(sent, _)| *sent <= end);
        let count = inside.filter(|(_, run)| *run <= end).count();
        if count > most.0 {
            most = (count, *begin);
        }
        over += usize::from(count as f64 > limit);
    }
    record.line(&format!(
        "{} requests sent, {} run; the most in 5 s: {} from {:.0} ms (limit {limit:.0}); spans over the limit: {over}",
        sent_at.len(),
        all.len(),
        most.0,
        most.1
    ));
    if most.0 as f64 > limit {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
