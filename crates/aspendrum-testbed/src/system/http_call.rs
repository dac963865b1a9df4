//! One HTTP call on a connection of its own, as operators and lookups make them.

use aspendrum_fake_services::http::{self, Message, MessageKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A lookup or an order is answered by then, or asked of the next machine.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// A call and two redirections.
const MAX_CALLS: usize = 3;

/// Makes a call, and follows two redirections. Returns the status and the body; `None`: nothing came within the time-out, or a
/// little more for a large body.
pub async fn call(
    at: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    call_timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let for_body = Duration::from_micros(body.len() as u64);
    let (mut at, mut path) = (at, path.to_string());
    for _ in 0..MAX_CALLS {
        let answer = exchange(at, method, &path, body);
        let answer = timeout(call_timeout + for_body, answer).await.ok()??;
        let location = answer
            .header("Location")
            .filter(|_| answer.status() == 307)
            .and_then(redirection);
        match location {
            Some(next) => (at, path) = next,
            None => return Some((answer.status(), answer.body)),
        }
    }
    None
}

/// The address and path of `http://10.0.0.4:8080/path`.
fn redirection(location: &str) -> Option<(SocketAddr, String)> {
    let (at, path) = location.strip_prefix("http://")?.split_once('/')?;
    Some((at.parse().ok()?, format!("/{path}")))
}

async fn exchange(at: SocketAddr, method: &str, path: &str, body: &str) -> Option<Message> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    http::read_message(&mut stream, &mut Vec::new(), MessageKind::Response)
        .await
        .ok()?
}
