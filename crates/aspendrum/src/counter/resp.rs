//! The counter's protocol, RESP2 (Redis serialization protocol): serialization of calls and parsing of replies.

use aspendrum_core::api::Millis;
use aspendrum_net::ring_buffer::RingBuffer;
use std::io::Write;

const ADD_COMMAND: &str = "CNT.ADD";
/// The maximum size of a reply.
const MAX_REPLY_BYTES: usize = 256;
const CRLF: &[u8] = b"\r\n";

/// A reply from the counter.
#[derive(Debug, PartialEq)]
pub enum CounterReply {
    /// The total after the addition.
    Total(f32),
    /// The call was rejected or not understood, and nothing was added.
    Rejected,
}

/// The result of parsing a reply.
#[derive(Debug, PartialEq)]
pub enum ParsedReply {
    /// The reply is incomplete.
    Incomplete,
    /// A complete reply.
    Complete(CounterReply),
    /// Not a valid reply. The bytes that follow cannot be matched to calls.
    Invalid,
}

/// Writes a call that adds `amount` to the total with the given name. A new total expires after `ttl` milliseconds.
pub fn write_add(out: &mut impl Write, name: u64, amount: f32, ttl: Millis) {
    let name = name.to_string();
    let amount = amount.to_string();
    let ttl = (ttl.ceil().max(1.0) as u64).to_string();
    // Writing to an in-memory buffer does not fail.
    let _ = write!(out, "*4\r\n");
    for argument in [ADD_COMMAND, &name, &amount, &ttl] {
        let _ = write!(out, "${}\r\n{argument}\r\n", argument.len());
    }
}

/// Removes one reply from the buffer if it is complete.
pub fn parse_reply(buffer: &mut RingBuffer) -> ParsedReply {
    let bytes = buffer.contiguous();
    let Some((kind, rest)) = bytes.split_first() else {
        return ParsedReply::Incomplete;
    };
    let Some(line_length) = rest.windows(CRLF.len()).position(|window| window == CRLF) else {
        let is_too_long = bytes.len() > MAX_REPLY_BYTES;
        return if is_too_long {
            ParsedReply::Invalid
        } else {
            ParsedReply::Incomplete
        };
    };
    let line = std::str::from_utf8(&rest[..line_length]).unwrap_or("");
    let content = &rest[line_length + CRLF.len()..];
    let (parsed, content_bytes) = match kind {
        b'-' => (parse_error(line), 0),
        b':' | b'+' => (parse_total(line), 0),
        b'$' => parse_bulk_string(line, content),
        _ => (ParsedReply::Invalid, 0),
    };
    if matches!(parsed, ParsedReply::Complete(_)) {
        buffer.consume(1 + line_length + CRLF.len() + content_bytes);
    }
    parsed
}

/// Parses an error reply. Only `BUSY` and `ERR` guarantee that nothing was added. After any other error the amount may
/// have been added, so a retry could count it twice.
fn parse_error(line: &str) -> ParsedReply {
    match line.split(' ').next() {
        Some("BUSY" | "ERR") => ParsedReply::Complete(CounterReply::Rejected),
        _ => ParsedReply::Invalid,
    }
}

fn parse_total(text: &str) -> ParsedReply {
    match text.trim().parse::<f32>() {
        Ok(total) if total.is_finite() => ParsedReply::Complete(CounterReply::Total(total)),
        _ => ParsedReply::Invalid,
    }
}

/// Parses a bulk string, whose size is on the first line. Returns the reply and the number of bytes after that line.
fn parse_bulk_string(line: &str, content: &[u8]) -> (ParsedReply, usize) {
    let size = line
        .parse::<usize>()
        .ok()
        .filter(|size| *size <= MAX_REPLY_BYTES);
    let Some(size) = size else {
        return (ParsedReply::Invalid, 0);
    };
    let end = size + CRLF.len();
    if content.len() < end {
        return (ParsedReply::Incomplete, 0);
    }
    let is_terminated = &content[size..end] == CRLF;
    match std::str::from_utf8(&content[..size]) {
        Ok(text) if is_terminated => (parse_total(text), end),
        _ => (ParsedReply::Invalid, 0),
    }
}
