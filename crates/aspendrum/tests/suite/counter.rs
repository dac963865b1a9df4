//! Calls to the counter, and counter failures.

use crate::support::client::{connect, exchange, request, status};
use crate::support::configuration::config;
use crate::support::fake_services::{
    counter as fake_counter, discovery, listen, unused_address, FakeServer, RESPONDS_OK,
};
use crate::support::start;
use aspendrum::clock::Clock;
use aspendrum::config::Config;
use aspendrum::counter::resp::{parse_reply, write_add, CounterReply, ParsedReply};
use aspendrum::counter::CounterClient;
use aspendrum::dispatcher_handle::DispatcherHandle;
use aspendrum::event::DispatcherEvent;
use aspendrum::limits::Limits;
use aspendrum_core::api::{Event, Outcome};
use aspendrum_net::mailbox::{self, MailboxReceiver};
use aspendrum_net::ring_buffer::RingBuffer;
use serde_json::json;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

#[test_case("$4\r\n12.5\r\n", ParsedReply::Complete(CounterReply::Total(12.5)) ; "a total")]
#[test_case("$2\r\n-3\r\n+OK", ParsedReply::Complete(CounterReply::Total(-3.0)) ; "one of two")]
#[test_case(":7\r\n", ParsedReply::Complete(CounterReply::Total(7.0)) ; "a whole number")]
#[test_case("-BUSY\r\n", ParsedReply::Complete(CounterReply::Rejected) ; "rejected")]
#[test_case("-ERR no such call\r\n", ParsedReply::Complete(CounterReply::Rejected) ; "not understood")]
#[test_case("-OOPS 12\r\n", ParsedReply::Invalid ; "another error may have added")]
#[test_case("-BUSYBODY\r\n", ParsedReply::Invalid ; "only nearly rejected")]
#[test_case("$4\r\n12", ParsedReply::Incomplete ; "half")]
#[test_case("$", ParsedReply::Incomplete ; "hardly begun")]
#[test_case("$-1\r\n", ParsedReply::Invalid ; "none")]
#[test_case("$9999\r\n", ParsedReply::Invalid ; "too long")]
#[test_case("$3\r\ninf\r\n", ParsedReply::Invalid ; "infinite")]
#[test_case("$1\r\n123456", ParsedReply::Invalid ; "longer than it says")]
#[test_case("HTTP/1.1 200 OK\r\n", ParsedReply::Invalid ; "another protocol")]
fn replies(text: &str, expected: ParsedReply) {
    let mut buffer = RingBuffer::new(8, 512);
    assert!(buffer.append(text.as_bytes()));
    assert_eq!(parse_reply(&mut buffer), expected);
}

#[test]
fn calls_are_serialized_as_the_protocol_specifies() {
    let mut out = Vec::new();
    write_add(&mut out, 77, -2.5, 3999.2);
    assert_eq!(
        out,
        b"*4\r\n$7\r\nCNT.ADD\r\n$2\r\n77\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n"
    );
}

/// A counter client, and the events that it reports to the dispatcher.
struct Client {
    counter: CounterClient,
    events: MailboxReceiver<DispatcherEvent>,
}

/// The reported outcome of a call.
#[derive(Debug, PartialEq)]
struct Reported {
    name: u64,
    outcome: Outcome,
    total: f32,
}

impl Client {
    fn start(address: SocketAddr, timeout_s: f64) -> Client {
        let mut config = config(&[], address, address);
        config["settings"]["Specifics"]["CountWaitS"] = json!(timeout_s);
        let config = Config::parse(&config.to_string()).unwrap();
        let (sender, events) = mailbox::for_current_thread(100);
        let dispatcher = Arc::new(DispatcherHandle::new(sender, Clock::start()));
        let limits = Arc::new(Limits::new(&config));
        Client {
            counter: CounterClient::start(address, &dispatcher, &limits).unwrap(),
            events,
        }
    }

    fn add(&self, name: u64, amount: f32) {
        self.counter.add(name, amount, 1000.0);
    }

    /// Waits for the next outcome. Meanwhile expires calls periodically, like the dispatcher's timers.
    fn next_outcome(&mut self) -> Reported {
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_secs(6) {
            self.counter.expire();
            let deadline = Instant::now() + Duration::from_millis(5);
            let event = self.events.recv_deadline(Some(deadline));
            if let Ok(DispatcherEvent::Engine(Event::CounterReplied {
                name,
                outcome,
                total,
                ..
            })) = event
            {
                return Reported {
                    name,
                    outcome,
                    total,
                };
            }
        }
        panic!("no outcome was reported")
    }
}

