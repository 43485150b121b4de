//! Changes to an open journal.

use std::io::Write;

use super::{Journal, MAX_PAYLOAD_BYTES};
use crate::entry::Entry;
use crate::error::{OutOfOrderSnafu, PoisonedSnafu, TooLargeSnafu, VoteRevertsSnafu};
use crate::file::{self, Fault, Listing, SNAPSHOT};
use crate::replay::{self, Replay};
use crate::{HardState, Record, Snapshot, WriteError, recover};

/// Frames are written and synced once the buffer holds this many bytes.
///
/// Never written without a sync: after a power loss each write behind the last
/// sync is there, missing or torn by itself, so a second one could leave whole
/// frames behind a hole, which can't be told from damage.
const BUFFER_BYTES: usize = 1 << 20;

impl Journal {
    pub(super) fn unless_poisoned(
        &mut self,
        change: impl FnOnce(&mut Self) -> Result<(), WriteError>,
    ) -> Result<(), WriteError> {
        if self.poisoned {
            return PoisonedSnafu.fail();
        }
        let outcome = change(self);
        self.poisoned = outcome.as_ref().is_err_and(WriteError::is_fatal);
        outcome
    }

    pub(super) fn append_each(&mut self, records: &[Record]) -> Result<(), WriteError> {
        for record in records {
            self.check_next(record)?;
            self.push(&replay::append(record))?;
            self.last_index = record.index;
        }
        Ok(())
    }

    fn check_next(&self, record: &Record) -> Result<(), WriteError> {
        let expected = self.last_index + 1;
        if record.index != expected {
            let found = record.index;
            return OutOfOrderSnafu { found, expected }.fail();
        }
        let bytes = record.payload.len();
        if bytes > MAX_PAYLOAD_BYTES {
            let limit = MAX_PAYLOAD_BYTES;
            return TooLargeSnafu { bytes, limit }.fail();
        }
        Ok(())
    }

    pub(super) fn truncate(&mut self, index: u64) -> Result<(), WriteError> {
        if index > self.last_index {
            return Ok(());
        }
        if index <= self.base.index {
            let expected = self.base.index + 1;
            let found = index;
            return OutOfOrderSnafu { found, expected }.fail();
        }
        self.push(&Entry::TruncateFrom(index))?;
        self.last_index = index - 1;
        Ok(())
    }

    pub(super) fn replace_hard_state(&mut self, state: HardState) -> Result<(), WriteError> {
        let old = self.hard_state;
        let vote_changes = old.voted_for.is_some() && state.voted_for != old.voted_for;
        if state.term < old.term || (state.term == old.term && vote_changes) {
            return VoteRevertsSnafu.fail();
        }
        if state == old {
            return Ok(());
        }
        self.push(&Entry::HardState(state))?;
        self.hard_state = state;
        Ok(())
    }

    fn push(&mut self, entry: &Entry<'_>) -> Result<(), WriteError> {
        let offset = self.length + self.buf.len() as u64;
        file::push(&mut self.buf, self.seq, offset, entry);
        if self.buf.len() >= BUFFER_BYTES {
            self.flush_and_sync()?;
        }
        Ok(())
    }

    fn flush(&mut self) -> Result<(), WriteError> {
        if self.buf.is_empty() {
            return Ok(());
        }
        let path = self.folder.join(file::segment_name(self.seq));
        let written = self.file.write_all(&self.buf);
        written.map_err(Fault::at("write", &path))?;
        self.length += self.buf.len() as u64;
        self.buf.clear();
        self.dirty = true;
        Ok(())
    }

    pub(super) fn flush_and_sync(&mut self) -> Result<(), WriteError> {
        self.flush()?;
        if !self.dirty {
            return Ok(());
        }
        let path = self.folder.join(file::segment_name(self.seq));
        let synced = self.file.sync_data();
        synced.map_err(Fault::at("fsync", &path))?;
        self.dirty = false;
        if self.length >= self.segment_bytes {
            self.next_segment()?;
        }
        Ok(())
    }

    fn next_segment(&mut self) -> Result<(), Fault> {
        let seq = self.seq + 1;
        let none = std::iter::empty();
        let content = file::start_segment(seq, self.first, None, none);
        self.enter(seq, &content)
    }

    /// Puts a new last segment in place and goes on in it.
    fn enter(&mut self, seq: u64, content: &[u8]) -> Result<(), Fault> {
        let name = file::segment_name(seq);
        file::replace(&self.folder, &name, &[content])?;
        self.file = file::open_append(&self.folder.join(name))?;
        self.seq = seq;
        self.length = content.len() as u64;
        Ok(())
    }

    pub(super) fn replace_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), WriteError> {
        if snapshot.index <= self.base.index {
            let expected = self.base.index + 1;
            let found = snapshot.index;
            return OutOfOrderSnafu { found, expected }.fail();
        }
        self.flush_and_sync()?;
        let head = file::encode_snapshot_head(snapshot);
        file::replace(&self.folder, SNAPSHOT, &[&head, &snapshot.data])?;
        let listing = Listing::read(&self.folder)?;
        let mut chain = recover::read_chain(&self.folder, &listing)?;
        chain.replay.rebase(snapshot);
        self.start_chain(&chain.replay)?;
        self.remove_before(self.first, &listing)?;
        Ok(())
    }

    /// Starts a chain that needs no older segment.
    pub(super) fn start_chain(&mut self, replay: &Replay) -> Result<(), Fault> {
        let seq = self.seq + 1;
        let base = Some(replay.base);
        let content = file::start_segment(seq, seq, base, replay.entries());
        self.enter(seq, &content)?;
        self.first = seq;
        self.base = replay.base;
        self.last_index = replay.last_index();
        Ok(())
    }

    /// Removes the segments that no chain needs any more.
    pub(super) fn remove_before(&self, first: u64, listing: &Listing) -> Result<(), Fault> {
        for &seq in listing.segments.iter().filter(|&&seq| seq < first) {
            file::remove(&self.folder.join(file::segment_name(seq)))?;
        }
        Ok(())
    }
}
