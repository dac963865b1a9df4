//! Parsing of responses from servers and discovery.

use super::fields::parse_number;
use super::load_report::parse_load;
use super::schema::MessageSchema;
use super::status::{
    BAD_GATEWAY, GATEWAY_TIMEOUT, NOT_MODIFIED, NO_CONTENT, OK, SERVICE_UNAVAILABLE,
    SWITCHING_PROTOCOLS,
};
use crate::limits::MAX_HEADERS;
use aspendrum_core::api::{LoadReport, Outcome};
use aspendrum_net::http1::{
    body_length, header, parse_chunked, raw_header, wants_close, BodyLength, MessageLimits, Parsed,
};
use aspendrum_net::ring_buffer::RingBuffer;

/// The load report of the server.
const LOAD_REPORT: &str = "X-Pressure";
/// The units charged for the request, in deployments that charge units after the response.
const UNITS_CHARGED: &str = "X-Units-Charged";
/// `1` if the server rejected the request without running it.
const REJECTED: &str = "X-Turned-Away";

/// A complete response from a server.
pub struct ServerResponse {
    /// The status code.
    pub status: u16,
    /// Whether the server rejected the request without running it.
    pub is_rejected: bool,
    /// Whether the server closes the connection after the response.
    pub close: bool,
    /// The units charged for the request, if the server reports them.
    pub charged: Option<f32>,
    /// The load reported by the server.
    pub load: LoadReport,
    /// The media type of the body; may be empty.
    pub content_type: Vec<u8>,
    /// The body, without transfer coding.
    pub body: Vec<u8>,
}

impl ServerResponse {
    /// Returns the outcome of the request for the decision engine.
    pub(crate) fn outcome(&self) -> Outcome {
        match self.status {
            OK => Outcome::Ok,
            SERVICE_UNAVAILABLE | GATEWAY_TIMEOUT if self.is_rejected => Outcome::Rejected,
            _ => Outcome::Error,
        }
    }

    /// Returns the outcome of a health check.
    pub(crate) fn health_check_outcome(&self) -> Outcome {
        match self.status {
            OK => Outcome::Ok,
            SERVICE_UNAVAILABLE => Outcome::Rejected,
            _ => Outcome::Error,
        }
    }

    /// Returns whether the status is a client error (4xx).
    pub(crate) fn is_client_error(&self) -> bool {
        (400..500).contains(&self.status)
    }
}

/// The content of a message's body, and the offset of its end in the message.
struct Body {
    end: usize,
    content: Vec<u8>,
}

/// Removes one response from the buffer if it is complete, together with interim responses (1xx) before it.
///
/// A response delimited only by the end of the connection is invalid, because it cannot be distinguished from a
/// truncated one.
pub fn parse_server_response(
    buffer: &mut RingBuffer,
    schema: &MessageSchema,
    limits: &MessageLimits,
) -> Parsed<ServerResponse> {
    loop {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut fields);
        let bytes = buffer.contiguous();
        let head_end = match head.parse(bytes) {
            Ok(httparse::Status::Complete(end)) if end <= limits.head_bytes => end,
            Ok(httparse::Status::Partial) if bytes.len() < limits.head_bytes => {
                return Parsed::Incomplete
            }
            _ => return Parsed::Invalid(BAD_GATEWAY),
        };
        let status = head.code.unwrap_or(0);
        // The limiter never requests an upgrade, and the bytes that follow are not HTTP.
        if status == SWITCHING_PROTOCOLS {
            return Parsed::Invalid(BAD_GATEWAY);
        }
        if (100..200).contains(&status) {
            buffer.consume(head_end);
            continue;
        }
        let body = match parse_body(status, head.headers, bytes, head_end, limits) {
            Parsed::Complete(body) => body,
            Parsed::Incomplete => return Parsed::Incomplete,
            Parsed::Invalid(status) => return Parsed::Invalid(status),
        };
        let close = wants_close(head.headers, head.version);
        let response = interpret(status, head.headers, close, body.content, schema);
        buffer.consume(body.end);
        return Parsed::Complete(response);
    }
}

fn parse_body(
    status: u16,
    headers: &[httparse::Header<'_>],
    bytes: &[u8],
    head_end: usize,
    limits: &MessageLimits,
) -> Parsed<Body> {
    if status == NO_CONTENT || status == NOT_MODIFIED {
        return Parsed::Complete(Body {
            end: head_end,
            content: Vec::new(),
        });
    }
    match body_length(headers) {
        Ok(BodyLength::Known(length)) if length > limits.body_bytes => Parsed::Invalid(BAD_GATEWAY),
        Ok(BodyLength::Known(length)) if bytes.len() < head_end + length => Parsed::Incomplete,
        Ok(BodyLength::Known(length)) => {
            let end = head_end + length;
            Parsed::Complete(Body {
                end,
                content: bytes[head_end..end].to_vec(),
            })
        }
        Ok(BodyLength::Chunked) => match parse_chunked(&bytes[head_end..], limits.body_bytes) {
            Parsed::Complete(body) => Parsed::Complete(Body {
                end: head_end + body.end,
                content: body.content,
            }),
            Parsed::Incomplete => Parsed::Incomplete,
            Parsed::Invalid(status) => Parsed::Invalid(status),
        },
        _ => Parsed::Invalid(BAD_GATEWAY),
    }
}

fn interpret(
    status: u16,
    headers: &[httparse::Header<'_>],
    close: bool,
    body: Vec<u8>,
    schema: &MessageSchema,
) -> ServerResponse {
    // An invalid or out-of-range number is ignored and does not invalidate the response.
    let charged = header(headers, UNITS_CHARGED).and_then(parse_number);
    let load_report = header(headers, LOAD_REPORT).unwrap_or("");
    ServerResponse {
        status,
        is_rejected: header(headers, REJECTED) == Some("1"),
        close,
        charged: charged
            .filter(|units| *units <= schema.max_units)
            .map(|units| units as f32),
        load: parse_load(load_report, &schema.load_values),
        content_type: raw_header(headers, "Content-Type").map_or(Vec::new(), <[u8]>::to_vec),
        body,
    }
}
