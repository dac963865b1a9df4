//! The fake services with a client that uses only their protocols. Each test covers the normal operation, the faults,
//! or the record of calls.

use aspendrum_checker::limiter::{ForwardOutcome, RetrySafety};
use aspendrum_fake_services::counter::{self, Counter};
use aspendrum_fake_services::discovery::{Discovery, Health};
use aspendrum_fake_services::http::{self, MessageKind};
use aspendrum_fake_services::server::{self, RateServer, ServerLog};
use aspendrum_fake_services::Clock;
use serde_json::Value;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const TIMEOUT: Duration = Duration::from_secs(5);
const SILENCE: Duration = Duration::from_millis(150);

fn options() -> server::RateServerOptions {
    let groups = [
        ("look", RetrySafety::Idempotent),
        ("book", RetrySafety::Deduplicated),
    ];
    server::RateServerOptions {
        cores: 2,
        queue_capacity: 2,
        max_connections: 3,
        handshake_time: 0.0,
        slow_start_capacity: 0.2,
        slow_start: 5000.0,
        collapse_multiple: 3.0,
        collapse_window: 1000.0,
        reports_load_in_responses: true,
        responds_to_probes: true,
        groups: groups
            .map(|(name, retry_safety)| (name.to_string(), (20.0, retry_safety)))
            .into(),
        deduplication_window: 5000.0,
    }
}

async fn server(options: server::RateServerOptions) -> (Arc<RateServer>, Arc<ServerLog>) {
    let shared = ServerLog::new(Clock::start());
    (
        RateServer::start(LOOPBACK, 0, options, 1, shared.clone())
            .await
            .unwrap(),
        shared,
    )
}

/// Sends a request and returns the response, or `None` if the connection ended before it was complete.
async fn request(stream: &mut TcpStream, text: &str) -> Option<http::Message> {
    stream.write_all(text.as_bytes()).await.ok()?;
    timeout(
        TIMEOUT,
        http::read_message(stream, &mut Vec::new(), MessageKind::Response),
    )
    .await
    .unwrap()
    .ok()?
}

async fn query(server: &RateServer, id: u64, group: &str) -> Option<http::Message> {
    let mut stream = TcpStream::connect(server.addr()).await.ok()?;
    let text = format!("GET /{group} HTTP/1.1\r\nX-Txn: {id:016x}\r\nIdempotency-Key: k\r\n\r\n");
    request(&mut stream, &text).await
}

#[tokio::test]
async fn a_server_responds_with_its_load_report_and_records_queries() {
    let (server, shared) = server(options()).await;
    let response = query(&server, 7, "look").await.unwrap();
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, b"0000000000000007".as_slice())
    );
    assert!(response
        .header("X-Pressure")
        .unwrap()
        .starts_with("TEXT inflight=0"));
    let forwards = shared.forwards();
    assert_eq!(
        (forwards.len(), forwards[0].id, forwards[0].outcome),
        (1, 7, ForwardOutcome::Ran)
    );
    // A repeat of a keyed query is dropped and gets the same response.
    for outcome in [ForwardOutcome::Ran, ForwardOutcome::Deduplicated] {
        assert_eq!(query(&server, 8, "book").await.unwrap().status(), 200);
        assert_eq!(shared.forwards().last().unwrap().outcome, outcome);
    }
    let mut stream = TcpStream::connect(server.addr()).await.unwrap();
    let probe = request(&mut stream, "GET /stats HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    assert!(probe.body.starts_with(b"inflight=0, queue=0, util=0.00"));
}

