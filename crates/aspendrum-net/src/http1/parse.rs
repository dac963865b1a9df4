//! Parsing of complete requests and responses from the buffer of a connection.

use super::body::{body_length, parse_body, BodyLength, FramingError};
use super::content::Content;
use super::header::{to_owned, wants_close, Headers};
use super::parsed::Parsed;
use super::status::{
    BAD_GATEWAY, BAD_REQUEST, HEADER_FIELDS_TOO_LARGE, NOT_MODIFIED, NO_CONTENT,
    SWITCHING_PROTOCOLS,
};
use crate::ring_buffer::RingBuffer;

/// The maximum number of header fields in a message.
const MAX_HEADERS: usize = 64;

/// The maximum sizes of the parts of a message.
#[derive(Clone, Copy, Debug)]
pub struct MessageLimits {
    /// The maximum size of the start line and header section, in bytes.
    pub head_bytes: usize,
    /// The maximum size of the content, in bytes.
    pub body_bytes: usize,
}

/// A complete request.
#[derive(Debug, PartialEq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The request target as received: a path and an optional query.
    pub path: String,
    /// The header fields.
    pub headers: Headers,
    /// The content, without framing.
    pub body: Content,
    /// Whether the client wants the connection closed after the response.
    pub closes_connection: bool,
}

/// A complete response.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: String,
    /// The header fields.
    pub headers: Headers,
    /// The content, without framing.
    pub body: Content,
    /// Whether the server closes the connection after the response.
    pub close: bool,
}

/// The head of a message, without its content.
pub(super) struct Head<M> {
    /// The message with empty content.
    pub(super) message: M,
    /// The offset in the buffer at which the head ends.
    pub(super) end: usize,
    pub(super) body_length: Result<BodyLength, FramingError>,
}

/// Removes a request from the front of the buffer if it has been received completely. [`Parsed::Invalid`] carries the
/// status code for the sender.
pub fn parse_request(buffer: &mut RingBuffer, limits: &MessageLimits) -> Parsed<Request> {
    let bytes = buffer.contiguous();
    let head = match parse_request_head(bytes, limits) {
        Parsed::Complete(head) => head,
        Parsed::Incomplete => return Parsed::Incomplete,
        Parsed::Invalid(status) => return Parsed::Invalid(status),
    };
    let body = match parse_body(bytes, head.end, head.body_length, limits.body_bytes) {
        Parsed::Complete(body) => body,
        Parsed::Incomplete => return Parsed::Incomplete,
        Parsed::Invalid(status) => return Parsed::Invalid(status),
    };
    buffer.consume(body.end);
    Parsed::Complete(Request {
        body: body.content.into(),
        ..head.message
    })
}

/// Parses the head of a request at the start of `bytes`.
pub(super) fn parse_request_head(bytes: &[u8], limits: &MessageLimits) -> Parsed<Head<Request>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut fields);
    let end = match head.parse(bytes) {
        Ok(httparse::Status::Complete(end)) if end <= limits.head_bytes => end,
        Ok(httparse::Status::Partial) if bytes.len() < limits.head_bytes => {
            return Parsed::Incomplete
        }
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return Parsed::Invalid(HEADER_FIELDS_TOO_LARGE)
        }
        Err(_) => return Parsed::Invalid(BAD_REQUEST),
    };
    let (Some(method), Some(path)) = (head.method, head.path) else {
        return Parsed::Invalid(BAD_REQUEST);
    };
    Parsed::Complete(Head {
        message: Request {
            method: method.to_string(),
            path: path.to_string(),
            closes_connection: wants_close(head.headers, head.version),
            headers: to_owned(head.headers),
            body: Content::default(),
        },
        end,
        body_length: body_length(head.headers),
    })
}

/// Removes a response from the front of the buffer if it has been received completely, and the interim responses (1xx)
/// before it. A response without a length, which ends with the connection, is invalid because it cannot be
/// distinguished from a truncated one.
pub fn parse_response(buffer: &mut RingBuffer, limits: &MessageLimits) -> Parsed<Response> {
    let head = match parse_response_head(buffer, limits) {
        Parsed::Complete(head) => head,
        Parsed::Incomplete => return Parsed::Incomplete,
        Parsed::Invalid(status) => return Parsed::Invalid(status),
    };
    let bytes = buffer.contiguous();
    let body = match parse_body(bytes, head.end, head.body_length, limits.body_bytes) {
        Parsed::Complete(body) => body,
        Parsed::Incomplete => return Parsed::Incomplete,
        Parsed::Invalid(_) => return Parsed::Invalid(BAD_GATEWAY),
    };
    buffer.consume(body.end);
    Parsed::Complete(Response {
        body: body.content.into(),
        ..head.message
    })
}

/// Parses the head of a response at the front of the buffer, and removes the interim responses before it.
pub(super) fn parse_response_head(
    buffer: &mut RingBuffer,
    limits: &MessageLimits,
) -> Parsed<Head<Response>> {
    loop {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut fields);
        let bytes = buffer.contiguous();
        let end = match head.parse(bytes) {
            Ok(httparse::Status::Complete(end)) if end <= limits.head_bytes => end,
            Ok(httparse::Status::Partial) if bytes.len() < limits.head_bytes => {
                return Parsed::Incomplete
            }
            _ => return Parsed::Invalid(BAD_GATEWAY),
        };
        let status = head.code.unwrap_or(0);
        if status == SWITCHING_PROTOCOLS || status < 100 {
            return Parsed::Invalid(BAD_GATEWAY);
        }
        if status < 200 {
            buffer.consume(end);
            continue;
        }
        let body_length = match body_length(head.headers) {
            _ if status == NO_CONTENT || status == NOT_MODIFIED => Ok(BodyLength::Known(0)),
            Ok(BodyLength::Unknown) => return Parsed::Invalid(BAD_GATEWAY),
            length => length,
        };
        let message = Response {
            status,
            reason: head.reason.unwrap_or("").to_string(),
            close: wants_close(head.headers, head.version),
            headers: to_owned(head.headers),
            body: Content::default(),
        };
        return Parsed::Complete(Head {
            message,
            end,
            body_length,
        });
    }
}
