//! A customer's key, as the fleet keeps it.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// How many bytes of a digest its fingerprint shows: enough to tell the keys of
/// a fleet apart, too few to find a key by.
const FINGERPRINT_BYTES: usize = 4;

/// The SHA-256 digest of a key.
///
/// A key itself goes no further than the instance that reads it from a call or
/// from the operator's document: what is compared, sent on, kept and logged is
/// its digest. Whoever times a comparison of digests learns nothing of a key,
/// as nobody can choose a key by its digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }
}

/// The fingerprint, by which operators tell keys apart.
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