#[tokio::test]
async fn a_full_or_draining_server_or_one_with_too_many_connections_rejects_queries() {
    let (server, shared) = server(server::RateServerOptions {
        max_connections: 64,
        ..options()
    })
    .await;
    let calls: Vec<_> = (0..16)
        .map(|id| {
            let server = server.clone();
            tokio::spawn(async move { query(&server, id, "look").await.unwrap() })
        })
        .collect();
    let mut rejected = 0;
    for call in calls {
        let response = call.await.unwrap();
        rejected +=
            usize::from(response.status() == 503 && response.header("X-Turned-Away") == Some("1"));
    }
    let ran = shared
        .forwards()
        .iter()
        .filter(|f| f.outcome == ForwardOutcome::Ran)
        .count();
    assert!(
        ran >= 4 && ran + rejected == 16,
        "{ran} ran, {rejected} rejected"
    );

    server.change_faults(|faults| faults.is_draining = true);
    assert_eq!(query(&server, 20, "look").await.unwrap().status(), 503);
    server.change_faults(|faults| faults.is_draining = false);
    let limited = crate::server(options()).await.0;
    let mut streams = Vec::new();
    for id in 0..4 {
        let mut stream = TcpStream::connect(limited.addr()).await.unwrap();
        let text = format!("GET /look HTTP/1.1\r\nX-Txn: {id:016x}\r\n\r\n");
        let response = request(&mut stream, &text).await.unwrap();
        assert_eq!(
            response.status(),
            if id < 3 { 200 } else { 503 },
            "the fourth connection exceeds the limit"
        );
        streams.push(stream);
    }
}

#[tokio::test]
async fn faulty_servers_run_queries_that_get_no_response() {
    let (server, shared) = server(options()).await;
    server.change_faults(|faults| faults.error_share = 1.0);
    assert_eq!(query(&server, 1, "look").await.unwrap().status(), 500);
    server.change_faults(|faults| (faults.error_share, faults.reset_share) = (0.0, 1.0));
    assert!(query(&server, 2, "look").await.is_none());
    server.change_faults(|faults| (faults.reset_share, faults.is_silent) = (0.0, true));
    assert!(timeout(SILENCE, query(&server, 3, "look")).await.is_err());
    server.change_faults(|faults| faults.is_silent = false);
    assert_eq!(query(&server, 4, "look").await.unwrap().status(), 200);
    assert_eq!(
        shared
            .forwards()
            .iter()
            .filter(|f| f.outcome == ForwardOutcome::Ran)
            .count(),
        4
    );
}

