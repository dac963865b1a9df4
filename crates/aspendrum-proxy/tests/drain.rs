//! A planned end: how long requests are taken, and what whoever comes later hears.

mod common;

use aspendrum_proxy::door;
use aspendrum_proxy::drain::Drain;
use common::{stage, GOOD, READ};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Danger: a request that is taken when the grace is nearly over is given up in the middle.
#[test]
fn whatever_is_taken_has_its_time_before_the_end() {
    for (grace, longest, takes) in [
        (6000.0, 2000.0, 3000.0),
        (6000.0, 3000.0, 2600.0),
        (6000.0, 60_000.0, 1000.0),
    ] {
        let drain = Drain::new(grace, longest);
        assert_eq!(drain.takes_until, takes, "{drain:?}");
        assert!(
            drain.takes_until <= grace / 2.0 && drain.ends_at < grace,
            "{drain:?}"
        );
    }
    let short = Drain::new(400.0, 2000.0);
    assert!(
        short.takes_until <= 200.0 && short.ends_at <= 400.0,
        "{short:?}"
    );
    let drain = Drain::new(6000.0, 2000.0);
    assert!(
        !drain.ended(1000.0, 0, 5000.0),
        "clients hold old answers of the directory"
    );
    assert!(
        drain.ended(1300.0, 0, 500.0)
            && !drain.ended(1300.0, 0, 300.0)
            && !drain.ended(1300.0, 1, 500.0)
    );
    assert!(drain.ended(5600.0, 1, 0.0));
}

fn answer(stream: &mut TcpStream, text: &str) -> String {
    stream
        .write_all(text.replace('\n', "\r\n").as_bytes())
        .unwrap();
    let mut got = Vec::new();
    let mut byte = [0];
    // Up to the end of the head: of these answers only one has a body, of four bytes.
    while !got.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        got.push(byte[0]);
    }
    let text = String::from_utf8(got).unwrap();
    if text.contains("Content-Length: 4") {
        stream.read_exact(&mut [0; 4]).unwrap();
    }
    text
}

/// Danger: a proxy listens and takes requests until its grace is over.
#[test]
fn behind_its_bound_a_proxy_that_ends_takes_nothing_more() {
    let stage = stage(1, |_| Some(GOOD));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let own = stage.shop.clone();
    let door = thread::spawn(move || door::accept(&own, listener));
    let mut kept = TcpStream::connect(at).unwrap();
    kept.set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    assert!(answer(&mut kept, READ).starts_with("HTTP/1.1 200 "));
    let mut late = TcpStream::connect(at).unwrap();
    late.set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    // It has begun to send when the end begins.
    late.write_all(b"GET /read/2 HTTP/1.1\r\n").unwrap();
    stage.shop.begin_drain(Duration::from_millis(200));
    let closing = answer(&mut kept, READ);
    assert!(
        closing.starts_with("HTTP/1.1 200 ") && closing.contains("Connection: close"),
        "{closing}"
    );
    while stage.shop.takes_requests() {
        thread::yield_now();
    }
    let turned = answer(&mut late, "Host: a.example\nTry-Id: t9\nCredential: k1\n\n");
    assert!(
        turned.starts_with("HTTP/1.1 503 ") && turned.contains("Retry-After"),
        "{turned}"
    );
    assert!(
        turned.contains("Try-Id: t9") && turned.contains("Connection: close"),
        "{turned}"
    );
    assert_eq!(stage.seen().len(), 2, "nothing of it went to a server");
    // The next newcomer ends the listener, and whoever comes behind it is refused.
    let _ = TcpStream::connect(at);
    door.join().unwrap();
    assert!(TcpStream::connect(at).is_err());
}

/// Danger: the end begins while a request is at a server and the next one has come behind it: that is read, and its
/// connection ends without an answer, which no answer has announced.
#[test]
fn what_was_sent_ahead_is_answered_by_a_proxy_that_ends() {
    static HELD: (Mutex<bool>, Condvar) = (Mutex::new(true), Condvar::new());
    let stage = stage(1, |n| {
        if n == 0 {
            drop(
                HELD.1
                    .wait_while(HELD.0.lock().unwrap(), |held| *held)
                    .unwrap(),
            );
        }
        Some(GOOD)
    });
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let own = stage.shop.clone();
    thread::spawn(move || door::accept(&own, listener));
    let mut client = TcpStream::connect(at).unwrap();
    client
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let both = [READ.to_string(), READ.replace("t1", "ahead")].concat();
    client
        .write_all(both.replace('\n', "\r\n").as_bytes())
        .unwrap();
    while stage.seen().is_empty() {
        thread::yield_now();
    }
    stage.shop.begin_drain(Duration::from_secs(10));
    *HELD.0.lock().unwrap() = false;
    HELD.1.notify_all();
    let mut answers = String::new();
    client.read_to_string(&mut answers).unwrap();
    assert_eq!(answers.matches("HTTP/1.1 200 ").count(), 2, "{answers}");
    assert_eq!(answers.matches("Connection: close").count(), 1, "{answers}");
}
