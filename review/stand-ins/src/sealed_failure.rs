//! MIXED: a server whose health answer is good fails part of its requests, with a status that carries no `Not-Run`.

use crate::fleet::{Addresses, Fleet};
use crate::record::Record;
use crate::services::{start_platform, start_server, Runs, Server};
use crate::{configuration, http, Run, Verdict, HOST, KEY, SERVICE, ZONE};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Duration;

const CLIENTS: usize = 8;
/// The requests of each client.
const REQUESTS: usize = 60;
const SERVERS: usize = 7;
/// One of seven servers fails two in five of its requests: `srv_grey` with its share of .15 and x of .4.
const FAILING_SERVER: usize = 0;
const FAILS: usize = 2;
const OF: usize = 5;
const LIMIT_MS: u32 = 2000;

pub fn play(run: &Run) -> io::Result<Verdict> {
    let addresses = Addresses::pick()?;
    let runs = Arc::new(Runs::default());
    let has_trouble = run.has_trouble;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let handled = AtomicUsize::new(0);
        let handler = move |server: &Server, head: &http::Head, stream: &mut TcpStream| {
            let try_id = head.field("Try-Id").unwrap_or("").to_string();
            http::skip_body(stream, head.content_length())?;
            server.run(&try_id);
            sleep(Duration::from_millis(78));
            let fails = has_trouble
                && number == FAILING_SERVER
                && handled.fetch_add(1, Ordering::Relaxed) % OF < FAILS;
            if fails {
                server.answer(
                    stream,
                    &try_id,
                    503,
                    "Service Unavailable",
                    b"failed halfway",
                )?;
            } else {
                server.answer(stream, &try_id, 200, "OK", b"confirmed")?;
            }
            Ok(true)
        };
        let uid = format!("i-7f3a91c{number}");
        servers.push(start_server(
            addresses.services(),
            &uid,
            SERVICE,
            &run.record,
            &runs,
            Arc::new(handler),
        )?);
    }
    let platform = start_platform(addresses.services(), ZONE, servers)?;
    let fleet = Fleet::start(&run.root, addresses, 1, 260, platform, run.record.clone())?;
    fleet.configure(&configuration("mutating", LIMIT_MS, 300, 2))?;
    fleet.await_ready()?;
    let front = fleet.look_up()?[0];

    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (runs, record) = (runs.clone(), run.record.clone());
            thread::spawn(move || send_requests(client, front, &runs, &record))
        })
        .collect();
    let mut breaks = Vec::new();
    for client in clients {
        breaks.extend(
            client
                .join()
                .map_err(|_| io::Error::other("a client failed"))??,
        );
    }
    Ok(Verdict { breaks })
}

/// Plays one client. Returns the breaks that it has seen.
fn send_requests(
    client: usize,
    front: SocketAddr,
    runs: &Runs,
    record: &Record,
) -> io::Result<Vec<String>> {
    let mut breaks = Vec::new();
    for number in 0..REQUESTS {
        let try_id = format!(
            "{:016x}",
            0x9c41_d07b_e2a3_0000_u64 + (client * REQUESTS + number) as u64
        );
        let budget = LIMIT_MS.to_string();
        let fields = [
            ("Host", HOST),
            ("Try-Id", &try_id),
            ("Budget-Ms", &budget),
            ("Credential", KEY),
        ];
        let timeout = Duration::from_millis(u64::from(LIMIT_MS));
        let answer = http::call(
            front,
            "POST",
            "/xapu221/pay",
            &fields,
            b"one payout",
            timeout,
        )?;
        let seal = answer.head.field("Seal");
        record.line(&format!(
            "client gets {} for {try_id}, Seal {}",
            answer.status,
            seal.unwrap_or("none")
        ));
        let given = runs.statuses(&try_id);
        if seal.is_some() && !given.contains(&answer.status) {
            breaks.push(format!(
                "MIXED: {try_id} is answered with {} and the server's Seal {}, but the server gave {given:?}",
                answer.status,
                seal.unwrap_or("none")
            ));
        }
        sleep(Duration::from_millis(50));
    }
    Ok(breaks)
}
