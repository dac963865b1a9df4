//! The HTTP status codes used by the parsers (RFC 9110, 15).

pub(super) const SWITCHING_PROTOCOLS: u16 = 101;
pub(super) const NO_CONTENT: u16 = 204;
pub(super) const NOT_MODIFIED: u16 = 304;
pub(super) const BAD_REQUEST: u16 = 400;
/// The content exceeds the size limit.
pub const CONTENT_TOO_LARGE: u16 = 413;
/// The header section exceeds the size limit.
pub const HEADER_FIELDS_TOO_LARGE: u16 = 431;
/// The server did not send a valid response.
pub const BAD_GATEWAY: u16 = 502;
/// The server cannot handle the request now.
pub const SERVICE_UNAVAILABLE: u16 = 503;
