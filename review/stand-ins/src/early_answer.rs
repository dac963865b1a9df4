//! TWICE: a server answers before it has read a long body, keeps the connection and reads on later.

use crate::fleet::{Addresses, Fleet};
use crate::services::{start_platform, start_server, Runs, Server};
use crate::{configuration, http, Run, Verdict, HOST, KEY, SERVICE, ZONE};
use std::collections::HashSet;
use std::io;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

const REQUESTS: usize = 5;
/// A quarter of `body-bytes`.
const BODY_BYTES: usize = 16 << 20;
/// How much of a body the server has read when it answers.
const FIRST_PART: usize = 256 << 10;
/// When the server reads on.
const READS_ON_AFTER: Duration = Duration::from_millis(4500);
const WORK: Duration = Duration::from_millis(50);
/// The deadline of payout-confirm at pampa-lb-large.
const LIMIT_MS: u32 = 5000;

pub fn play(run: &Run) -> io::Result<Verdict> {
    let addresses = Addresses::pick()?;
    let runs = Arc::new(Runs::default());
    let answered_early: Arc<Mutex<HashSet<String>>> = Arc::default();
    let has_trouble = run.has_trouble;
    let handler = move |server: &Server, head: &http::Head, stream: &mut TcpStream| {
        let try_id = head.field("Try-Id").unwrap_or("").to_string();
        let length = head.content_length();
        server.record.line(&format!(
            "request {try_id} arrives at server {}, {length} bytes of body are due",
            server.uid
        ));
        // Only the first server that gets a request answers early.
        let is_early = has_trouble && answered_early.lock().unwrap().insert(try_id.clone());
        let first = http::skip_body(
            stream,
            if is_early {
                FIRST_PART.min(length)
            } else {
                length
            },
        )?;
        if !is_early && first < length {
            server.record.line(&format!(
                "the body of {try_id} breaks off at server {}; it isn't run",
                server.uid
            ));
            return Ok(false);
        }
        server.run(&try_id);
        sleep(WORK);
        server.answer(stream, &try_id, 200, "OK", b"confirmed")?;
        if is_early {
            sleep(READS_ON_AFTER);
            let rest = http::skip_body(stream, length - first)?;
            server.record.line(&format!(
                "server {} has read on: {rest} of {} further bytes of {try_id} came",
                server.uid,
                length - first
            ));
            return Ok(first + rest == length);
        }
        Ok(true)
    };
    let handler = Arc::new(handler);
    let mut servers = Vec::new();
    for uid in ["i-7f3a91c1", "i-7f3a91c2", "i-7f3a91c3"] {
        servers.push(start_server(
            addresses.services(),
            uid,
            SERVICE,
            &run.record,
            &runs,
            handler.clone(),
        )?);
    }
    let platform = start_platform(addresses.services(), ZONE, servers)?;
    let fleet = Fleet::start(&run.root, addresses, 1, 260, platform, run.record.clone())?;
    fleet.configure(&configuration("mutating", LIMIT_MS, 800, 2))?;
    fleet.await_ready()?;
    let front = fleet.look_up()?[0];

    let body = vec![b'x'; BODY_BYTES];
    let mut breaks = Vec::new();
    for number in 0..REQUESTS {
        let try_id = format!("{:016x}", 0x9c41_d07b_e2a3_5f00_u64 + number as u64);
        run.record.line(&format!(
            "client sends POST {try_id} with {BODY_BYTES} bytes to {front}"
        ));
        let budget = LIMIT_MS.to_string();
        let fields = [
            ("Host", HOST),
            ("Try-Id", &try_id),
            ("Budget-Ms", &budget),
            ("Credential", KEY),
        ];
        let timeout = Duration::from_millis(u64::from(LIMIT_MS));
        let answer = http::call(front, "POST", "/xapu221/pay", &fields, &body, timeout);
        match &answer {
            Ok(answer) => run
                .record
                .line(&format!("client gets {} for {try_id}", answer.status)),
            Err(error) => run
                .record
                .line(&format!("client gets no answer for {try_id}: {error}")),
        }
        // A late run would count too.
        sleep(Duration::from_millis(300));
        let ran = runs.of(&try_id);
        run.record.line(&format!("{try_id} was run by {ran:?}"));
        if ran.len() > 1 {
            breaks.push(format!(
                "TWICE: request {try_id}, not repeatable, was run by {}",
                ran.join(" and ")
            ));
        }
        let status = answer.map_or(0, |answer| answer.status);
        if !ran.is_empty() && matches!(status, 408 | 421 | 429 | 503) {
            breaks.push(format!(
                "REFUSED: request {try_id} got {status}, yet it was run by {}",
                ran.join(" and ")
            ));
        }
        if !has_trouble && (status != 200 || ran.len() != 1) {
            return Err(io::Error::other(format!(
                "without trouble {try_id} got {status} and ran {} times",
                ran.len()
            )));
        }
    }
    Ok(Verdict { breaks })
}
