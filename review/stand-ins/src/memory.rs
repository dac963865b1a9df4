//! Fault: clients send bodies inside `body-bytes`, and proxies go over `mem-mb`. The platform kills a process that does,
//! and starts it again.

use crate::fleet::{Addresses, Fleet, Role};
use crate::services::{start_platform, start_server, Runs, Server};
use crate::{configuration, http, Run, Verdict, HOST, KEY, SERVICE, ZONE};
use std::collections::HashMap;
use std::io;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const EDGES: usize = 2;
/// `mem-mb` of the edge machines of pampa-lb.
const MEMORY_MB: u64 = 260;
/// Nine tenths of `body-bytes`, and the largest body of pampa-lb for the run without trouble.
const LONG_BODY: usize = 60_000_000;
const SHORT_BODY: usize = 7200;
/// How many clients send at the same time, to both edge machines together.
const CLIENTS: usize = 4;
const ROUNDS: usize = 4;
const LIMIT_MS: u32 = 5000;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// How long after the end of a process the platform starts it again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

pub fn play(run: &Run) -> io::Result<Verdict> {
    let addresses = Addresses::pick()?;
    let runs = Arc::new(Runs::default());
    let handler = |server: &Server, head: &http::Head, stream: &mut TcpStream| {
        let try_id = head.field("Try-Id").unwrap_or("").to_string();
        let length = head.content_length();
        if http::skip_body(stream, length)? < length {
            return Ok(false);
        }
        server.run(&try_id);
        sleep(Duration::from_millis(78));
        server.answer(stream, &try_id, 200, "OK", b"confirmed")?;
        Ok(true)
    };
    let handler = Arc::new(handler);
    let mut servers = Vec::new();
    for number in 0..8 {
        let uid = format!("i-7f3a91c{number}");
        servers.push(start_server(
            addresses.services(),
            &uid,
            SERVICE,
            &run.record,
            &runs,
            handler.clone(),
        )?);
    }
    let platform = start_platform(addresses.services(), ZONE, servers)?;
    let fleet = Fleet::start(
        &run.root,
        addresses,
        EDGES,
        MEMORY_MB,
        platform,
        run.record.clone(),
    )?;
    fleet.configure(&configuration("mutating", LIMIT_MS, 800, 2))?;
    fleet.await_ready()?;
    sleep(Duration::from_millis(1500));
    let fronts = fleet.look_up()?;
    let fleet = Arc::new(Mutex::new(fleet));
    let is_over = Arc::new(AtomicBool::new(false));
    let watcher = {
        let (fleet, is_over) = (fleet.clone(), is_over.clone());
        thread::spawn(move || watch(&fleet, &is_over))
    };

    let body = Arc::new(vec![
        b'x';
        if run.has_trouble {
            LONG_BODY
        } else {
            SHORT_BODY
        }
    ]);
    let mut number = 0_u64;
    let mut cut = Vec::new();
    for round in 0..ROUNDS {
        run.record.line(&format!(
            "round {round}: {CLIENTS} clients send {} bytes each",
            body.len()
        ));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                number += 1;
                let try_id = format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + number);
                let front = fronts[client % fronts.len()];
                let (body, record) = (body.clone(), run.record.clone());
                thread::spawn(move || {
                    let budget = LIMIT_MS.to_string();
                    let fields = [
                        ("Host", HOST),
                        ("Try-Id", &try_id),
                        ("Budget-Ms", &budget),
                        ("Credential", KEY),
                    ];
                    let timeout = Duration::from_millis(u64::from(LIMIT_MS));
                    let answer = http::call(front, "POST", "/xapu221/pay", &fields, &body, timeout);
                    let text = answer.as_ref().map_or_else(
                        |error| error.to_string(),
                        |answer| answer.status.to_string(),
                    );
                    record.line(&format!("client of {try_id} at {front} gets {text}"));
                    answer.is_err()
                })
            })
            .collect();
        cut.extend(
            clients
                .into_iter()
                .map(|client| client.join().unwrap_or(true)),
        );
        sleep(Duration::from_secs(4));
    }
    is_over.store(true, Ordering::Relaxed);
    let watched = watcher.join().unwrap_or_default();
    for (role, peak) in &watched.peaks {
        run.record
            .line(&format!("{role}: at most {peak} MB resident"));
    }
    let cut_count = cut.iter().filter(|is_cut| **is_cut).count();
    run.record.line(&format!(
        "{cut_count} of {} requests got no answer",
        cut.len()
    ));
    let total: usize = watched.ends.values().sum();
    let mut breaks = Vec::new();
    if total >= 3 && watched.ends.len() >= 2 {
        breaks.push(format!(
            "Fault: processes on {} machines went over {MEMORY_MB} MB and ended, {total} times in all; {cut_count} of {} requests got no answer",
            watched.ends.len(),
            cut.len()
        ));
    }
    if !run.has_trouble && cut_count > 0 {
        return Err(io::Error::other(
            "requests without an answer though there was no trouble",
        ));
    }
    Ok(Verdict { breaks })
}

#[derive(Default)]
struct Watched {
    /// The peak memory of each process.
    peaks: HashMap<String, u64>,
    /// How often processes ended by themselves, by machine.
    ends: HashMap<usize, usize>,
}

/// Plays the platform: kills the processes that go over their memory, and starts ended ones again.
fn watch(fleet: &Mutex<Fleet>, is_over: &AtomicBool) -> Watched {
    let mut watched = Watched::default();
    let mut due: Vec<(Instant, Role)> = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        sleep(SAMPLE_INTERVAL);
        let mut fleet = fleet.lock().unwrap_or_else(|e| e.into_inner());
        for edge in 0..EDGES {
            for role in [Role::Proxy(edge), Role::Agent(edge)] {
                if due.iter().any(|(_, waiting)| *waiting == role) {
                    continue;
                }
                let used = fleet.pid(role).and_then(peak_mb).unwrap_or(0);
                let peak = watched.peaks.entry(role.name()).or_default();
                *peak = (*peak).max(used);
                let ended = fleet.ended(role);
                let is_over_limit = used > fleet.memory_mb;
                if !is_over_limit && ended.is_none() {
                    continue;
                }
                let why = ended.unwrap_or_else(|| {
                    format!("{used} MB are over mem-mb, killed by the platform")
                });
                fleet.record.line(&format!("{} ends: {why}", role.name()));
                fleet.kill(role);
                *watched.ends.entry(edge).or_default() += 1;
                due.push((Instant::now() + RESTART_DELAY, role));
            }
        }
        let now = Instant::now();
        for (_, role) in due.extract_if(.., |(at, _)| *at <= now) {
            let started = fleet.restart(role);
            fleet.record.line(&format!(
                "the platform starts {} again: {started:?}",
                role.name()
            ));
        }
    }
    watched
}

/// The most memory that a process has had resident so far.
fn peak_mb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes / 1024)
}
