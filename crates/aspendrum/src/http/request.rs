//! Parsing of client requests.

use super::fields::{
    has_duplicate_field, is_forwarded, parse_remaining_time, parse_tenant, QuotaShare, GROUP,
    IDEMPOTENCY_KEY, PLAN, QUOTA, REMAINING, RESENT, TRANSACTION,
};
use super::schema::MessageSchema;
use super::status::{
    BAD_REQUEST, CONTENT_TOO_LARGE, HEADER_FIELDS_TOO_LARGE, LENGTH_REQUIRED, METHOD_NOT_ALLOWED,
};
use crate::limits::MAX_HEADERS;
use aspendrum_core::api::{Millis, Semantics};
use aspendrum_net::http1::{
    body_length, header, raw_header, wants_close, BodyLength, MessageLimits, Parsed,
};
use aspendrum_net::ring_buffer::RingBuffer;
use std::io::Write;

const READINESS_PATH: &str = "/health/ready";
const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];
/// The initial capacity of a forwarded head, which is sufficient for most requests.
const HEAD_CAPACITY: usize = 512;

/// A complete request from a client.
pub enum IncomingRequest {
    /// A readiness check of the limiter.
    Readiness {
        /// Whether the client wants the connection closed after the response.
        close: bool,
    },
    /// A request to be forwarded to a server.
    Forwardable(Box<ClientRequest>),
}

/// A request to be forwarded to a server.
pub struct ClientRequest {
    /// The number of its endpoint group.
    pub group: u16,
    /// The number of its tenant's plan.
    pub plan: u32,
    /// The number of its tenant.
    pub tenant: u64,
    /// The time until its client stops waiting, in milliseconds.
    pub remaining: Millis,
    /// The quota units that it uses.
    pub units: f32,
    /// The number of limiters that share the tenant's quota.
    pub instances: f32,
    /// The number of the first of these limiters.
    pub first_instance: f32,
    /// Whether it is a client retry.
    pub is_retry: bool,
    /// Whether it may have side effects: its method is not GET.
    pub is_write: bool,
    /// Whether the client wants the connection closed after the response.
    pub close: bool,
    /// The transaction id assigned by the client.
    pub transaction: Vec<u8>,
    /// The head of the forwarded request, without the remaining time and the content length.
    pub(super) forwarded_head: Vec<u8>,
    pub(super) body: Vec<u8>,
}

/// Removes one request from the buffer if it is complete. [`Parsed::Invalid`] contains the status for the response.
pub fn parse_request(
    buffer: &mut RingBuffer,
    schema: &MessageSchema,
    limits: &MessageLimits,
) -> Parsed<IncomingRequest> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut fields);
    let bytes = buffer.contiguous();
    let head_end = match head.parse(bytes) {
        Ok(httparse::Status::Complete(end)) if end <= limits.head_bytes => end,
        Ok(httparse::Status::Partial) if bytes.len() < limits.head_bytes => {
            return Parsed::Incomplete
        }
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return Parsed::Invalid(HEADER_FIELDS_TOO_LARGE)
        }
        Err(_) => return Parsed::Invalid(BAD_REQUEST),
    };
    let body_bytes = match body_length(head.headers) {
        Ok(BodyLength::Known(length)) if length > limits.body_bytes => {
            return Parsed::Invalid(CONTENT_TOO_LARGE);
        }
        Ok(BodyLength::Known(length)) => length,
        Ok(BodyLength::Chunked) => return Parsed::Invalid(LENGTH_REQUIRED),
        Ok(BodyLength::Unknown) => 0,
        Err(_) => return Parsed::Invalid(BAD_REQUEST),
    };
    let end = head_end + body_bytes;
    if bytes.len() < end {
        return Parsed::Incomplete;
    }
    let request = interpret(&head, &bytes[head_end..end], schema);
    buffer.consume(end);
    request.map_or_else(Parsed::Invalid, Parsed::Complete)
}

fn interpret(
    head: &httparse::Request<'_, '_>,
    body: &[u8],
    schema: &MessageSchema,
) -> Result<IncomingRequest, u16> {
    let (Some(method), Some(path)) = (head.method, head.path) else {
        return Err(BAD_REQUEST);
    };
    if method == "GET" && path == READINESS_PATH {
        return Ok(IncomingRequest::Readiness {
            close: wants_close(head.headers, head.version),
        });
    }
    if !METHODS.contains(&method) {
        return Err(METHOD_NOT_ALLOWED);
    }
    let request = client_request(head, method, path, body, schema).ok_or(BAD_REQUEST)?;
    Ok(IncomingRequest::Forwardable(Box::new(request)))
}

/// Parses a request to be forwarded. Returns `None` if it is invalid. Invalid requests are rejected before the decision
/// engine sees them, because their tenant may be forged and its state must not change.
fn client_request(
    head: &httparse::Request<'_, '_>,
    method: &str,
    path: &str,
    body: &[u8],
    schema: &MessageSchema,
) -> Option<ClientRequest> {
    let headers = &*head.headers;
    if has_duplicate_field(headers) {
        return None;
    }
    let group_name = header(headers, GROUP)?;
    let group = *schema.group_numbers.get(group_name)?;
    let plan = *schema.plan_numbers.get(header(headers, PLAN)?)?;
    let semantics = *schema.semantics.get(usize::from(group))?;
    let transaction = raw_header(headers, TRANSACTION).filter(|id| !id.trim_ascii().is_empty())?;
    if !fits_group(semantics, method, headers, body) || first_segment(path)? != group_name {
        return None;
    }
    let quota = QuotaShare::parse(header(headers, QUOTA)?)?;
    if !quota.is_valid(schema.limiters, schema.max_units) {
        return None;
    }
    Some(ClientRequest {
        group,
        plan,
        forwarded_head: forwarded_head(method, path, headers)?,
        tenant: parse_tenant(headers)?,
        remaining: parse_remaining_time(header(headers, REMAINING)?)?,
        units: quota.units as f32,
        instances: quota.instances as f32,
        first_instance: quota.first_instance as f32,
        is_retry: header(headers, RESENT) == Some("1"),
        is_write: method != "GET",
        close: wants_close(headers, head.version),
        transaction: transaction.to_vec(),
        body: body.to_vec(),
    })
}

/// Returns whether the request matches the semantics of its group. Otherwise a non-idempotent request could be retried
/// as an idempotent one, or a deduplicated request without its key could run twice.
fn fits_group(
    semantics: Semantics,
    method: &str,
    headers: &[httparse::Header<'_>],
    body: &[u8],
) -> bool {
    match semantics {
        Semantics::Idempotent => method == "GET" && body.is_empty(),
        Semantics::Deduplicated => {
            method == "POST" && header(headers, IDEMPOTENCY_KEY).is_some_and(|key| !key.is_empty())
        }
        Semantics::NonIdempotent => method != "GET",
    }
}

/// Returns the first segment of a path, which is the name of the request's group.
fn first_segment(path: &str) -> Option<&str> {
    path.strip_prefix('/')?.split(['/', '?']).next()
}

fn forwarded_head(method: &str, path: &str, headers: &[httparse::Header<'_>]) -> Option<Vec<u8>> {
    let mut head = Vec::with_capacity(HEAD_CAPACITY);
    write!(head, "{method} {path} HTTP/1.1\r\n").ok()?;
    for field in headers.iter().filter(|field| is_forwarded(field)) {
        head.extend_from_slice(field.name.as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(field.value);
        head.extend_from_slice(b"\r\n");
    }
    Some(head)
}
