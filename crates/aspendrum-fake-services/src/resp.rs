//! The subset of RESP, the protocol of Redis, that the shared counter uses.

use std::io;

/// The size limit of a call. Valid calls have four short parts.
pub(crate) const MAX_CALL_BYTES: usize = 1024;
const MAX_PARTS: usize = 8;
const LINE_END: &[u8] = b"\r\n";

/// A complete call.
pub(crate) struct Call {
    /// The name of the call, followed by its arguments.
    pub(crate) parts: Vec<Vec<u8>>,
    /// The size of the encoded call in bytes.
    pub(crate) size: usize,
}

impl Call {
    /// Returns a part as text, or an empty string if the part is missing or not UTF-8.
    pub(crate) fn text(&self, index: usize) -> &str {
        let part = self.parts.get(index);
        part.map_or("", |bytes| std::str::from_utf8(bytes).unwrap_or(""))
    }
}

fn invalid() -> io::Error {
    io::ErrorKind::InvalidData.into()
}

/// Parses the call at the start of `bytes`. Returns `None` if it is incomplete.
pub(crate) fn parse_call(bytes: &[u8]) -> io::Result<Option<Call>> {
    let mut position = 0;
    let Some(count) = parse_number(bytes, &mut position, b'*')? else {
        return Ok(None);
    };
    if count == 0 || count > MAX_PARTS {
        return Err(invalid());
    }
    let mut parts = Vec::with_capacity(count);
    for _ in 0..count {
        let Some(part) = parse_part(bytes, &mut position)? else {
            return Ok(None);
        };
        parts.push(part.to_vec());
    }
    Ok(Some(Call {
        parts,
        size: position,
    }))
}

/// Parses a line of `marker` and a number, and advances `position` past it.
fn parse_number(bytes: &[u8], position: &mut usize, marker: u8) -> io::Result<Option<usize>> {
    let rest = &bytes[*position..];
    let Some(size) = rest
        .windows(LINE_END.len())
        .position(|window| window == LINE_END)
    else {
        return Ok(None);
    };
    *position += size + LINE_END.len();
    let number = rest[..size].strip_prefix(&[marker]);
    let number = number.and_then(|text| std::str::from_utf8(text).ok()?.parse().ok());
    number.map(Some).ok_or_else(invalid)
}

/// Parses a part with its length prefix, and advances `position` past it.
fn parse_part<'b>(bytes: &'b [u8], position: &mut usize) -> io::Result<Option<&'b [u8]>> {
    let Some(size) = parse_number(bytes, position, b'$')? else {
        return Ok(None);
    };
    if size > MAX_CALL_BYTES {
        return Err(invalid());
    }
    let (start, end) = (*position, *position + size);
    if bytes.len() < end + LINE_END.len() {
        return Ok(None);
    }
    if &bytes[end..end + LINE_END.len()] != LINE_END {
        return Err(invalid());
    }
    *position = end + LINE_END.len();
    Ok(Some(&bytes[start..end]))
}
