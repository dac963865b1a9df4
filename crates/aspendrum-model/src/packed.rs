//! Configurations on the way and on disk: packed, since one of a thousand routes is some 300 KB of much the same
//! words, and a machine's link may be 2 Mbit/s.

use flate2::read::{DeflateDecoder, DeflateEncoder};
use flate2::Compression;
use std::io::Read;

/// No text is longer.
const LONGEST: u64 = 64 << 20;

pub fn pack(text: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    // Reading from memory does not fail.
    let _ = DeflateEncoder::new(text, Compression::fast()).read_to_end(&mut out);
    out
}

/// None: it is no packed text.
pub fn unpack(packed: &[u8]) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    let read = DeflateDecoder::new(packed)
        .take(LONGEST)
        .read_to_end(&mut out);
    read.ok().map(|_| out)
}
