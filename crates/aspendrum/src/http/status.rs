//! The status codes that the limiter sends or interprets (RFC 9110, section 15).

/// The server switches to another protocol.
pub const SWITCHING_PROTOCOLS: u16 = 101;
/// The request succeeded.
pub const OK: u16 = 200;
/// The request succeeded and the response has no body.
pub const NO_CONTENT: u16 = 204;
/// The cached response is still valid; the response has no body.
pub const NOT_MODIFIED: u16 = 304;
/// The request is malformed.
pub const BAD_REQUEST: u16 = 400;
/// The method is not supported.
pub const METHOD_NOT_ALLOWED: u16 = 405;
/// The request did not arrive completely in time.
pub const REQUEST_TIMEOUT: u16 = 408;
/// Another request with the same transaction id is in progress.
pub const CONFLICT: u16 = 409;
/// The body's length is not known in advance.
pub const LENGTH_REQUIRED: u16 = 411;
/// The body is too large.
pub const CONTENT_TOO_LARGE: u16 = 413;
/// The head is too large.
pub const HEADER_FIELDS_TOO_LARGE: u16 = 431;
/// An internal error of the limiter, or an invalid response from a server.
pub const BAD_GATEWAY: u16 = 502;
/// The request was rejected and did not run.
pub const SERVICE_UNAVAILABLE: u16 = 503;
/// The request may have run, and no valid response arrived in time.
pub const GATEWAY_TIMEOUT: u16 = 504;

/// Returns the reason phrase of a status that the limiter sends.
pub(super) fn reason_phrase(status: u16) -> &'static str {
    match status {
        OK => "OK",
        BAD_REQUEST => "Bad Request",
        METHOD_NOT_ALLOWED => "Method Not Allowed",
        REQUEST_TIMEOUT => "Request Timeout",
        CONFLICT => "Conflict",
        LENGTH_REQUIRED => "Length Required",
        CONTENT_TOO_LARGE => "Content Too Large",
        HEADER_FIELDS_TOO_LARGE => "Request Header Fields Too Large",
        SERVICE_UNAVAILABLE => "Service Unavailable",
        GATEWAY_TIMEOUT => "Gateway Timeout",
        _ => "Bad Gateway",
    }
}
