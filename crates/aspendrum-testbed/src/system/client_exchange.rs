//! One HTTP exchange between a client and a proxy, including clients that disconnect before the response arrives.

use super::configuration::{route_prefix, KEYS};
use aspendrum_checker::system::AttemptOutcome;
use aspendrum_fake_services::http::{self, Message, MessageKind};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// The size of a long body.
pub(super) const LONG_BODY_BYTES: usize = 16 << 20;

/// A client request and how the client uses its connection.
#[derive(Clone, Copy, Debug)]
pub struct RequestPlan {
    /// The index of the route.
    pub route: usize,
    /// Whether the request may be executed at most once.
    pub is_once_only: bool,
    /// The index of the tenant.
    pub tenant: usize,
    /// The index of the client's zone.
    pub zone: usize,
    /// Whether the connection is kept open for a later request.
    pub keeps_connection: bool,
    /// Whether the client ignores the directory and connects to any proxy, as with an outdated lookup result.
    pub ignores_lookups: bool,
    /// Whether the client uses any open connection until the proxy closes it.
    pub reuses_any_connection: bool,
    /// Whether a second request is sent before the first response arrives.
    pub is_pipelined: bool,
    /// Whether the request has a long body, which no socket buffers hold.
    pub has_long_body: bool,
    /// When and how the client disconnects without waiting for the response, if it does.
    pub disconnect: Option<Disconnect>,
}

impl RequestPlan {
    /// Returns a plan for an idempotent request of the first tenant on a connection that is kept open.
    pub fn simple(route: usize) -> RequestPlan {
        RequestPlan {
            route,
            is_once_only: false,
            tenant: 0,
            zone: 0,
            keeps_connection: true,
            ignores_lookups: false,
            reuses_any_connection: false,
            is_pipelined: false,
            has_long_body: false,
            disconnect: None,
        }
    }
}

/// When and how a client disconnects after it has sent its request.
#[derive(Clone, Copy, Debug)]
pub struct Disconnect {
    /// The delay after the request was sent.
    pub after: Duration,
    /// How the connection is ended.
    pub manner: DisconnectManner,
}

/// How a connection is ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DisconnectManner {
    /// The connection is closed.
    Close,
    /// The connection is reset.
    Reset,
    /// The sending side is shut down, and the client keeps reading.
    HalfClose,
    /// The start of another request is sent just before the close.
    CloseAfterPartialRequest,
}

/// All ways of ending a connection.
pub const DISCONNECT_MANNERS: [DisconnectManner; 4] = [
    DisconnectManner::Close,
    DisconnectManner::Reset,
    DisconnectManner::HalfClose,
    DisconnectManner::CloseAfterPartialRequest,
];

/// The attempt ids of one exchange.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptIds {
    /// The id of the first request.
    pub(super) first: u64,
    /// The id of the pipelined request, if there is one.
    pub(super) pipelined: Option<u64>,
}

/// The result of one exchange.
pub(super) struct ExchangeResult {
    /// The outcome of the first request.
    pub(super) outcome: AttemptOutcome,
    /// When the client disconnected, if it did.
    pub(super) disconnected_at: Option<Instant>,
    /// The delay given by the response's `Retry-After` header.
    pub(super) retry_after: Option<Duration>,
    /// The outcome of the pipelined request, if there was one.
    pub(super) pipelined: Option<AttemptOutcome>,
    /// The connection, if it can be reused.
    pub(super) kept: Option<TcpStream>,
}

impl ExchangeResult {
    /// Returns a result for an exchange that received no response.
    pub(super) fn without_response(outcome: AttemptOutcome, ids: AttemptIds) -> ExchangeResult {
        ExchangeResult {
            outcome,
            disconnected_at: None,
            retry_after: None,
            pipelined: ids.pipelined.map(|_| outcome),
            kept: None,
        }
    }
}

