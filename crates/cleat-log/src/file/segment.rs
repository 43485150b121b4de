//! Segment files: their names and headers.

use super::frame;
use crate::Damage;
use crate::entry::{Base, Entry};

const MAGIC: &[u8; 8] = b"CLEATSG1";
const PREFIX: &str = "segment-";
const SUFFIX: &str = ".log";
const HEADER: usize = 36;

/// The file name of segment `seq`.
pub(crate) fn name(seq: u64) -> String {
    format!("{PREFIX}{seq:020}{SUFFIX}")
}

/// The number in a segment's file name.
pub(super) fn number(file_name: &str) -> Option<u64> {
    let digits = file_name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?;
    let seq = digits.parse().ok()?;
    (name(seq) == file_name).then_some(seq)
}

/// The fixed start of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Header {
    /// The segment's number, as in its name.
    pub(crate) seq: u64,
    /// The first segment of its chain; older ones are void.
    pub(crate) first: u64,
    /// How many bytes, header included, were durable before the file got its name.
    pub(crate) sealed: u64,
}

impl Header {
    /// The header's length in bytes.
    pub(crate) const LENGTH: usize = HEADER;

    /// Reads and checks the header of segment `seq`.
    pub(crate) fn decode(bytes: &[u8], seq: u64) -> Result<Header, Damage> {
        let head = bytes.first_chunk::<HEADER>().ok_or(Damage::Header)?;
        let sealed = number_at(head, 24);
        let first = number_at(head, 16);
        let header = Header { seq, first, sealed };
        let as_written = *head == header.encode();
        if !as_written || first == 0 || first > seq {
            return Err(Damage::Header);
        }
        if (bytes.len() as u64) < sealed {
            return Err(Damage::Short);
        }
        Ok(header)
    }

    fn encode(&self) -> [u8; HEADER] {
        let mut head = [0; HEADER];
        head[..8].copy_from_slice(MAGIC);
        head[8..16].copy_from_slice(&self.seq.to_le_bytes());
        head[16..24].copy_from_slice(&self.first.to_le_bytes());
        head[24..32].copy_from_slice(&self.sealed.to_le_bytes());
        let sum = crc32fast::hash(&head[..32]);
        head[32..].copy_from_slice(&sum.to_le_bytes());
        head
    }
}

fn number_at(head: &[u8; HEADER], at: usize) -> u64 {
    let mut number = [0; 8];
    number.copy_from_slice(&head[at..at + 8]);
    u64::from_le_bytes(number)
}

/// The content of a new segment, sealed. With a base it starts a chain,
/// else it continues the one that starts at `first`.
pub(crate) fn start<'a>(
    seq: u64,
    first: u64,
    base: Option<Base>,
    entries: impl Iterator<Item = Entry<'a>>,
) -> Vec<u8> {
    let mut buf = vec![0; HEADER];
    for entry in base.map(Entry::Base).into_iter().chain(entries) {
        let offset = buf.len() as u64;
        frame::push(&mut buf, seq, offset, &entry);
    }
    let sealed = buf.len() as u64;
    let header = Header { seq, first, sealed };
    buf[..HEADER].copy_from_slice(&header.encode());
    buf
}
