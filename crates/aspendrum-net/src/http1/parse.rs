//! Whole requests and responses out of a connection's buffer.

use super::body::{body_length, parse_body, BodyLength};
use super::header::{to_owned, wants_close, Headers};
use super::parsed::Parsed;
use super::status::{
    BAD_GATEWAY, BAD_REQUEST, HEADER_FIELDS_TOO_LARGE, NOT_MODIFIED, NO_CONTENT,
    SWITCHING_PROTOCOLS,
};
use crate::ring_buffer::RingBuffer;

/// The most header fields of one message.
const MAX_HEADERS: usize = 64;

/// The most bytes of a message's parts.
#[derive(Clone, Copy, Debug)]
pub struct MessageLimits {
    /// The start line and the headers.
    pub head_bytes: usize,
    /// The body's content.
    pub body_bytes: usize,
}

/// A whole request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its target as it came: a path, and a query.
    pub path: String,
    /// Its header fields.
    pub headers: Headers,
    /// Its body, without any framing.
    pub body: Vec<u8>,
    /// Whether the client wants the connection closed after the response.
    pub close: bool,
}

/// A whole response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Its status code.
    pub status: u16,
    /// Its reason phrase.
    pub reason: String,
    /// Its header fields.
    pub headers: Headers,
    /// Its body, without any framing.
    pub body: Vec<u8>,
    /// Whether the server closes the connection after it.
    pub close: bool,
}

/// Removes one request from the front of the buffer if it has arrived completely. [`Parsed::Invalid`] carries the
/// status for its sender.
pub fn parse_request(buffer: &mut RingBuffer, limits: &MessageLimits) -> Parsed<Request> {
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
    let body = match parse_body(
        bytes,
        head_end,
        body_length(head.headers),
        limits.body_bytes,
    ) {
        Parsed::Complete(body) => body,
        Parsed::Incomplete => return Parsed::Incomplete,
        Parsed::Invalid(status) => return Parsed::Invalid(status),
    };
    let (Some(method), Some(path)) = (head.method, head.path) else {
        return Parsed::Invalid(BAD_REQUEST);
    };
    let request = Request {
        method: method.to_string(),
        path: path.to_string(),
        close: wants_close(head.headers, head.version),
        headers: to_owned(head.headers),
        body: body.content,
    };
    buffer.consume(body.end);
    Parsed::Complete(request)
}

/// Removes one response from the front of the buffer if it has arrived completely, and the interim responses (1xx)
/// before it. A response without a length, which ends with the connection, is invalid: it cannot be distinguished from
/// one that was cut short.
pub fn parse_response(buffer: &mut RingBuffer, limits: &MessageLimits) -> Parsed<Response> {
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
        if status == SWITCHING_PROTOCOLS || status < 100 {
            return Parsed::Invalid(BAD_GATEWAY);
        }
        if status < 200 {
            buffer.consume(head_end);
            continue;
        }
        let length = match body_length(head.headers) {
            _ if status == NO_CONTENT || status == NOT_MODIFIED => Ok(BodyLength::Known(0)),
            Ok(BodyLength::Unknown) => return Parsed::Invalid(BAD_GATEWAY),
            length => length,
        };
        let body = match parse_body(bytes, head_end, length, limits.body_bytes) {
            Parsed::Complete(body) => body,
            Parsed::Incomplete => return Parsed::Incomplete,
            Parsed::Invalid(_) => return Parsed::Invalid(BAD_GATEWAY),
        };
        let response = Response {
            status,
            reason: head.reason.unwrap_or("").to_string(),
            close: wants_close(head.headers, head.version),
            headers: to_owned(head.headers),
            body: body.content,
        };
        buffer.consume(body.end);
        return Parsed::Complete(response);
    }
}
