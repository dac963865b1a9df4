//! Responses of servers and of discovery.

use super::fields::number;
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

/// The server's load.
const LOAD_REPORT: &str = "X-Pressure";
/// The units that a request took in the end, where the deployment charges them after the response.
const UNITS_CHARGED: &str = "X-Units-Charged";
/// The server rejected the request without running it.
const REJECTED: &str = "X-Turned-Away";

/// A whole response.
pub struct ServerResponse {
    /// The status code.
    pub status: u16,
    /// The server rejected the request without running it.
    pub is_rejected: bool,
    /// The server closes the connection after it.
    pub close: bool,
    /// The units that the request took, if the server says so.
    pub charged: Option<f32>,
    /// The server's load.
    pub load: LoadReport,
    /// The type of the body, or nothing.
    pub content_type: Vec<u8>,
    /// The body, without any framing.
    pub body: Vec<u8>,
}

impl ServerResponse {
    /// What became of the request, as the decision engine sees it.
    pub(crate) fn outcome(&self) -> Outcome {
        match self.status {
            OK => Outcome::Ok,
            SERVICE_UNAVAILABLE | GATEWAY_TIMEOUT if self.is_rejected => Outcome::Rejected,
            _ => Outcome::Error,
        }
    }

    /// What became of a health check.
    pub(crate) fn health_check_outcome(&self) -> Outcome {
        match self.status {
            OK => Outcome::Ok,
            SERVICE_UNAVAILABLE => Outcome::Rejected,
            _ => Outcome::Error,
        }
    }

    /// Whether the server takes the request for malformed.
    pub(crate) fn is_client_error(&self) -> bool {
        (400..500).contains(&self.status)
    }
}

/// Where a message's body ends, and its content.
struct Body {
    end: usize,
    content: Vec<u8>,
}

/// Takes one response off the buffer if it is whole, and interim responses (1xx) before it. A response that only the end of
/// the connection delimits cannot be told from one that was cut short, so it is invalid.
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
        // Nobody asked for another protocol; what follows is not HTTP.
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
    // A number that cannot be read, or is impossible, invalidates itself and not the response.
    let charged = header(headers, UNITS_CHARGED).and_then(number);
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
