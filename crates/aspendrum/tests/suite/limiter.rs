//! A whole limiter on loopback among stand-ins: what becomes of a query when something around it fails.

use crate::helper::*;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

const HALF: Does = Does::AnswersAndCloses("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhel");
const ENDLESS: Does = Does::AnswersAndCloses("HTTP/1.1 200 OK\r\n\r\nhello");
const NONSENSE: Does = Does::Answers("220 mail.example ESMTP\r\n\r\n");
const ERROR: Does = Does::Answers("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
const UNREADABLE: Does = Does::Answers(
    "HTTP/1.1 200 OK\r\nX-Pressure: TEXT cpu_share=lots\r\nX-Units-Charged: 1e30\r\nContent-Length: 5\r\n\r\nhello",
);
const AHEAD: Does = Does::Answers(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
);
const SWITCH: Does =
    Does::Answers("HTTP/1.1 101 Go\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
const TWO_LENGTHS: Does =
    Does::Answers("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhello");
const CHUNKS: Does = Does::Answers(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
);

// Rule 2 on sockets: what may have run is sent again, or called shed, only where its group allows it.
#[test_case("pay", WELL, 200, 1 ; "mutating and well")]
#[test_case("pay", UNREADABLE, 200, 1 ; "a report and a figure without sense cost only themselves")]
#[test_case("pay", AHEAD, 200, 1 ; "interim answers ahead")]
#[test_case("pay", SWITCH, 504, 1 ; "another protocol offered")]
#[test_case("pay", TWO_LENGTHS, 504, 1 ; "two lengths")]
#[test_case("look", CHUNKS, 200, 1 ; "a body in chunks arrives whole")]
#[test_case("look", Does::Cuts, 503, 2 ; "repeatable and cut is tried elsewhere then shed")]
#[test_case("pay", Does::Cuts, 504, 1 ; "mutating and cut may have run")]
#[test_case("pay", HALF, 504, 1 ; "half an answer is none")]
#[test_case("pay", ENDLESS, 504, 1 ; "an answer that only the close ends is none")]
#[test_case("pay", NONSENSE, 504, 1 ; "another protocol")]
#[test_case("pay", ERROR, 504, 1 ; "an error may have run")]
#[test_case("pay", Does::Hangs, 504, 1 ; "a hang ends in time")]
#[test_case("look", Does::Hangs, 503, 1 ; "a hang of a repeatable query is shed")]
#[test_case("pay", FULL, 503, 2 ; "turned away never ran and may go on")]
fn a_query_and_its_servers(lane: &str, does: Does, expected: u16, forwards: usize) {
    let ((one, seen), (two, also)) = (server(does), server(does));
    let limiter = limiter(&[one, two]);
    let begun = Instant::now();
    let answer = ask(&mut connect(&limiter), &query(lane));
    assert_eq!(status(&answer), expected, "{answer}");
    assert!(begun.elapsed() < Duration::from_secs(2));
    assert_eq!(
        seen.queries.load(Ordering::SeqCst) + also.queries.load(Ordering::SeqCst),
        forwards
    );
    assert_eq!(answer.ends_with("\r\n\r\nhello"), expected == 200);
    limiter.stop();
}

#[test]
fn a_refused_connection_proves_that_nothing_ran() {
    let gone = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let limiter = limiter(&[gone]);
    assert_eq!(status(&ask(&mut connect(&limiter), &query("pay"))), 503);
    limiter.stop();
}

#[test_case("nonsense\r\n\r\n", 400 ; "no HTTP")]
#[test_case("GET /look HTTP/1.1\r\nX-Lane: look\r\n\r\n", 400 ; "no id no plan no time")]
#[test_case("BREW /look HTTP/1.1\r\n\r\n", 405 ; "no such method")]
#[test_case("POST /pay HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413 ; "too large")]
#[test_case("POST /pay HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 413 ; "no number is as large")]
#[test_case("POST /pay HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400 ; "below nothing")]
#[test_case("POST /pay HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400 ; "two lengths")]
#[test_case("POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 411 ; "chunks")]
#[test_case("POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", 400 ; "both")]
fn malformed_queries_get_4xx_and_the_next_client_is_served(text: &str, expected: u16) {
    let limiter = limiter(&[server(WELL).0]);
    assert_eq!(status(&ask(&mut connect(&limiter), text)), expected);
    assert_eq!(status(&ask(&mut connect(&limiter), &query("look"))), 200);
    limiter.stop();
}

#[test_case("X-Txn: 9b1f", "X-Txn: \r\nX-Other: 9b1f" ; "empty id")]
#[test_case("X-Lane: look", "X-Lane: moon" ; "unknown group")]
#[test_case("X-Plan: team", "X-Plan: moon" ; "unknown plan")]
#[test_case("client=", "client=zz" ; "customer is no number")]
#[test_case("client=00000000", "client=ffffffff" ; "customer too large")]
#[test_case("900m", "900" ; "time without a unit")]
#[test_case("900m", "-9m" ; "time below nothing")]
#[test_case("900m", "NaNm" ; "time is no number")]
#[test_case("units=1,", "units=inf," ; "endless units")]
#[test_case("900m", "0m" ; "no time at all")]
#[test_case("900m", "1e300m" ; "time without end")]
#[test_case("spread=1,", "" ; "no spread")]
#[test_case("spread=1,", "spread=0," ; "spread over none")]
#[test_case("spread=1,", "spread=2," ; "spread over more than there are")]
#[test_case("spread=1,", "spread=0.5," ; "spread over half of one")]
#[test_case("spread=1,", "spread=1,spread=1," ; "spread twice")]
#[test_case("first=0", "first=1" ; "first is not there")]
#[test_case("first=0", "first=-1" ; "first below nothing")]
#[test_case("units=1,", "units=NaN," ; "units no number")]
#[test_case("units=1,", "units=0," ; "no units")]
#[test_case("units=1,", "units=2," ; "more units than any query takes")]
#[test_case("client=00000000", "client=0" ; "customer with too few digits")]
#[test_case("client=0000", "client=+000" ; "customer with a sign")]
#[test_case("b4d65521", "b4d65521; client=0000000000000001" ; "two customers")]
#[test_case("X-Plan: team", "X-Plan: team\r\nX-Plan: team" ; "plan twice")]
#[test_case("X-Txn:", "x-txn: 1\r\nX-Txn:" ; "two names")]
#[test_case("GET /look", "POST /look" ; "a method that is not its group's")]
#[test_case("GET /look", "GET /pay" ; "a path that is not its group's")]
#[test_case("GET /look", "GET /lookout" ; "a path that only begins alike")]
#[test_case("Host: x", "Host: x\r\nContent-Length: 0\r\nTransfer-Encoding: chunked" ; "two kinds of length")]
fn a_query_with_one_fault_is_refused(from: &str, to: &str) {
    let (addr, seen) = server(WELL);
    let limiter = limiter(&[addr]);
    assert_eq!(
        status(&ask(
            &mut connect(&limiter),
            &query("look").replace(from, to)
        )),
        400
    );
    assert_eq!(seen.queries.load(Ordering::SeqCst), 0);
    limiter.stop();
}

// Servers could take one for the other, and drop or answer the wrong one.
#[test]
fn a_name_that_is_still_open_elsewhere_is_refused() {
    let (addr, seen) = server(Does::Waits(
        300,
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    ));
    let limiter = limiter(&[addr]);
    let (mut first, text) = (connect(&limiter), query("pay"));
    first.write_all(text.as_bytes()).unwrap();
    assert!(soon(|| seen.queries.load(Ordering::SeqCst) == 1));
    assert_eq!(status(&ask(&mut connect(&limiter), &text)), 409);
    assert_eq!(status(&message(&mut first, &mut Vec::new()).unwrap()), 200);
    assert_eq!(status(&ask(&mut connect(&limiter), &text)), 200);
    limiter.stop();
}

// The fault is the client's: it hears of it, and the server's standing and other servers are left alone.
#[test]
fn what_a_server_takes_for_malformed_goes_no_further() {
    let ((one, seen), (two, also)) = (server(MALFORMED), server(MALFORMED));
    let limiter = limiter(&[one, two]);
    for n in 1..=8 {
        assert_eq!(status(&ask(&mut connect(&limiter), &query("look"))), 400);
        assert_eq!(
            seen.queries.load(Ordering::SeqCst) + also.queries.load(Ordering::SeqCst),
            n
        );
    }
    limiter.stop();
}

// Silent, or silent in the middle of a head: it must not keep a thread and a descriptor for long.
#[test_case("", 0 ; "nothing")]
#[test_case("GET /look HTTP/1.1\r\nHost:", 408 ; "half a head")]
#[test_case("POST /pay HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", 408 ; "half a body")]
fn a_connection_that_asks_nothing_is_closed_in_time(text: &str, expected: u16) {
    let limiter = limiter(&[server(WELL).0]);
    let begun = Instant::now();
    assert_eq!(status(&ask(&mut connect(&limiter), text)), expected);
    assert!(begun.elapsed() < Duration::from_millis(2900));
    limiter.stop();
}

// Connections that ask once and are kept for good take what the usual clients may open: a crowd of them goes
// soon.
#[test]
fn a_crowd_of_idle_connections_is_closed_sooner() {
    let limiter = limiter(&[server(WELL).0]);
    let mut kept: Vec<_> = (0..90).map(|_| connect(&limiter)).collect();
    for stream in &mut kept {
        assert_eq!(
            status(&ask(stream, "GET /health/ready HTTP/1.1\r\n\r\n")),
            200
        );
    }
    let begun = Instant::now();
    assert_eq!(kept[89].read(&mut [0]).unwrap(), 0);
    assert!(begun.elapsed() < Duration::from_millis(2000));
    limiter.stop();
}

// Hundreds that say nothing must not push out the connections of clients that ask, nor have them shed.
#[test]
fn a_flood_of_silent_connections_costs_the_usual_clients_nothing() {
    let limiter = limiter(&[server(WELL).0]);
    let mut usual: Vec<_> = (0..40).map(|_| connect(&limiter)).collect();
    for stream in &mut usual {
        assert_eq!(status(&ask(stream, &query("look"))), 200);
    }
    let flood: Vec<_> = (0..300).map(|_| connect(&limiter)).collect();
    assert_eq!(status(&ask(&mut connect(&limiter), &query("look"))), 200);
    for stream in &mut usual {
        assert_eq!(status(&ask(stream, &query("look"))), 200);
    }
    drop(flood);
    limiter.stop();
}

// What comes behind an answer, at once or a moment later, belongs to nobody: the next query must not get it.
#[test_case(0 ; "at once")]
#[test_case(5 ; "a moment later")]
fn what_trails_an_answer_is_not_the_next_ones(wait: u64) {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    let stale = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
    let limiter = limiter(&[server(Does::Trails(answer, wait, stale)).0]);
    let mut stream = connect(&limiter);
    for n in 0..30 {
        let got = ask(&mut stream, &query("look"));
        assert!(got.ends_with("hello"), "{n}: {got}");
        thread::sleep(Duration::from_millis(n % 13));
    }
    limiter.stop();
}

// Given up while its server's connection is still coming up, a query's client hears at once; the line of a
// listener that accepts nothing is filled first, so that no connection comes up.
#[test]
fn a_query_given_up_while_it_connects_is_answered_at_once() {
    let full = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    full.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    full.listen(0).unwrap();
    let addr = full.local_addr().unwrap().as_socket().unwrap();
    let wait = Duration::from_millis(50);
    let taken: Vec<_> = (0..4)
        .map(|_| TcpStream::connect_timeout(&addr, wait))
        .collect();
    let list = json!({"seq": 2, "whole": true, "hosts": hosts(&[addr])}).to_string();
    let mut config = config(&[addr], counter(None), discovery(list));
    config["settings"]["Limits"]["ConnectTimeoutS"] = json!(5.0);
    let limiter = start(&config);
    let begun = Instant::now();
    let answer = ask(
        &mut connect(&limiter),
        &query("pay").replace("900m", "300m"),
    );
    assert!(
        status(&answer) >= 500 && begun.elapsed() < Duration::from_millis(600),
        "{answer}"
    );
    drop(taken);
    limiter.stop();
}

#[test]
fn a_head_without_end_is_cut_short() {
    let limiter = limiter(&[server(WELL).0]);
    let mut stream = connect(&limiter);
    let answer = ask(
        &mut stream,
        &format!("GET /look HTTP/1.1\r\nX-Long: {}", "x".repeat(20_000)),
    );
    assert_eq!(status(&answer), 431);
    limiter.stop();
}

#[test]
fn a_keyed_query_without_its_key_is_refused() {
    let limiter = limiter(&[server(WELL).0]);
    assert_eq!(
        status(&ask(
            &mut connect(&limiter),
            &query("book").replace("Idempotency-Key: k\r\n", "")
        )),
        400
    );
    limiter.stop();
}

// The danger: work for nobody, and a descriptor that stays taken.
#[test]
fn a_client_that_leaves_takes_its_forward_along() {
    let (addr, seen) = server(Does::Hangs);
    let limiter = limiter(&[addr]);
    let mut stream = connect(&limiter);
    stream.write_all(query("pay").as_bytes()).unwrap();
    assert!(soon(|| seen.queries.load(Ordering::SeqCst) == 1));
    let begun = Instant::now();
    stream.shutdown(Shutdown::Both).unwrap();
    assert!(soon(|| seen.ended.load(Ordering::SeqCst) == 1));
    assert!(begun.elapsed() < Duration::from_millis(800));
    limiter.stop();
}

// The danger: the bytes of a query sent ahead hide the close that comes behind them, and both are seen through.
#[test]
fn a_client_that_leaves_behind_a_query_sent_ahead_is_heard() {
    let (addr, seen) = server(Does::Hangs);
    let list = json!({"seq": 2, "whole": true, "hosts": hosts(&[addr])}).to_string();
    let mut config = config(&[addr], counter(None), discovery(list));
    // Far longer than this test waits: nothing else ends the query.
    for key in ["AimS", "HardLimitS"] {
        config["settings"]["Profiles"][2][key] = json!(60.0);
    }
    // Connections of probes end too.
    config["settings"]["Limits"]["Probes"] = json!(false);
    let limiter = start(&config);
    let mut stream = connect(&limiter);
    let long = || query("pay").replace("900m", "60000m");
    stream.write_all(long().as_bytes()).unwrap();
    assert!(soon(|| seen.queries.load(Ordering::SeqCst) == 1));
    stream.write_all(long().as_bytes()).unwrap();
    drop(stream);
    assert!(soon(|| seen.ended.load(Ordering::SeqCst) == 1));
    assert_eq!(
        seen.queries.load(Ordering::SeqCst),
        1,
        "the query sent ahead has nobody to answer"
    );
    limiter.stop();
}

#[test]
fn connections_are_kept_on_both_sides_and_queries_sent_ahead_wait() {
    let (addr, seen) = server(WELL);
    let limiter = limiter(&[addr]);
    let mut stream = connect(&limiter);
    stream
        .write_all(
            [query("look"), query("look"), query("pay")]
                .concat()
                .as_bytes(),
        )
        .unwrap();
    let mut rest = Vec::new();
    for _ in 0..3 {
        assert_eq!(status(&message(&mut stream, &mut rest).unwrap()), 200);
    }
    let opened = seen.connections.load(Ordering::SeqCst);
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(50));
        assert_eq!(status(&ask(&mut stream, &query("look"))), 200);
    }
    assert_eq!(seen.connections.load(Ordering::SeqCst), opened);
    limiter.stop();
}

