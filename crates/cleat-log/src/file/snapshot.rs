//! The snapshot file: a header with two checksums, then the data.

use crate::{Damage, Snapshot};

const MAGIC: &[u8; 8] = b"CLEATSN1";
const HEADER: usize = 40;

/// The bytes that stand before the data.
pub(crate) fn encode_head(snapshot: &Snapshot) -> [u8; HEADER] {
    let mut head = [0; HEADER];
    head[..8].copy_from_slice(MAGIC);
    head[8..16].copy_from_slice(&snapshot.index.to_le_bytes());
    head[16..24].copy_from_slice(&snapshot.term.to_le_bytes());
    head[24..32].copy_from_slice(&(snapshot.data.len() as u64).to_le_bytes());
    let data_sum = crc32fast::hash(&snapshot.data);
    head[32..36].copy_from_slice(&data_sum.to_le_bytes());
    let head_sum = crc32fast::hash(&head[..36]);
    head[36..].copy_from_slice(&head_sum.to_le_bytes());
    head
}

/// Reads a whole snapshot file, or says where it is damaged.
pub(crate) fn decode(bytes: &[u8]) -> Result<Snapshot, (u64, Damage)> {
    let Some((head, data)) = bytes.split_first_chunk::<HEADER>() else {
        return Err((0, Damage::Header));
    };
    if head[36..] != crc32fast::hash(&head[..36]).to_le_bytes() || head[..8] != *MAGIC {
        return Err((0, Damage::Header));
    }
    if (data.len() as u64) < number_at(head, 24) {
        return Err((bytes.len() as u64, Damage::Short));
    }
    let snapshot = Snapshot {
        index: number_at(head, 8),
        term: number_at(head, 16),
        data: data.into(),
    };
    if *head != encode_head(&snapshot) {
        return Err((HEADER as u64, Damage::Checksum));
    }
    Ok(snapshot)
}

fn number_at(head: &[u8; HEADER], at: usize) -> u64 {
    let mut number = [0; 8];
    number.copy_from_slice(&head[at..at + 8]);
    u64::from_le_bytes(number)
}
