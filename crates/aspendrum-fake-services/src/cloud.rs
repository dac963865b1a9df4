//! The platform: its list of servers, in pages, over a rate that all callers share.

use crate::host::Host;
use crate::origin::OriginServer;
use crate::{http, lock, Clock};
use serde_json::json;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const PAGE: usize = 5;

pub struct Cloud {
    host: Host,
    origins: Vec<Arc<OriginServer>>,
    clock: Clock,
    rate: f64,
    /// Calls that are left, as of when.
    left: Mutex<(f64, f64)>,
}

impl Cloud {
    /// `rate`: calls a second; more get 429.
    pub async fn start(
        at: IpAddr,
        origins: Vec<Arc<OriginServer>>,
        rate: f64,
        clock: Clock,
    ) -> io::Result<Arc<Cloud>> {
        let (host, listener) = Host::bind(at).await?;
        let cloud = Arc::new(Cloud {
            host,
            origins,
            clock,
            rate,
            left: Mutex::new((rate, clock.now())),
        });
        let own = cloud.clone();
        cloud
            .host
            .listen(listener, move |stream| own.clone().serve(stream));
        Ok(cloud)
    }

    pub fn addr(&self) -> SocketAddr {
        self.host.addr()
    }

    async fn serve(self: Arc<Cloud>, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while let Ok(Some(call)) = http::next(&mut stream, &mut rest, true).await {
            if stream.write_all(&self.answer(&call.line.1)).await.is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> Vec<u8> {
        {
            let (mut left, now) = (lock(&self.left), self.clock.now());
            *left = (
                (left.0 + self.rate * (now - left.1) / 1000.0).min(self.rate),
                now,
            );
            if left.0 < 1.0 {
                return http::answer(429, &[], b"");
            }
            left.0 -= 1.0;
        }
        let from = path
            .split_once("page-tok=p-")
            .and_then(|t| t.1.parse().ok())
            .unwrap_or(0);
        let there: Vec<&Arc<OriginServer>> = self.origins.iter().filter(|o| o.is_up()).collect();
        let servers: Vec<_> = there
            .iter()
            .skip(from)
            .take(PAGE)
            .map(|o| entry(o))
            .collect();
        let next = (from + PAGE < there.len()).then(|| format!("p-{}", from + PAGE));
        let body = json!({ "servers": servers, "next": next }).to_string();
        http::answer(
            200,
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }
}

fn entry(o: &OriginServer) -> serde_json::Value {
    let (figures, phase) = (o.options(), if o.faults().is_draining { "drain" } else { "up" });
    json!({"uid": o.uid(), "svc": figures.service, "addr": o.addr().to_string(), "az": figures.zone, "gen": "v1",
        "slots": figures.slots, "phase": phase, "warm-left-ms": 0})
}
