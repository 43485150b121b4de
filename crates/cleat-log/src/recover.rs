//! Reading a folder back. Nothing here writes.

use std::path::Path;

use crate::error::DamagedSnafu;
use crate::file::{self, Frames, Header, Listing, SNAPSHOT, Step};
use crate::replay::Replay;
use crate::{Damage, OpenError, Snapshot};

/// The chain of segments, read and checked.
#[derive(Debug)]
pub(crate) struct Chain {
    /// What its entries amount to.
    pub(crate) replay: Replay,
    /// Its first segment; older ones are void.
    pub(crate) first: u64,
    /// Its last segment, the one that grows.
    pub(crate) last: u64,
    /// The length in bytes of the last segment up to its last whole frame.
    pub(crate) length: u64,
    /// Bytes behind that, written but never acknowledged.
    pub(crate) torn: u64,
}

/// Reads the newest chain. The listing has to have a segment.
pub(crate) fn read_chain(folder: &Path, listing: &Listing) -> Result<Chain, OpenError> {
    let Some(&last) = listing.segments.last() else {
        return damaged(folder, 0, Damage::MissingSegment);
    };
    let newest = read_segment(folder, last)?;
    let first = newest.header.first;
    let mut chain = Chain {
        replay: Replay::default(),
        first,
        last,
        length: 0,
        torn: 0,
    };
    for seq in first..last {
        let segment = read_segment(folder, seq)?;
        chain.replay_segment(folder, &segment)?;
        if chain.torn > 0 {
            return damaged(
                &folder.join(file::segment_name(seq)),
                chain.length,
                Damage::Short,
            );
        }
    }
    chain.replay_segment(folder, &newest)?;
    Ok(chain)
}

impl Chain {
    fn replay_segment(&mut self, folder: &Path, segment: &Segment) -> Result<(), OpenError> {
        let Segment { header, bytes } = segment;
        let path = folder.join(file::segment_name(header.seq));
        if header.first != self.first {
            return damaged(&path, 0, Damage::MissingSegment);
        }
        let mut frames = Frames::new(bytes, header.seq, Header::LENGTH);
        loop {
            let offset = frames.offset();
            match frames.step() {
                Step::Entry(entry) => {
                    let applied = self.replay.apply(entry);
                    applied.or_else(|damage| damaged(&path, offset, damage))?;
                }
                Step::Damaged(damage) => return damaged(&path, offset, damage),
                Step::Torn if offset < header.sealed => {
                    return damaged(&path, offset, Damage::Short);
                }
                Step::End | Step::Torn => {
                    self.length = offset;
                    self.torn = bytes.len() as u64 - offset;
                    return Ok(());
                }
            }
        }
    }
}

#[derive(Debug)]
struct Segment {
    header: Header,
    bytes: Vec<u8>,
}

fn read_segment(folder: &Path, seq: u64) -> Result<Segment, OpenError> {
    let path = folder.join(file::segment_name(seq));
    let Some(bytes) = file::read(&path)? else {
        return damaged(&path, 0, Damage::MissingSegment);
    };
    match Header::decode(&bytes, seq) {
        Ok(header) => Ok(Segment { header, bytes }),
        Err(damage) => damaged(&path, 0, damage),
    }
}

/// The snapshot, which has to reach at least to the chain's base.
pub(crate) fn read_snapshot(folder: &Path, replay: &Replay) -> Result<Option<Snapshot>, OpenError> {
    let path = folder.join(SNAPSHOT);
    let snapshot = match file::read(&path)? {
        None => None,
        Some(bytes) => {
            let found = file::decode_snapshot(&bytes);
            Some(found.or_else(|(offset, damage)| damaged(&path, offset, damage))?)
        }
    };
    let (index, term) = snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
    let base = replay.base;
    if index < base.index || (index == base.index && term != base.term) {
        return damaged(&path, 0, Damage::MissingSnapshot);
    }
    Ok(snapshot)
}

fn damaged<T>(file: &Path, offset: u64, damage: Damage) -> Result<T, OpenError> {
    let context = DamagedSnafu {
        file,
        offset,
        damage,
    };
    context.fail()
}
