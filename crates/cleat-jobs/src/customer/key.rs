//! Digests of customers' keys.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The number of digest bytes in a fingerprint: enough to distinguish the keys of a
/// fleet, too few to find the key.
const FINGERPRINT_BYTES: usize = 4;

/// The SHA-256 digest of a key.
///
/// A key itself does not leave the instance that reads it from a call or from the
/// operator's document. Its digest is compared, forwarded, stored and logged instead.
/// The comparison needs no constant time: a timing attack needs keys with chosen
/// digests, and nobody can choose a key by its digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }
}

/// Prints the fingerprint, by which operators distinguish keys.
impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut bytes = self.0.iter().take(FINGERPRINT_BYTES);
        bytes.try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}