#[tokio::test]
async fn a_killed_server_resets_its_connections_and_restarts_in_slow_start_at_its_address() {
    let (server, _) = server(server::RateServerOptions {
        collapse_window: 100.0,
        ..options()
    })
    .await;
    let mut stream = TcpStream::connect(server.addr()).await.unwrap();
    server.kill();
    let end = timeout(TIMEOUT, stream.read(&mut [0; 1])).await.unwrap();
    assert!(end.is_err() || end.unwrap() == 0);
    timeout(TIMEOUT, async {
        while TcpStream::connect(server.addr()).await.is_ok() {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .unwrap();
    assert!(server.restart().await.unwrap().is_some());
    assert!(server.restart().await.unwrap().is_none(), "it is up");
    assert_eq!(query(&server, 1, "look").await.unwrap().status(), 200);
    assert!(
        server.incarnations()[1].is_cold_start && server.incarnations()[1].collapsed_at.is_none()
    );
    // Three times a fifth of two cores for 100 ms is 120 ms of work; eight queries of 20 ms exceed it.
    let calls: Vec<_> = (10..18)
        .map(|id| {
            let server = server.clone();
            tokio::spawn(async move { query(&server, id, "look").await })
        })
        .collect();
    for call in calls {
        let _ = call.await.unwrap();
    }
    assert!(server.incarnations()[1].collapsed_at.is_some());
    assert!(query(&server, 30, "look").await.is_none(), "it stays down");
}

async fn counter(calls_per_s: f64, busy_after_ms: u64) -> Arc<Counter> {
    let options = counter::CounterOptions {
        calls_per_second: calls_per_s,
        max_wait: Duration::from_millis(busy_after_ms),
    };
    Counter::start(LOOPBACK, options, Clock::start())
        .await
        .unwrap()
}

fn add(name: &str, amount: &str) -> String {
    format!(
        "*4\r\n$7\r\nCNT.ADD\r\n${}\r\n{name}\r\n${}\r\n{amount}\r\n$4\r\n4000\r\n",
        name.len(),
        amount.len()
    )
}

async fn reply(stream: &mut TcpStream, call: &str, size: usize) -> String {
    stream.write_all(call.as_bytes()).await.unwrap();
    let mut reply = vec![0; size];
    timeout(TIMEOUT, stream.read_exact(&mut reply))
        .await
        .unwrap()
        .unwrap();
    String::from_utf8(reply).unwrap()
}

#[tokio::test]
async fn the_counter_adds_in_order_and_rejects_invalid_calls() {
    let counter = counter(10_000.0, 100).await;
    let mut stream = TcpStream::connect(counter.addr()).await.unwrap();
    let two = add("a", "1.5") + &add("a", "-1");
    assert_eq!(
        reply(&mut stream, &two, 18).await,
        "$3\r\n1.5\r\n$3\r\n0.5\r\n"
    );
    assert_eq!(
        reply(&mut stream, "*1\r\n$4\r\nPING\r\n", 7).await,
        "+PONG\r\n"
    );
    for bad in [
        add("a", "x"),
        add("a", "1e10"),
        add("a", "NaN"),
        add(&"n".repeat(65), "1"),
    ] {
        assert_eq!(reply(&mut stream, &bad, 4).await, "-ERR", "{bad}");
        let mut rest = vec![0; 256];
        let _ = stream.read(&mut rest).await.unwrap();
    }
    assert_eq!(reply(&mut stream, &add("a", "1"), 9).await, "$3\r\n1.5\r\n");
    assert_eq!((counter.stats().calls, counter.stats().invalid), (3, 4));
    // Invalid RESP ends the connection.
    stream.write_all(b"*x\r\n").await.unwrap();
    let end = timeout(TIMEOUT, stream.read(&mut [0; 1])).await.unwrap();
    assert!(end.is_err() || end.unwrap() == 0);
}

#[tokio::test]
async fn the_counter_can_be_cleared_replaced_busy_and_silent() {
    let counter = counter(10_000.0, 100).await;
    let mut stream = TcpStream::connect(counter.addr()).await.unwrap();
    assert_eq!(reply(&mut stream, &add("a", "2"), 7).await, "$1\r\n2\r\n");
    counter.clear();
    assert_eq!(reply(&mut stream, &add("a", "3"), 7).await, "$1\r\n3\r\n");
    counter.change_faults(|faults| faults.is_busy = true);
    assert_eq!(reply(&mut stream, &add("a", "1"), 7).await, "-BUSY\r\n");
    counter.change_faults(|faults| (faults.is_busy, faults.is_silent) = (false, true));
    stream.write_all(add("a", "1").as_bytes()).await.unwrap();
    assert!(timeout(SILENCE, stream.read(&mut [0; 1])).await.is_err());
    // A call waits for its turn until the counter responds again.
    counter.change_faults(|faults| faults.is_silent = false);
    assert_eq!(reply(&mut stream, "", 7).await, "$1\r\n4\r\n");
    counter.replace();
    let end = timeout(TIMEOUT, stream.read(&mut [0; 1])).await.unwrap();
    assert!(end.is_err() || end.unwrap() == 0);
    let mut stream = TcpStream::connect(counter.addr()).await.unwrap();
    assert_eq!(reply(&mut stream, &add("a", "1"), 7).await, "$1\r\n1\r\n");
}

#[tokio::test]
async fn a_counter_with_a_low_rate_rejects_calls_that_would_wait_too_long() {
    let counter = counter(20.0, 100).await;
    let mut streams = Vec::new();
    for _ in 0..6 {
        let mut stream = TcpStream::connect(counter.addr()).await.unwrap();
        stream.write_all(add("a", "1").as_bytes()).await.unwrap();
        streams.push(stream);
    }
    let mut busy = 0;
    for mut stream in streams {
        let mut reply = [0; 7];
        timeout(TIMEOUT, stream.read_exact(&mut reply))
            .await
            .unwrap()
            .unwrap();
        busy += u64::from(&reply == b"-BUSY\r\n");
    }
    assert_eq!(
        (counter.stats().rejected, counter.stats().calls),
        (busy, 6 - busy)
    );
    assert!(
        (1..=4).contains(&busy),
        "calls take 50 ms each and may wait for 100 ms: {busy}"
    );
}

struct Agent {
    discovery: Arc<Discovery>,
    stream: TcpStream,
}

async fn agent() -> Agent {
    let discovery = Discovery::new(Clock::start(), &[0, 1]);
    let dials = vec![
        SocketAddr::from((LOOPBACK, 1)),
        SocketAddr::from((LOOPBACK, 2)),
    ];
    let addr = discovery.start_agent(LOOPBACK, 3, dials).await.unwrap();
    Agent {
        discovery,
        stream: TcpStream::connect(addr).await.unwrap(),
    }
}

impl Agent {
    async fn get(&mut self, query: &str) -> (u16, Value) {
        let text = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: x\r\n\r\n");
        let response = request(&mut self.stream, &text).await.unwrap();
        (
            response.status(),
            serde_json::from_slice(&response.body).unwrap_or(Value::Null),
        )
    }
}

#[tokio::test]
async fn discovery_sends_the_complete_list_then_changes_and_records_updates() {
    let mut agent = agent().await;
    let (_, list) = agent.get("").await;
    assert_eq!(
        (
            &list["seq"],
            &list["whole"],
            list["hosts"].as_array().unwrap().len()
        ),
        (&1.into(), &true.into(), 2)
    );
    assert_eq!(list["hosts"][1]["dial"], "127.0.0.1:2");
    let discovery = agent.discovery.clone();
    let watch = tokio::spawn(async move { (agent.get("?from=1&hold_ms=5000").await, agent) });
    sleep(SILENCE).await;
    discovery.set_health(1, Health::Terminating, None);
    let ((_, changes), mut agent) = watch.await.unwrap();
    assert_eq!(
        (&changes["seq"], &changes["whole"]),
        (&2.into(), &false.into())
    );
    assert_eq!(changes["hosts"].as_array().unwrap().len(), 1);
    assert_eq!(
        (&changes["hosts"][0]["host"], &changes["hosts"][0]["health"]),
        (&"s-1".into(), &"terminating".into())
    );
    let updates = discovery.updates();
    assert!(updates
        .iter()
        .any(|u| u.limiter == 3 && u.server == 1 && !u.in_service));
    // Without a change the call ends with an empty list after its hold time.
    let (_, none) = agent.get("?from=2&hold_ms=50").await;
    assert_eq!(none["hosts"], Value::Array(vec![]));
    // Terminated servers are listed only in incremental lists.
    discovery.set_health(1, Health::Terminated, None);
    assert_eq!(agent.get("").await.1["hosts"].as_array().unwrap().len(), 1);
}

#[tokio::test]
async fn discovery_can_be_late_stale_silent_and_over_its_rate() {
    let mut agent = agent().await;
    let discovery = agent.discovery.clone();
    discovery.change_faults(|faults| faults.is_stale = true);
    discovery.set_health(0, Health::Terminated, None);
    assert_eq!(
        agent.get("").await.1["seq"],
        1,
        "the list at the time when it became stale"
    );
    discovery.change_faults(|faults| (faults.is_stale, faults.delay_ms) = (false, 300.0));
    assert_eq!(
        agent.get("").await.1["seq"],
        1,
        "a change becomes visible late"
    );
    assert_eq!(agent.get("?from=1&hold_ms=3000").await.1["seq"], 2);
    discovery.change_faults(|faults| (faults.delay_ms, faults.max_calls_per_second) = (0.0, 1.0));
    sleep(Duration::from_millis(1100)).await;
    let responses = [agent.get("").await.0, agent.get("").await.0];
    assert_eq!(responses, [200, 503]);
    discovery.change_faults(|faults| (faults.max_calls_per_second, faults.is_silent) = (0.0, true));
    assert!(timeout(SILENCE, agent.get("")).await.is_err());
    assert_eq!(discovery.stats().rejected, 1);
}
