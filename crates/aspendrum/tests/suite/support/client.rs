//! A client of the limiter.

use super::fake_services::read_message;
use aspendrum::Limiter;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Returns a request of the given endpoint group with a unique transaction id.
pub(crate) fn request(group: &str) -> String {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    let is_read = group == "look";
    let method = if is_read { "GET" } else { "POST" };
    let (length, body) = if is_read {
        ("", "")
    } else {
        ("Content-Length: 2\r\n", "hi")
    };
    format!(
        "{method} /{group} HTTP/1.1\r\nHost: x\r\nX-Txn: 9b1f{id:012x}\r\nX-Lane: {group}\r\nX-Plan: team\r\n\
         Cookie: client=00000000b4d65521\r\nX-Remaining: 900m\r\nIdempotency-Key: k\r\n{length}\
         X-Quota: units=1,spread=1,first=0\r\n\r\n{body}"
    )
}

/// A readiness check of the limiter.
pub(crate) const READINESS_REQUEST: &str = "GET /health/ready HTTP/1.1\r\n\r\n";

pub(crate) fn connect(limiter: &Limiter) -> TcpStream {
    let stream = TcpStream::connect(limiter.address()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    stream
}

/// Sends a text and reads one response. Returns an empty string if the connection ended.
pub(crate) fn exchange(stream: &mut TcpStream, text: &str) -> String {
    let _ = stream.write_all(text.as_bytes());
    read_message(stream, &mut Vec::new()).unwrap_or_default()
}

/// Returns the status of a response, or 0 if there is none.
pub(crate) fn status(response: &str) -> u16 {
    response
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0)
}

/// Sends a request on a new connection and returns the status of the response.
pub(crate) fn status_of(limiter: &Limiter, request: &str) -> u16 {
    status(&exchange(&mut connect(limiter), request))
}