#[test]
fn outcomes_of_a_name_are_reported_in_the_order_of_its_calls() {
    let mut client = Client::start(fake_counter(None), 5.0);
    (0..50).for_each(|amount| client.add(6, amount as f32));
    let totals: Vec<f32> = (0..50).map(|_| client.next_outcome().total).collect();
    assert!(totals.windows(2).all(|pair| pair[0] <= pair[1]) && totals[49] == 1225.0);
}

/// Guards against matching a late reply to the next call, after which every total would be attributed to the wrong
/// tenant.
#[test]
fn a_late_reply_is_matched_to_its_call_and_discarded() {
    let address = listen(|mut stream| {
        for (delay_ms, reply) in [(400, "$3\r\n111\r\n"), (0, "$3\r\n222\r\n"), (500, "")] {
            let _ = stream.read(&mut [0; 4096]);
            thread::sleep(Duration::from_millis(delay_ms));
            let _ = stream.write_all(reply.as_bytes());
        }
    });
    let mut client = Client::start(address, 0.2);
    client.add(6, 1.0);
    assert_eq!(
        client.next_outcome(),
        Reported {
            name: 6,
            outcome: Outcome::TimedOut,
            total: 0.0
        }
    );
    thread::sleep(Duration::from_millis(500));
    client.add(6, 1.0);
    assert_eq!(
        client.next_outcome(),
        Reported {
            name: 6,
            outcome: Outcome::Ok,
            total: 222.0
        }
    );
}

#[test]
fn calls_on_a_broken_connection_time_out_and_the_next_call_opens_a_new_one() {
    let address = listen(|mut stream| {
        let _ = stream.read(&mut [0; 8]);
    });
    let mut client = Client::start(address, 1.0);
    for _ in 0..3 {
        client.add(6, 1.0);
        assert_eq!(
            client.next_outcome(),
            Reported {
                name: 6,
                outcome: Outcome::TimedOut,
                total: 0.0
            }
        );
    }
}

#[test]
fn calls_to_an_unreachable_counter_are_reported_as_not_added() {
    let mut client = Client::start(unused_address(), 1.0);
    client.add(6, 1.0);
    assert_eq!(
        client.next_outcome(),
        Reported {
            name: 6,
            outcome: Outcome::ConnectFailed,
            total: 0.0
        }
    );
}

/// Guards against waiting forever on a connection that stays open although the counter's host has failed.
#[test]
fn a_silent_connection_is_replaced() {
    let connections = AtomicUsize::new(0);
    let address = listen(move |mut stream| {
        let is_first = connections.fetch_add(1, Ordering::SeqCst) == 0;
        while stream.read(&mut [0; 4096]).is_ok_and(|read| read > 0) {
            let _ = stream.write_all(if is_first { b"" } else { b"$1\r\n5\r\n" });
        }
    });
    let mut client = Client::start(address, 0.2);
    let mut outcomes = Vec::new();
    for _ in 0..8 {
        client.add(6, 1.0);
        outcomes.push(client.next_outcome().outcome);
    }
    assert_eq!((outcomes[0], outcomes[7]), (Outcome::TimedOut, Outcome::Ok));
}

/// A call written to the old address may have been added there, so its reply is awaited and the call is not repeated.
/// Later calls go to the new address.
#[test]
fn replies_from_the_old_address_are_awaited_after_an_address_change() {
    let old_address = listen(|mut stream| {
        let _ = stream.read(&mut [0; 4096]);
        thread::sleep(Duration::from_millis(300));
        let _ = stream.write_all(b"$3\r\n111\r\n");
        // Keep the connection open, like a counter that is shutting down.
        let _ = stream.read(&mut [0; 4096]);
    });
    let mut client = Client::start(old_address, 2.0);
    client.add(6, 1.0);
    thread::sleep(Duration::from_millis(50));
    client
        .counter
        .change_address(fake_counter(Some("$3\r\n222\r\n")));
    client.add(8, 1.0);
    assert_eq!(
        client.next_outcome(),
        Reported {
            name: 8,
            outcome: Outcome::Ok,
            total: 222.0
        }
    );
    assert_eq!(
        client.next_outcome(),
        Reported {
            name: 6,
            outcome: Outcome::Ok,
            total: 111.0
        }
    );
}

#[test_case(Some("-BUSY line is long\r\n") ; "rejects all calls")]
#[test_case(Some("") ; "is silent")]
#[test_case(Some("$3\r\nabc\r\n") ; "replies no number")]
#[test_case(Some("*9999999\r\n") ; "replies another type")]
#[test_case(None ; "adds")]
fn requests_are_served_for_every_counter_behaviour(reply: Option<&'static str>) {
    let servers = [FakeServer::start(RESPONDS_OK).address];
    let limiter = start(&config(
        &servers,
        fake_counter(reply),
        discovery("{}".into()),
    ));
    let mut stream = connect(&limiter);
    for _ in 0..8 {
        assert_eq!(status(&exchange(&mut stream, &request("look"))), 200);
    }
    limiter.stop();
}
