//! One exchange of a client with a proxy: the bytes of a request, its answer, and clients that disconnect before they have
//! it.

use super::configuration::{path, KEYS};
use aspendrum_checker::system::AttemptOutcome;
use aspendrum_fake_services::http::{self, Message, MessageKind};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// What a client wants, and how it goes about it.
#[derive(Clone, Copy, Debug)]
pub struct RequestPlan {
    /// The number of the route.
    pub route: usize,
    /// It may run once only.
    pub is_once_only: bool,
    /// The number of the tenant.
    pub tenant: usize,
    /// The zone that the client is in.
    pub zone: usize,
    /// The connection is kept for the next request, as half of the clients do.
    pub keeps_connection: bool,
    /// The client holds an old answer of the directory, and goes to any proxy.
    pub ignores_lookups: bool,
    /// The client uses whatever connection is open, until its proxy closes it.
    pub reuses_any_connection: bool,
    /// A second request is sent behind the first one, before its answer.
    pub is_pipelined: bool,
    /// The client disconnects before it has an answer.
    pub disconnect: Option<Disconnect>,
}

impl RequestPlan {
    /// A request of the first tenant on a route that may be repeated, on a connection that is kept.
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
            disconnect: None,
        }
    }
}

/// When a client disconnects after it has sent its request, and how that looks to the proxy.
#[derive(Clone, Copy, Debug)]
pub struct Disconnect {
    /// So long after the request.
    pub after: Duration,
    /// How.
    pub manner: DisconnectManner,
}

/// How a connection is ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DisconnectManner {
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
    /// Its sending side is ended, and the client reads on.
    HalfClose,
    /// More bytes are sent just before the close.
    BehindBytes,
}

/// All of them.
pub const DISCONNECT_MANNERS: [DisconnectManner; 4] = [
    DisconnectManner::Close,
    DisconnectManner::Reset,
    DisconnectManner::HalfClose,
    DisconnectManner::BehindBytes,
];

/// The attempts of one exchange, as their clients number them.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptIds {
    pub(super) first: u64,
    /// Of the request that is sent behind it.
    pub(super) pipelined: Option<u64>,
}

/// What came of one exchange.
pub(super) struct ExchangeResult {
    pub(super) outcome: AttemptOutcome,
    /// When the client disconnected, if it did.
    pub(super) disconnected_at: Option<Instant>,
    /// When the client may come again, if the answer says so.
    pub(super) retry_after: Option<Duration>,
    /// How the request that was sent behind it ended.
    pub(super) pipelined: Option<AttemptOutcome>,
    /// The connection, if it can be used again.
    pub(super) kept: Option<TcpStream>,
}

impl ExchangeResult {
    /// It ended without an answer.
    pub(super) fn without_answer(outcome: AttemptOutcome, ids: AttemptIds) -> ExchangeResult {
        ExchangeResult {
            outcome,
            disconnected_at: None,
            retry_after: None,
            pipelined: ids.pipelined.map(|_| outcome),
            kept: None,
        }
    }
}

/// Sends a request, and reads its answer. `until`: when the client gives up.
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
    let answer = async {
        stream.write_all(text.as_bytes()).await?;
        http::read_message(&mut stream, &mut unread, MessageKind::Response).await
    };
    let answer = match plan.disconnect {
        None => answer.await,
        Some(disconnect) => match timeout(disconnect.after, answer).await {
            Ok(answer) => answer,
            Err(_) => {
                let disconnected_at = Some(Instant::now());
                let outcome = end_connection(stream, unread, disconnect.manner, ids.first).await;
                return ExchangeResult {
                    outcome,
                    disconnected_at,
                    ..ExchangeResult::without_answer(AttemptOutcome::ClientDisconnected, ids)
                };
            }
        },
    };
    match answer {
        Ok(Some(answer)) => answered(stream, unread, &answer, ids, plan).await,
        Ok(None) | Err(_) => ExchangeResult::without_answer(AttemptOutcome::Lost, ids),
    }
}

async fn answered(
    mut stream: TcpStream,
    mut unread: Vec<u8>,
    answer: &Message,
    ids: AttemptIds,
    plan: RequestPlan,
) -> ExchangeResult {
    let mut is_closed = answer.wants_close();
    let mut pipelined = None;
    if let Some(id) = ids.pipelined {
        // Behind an answer that closes the connection nothing of it is read any more (RFC 9112, 9.3.2).
        let outcome = if is_closed {
            AttemptOutcome::Unreached
        } else {
            let second = http::read_message(&mut stream, &mut unread, MessageKind::Response).await;
            let second = second.ok().flatten();
            is_closed |= second.as_ref().is_none_or(Message::wants_close);
            second.map_or(AttemptOutcome::Lost, |answer| outcome_of(&answer, id))
        };
        pipelined = Some(outcome);
    }
    let is_reusable = !is_closed && unread.is_empty();
    let wants_reuse = plan.keeps_connection || plan.reuses_any_connection;
    let retry_after = answer
        .header("Retry-After")
        .and_then(|seconds| seconds.parse::<f64>().ok());
    ExchangeResult {
        outcome: outcome_of(answer, ids.first),
        disconnected_at: None,
        retry_after: retry_after.map(|s| Duration::from_secs_f64(s.clamp(0.0, 60.0))),
        pipelined,
        kept: (is_reusable && wants_reuse).then_some(stream),
    }
}

/// A request's bytes.
pub fn request_text(id: u64, plan: RequestPlan, until: Instant) -> String {
    let (method, body) = if plan.is_once_only {
        ("POST", "pay")
    } else {
        ("GET", "")
    };
    let left = until.saturating_duration_since(Instant::now()).as_millis();
    format!(
        "{method} {}x HTTP/1.1\r\nHost: a.example\r\nTry-Id: {id:016x}\r\nBudget-Ms: {left}\r\n\
         Credential: {}\r\nContent-Length: {}\r\n\r\n{body}",
        path(plan.route),
        KEYS[plan.tenant],
        body.len()
    )
}

/// Ends the connection in that manner. Whoever reads on compares what comes with his request.
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
        DisconnectManner::BehindBytes => {
            let _ = stream.try_write(b"GET /quote/ahead HTTP/1.1\r\n");
        }
        DisconnectManner::HalfClose => {
            let _ = stream.shutdown().await;
            let answer = http::read_message(&mut stream, &mut unread, MessageKind::Response).await;
            let is_foreign = |answer: Message| outcome_of(&answer, id) == AttemptOutcome::Foreign;
            if answer.ok().flatten().is_some_and(is_foreign) {
                return AttemptOutcome::Foreign;
            }
        }
    }
    AttemptOutcome::ClientDisconnected
}

fn outcome_of(answer: &Message, id: u64) -> AttemptOutcome {
    let is_own = answer.header("Seal").is_some() && answer.body == format!("{id:016x}").as_bytes();
    match answer.status() {
        200 if is_own => AttemptOutcome::Answered,
        200 => AttemptOutcome::Foreign,
        status @ (408 | 421 | 429 | 503) => AttemptOutcome::NotRun(status),
        status => AttemptOutcome::OtherStatus(status),
    }
}
