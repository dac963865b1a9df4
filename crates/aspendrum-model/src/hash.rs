//! The hash that all nodes share, for digests and for the choice of a key's owner. It is part of the protocol: nodes of
//! different versions must compute the same values.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A 64-bit digest of the bytes (XXH3). It detects differences and damage; it does not resist forgery.
pub fn digest(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// The weight of a member for a key in rendezvous hashing (Thaler and Ravishankar, 1998): the member with the highest
/// weight owns the key. When a member is removed, only the keys that it owned get another owner.
pub fn rank(key: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), key)
}

/// The member that owns the key: the one with the highest [`rank`]. `None` if there are no members.
pub fn highest_ranked<T: Copy>(key: u64, members: impl Iterator<Item = (u64, T)>) -> Option<T> {
    let owner = members.max_by_key(|(member, _)| (rank(key, *member), *member));
    owner.map(|(_, value)| value)
}
