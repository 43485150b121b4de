//! The static division of a target's slots among the entries.

/// The offset basis and the prime of 64-bit FNV-1a. Every instance must compute
/// the same hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// How many of the `cap` slots of `target` belong to the entry `me`.
///
/// `cap` is the smaller of the target's slots and connections. `entries` lists
/// all configured entries, in the same order on every instance. Invariant: the
/// shares of all entries add up to exactly `cap`. An entry that is not listed
/// gets none.
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
    // The low bits of FNV-1a alone are weak for names that differ in one digit.
    hash ^ (hash >> 32)
}
