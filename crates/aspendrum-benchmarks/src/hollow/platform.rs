//! A hollow platform: its list of servers, in pages, each answered a while after it was asked for, over a
//! rate that all callers share. Any one server can be turned to drain and back.

use crate::cores::PAGE;
use crate::sizes::page;
use aspendrum_model::servers::ServerInstance;
use aspendrum_net::http1::{MessageLimits, Request};
use aspendrum_net::http_server::{self, Reply, ServerOptions};
use aspendrum_net::path_matcher::query_parameter;
use aspendrum_net::threads::lock;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub(super) struct Platform {
    /// Pages as they are told.
    pages: Mutex<Vec<Vec<u8>>>,
    servers: Mutex<Vec<ServerInstance>>,
    /// Calls that are left, as of when.
    left: Mutex<(f64, Instant)>,
    rate: f64,
    slow: Duration,
    pub calls: AtomicU64,
    pub refused: AtomicU64,
    pub bytes: AtomicU64,
    /// Whole lists: their last pages.
    pub lists: AtomicU64,
}

impl Platform {
    /// `rate`: calls a second. `slow`: between a page's question and its answer.
    pub(super) fn open(
        at: SocketAddrV4,
        servers: Vec<ServerInstance>,
        rate: f64,
        slow: Duration,
    ) -> std::io::Result<Arc<Platform>> {
        let [calls, refused, bytes, lists] = [(); 4].map(|()| AtomicU64::new(0));
        let left = Mutex::new((rate, Instant::now()));
        let (pages, servers) = (Mutex::new(pages(&servers)), Mutex::new(servers));
        let own = Arc::new(Platform {
            pages,
            servers,
            left,
            rate,
            slow,
            calls,
            refused,
            bytes,
            lists,
        });
        let (bounds, idle) = (
            MessageLimits {
                head_bytes: 8 << 10,
                body_bytes: 1 << 10,
            },
            Duration::from_secs(10),
        );
        let serving = own.clone();
        let terms = ServerOptions {
            stack_bytes: 128 << 10,
            limits: bounds,
            idle_timeout: idle,
            worker_idle_timeout: idle,
        };
        http_server::listen(at, terms, move |request| serving.answer(&request))?;
        Ok(own)
    }

    fn answer(&self, request: &Request) -> Reply {
        self.calls.fetch_add(1, Relaxed);
        {
            let (mut left, now) = (lock(&self.left), Instant::now());
            let more = self.rate * now.saturating_duration_since(left.1).as_secs_f64();
            *left = ((left.0 + more).min(self.rate), now);
            if left.0 < 1.0 {
                self.refused.fetch_add(1, Relaxed);
                return Reply::plain(429);
            }
            left.0 -= 1.0;
        }
        sleep(self.slow);
        let query = request.path.split_once('?').map_or("", |q| q.1);
        let from = query_parameter(query, "page-tok")
            .and_then(|t| t.strip_prefix("p-")?.parse().ok())
            .unwrap_or(0);
        let pages = lock(&self.pages);
        let body = pages.get(from / PAGE).cloned().unwrap_or_default();
        self.bytes.fetch_add(body.len() as u64, Relaxed);
        self.lists
            .fetch_add(u64::from(from / PAGE + 1 == pages.len()), Relaxed);
        Reply::json(body)
    }

    /// That server drains from now on, or no more.
    pub(super) fn turn(&self, n: usize, draining: bool) {
        let mut servers = lock(&self.servers);
        if let Some(server) = servers.get_mut(n) {
            server.draining = draining;
        }
        *lock(&self.pages) = pages(&servers);
    }
}

fn pages(servers: &[ServerInstance]) -> Vec<Vec<u8>> {
    let many = servers.len().div_ceil(PAGE);
    let next = |n: usize| (n + 1 < many).then(|| format!("p-{}", (n + 1) * PAGE));
    servers
        .chunks(PAGE)
        .enumerate()
        .map(|(n, part)| page(part, next(n)).into_bytes())
        .collect()
}
