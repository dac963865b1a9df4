//! The status codes that parsing answers with (RFC 9110, 15).

pub(super) const SWITCHING_PROTOCOLS: u16 = 101;
pub(super) const NO_CONTENT: u16 = 204;
pub(super) const NOT_MODIFIED: u16 = 304;
pub(super) const BAD_REQUEST: u16 = 400;
/// The body is longer than allowed.
pub const CONTENT_TOO_LARGE: u16 = 413;
/// The head is longer than allowed.
pub const HEADER_FIELDS_TOO_LARGE: u16 = 431;
/// No valid answer came from a server.
pub const BAD_GATEWAY: u16 = 502;
