//! The framing of bodies (RFC 9112, 6 and 7).

use super::content::Content;
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
const LINE_BREAK: &[u8] = b"\r\n";

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
    let mut decoder = BodyDecoder::new(&BodyLength::Chunked, max_bytes);
    let mut content = Content::default();
    let mut end = 0;
    loop {
        if let Some(growth) = decoder.needed_growth(&content) {
            content.try_grow(growth);
        }
        match decoder.decode(&bytes[end..], &mut content) {
            Err(FramingError) => return Parsed::Invalid(BAD_GATEWAY),
            Ok(0) => return Parsed::Incomplete,
            Ok(decoded) => end += decoded,
        }
        if decoder.is_complete() {
            let content = content.bytes;
            return Parsed::Complete(ParsedBody { end, content });
        }
    }
}

/// Removes the framing from a body that arrives in pieces.
pub(super) struct BodyDecoder {
    position: Position,
    /// The content length that may still be announced by chunks.
    remaining_limit: usize,
}

/// What follows in the body. Lengths are in bytes.
enum Position {
    /// The rest of a body of known length.
    Content(usize),
    ChunkSize,
    /// The rest of a chunk.
    Chunk(usize),
    /// The line break behind a chunk.
    ChunkEnd,
    Trailers,
    End,
}

impl BodyDecoder {
    /// Creates a decoder for a body with at most `max_bytes` of content.
    pub(super) fn new(length: &BodyLength, max_bytes: usize) -> BodyDecoder {
        let position = match length {
            BodyLength::Known(0) | BodyLength::Unknown => Position::End,
            BodyLength::Known(length) => Position::Content(*length),
            BodyLength::Chunked => Position::ChunkSize,
        };
        BodyDecoder {
            position,
            remaining_limit: max_bytes,
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        matches!(self.position, Position::End)
    }

    /// Whether the next bytes of the message are content without framing, and how many.
    pub(super) fn unframed_bytes(&self) -> Option<usize> {
        match self.position {
            Position::Content(remaining) => Some(remaining),
            _ => None,
        }
    }

    /// Returns by how many bytes the content must grow before more of it can be decoded.
    pub(super) fn needed_growth(&self, content: &Content) -> Option<usize> {
        let room = content.room();
        match self.position {
            Position::Content(remaining) if room < remaining => Some(remaining - room),
            Position::Chunk(remaining) if room == 0 => {
                let doubling = content.len().min(remaining + self.remaining_limit);
                Some(remaining.max(doubling))
            }
            _ => None,
        }
    }

    /// Decodes bytes of the message into the free space of `content`. Returns the number of decoded bytes.
    pub(super) fn decode(
        &mut self,
        bytes: &[u8],
        content: &mut Content,
    ) -> Result<usize, FramingError> {
        let mut decoded = 0;
        loop {
            match self.decode_part(&bytes[decoded..], content)? {
                0 => return Ok(decoded),
                part => decoded += part,
            }
        }
    }

    /// Records that `bytes` bytes of unframed content were received without [`BodyDecoder::decode`].
    pub(super) fn advance_unframed(&mut self, bytes: usize) {
        if let Position::Content(remaining) = self.position {
            self.position = match remaining.saturating_sub(bytes) {
                0 => Position::End,
                remaining => Position::Content(remaining),
            };
        }
    }

    /// Decodes the part of the body at the current position. Returns its length, or 0 if more bytes or free space are
    /// needed.
    fn decode_part(&mut self, bytes: &[u8], content: &mut Content) -> Result<usize, FramingError> {
        match self.position {
            Position::Content(remaining) => {
                let size = content.append_within_room(bytes, remaining);
                self.advance_unframed(size);
                Ok(size)
            }
            Position::ChunkSize => self.decode_chunk_size(bytes),
            Position::Chunk(remaining) => {
                let size = content.append_within_room(bytes, remaining);
                self.position = match remaining - size {
                    0 => Position::ChunkEnd,
                    remaining => Position::Chunk(remaining),
                };
                Ok(size)
            }
            Position::ChunkEnd if bytes.len() < LINE_BREAK.len() => Ok(0),
            Position::ChunkEnd if !bytes.starts_with(LINE_BREAK) => Err(FramingError),
            Position::ChunkEnd => {
                self.position = Position::ChunkSize;
                Ok(LINE_BREAK.len())
            }
            Position::Trailers => {
                let end = end_of_trailers(bytes);
                if end.is_some() {
                    self.position = Position::End;
                }
                Ok(end.unwrap_or(0))
            }
            Position::End => Ok(0),
        }
    }

    fn decode_chunk_size(&mut self, bytes: &[u8]) -> Result<usize, FramingError> {
        let (line, size) = match httparse::parse_chunk_size(bytes) {
            Ok(httparse::Status::Complete(chunk)) => chunk,
            Ok(httparse::Status::Partial) if bytes.len() < MAX_CHUNK_SIZE_LINE => return Ok(0),
            _ => return Err(FramingError),
        };
        if size > self.remaining_limit as u64 {
            return Err(FramingError);
        }
        self.remaining_limit -= size as usize;
        self.position = match size {
            0 => Position::Trailers,
            size => Position::Chunk(size as usize),
        };
        Ok(line)
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