// A connection that the server closed while it was idle would end a mutating query in doubt.
#[test]
fn a_connection_closed_while_idle_is_not_written_to() {
    let (addr, seen) = server(Does::AnswersAndCloses(
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ));
    let limiter = limiter(&[addr]);
    let mut stream = connect(&limiter);
    for n in 1..=3 {
        assert_eq!(status(&ask(&mut stream, &query("pay"))), 200);
        assert_eq!(seen.connections.load(Ordering::SeqCst), n);
        thread::sleep(Duration::from_millis(20));
    }
    limiter.stop();
}

#[test_case(Some("-BUSY line is long\r\n") ; "turns all calls away")]
#[test_case(Some("") ; "says nothing")]
#[test_case(Some("$3\r\nabc\r\n") ; "talks nonsense")]
#[test_case(Some("*9999999\r\n") ; "another type")]
#[test_case(None ; "adds")]
fn a_counter_in_trouble_does_not_stop_queries(reply: Option<&'static str>) {
    let servers = [server(WELL).0];
    let limiter = start(&config(&servers, counter(reply), discovery("{}".into())));
    let mut stream = connect(&limiter);
    for _ in 0..8 {
        assert_eq!(status(&ask(&mut stream, &query("look"))), 200);
    }
    limiter.stop();
}