/// Sends a request and reads its response.
///
/// `until` is the client's deadline, which is sent with the request.
pub(super) async fn exchange(
    mut stream: TcpStream,
    ids: AttemptIds,
    plan: RequestPlan,
    until: Instant,
) -> ExchangeResult {
    let _ = stream.set_nodelay(true);
    let ids_sent = [Some(ids.first), ids.pipelined].into_iter().flatten();
    let text: String = ids_sent.map(|id| request_text(id, plan, until)).collect();
    let mut unread = Vec::new();
    let response = async {
        // A proxy may respond before it has read a long body, and close the connection. The response is read though the
        // rest of the request cannot be written (RFC 9112, 9.5). Without a response, reading fails as well.
        let _ = stream.write_all(text.as_bytes()).await;
        http::read_message(&mut stream, &mut unread, MessageKind::Response).await
    };
    let response = match plan.disconnect {
        None => response.await,
        Some(disconnect) => match timeout(disconnect.after, response).await {
            Ok(response) => response,
            Err(_) => {
                let disconnected_at = Some(Instant::now());
                let outcome = end_connection(stream, unread, disconnect.manner, ids.first).await;
                return ExchangeResult {
                    outcome,
                    disconnected_at,
                    ..ExchangeResult::without_response(AttemptOutcome::ClientDisconnected, ids)
                };
            }
        },
    };
    match response {
        Ok(Some(response)) => handle_response(stream, unread, &response, ids, plan).await,
        Ok(None) | Err(_) => ExchangeResult::without_response(AttemptOutcome::Lost, ids),
    }
}

async fn handle_response(
    mut stream: TcpStream,
    mut unread: Vec<u8>,
    response: &Message,
    ids: AttemptIds,
    plan: RequestPlan,
) -> ExchangeResult {
    let mut is_closed = response.wants_close();
    let mut pipelined = None;
    if let Some(id) = ids.pipelined {
        // A server ignores requests that follow a response with `Connection: close` (RFC 9112, section 9.6), so the
        // pipelined request has not run.
        let outcome = if is_closed {
            AttemptOutcome::Unreached
        } else {
            let second = http::read_message(&mut stream, &mut unread, MessageKind::Response).await;
            let second = second.ok().flatten();
            is_closed |= second.as_ref().is_none_or(Message::wants_close);
            second.map_or(AttemptOutcome::Lost, |response| outcome_of(&response, id))
        };
        pipelined = Some(outcome);
    }
    let is_reusable = !is_closed && unread.is_empty();
    let wants_reuse = plan.keeps_connection || plan.reuses_any_connection;
    let retry_after = response
        .header("Retry-After")
        .and_then(|seconds| seconds.parse::<f64>().ok());
    ExchangeResult {
        outcome: outcome_of(response, ids.first),
        disconnected_at: None,
        retry_after: retry_after.map(|s| Duration::from_secs_f64(s.clamp(0.0, 60.0))),
        pipelined,
        kept: (is_reusable && wants_reuse).then_some(stream),
    }
}

/// Returns the text of a request, including its body.
pub fn request_text(id: u64, plan: RequestPlan, until: Instant) -> String {
    let (method, body) = match (plan.has_long_body, plan.is_once_only) {
        (true, true) => ("POST", "x".repeat(LONG_BODY_BYTES)),
        (true, false) => ("PUT", "x".repeat(LONG_BODY_BYTES)),
        (false, true) => ("POST", "pay".to_string()),
        (false, false) => ("GET", String::new()),
    };
    let left = until.saturating_duration_since(Instant::now()).as_millis();
    format!(
        "{method} {}x HTTP/1.1\r\nHost: a.example\r\nTry-Id: {id:016x}\r\nBudget-Ms: {left}\r\n\
         Credential: {}\r\nContent-Length: {}\r\n\r\n{body}",
        route_prefix(plan.route),
        KEYS[plan.tenant],
        body.len()
    )
}

/// Ends the connection in the given manner. After a half-close, checks that the response belongs to the client's request.
async fn end_connection(
    mut stream: TcpStream,
    mut unread: Vec<u8>,
    manner: DisconnectManner,
    id: u64,
) -> AttemptOutcome {
    match manner {
        DisconnectManner::Close => {}
        DisconnectManner::Reset => {
            let _ = stream.set_zero_linger();
        }
        DisconnectManner::CloseAfterPartialRequest => {
            let _ = stream.try_write(b"GET /quote/ahead HTTP/1.1\r\n");
        }
        DisconnectManner::HalfClose => {
            let _ = stream.shutdown().await;
            let response =
                http::read_message(&mut stream, &mut unread, MessageKind::Response).await;
            let is_foreign =
                |response: Message| outcome_of(&response, id) == AttemptOutcome::Foreign;
            if response.ok().flatten().is_some_and(is_foreign) {
                return AttemptOutcome::Foreign;
            }
        }
    }
    AttemptOutcome::ClientDisconnected
}

fn outcome_of(response: &Message, id: u64) -> AttemptOutcome {
    let is_own =
        response.header("Seal").is_some() && response.body == format!("{id:016x}").as_bytes();
    match response.status() {
        200 if is_own => AttemptOutcome::Answered,
        200 => AttemptOutcome::Foreign,
        status @ (408 | 421 | 429 | 503) => AttemptOutcome::NotRun(status),
        status => AttemptOutcome::OtherStatus(status),
    }
}
