//! The counter's protocol, RESP2 (the Redis serialization protocol): calls out, replies in.

use aspendrum_core::api::Millis;
use aspendrum_net::ring_buffer::RingBuffer;
use std::io::Write;

const ADD_COMMAND: &str = "CNT.ADD";
/// No reply of the counter is longer.
const MAX_REPLY_BYTES: usize = 256;
const CRLF: &[u8] = b"\r\n";

/// A reply of the counter.
#[derive(Debug, PartialEq)]
pub enum CounterReply {
    /// The total after the addition.
    Total(f32),
    /// The call was rejected or not understood: nothing was added.
    Rejected,
}

/// What a buffer holds of a reply.
#[derive(Debug, PartialEq)]
pub enum ParsedReply {
    /// The beginning of a reply: more bytes are needed.
    Incomplete,
    /// A whole reply.
    Complete(CounterReply),
    /// Something else. Whatever follows it belongs to no call that is known.
    Invalid,
}

/// Writes a call that adds `amount` to the total of that name, which expires after `ttl` if it is new.
pub fn write_add(out: &mut impl Write, name: u64, amount: f32, ttl: Millis) {
    let name = name.to_string();
    let amount = amount.to_string();
    let ttl = (ttl.ceil().max(1.0) as u64).to_string();
    // Writing to memory does not fail.
    let _ = write!(out, "*4\r\n");
    for argument in [ADD_COMMAND, &name, &amount, &ttl] {
        let _ = write!(out, "${}\r\n{argument}\r\n", argument.len());
    }
}

/// Takes one reply off the buffer if it is whole.
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

/// Only these two errors prove that nothing was added. Any other may stand for an addition that was made, and a retry
/// would count it twice.
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

/// Parses the string that follows a line with its size. Returns with it how many bytes it takes after that line.
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