#[test_case("" ; "nothing")]
#[test_case("{\"seq\":3,\"whole\":true,\"hosts\":[{\"host\":7}]}" ; "an entry without sense")]
#[test_case("{\"seq\":-3,\"whole\":true,\"hosts\":[]}" ; "a version without sense")]
#[test_case("[[[[" ; "no JSON")]
fn discovery_that_talks_nonsense_leaves_the_last_list(text: &str) {
    let servers = [server(WELL).0];
    let limiter = start(&config(&servers, counter(None), discovery(text.into())));
    thread::sleep(Duration::from_millis(100));
    assert_eq!(status(&ask(&mut connect(&limiter), &query("pay"))), 200);
    limiter.stop();
}

#[test]
fn an_orderly_end_answers_what_it_took_and_takes_what_still_comes() {
    let slow = Does::Waits(300, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    let limiter = limiter(&[server(slow).0, server(slow).0]);
    let mut ready = connect(&limiter);
    assert_eq!(
        status(&ask(&mut ready, "GET /health/ready HTTP/1.1\r\n\r\n")),
        200
    );
    let (mut early, mut late, idle) = (connect(&limiter), connect(&limiter), ready);
    early.write_all(query("pay").as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(50));
    let end = thread::spawn(move || limiter.drain());
    thread::sleep(Duration::from_millis(150));
    late.write_all(query("pay").as_bytes()).unwrap();
    for mut stream in [early, late] {
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        assert!(
            answer.contains("Connection: close") && answer.ends_with("hello"),
            "{answer}"
        );
    }
    assert_eq!((&idle).read(&mut [0]).unwrap(), 0);
    end.join().unwrap();
}

// The machine accepts connections before the limiter does: over its descriptors it must still answer.
#[test]
fn more_clients_than_descriptors_are_all_answered() {
    let limiter = limiter(&[server(WELL).0]);
    let idle: Vec<_> = (0..200).map(|_| connect(&limiter)).collect();
    let asking = |_| {
        let mut stream = connect(&limiter);
        stream.write_all(query("look").as_bytes()).unwrap();
        stream
    };
    let mut busy: Vec<_> = (0..200).map(asking).collect();
    for stream in &mut busy {
        let answer = message(stream, &mut Vec::new()).unwrap_or_default();
        assert!([200, 503].contains(&status(&answer)), "{answer}");
    }
    drop(idle);
    limiter.stop();
}

#[test]
fn a_connection_whose_client_wants_it_closed_ends_with_the_answer() {
    let limiter = limiter(&[server(WELL).0]);
    let mut stream = connect(&limiter);
    let text = query("look").replace("Host: x", "Host: x\r\nConnection: close");
    stream.write_all(text.repeat(2).as_bytes()).unwrap();
    let mut answers = String::new();
    let _ = stream.read_to_string(&mut answers);
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 1);
    limiter.stop();
}

