//! Reading of the platform's list of servers from a platform on loopback.

use aspendrum_control::errors::PlatformError;
use aspendrum_control::platform::{read_server_list, PAGE_LIMITS};
use aspendrum_net::http1::MessageLimits;
use aspendrum_net::http_client::HttpClient;
use aspendrum_net::http_server::{self, Reply, ServerOptions};
use aspendrum_net::memory_budget::MemoryBudget;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(30);
const MAX_LIST_BYTES: usize = 64 << 10;
const PAGE_BYTES: usize = 16 << 10;

/// Guards against a control node that goes over its memory: it read pages for as long as the platform named another
/// one.
#[test]
fn a_list_of_servers_without_an_end_is_an_error() {
    let page_count = Arc::new(AtomicUsize::new(0));
    let counter = page_count.clone();
    let serve = move |_| {
        counter.fetch_add(1, Ordering::SeqCst);
        let padding = " ".repeat(PAGE_BYTES);
        Reply::json(format!(r#"{{"servers":[],{padding}"next":"more"}}"#).into_bytes())
    };
    let options = ServerOptions {
        stack_bytes: 128 << 10,
        limits: MessageLimits {
            head_bytes: 8 << 10,
            body_bytes: 1 << 10,
        },
        idle_timeout: TIMEOUT,
        worker_idle_timeout: TIMEOUT,
        memory: MemoryBudget::unlimited(),
    };
    let address_with_port = |port| SocketAddrV4::new(Ipv4Addr::new(127, 9, 14, 1), port);
    let port = (20_000..30_000).find(|port| {
        http_server::listen(address_with_port(*port), options.clone(), serve.clone()).is_ok()
    });
    let mut platform = HttpClient::new(address_with_port(port.unwrap()), PAGE_LIMITS);
    let result = read_server_list(&mut platform, MAX_LIST_BYTES);
    // A busy machine may reach the time limit first.
    assert!(
        matches!(
            result,
            Err(PlatformError::ListTooLong(MAX_LIST_BYTES) | PlatformError::NoResponse(_))
        ),
        "{result:?}"
    );
    let pages = page_count.load(Ordering::SeqCst);
    assert!(
        pages * PAGE_BYTES <= MAX_LIST_BYTES + PAGE_BYTES,
        "{pages} pages"
    );
}
