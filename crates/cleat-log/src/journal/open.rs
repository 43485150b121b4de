//! Opening a folder: check everything, and only then change anything.

use std::path::Path;

use super::Journal;
use crate::entry::Base;
use crate::error::NoIdentitySnafu;
use crate::file::{self, Fault, Identity, Listing, SNAPSHOT};
use crate::recover::{self, Chain};
use crate::replay::Replay;
use crate::{OpenError, Recovered, Snapshot};

const FIRST_SEGMENT: u64 = 1;

pub(super) fn open(
    folder: &Path,
    owner: &str,
    segment_bytes: u64,
) -> Result<(Journal, Recovered), OpenError> {
    file::make_folder(folder)?;
    let lock = file::lock(folder)?;
    let (identity, fresh) = match file::read_identity(folder)? {
        Some(found) => (check_owner(folder, owner, found)?, false),
        None => (make(folder, owner)?, true),
    };
    let listing = Listing::read(folder)?;
    let chain = recover::read_chain(folder, &listing)?;
    let snapshot = recover::read_snapshot(folder, &chain.replay)?;

    let path = folder.join(file::segment_name(chain.last));
    let last = file::open_append(&path)?;
    // Also what was read but not cut may so far be in memory only.
    last.set_len(chain.length)
        .and_then(|()| last.sync_all())
        .map_err(Fault::at("cut", &path))?;
    let mut journal = Journal {
        folder: folder.into(),
        _lock: lock,
        file: last,
        seq: chain.last,
        first: chain.first,
        length: chain.length,
        buf: Vec::new(),
        dirty: false,
        hard_state: chain.replay.hard_state,
        base: chain.replay.base,
        last_index: chain.replay.last_index(),
        segment_bytes,
        poisoned: false,
    };
    let Chain {
        mut replay, torn, ..
    } = chain;
    finish(&mut journal, &mut replay, snapshot.as_ref(), &listing)?;
    let recovered = Recovered {
        hard_state: replay.hard_state,
        snapshot,
        records: replay.records,
        identity: identity.identity,
        fresh,
        cut_bytes: torn,
    };
    Ok((journal, recovered))
}

fn check_owner(folder: &Path, owner: &str, found: Identity) -> Result<Identity, OpenError> {
    if *found.owner == *owner {
        return Ok(found);
    }
    Err(OpenError::OtherOwner {
        path: folder.into(),
        found: found.owner,
        expected: owner.into(),
    })
}

/// Makes the first segment and then the identity, which completes the folder.
fn make(folder: &Path, owner: &str) -> Result<Identity, OpenError> {
    let name = file::segment_name(FIRST_SEGMENT);
    let base = Some(Base::default());
    let none = std::iter::empty();
    let content = file::start_segment(FIRST_SEGMENT, FIRST_SEGMENT, base, none);
    refuse_remains(folder, &content)?;
    file::replace(folder, &name, &[&content])?;
    let identity = Identity::new(owner, rand::random());
    file::write_identity(folder, &identity)?;
    Ok(identity)
}

/// Without an identity there may at most be the `content` that an interrupted make left.
fn refuse_remains(folder: &Path, content: &[u8]) -> Result<(), OpenError> {
    let listing = Listing::read(folder)?;
    if listing.snapshot {
        let file = folder.join(SNAPSHOT);
        return NoIdentitySnafu { folder, file }.fail();
    }
    for &seq in &listing.segments {
        let file = folder.join(file::segment_name(seq));
        let found = file::read(&file)?;
        if seq != FIRST_SEGMENT || found.as_deref() != Some(content) {
            return NoIdentitySnafu { folder, file }.fail();
        }
    }
    Ok(())
}

/// Completes a snapshot that a crash interrupted and clears away what it left.
fn finish(
    journal: &mut Journal,
    replay: &mut Replay,
    snapshot: Option<&Snapshot>,
    listing: &Listing,
) -> Result<(), Fault> {
    if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.index > replay.base.index) {
        replay.rebase(snapshot);
        journal.start_chain(replay)?;
    }
    for draft in &listing.drafts {
        file::remove(draft)?;
    }
    journal.remove_before(journal.first, listing)
}