// A client may be gone before the desk has even heard of its query.
#[test]
fn clients_that_leave_at_once_leave_nothing_behind() {
    let (addr, seen) = server(Does::Hangs);
    let limiter = limiter(&[addr]);
    for _ in 0..20 {
        let mut stream = connect(&limiter);
        stream
            .write_all(query("pay").replace("900m", "60000m").as_bytes())
            .unwrap();
    }
    thread::sleep(Duration::from_millis(100));
    // A forward cut before its query was written leaves a connection that ends without one.
    assert!(soon(
        || seen.ended.load(Ordering::SeqCst) == seen.connections.load(Ordering::SeqCst)
    ));
    limiter.stop();
}

#[test]
fn a_call_in_pieces_is_put_together_and_the_connection_goes_on() {
    let limiter = limiter(&[server(WELL).0]);
    let mut stream = connect(&limiter);
    stream.write_all(b"GET /health/ready HT").unwrap();
    thread::sleep(Duration::from_millis(30));
    assert_eq!(status(&ask(&mut stream, "TP/1.1\r\n\r\n")), 200);
    assert_eq!(status(&ask(&mut stream, &query("look"))), 200);
    limiter.stop();
}

/// The program itself, with its configuration in a file.
fn program(name: &str, config: &Value) -> (Child, PathBuf) {
    let path = std::env::temp_dir().join(format!("aspendrum-{}-{name}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).unwrap();
    let program = Command::new(env!("CARGO_BIN_EXE_aspendrum"))
        .args(["serve", "--config"])
        .arg(&path)
        .spawn();
    (program.unwrap(), path)
}

fn signal(program: &Child, which: &str) {
    assert!(Command::new("kill")
        .args([which, &program.id().to_string()])
        .status()
        .unwrap()
        .success());
}

// SIGHUP ended the program, with all that it had taken. A new file moves it to its new addresses, a bad one
// changes nothing.
#[test]
fn a_new_configuration_moves_discovery_and_counter_and_a_bad_one_nothing() {
    let (before, after) = (server(WELL), server(WELL));
    let list = |server, seq| {
        discovery(json!({"seq": seq, "whole": true, "hosts": hosts(&[server])}).to_string())
    };
    let (here, there) = (list(before.0, 2), list(after.0, 3));
    let calls = Arc::new(AtomicUsize::new(0));
    let heard = calls.clone();
    let moved = listen(move |mut stream| {
        while stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {
            heard.fetch_add(1, Ordering::SeqCst);
            let _ = stream.write_all(b"$1\r\n1\r\n");
        }
    });
    let free = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let mut config = config(&[before.0], counter(None), here);
    config["listen"] = json!(free.to_string());
    let (mut program, path) = program("reload", &config);
    let asks = || {
        let mut stream = TcpStream::connect(free).unwrap();
        status(&ask(&mut stream, &query("pay")))
    };
    assert!(soon(|| TcpStream::connect(free).is_ok()));
    assert_eq!(asks(), 200);
    std::fs::write(&path, "{\"discovery\":\"127.0.0.1:9\",\"counter\":[").unwrap();
    signal(&program, "-HUP");
    thread::sleep(Duration::from_millis(100));
    assert_eq!((asks(), after.1.queries.load(Ordering::SeqCst)), (200, 0));
    (config["discovery"], config["counter"]) = (json!(there.to_string()), json!(moved.to_string()));
    std::fs::write(&path, config.to_string()).unwrap();
    signal(&program, "-HUP");
    assert!(soon(
        || asks() == 200 && after.1.queries.load(Ordering::SeqCst) > 0
    ));
    assert!(calls.load(Ordering::SeqCst) > 0);
    signal(&program, "-TERM");
    assert!(program.wait().unwrap().success());
    let _ = std::fs::remove_file(path);
}
