//! HTTP calls of operators and lookups, each on a new connection.

use aspendrum_fake_services::http::{self, Message, MessageKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The timeout of a lookup or an order, after which the next control node is tried.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// The maximum number of requests per call, including two redirections.
const MAX_CALLS: usize = 3;

/// Makes a call and follows up to two redirections. Returns the status and the body, or `None` if a request fails or times
/// out. The timeout applies to each request, and is extended by 1 µs per byte of the body.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    call_timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let body_allowance = Duration::from_micros(body.len() as u64);
    let (mut address, mut path) = (address, path.to_string());
    for _ in 0..MAX_CALLS {
        let response = exchange(address, method, &path, body);
        let response = timeout(call_timeout + body_allowance, response)
            .await
            .ok()??;
        let location = response
            .header("Location")
            .filter(|_| response.status() == 307)
            .and_then(redirection);
        match location {
            Some(next) => (address, path) = next,
            None => return Some((response.status(), response.body)),
        }
    }
    None
}

/// Parses the address and path of a location such as `http://10.0.0.4:8080/path`.
fn redirection(location: &str) -> Option<(SocketAddr, String)> {
    let (address, path) = location.strip_prefix("http://")?.split_once('/')?;
    Some((address.parse().ok()?, format!("/{path}")))
}

async fn exchange(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Message> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    http::read_message(&mut stream, &mut Vec::new(), MessageKind::Response)
        .await
        .ok()?
}
