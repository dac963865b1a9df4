//! Compression of configurations on the wire and on disk (DEFLATE, RFC 1951).
//!
//! A configuration with a thousand routes is about 300 KB of repetitive text. Uncompressed, its transfer would take
//! more than a second on a 2 Mbit/s link.

use flate2::read::{DeflateDecoder, DeflateEncoder};
use flate2::Compression;
use std::io::Read;

/// The maximum size of a decompressed text; a longer text is truncated. It bounds the memory that a corrupt or
/// malicious text can use.
const MAX_TEXT_BYTES: u64 = 64 << 20;

/// Compresses a text. The exact output is part of the protocol, because nodes compare digests of compressed texts.
pub fn compress(text: &[u8]) -> Vec<u8> {
    let mut compressed = Vec::new();
    // Reading from memory does not fail.
    let _ = DeflateEncoder::new(text, Compression::fast()).read_to_end(&mut compressed);
    compressed
}

/// Decompresses a text. Returns `None` if the input is not valid compressed data.
pub fn decompress(compressed: &[u8]) -> Option<Vec<u8>> {
    let mut text = Vec::new();
    let result = DeflateDecoder::new(compressed)
        .take(MAX_TEXT_BYTES)
        .read_to_end(&mut text);
    result.ok().map(|_| text)
}
