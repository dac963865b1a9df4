//! Tests of fleets of limiters on loopback, for behaviour that is harmful only when all limiters show it at once. A
//! separate test binary, so that its load does not disturb the tests of single limiters.

// Shared with the test suite, which uses more of these helpers.
#[allow(dead_code)]
#[path = "../suite/support/mod.rs"]
mod support;

use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::configuration::config;
use support::fake_services::{counter, listen, read_message, response, FakeServer, RESPONDS_OK};
use support::{list, start};

const LIMITERS: usize = 10;
const MAX_REQUESTS: usize = 3;
const RATE_WINDOW: Duration = Duration::from_millis(250);

/// A discovery service that rejects requests while more than [`MAX_REQUESTS`] arrive within [`RATE_WINDOW`].
struct OverloadedDiscovery {
    list: String,
    /// The times of the requests within the last window.
    recent_requests: Mutex<Vec<Instant>>,
    /// The number of lists sent. Each connection gets one.
    informed: AtomicUsize,
}

impl OverloadedDiscovery {
    fn start(list: String) -> (Arc<OverloadedDiscovery>, SocketAddr) {
        let (recent_requests, informed) = Default::default();
        let discovery = Arc::new(OverloadedDiscovery {
            list,
            recent_requests,
            informed,
        });
        let server = discovery.clone();
        (discovery, listen(move |stream| server.serve(stream)))
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while read_message(&mut stream, &mut rest).is_some() {
            if !self.has_capacity() {
                let _ = stream.write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            let _ = stream.write_all(response(&self.list).as_bytes());
            self.informed.fetch_add(1, Ordering::SeqCst);
            // There are no changes, so the watch that follows is held.
            read_message(&mut stream, &mut rest);
            thread::sleep(Duration::from_secs(30));
            return;
        }
    }

    fn has_capacity(&self) -> bool {
        let mut recent = self.recent_requests.lock().unwrap();
        recent.retain(|at| at.elapsed() < RATE_WINDOW);
        recent.push(Instant::now());
        recent.len() <= MAX_REQUESTS
    }

    fn informed(&self) -> usize {
        self.informed.load(Ordering::SeqCst)
    }
}

fn fleet_config(servers: &[SocketAddr], discovery: SocketAddr, seed: usize) -> Value {
    let mut config = config(servers, counter(None), discovery);
    config["seed"] = json!(format!("{seed}"));
    config["settings"]["Discovery"] = json!("ask");
    config["settings"]["Instances"] = json!(100);
    config["settings"]["Invariants"]["MustAskInS"] = json!(10.0);
    config
}

/// Without jittered backoff, limiters that start together retry together every 100 ms and never get a list. They would
/// then keep forwarding requests to servers that no longer exist.
#[test]
fn limiters_that_start_together_get_their_lists_from_an_overloaded_discovery() {
    let servers = [FakeServer::start(RESPONDS_OK).address];
    let (discovery, address) = OverloadedDiscovery::start(list(&servers, 2));
    let limiters: Vec<_> = (0..LIMITERS)
        .map(|seed| start(&fleet_config(&servers, address, seed)))
        .collect();
    let started_at = Instant::now();
    while discovery.informed() < LIMITERS && started_at.elapsed() < Duration::from_secs(20) {
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(discovery.informed(), LIMITERS);
    limiters.into_iter().for_each(|limiter| limiter.stop());
}
