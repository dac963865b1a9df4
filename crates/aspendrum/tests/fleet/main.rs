//! Fleets of limiters on loopback: what is fine for one and hurts when all do it. A program of its own, so
//! that its load does not disturb the tests of single limiters.

// The stand-ins are those of the suite, which uses more of them.
#[allow(dead_code)]
#[path = "../suite/helper.rs"]
mod helper;

use helper::*;
use serde_json::json;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A discovery that takes three calls in a quarter of a second, works on no more, and turns all away while
/// more come: a fleet that started at once and came again together every 100 ms never got a list, and sent to
/// drained servers for the whole day.
#[test]
fn a_fleet_that_starts_at_once_gets_its_lists_from_an_overbooked_discovery() {
    let servers = [server(WELL).0];
    let list = json!({"seq": 2, "whole": true, "hosts": hosts(&servers)}).to_string();
    let (told, came) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(Mutex::new(Vec::<Instant>::new())),
    );
    let count = told.clone();
    let overbooked = listen(move |mut stream| {
        let (mut rest, mut watched) = (Vec::new(), false);
        while message(&mut stream, &mut rest).is_some() {
            let mut came = came.lock().unwrap();
            came.retain(|at| at.elapsed() < Duration::from_millis(250));
            came.push(Instant::now());
            let room = came.len() <= 3;
            drop(came);
            let answer = if room { "200 OK" } else { "503 No" };
            let body = if room { list.as_str() } else { "" };
            let head = format!(
                "HTTP/1.1 {answer}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let _ = stream.write_all((head + body).as_bytes());
            if room && !std::mem::replace(&mut watched, true) {
                count.fetch_add(1, Ordering::SeqCst);
                // The watch goes on, and there is nothing to tell.
                message(&mut stream, &mut rest);
                thread::sleep(Duration::from_secs(30));
                return;
            }
        }
    });
    let limiters: Vec<_> = (0..10)
        .map(|n| {
            let mut config = config(&servers, counter(None), overbooked);
            (config["settings"]["Discovery"], config["seed"]) =
                (json!("ask"), json!(format!("{n}")));
            config["settings"]["Instances"] = json!(100);
            config["settings"]["Invariants"]["MustAskInS"] = json!(10.0);
            start(&config)
        })
        .collect();
    let begun = Instant::now();
    while told.load(Ordering::SeqCst) < 10 && begun.elapsed() < Duration::from_secs(20) {
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(told.load(Ordering::SeqCst), 10);
    limiters.into_iter().for_each(|l| l.stop());
}
