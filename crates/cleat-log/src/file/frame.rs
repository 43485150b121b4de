//! Frames: length, checksum of the length, checksum of the body, body.
//!
//! The length has its own checksum so that a changed length can't pass for a
//! write that was cut short.

use crate::Damage;
use crate::entry::Entry;

const LENGTH: usize = 4;
const HEAD: usize = 12;

/// Appends `entry` as a frame. `offset` is where the frame starts in segment `seq`.
pub(crate) fn push(buf: &mut Vec<u8>, seq: u64, offset: u64, entry: &Entry<'_>) {
    let start = buf.len();
    buf.resize(start + HEAD, 0);
    let full = postcard::to_extend(entry, std::mem::take(buf));
    // Writing into a growing vector has no way to fail.
    *buf = full.unwrap_or_default();
    let body = buf.len() - start - HEAD;
    let length = u32::try_from(body).unwrap_or(u32::MAX).to_le_bytes();
    let sums = [
        checksum(seq, offset, &length),
        checksum(seq, offset, &buf[start + HEAD..]),
    ];
    buf[start..start + LENGTH].copy_from_slice(&length);
    buf[start + LENGTH..start + 8].copy_from_slice(&sums[0].to_le_bytes());
    buf[start + 8..start + HEAD].copy_from_slice(&sums[1].to_le_bytes());
}

/// Binds the content to its place, so that a block written elsewhere is found out.
fn checksum(seq: u64, offset: u64, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&seq.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(bytes);
    hasher.finalize()
}

/// What stands at an offset.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Step<'a> {
    /// A whole frame.
    Entry(Entry<'a>),
    /// The end of the file, just behind a whole frame.
    End,
    /// A write that was cut short; nothing follows it.
    Torn,
    /// Neither.
    Damaged(Damage),
}

/// Reads the frames of one segment in turn.
#[derive(Debug)]
pub(crate) struct Frames<'a> {
    bytes: &'a [u8],
    seq: u64,
    offset: usize,
}

impl<'a> Frames<'a> {
    /// Starts at `offset` in the whole content of segment `seq`.
    pub(crate) fn new(bytes: &'a [u8], seq: u64, offset: usize) -> Frames<'a> {
        Frames { bytes, seq, offset }
    }

    /// Where the next frame starts; unchanged by a step that is no entry.
    pub(crate) fn offset(&self) -> u64 {
        self.offset as u64
    }

    /// Reads the next frame.
    pub(crate) fn step(&mut self) -> Step<'a> {
        let rest = self.bytes.get(self.offset..).unwrap_or_default();
        if rest.is_empty() {
            return Step::End;
        }
        // The file grew but its content never reached the disk.
        if rest.iter().all(|&b| b == 0) {
            return Step::Torn;
        }
        let Some((head, rest)) = rest.split_first_chunk::<HEAD>() else {
            return Step::Torn;
        };
        let [length, length_sum, body_sum] = words(head);
        if checksum(self.seq, self.offset(), &length.to_le_bytes()) != length_sum {
            return Step::Damaged(Damage::Length);
        }
        let Some(body) = rest.get(..length as usize) else {
            return Step::Torn;
        };
        if checksum(self.seq, self.offset(), body) != body_sum {
            return Step::Damaged(Damage::Checksum);
        }
        match postcard::take_from_bytes(body) {
            Ok((entry, [])) => {
                self.offset += HEAD + body.len();
                Step::Entry(entry)
            }
            _ => Step::Damaged(Damage::Encoding),
        }
    }
}

fn words(head: &[u8; HEAD]) -> [u32; 3] {
    let [a, b, c, d, e, f, g, h, i, j, k, l] = *head;
    let words = [[a, b, c, d], [e, f, g, h], [i, j, k, l]];
    words.map(u32::from_le_bytes)
}
