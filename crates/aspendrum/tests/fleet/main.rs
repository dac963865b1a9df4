//! Fleets of limiters on loopback: what is harmless for one and harmful when all do it. A program of its own, so that its
//! load does not disturb the tests of single limiters.

// The fake services are those of the suite, which uses more of them.
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

/// A discovery that serves a few requests in a window, and rejects all while more come.
struct OverloadedDiscovery {
    list: String,
    /// When requests came, within the last window.
    recent_requests: Mutex<Vec<Instant>>,
    /// Connections on which a list was sent.
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
            // The watch that follows is held: there are no changes.
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

/// Risk: a fleet that starts at once and retries together every 100 ms never gets a list, and forwards to servers that are
/// gone for the whole day.
#[test]
fn a_fleet_that_starts_at_once_gets_its_lists_from_an_overloaded_discovery() {
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
