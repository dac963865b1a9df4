//! HTTP/1.1 messages (RFC 9112): parsing requests and responses from a buffer, header fields, and encoding.
//!
//! A message with ambiguous framing is rejected. If it has several lengths, or a length and a transfer coding, two
//! recipients could parse different messages from the same bytes, which enables request smuggling (RFC 9112, 11.2).

mod body;
mod content;
mod encode;
mod header;
mod parse;
mod parsed;
mod reader;
pub mod status;

pub use body::{body_length, parse_chunked, BodyLength, FramingError, ParsedBody};
pub use content::Content;
pub use encode::{encode_response, encode_response_head, reason_phrase};
pub use header::{
    has_header, header, is_hop_by_hop, raw_header, single_header, wants_close, Headers,
};
pub use parse::{parse_request, parse_response, MessageLimits, Request, Response};
pub use parsed::Parsed;
pub use reader::{Message, MessageReader, MessageSource};
