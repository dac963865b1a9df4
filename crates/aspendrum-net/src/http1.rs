//! HTTP/1.1 messages (RFC 9112): parsing of requests and responses out of a buffer, headers, and encoding.
//!
//! A message whose framing is in doubt is refused: with two lengths, or a length beside chunks, two parties could see
//! different messages in the same bytes, which is how requests are smuggled (RFC 9112, 11.2).

mod body;
mod encode;
mod header;
mod parse;
mod parsed;
pub mod status;

pub use body::{body_length, parse_chunked, BodyLength, FramingError, ParsedBody};
pub use encode::{encode_response, reason_phrase};
pub use header::{
    has_header, header, is_hop_by_hop, raw_header, single_header, wants_close, Headers,
};
pub use parse::{parse_request, parse_response, MessageLimits, Request, Response};
pub use parsed::Parsed;
