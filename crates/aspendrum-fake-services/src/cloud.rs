//! A fake of the platform. It returns its list of servers in pages, with a rate limit on the calls of all clients
//! together.

use crate::fake_process::FakeProcess;
use crate::http::{encode_response, read_message, MessageKind};
use crate::origin::OriginServer;
use crate::{lock, Clock, MILLIS_PER_SECOND};
use serde_json::json;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The number of servers per page.
const PAGE_SIZE: usize = 5;
/// The prefix of page tokens, followed by the offset of the page.
const TOKEN_PREFIX: &str = "p-";

/// A token bucket for calls, with a burst of one second.
struct CallBudget {
    calls: f64,
    as_of: f64,
}

/// The fake platform.
pub struct CloudApi {
    process: FakeProcess,
    origins: Vec<Arc<OriginServer>>,
    clock: Clock,
    calls_per_second: f64,
    budget: Mutex<CallBudget>,
}

impl CloudApi {
    /// Starts the platform with a list of `origins`. Calls beyond the rate get a 429 response.
    ///
    /// # Errors
    /// Fails if no port is free at `ip`.
    pub async fn start(
        ip: IpAddr,
        origins: Vec<Arc<OriginServer>>,
        calls_per_second: f64,
        clock: Clock,
    ) -> io::Result<Arc<CloudApi>> {
        let (process, listener) = FakeProcess::bind(ip).await?;
        let budget = CallBudget {
            calls: calls_per_second,
            as_of: clock.now(),
        };
        let cloud = Arc::new(CloudApi {
            process,
            origins,
            clock,
            calls_per_second,
            budget: Mutex::new(budget),
        });
        let served = cloud.clone();
        cloud
            .process
            .listen(listener, move |stream| served.clone().serve(stream));
        Ok(cloud)
    }

    /// Returns the address at which the platform listens.
    pub fn addr(&self) -> SocketAddr {
        self.process.address()
    }

    async fn serve(self: Arc<CloudApi>, mut stream: TcpStream) {
        let mut unread = Vec::new();
        let kind = MessageKind::Request;
        while let Ok(Some(call)) = read_message(&mut stream, &mut unread, kind).await {
            if stream
                .write_all(&self.response(call.target()))
                .await
                .is_err()
            {
                return;
            }
        }
    }

    fn response(&self, target: &str) -> Vec<u8> {
        if !self.take_call() {
            return encode_response(429, &[], b"");
        }
        let token = target.split_once(&format!("page-tok={TOKEN_PREFIX}"));
        let offset = token
            .and_then(|(_, offset)| offset.parse().ok())
            .unwrap_or(0);
        let up: Vec<&Arc<OriginServer>> = self.origins.iter().filter(|o| o.is_up()).collect();
        let page = up.iter().skip(offset).take(PAGE_SIZE);
        let servers: Vec<_> = page.map(|origin| server_entry(origin)).collect();
        let next = offset + PAGE_SIZE;
        let next = (next < up.len()).then(|| format!("{TOKEN_PREFIX}{next}"));
        let body = json!({ "servers": servers, "next": next }).to_string();
        encode_response(
            200,
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }

    /// Takes one call from the budget. Returns false if none is left.
    fn take_call(&self) -> bool {
        let (mut budget, now) = (lock(&self.budget), self.clock.now());
        let elapsed = (now - budget.as_of) / MILLIS_PER_SECOND;
        let refilled = budget.calls + self.calls_per_second * elapsed;
        *budget = CallBudget {
            calls: refilled.min(self.calls_per_second),
            as_of: now,
        };
        let is_allowed = budget.calls >= 1.0;
        if is_allowed {
            budget.calls -= 1.0;
        }
        is_allowed
    }
}

fn server_entry(origin: &OriginServer) -> serde_json::Value {
    let options = origin.options();
    let phase = if origin.faults().is_draining {
        "drain"
    } else {
        "up"
    };
    json!({"uid": origin.uid(), "svc": options.service, "addr": origin.addr().to_string(), "az": options.zone,
        "gen": "v1", "slots": options.slots, "phase": phase, "warm-left-ms": 0})
}
