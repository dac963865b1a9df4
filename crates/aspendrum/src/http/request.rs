//! Requests of clients.

use super::fields::{
    has_duplicate_field, is_forwarded, remaining_time, tenant, QuotaShare, GROUP, IDEMPOTENCY_KEY,
    PLAN, QUOTA, REMAINING, RESENT, TRANSACTION,
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
/// A head is usually shorter.
const HEAD_CAPACITY: usize = 512;

/// A whole request as it was read from a client.
pub enum IncomingRequest {
    /// Whether the limiter is ready.
    Readiness {
        /// The client wants the connection closed after the response.
        close: bool,
    },
    /// A request for a server.
    Forwardable(Box<ClientRequest>),
}

/// A request for a server.
pub struct ClientRequest {
    /// The number of its endpoint group.
    pub group: u16,
    /// The number of its tenant's plan.
    pub plan: u32,
    /// Its tenant.
    pub tenant: u64,
    /// The time until its client gives up.
    pub remaining: Millis,
    /// The units that it takes.
    pub units: f32,
    /// How many limiters share the tenant's quota.
    pub instances: f32,
    /// The number of the first of them.
    pub first_instance: f32,
    /// Whether the client sent it before.
    pub is_retry: bool,
    /// Whether it may change something: its method is not GET.
    pub is_write: bool,
    /// Whether the client wants the connection closed after the response.
    pub close: bool,
    /// The transaction id that the client gave it.
    pub transaction: Vec<u8>,
    /// The head of each forwarded request, without the remaining time and the body's length.
    pub(super) forwarded_head: Vec<u8>,
    pub(super) body: Vec<u8>,
}

/// Takes one request off the buffer if it is whole. [`Parsed::Invalid`] has the status for its client.
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

/// None if anything is out of order. Such a request is rejected before the decision engine sees it: it may come in the name
/// of a tenant that has nothing to do with it, and must change nothing that is known of that tenant.
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
        tenant: tenant(headers)?,
        remaining: remaining_time(header(headers, REMAINING)?)?,
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

/// Whether the method is the one of the request's group. Forwarded with another, a request that may run only once could
/// pass for an idempotent one; and without its key nothing would recognize a keyed one that is repeated.
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

/// The first segment of a path is the name of the request's group.
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
