//! The hash function for digests and rendezvous hashing. It is part of the protocol: nodes of different versions must
//! compute the same values.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns a 64-bit digest (XXH3). It detects differences and corruption, but it is not cryptographically secure.
pub fn digest(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the weight of a member for a key in rendezvous hashing (Thaler and Ravishankar, 1998). The member with the
/// highest weight owns the key. When a member is removed, only its own keys are reassigned.
pub fn rendezvous_weight(key: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), key)
}

/// Returns the value of the member that owns the key, which is the one with the highest [`rendezvous_weight`]. Ties are
/// broken by the member number. Returns `None` if there are no members.
pub fn rendezvous_owner<T: Copy>(key: u64, members: impl Iterator<Item = (u64, T)>) -> Option<T> {
    let owner = members.max_by_key(|(member, _)| (rendezvous_weight(key, *member), *member));
    owner.map(|(_, value)| value)
}
