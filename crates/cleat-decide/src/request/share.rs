//! The static split of a target's slots over the entries.

/// Offset basis and prime of 64-bit FNV-1a, which every instance computes alike.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// How many of the `cap` slots of `target` the entry `me` may use.
///
/// `cap` is the lesser of the target's slots and connections; `entries` are all
/// configured instances of ours in the same order everywhere. Invariant: the
/// shares of all entries sum to exactly `cap`. An entry not listed gets none.
pub fn slot_share(target: &str, cap: u32, entries: &[Box<str>], me: &str) -> u32 {
    let Some(position) = entries.iter().position(|entry| &**entry == me) else {
        return 0;
    };
    let count = entries.len() as u64;
    let first = hash(target) % count;
    let distance = (position as u64 + count - first) % count;
    let even = u64::from(cap) / count;
    let remainder = u64::from(cap) % count;
    let own = even + u64::from(distance < remainder);
    u32::try_from(own).unwrap_or(cap)
}

fn hash(name: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    let hash = name.bytes().fold(FNV_BASIS, step);
    // The low bits of FNV alone are weak for names that differ in one digit.
    hash ^ (hash >> 32)
}
