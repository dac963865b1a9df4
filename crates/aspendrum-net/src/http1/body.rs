//! The framing of bodies (RFC 9112, 6 and 7).

use super::parsed::Parsed;
use super::status::{BAD_GATEWAY, BAD_REQUEST, CONTENT_TOO_LARGE};
use derive_more::{Display, Error};

/// How the end of a body is found.
pub enum BodyLength {
    /// By its length in bytes.
    Known(usize),
    /// By the chunked transfer coding.
    Chunked,
    /// The header fields do not specify it.
    Unknown,
}

/// The header fields do not determine the length of the body unambiguously.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq)]
#[display("ambiguous message body length")]
pub struct FramingError;

/// A complete message body.
#[derive(Debug, PartialEq)]
pub struct ParsedBody {
    /// The offset in the buffer at which the body ends.
    pub end: usize,
    /// The content without framing.
    pub content: Vec<u8>,
}

/// The maximum length of a chunk size line, including extensions, in bytes.
const MAX_CHUNK_SIZE_LINE: usize = 64;

/// Determines from the header fields how the end of the body is found.
///
/// # Errors
/// Returns [`FramingError`] if the fields contain different lengths, a length and a transfer coding, or an invalid
/// value.
pub fn body_length(headers: &[httparse::Header<'_>]) -> Result<BodyLength, FramingError> {
    let mut found = BodyLength::Unknown;
    for header in headers {
        let Some(next) = length_of_header(header)? else {
            continue;
        };
        match (&found, &next) {
            (BodyLength::Unknown, _) => found = next,
            (BodyLength::Known(one), BodyLength::Known(other)) if one == other => {}
            _ => return Err(FramingError),
        }
    }
    Ok(found)
}

/// Returns the body length that a header field specifies, or `None` if the field does not concern the body length.
fn length_of_header(header: &httparse::Header<'_>) -> Result<Option<BodyLength>, FramingError> {
    let is_length = header.name.eq_ignore_ascii_case("content-length");
    if !is_length && !header.name.eq_ignore_ascii_case("transfer-encoding") {
        return Ok(None);
    }
    let value = std::str::from_utf8(header.value)
        .map_err(|_| FramingError)?
        .trim();
    if !is_length {
        return if value.eq_ignore_ascii_case("chunked") {
            Ok(Some(BodyLength::Chunked))
        } else {
            Err(FramingError)
        };
    }
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(FramingError);
    }
    Ok(Some(BodyLength::Known(value.parse().unwrap_or(usize::MAX))))
}

/// Parses a chunked body at the start of `bytes` with at most `max_bytes` of content.
pub fn parse_chunked(bytes: &[u8], max_bytes: usize) -> Parsed<ParsedBody> {
    let (mut position, mut content) = (0, Vec::new());
    loop {
        let (line, size) = match httparse::parse_chunk_size(&bytes[position..]) {
            Ok(httparse::Status::Complete(chunk)) => chunk,
            Ok(httparse::Status::Partial) if bytes.len() - position < MAX_CHUNK_SIZE_LINE => {
                return Parsed::Incomplete;
            }
            _ => return Parsed::Invalid(BAD_GATEWAY),
        };
        if size > (max_bytes - content.len()) as u64 {
            return Parsed::Invalid(BAD_GATEWAY);
        }
        let (start, end) = (position + line, position + line + size as usize);
        if size == 0 {
            return match end_of_trailers(&bytes[start..]) {
                Some(trailers) => Parsed::Complete(ParsedBody {
                    end: start + trailers,
                    content,
                }),
                None => Parsed::Incomplete,
            };
        }
        if bytes.len() < end + 2 {
            return Parsed::Incomplete;
        }
        if &bytes[end..end + 2] != b"\r\n" {
            return Parsed::Invalid(BAD_GATEWAY);
        }
        content.extend_from_slice(&bytes[start..end]);
        position = end + 2;
    }
}

/// Returns the length of the trailer section, including the empty line that ends it. The trailers are discarded.
fn end_of_trailers(bytes: &[u8]) -> Option<usize> {
    if bytes.starts_with(b"\r\n") {
        return Some(2);
    }
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(end + 4)
}

/// Parses the body that begins at offset `start` of the message.
pub(super) fn parse_body(
    bytes: &[u8],
    start: usize,
    length: Result<BodyLength, FramingError>,
    max_bytes: usize,
) -> Parsed<ParsedBody> {
    match length {
        Ok(BodyLength::Known(size)) if size > max_bytes => Parsed::Invalid(CONTENT_TOO_LARGE),
        Ok(BodyLength::Known(size)) if bytes.len() < start + size => Parsed::Incomplete,
        Ok(BodyLength::Known(size)) => {
            let end = start + size;
            Parsed::Complete(ParsedBody {
                end,
                content: bytes[start..end].to_vec(),
            })
        }
        Ok(BodyLength::Chunked) => match parse_chunked(&bytes[start..], max_bytes) {
            Parsed::Complete(body) => Parsed::Complete(ParsedBody {
                end: start + body.end,
                ..body
            }),
            Parsed::Incomplete => Parsed::Incomplete,
            Parsed::Invalid(_) => Parsed::Invalid(BAD_REQUEST),
        },
        Ok(BodyLength::Unknown) => Parsed::Complete(ParsedBody {
            end: start,
            content: Vec::new(),
        }),
        Err(FramingError) => Parsed::Invalid(BAD_REQUEST),
    }
}
