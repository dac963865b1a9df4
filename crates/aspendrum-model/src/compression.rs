//! Compression of configurations, on the wire and on disk (DEFLATE, RFC 1951).
//!
//! A configuration of a thousand routes is some 300 KB of repetitive text, which would take more than a second on a
//! machine's link of 2 Mbit/s.

use flate2::read::{DeflateDecoder, DeflateEncoder};
use flate2::Compression;
use std::io::Read;

/// The largest number of bytes that one text decompresses to; a longer text is truncated. Bounds the memory that a
/// damaged or hostile text can take.
const MAX_TEXT_BYTES: u64 = 64 << 20;

/// Compresses a text. The result is part of the protocol: nodes compare digests of compressed texts.
pub fn compress(text: &[u8]) -> Vec<u8> {
    let mut compressed = Vec::new();
    // Reading from memory does not fail.
    let _ = DeflateEncoder::new(text, Compression::fast()).read_to_end(&mut compressed);
    compressed
}

/// Decompresses a text. `None` if the bytes are not a compressed text.
pub fn decompress(compressed: &[u8]) -> Option<Vec<u8>> {
    let mut text = Vec::new();
    let result = DeflateDecoder::new(compressed)
        .take(MAX_TEXT_BYTES)
        .read_to_end(&mut text);
    result.ok().map(|_| text)
}
