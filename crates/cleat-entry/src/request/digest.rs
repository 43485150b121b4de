//! The digest that distinguishes requests with the same idempotency key.

/// Offset basis and prime of 64-bit FNV-1a. All instances must compute the same
/// digest, including those of other builds, which the standard hashers don't
/// guarantee.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The digest of `parts`. Each part is prefixed with its length.
pub(crate) fn digest(parts: &[&[u8]]) -> u64 {
    let mut hash = FNV_BASIS;
    for part in parts {
        hash = add(hash, &(part.len() as u64).to_le_bytes());
        hash = add(hash, part);
    }
    hash
}

fn add(hash: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(hash, step)
}
