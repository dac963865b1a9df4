//! One hash for digests and for cutting duties by key.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

pub fn digest(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// The order in which members stand for a key: rendezvous hashing (Thaler and Ravishankar, 1998). When one
/// member goes only its own keys move.
pub fn rank(key: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), key)
}

/// Who of them stands first for the key.
pub fn highest_ranked<T: Copy>(key: u64, members: impl Iterator<Item = (u64, T)>) -> Option<T> {
    members.max_by_key(|m| (rank(key, m.0), m.0)).map(|m| m.1)
}
