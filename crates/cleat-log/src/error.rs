//! What can go wrong with a data folder.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// Why a data folder was not opened. Nothing in the folder was changed, but for
/// [`OpenError::Io`], which may leave temporary files that the next open removes.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum OpenError {
    /// The path names something else. Give a folder, or a path where one can be made.
    #[snafu(display("data folder {} is not a folder", path.display()))]
    NotAFolder {
        /// The path given.
        path: PathBuf,
    },
    /// The process may not write there. Mend the owner or the permissions, or mount it writable.
    #[snafu(display("data folder {} can't be written: {source}", path.display()))]
    NotWritable {
        /// The file or folder that refused.
        path: PathBuf,
        /// The system's answer.
        source: io::Error,
    },
    /// Another process has the folder open. Stop it, or give this instance its own folder.
    #[snafu(display("data folder {} is in use by another process", path.display()))]
    Locked {
        /// The folder.
        path: PathBuf,
    },
    /// The folder belongs to another instance. Give this instance its own folder.
    #[snafu(display("data folder {} belongs to instance {found:?}, not to {expected:?}", path.display()))]
    OtherOwner {
        /// The folder.
        path: PathBuf,
        /// The instance that the folder names.
        found: Box<str>,
        /// The instance that asked.
        expected: Box<str>,
    },
    /// The folder was written in another format. Start the release that wrote it.
    #[snafu(display("data folder {} has format {found}, this release reads {expected}", path.display()))]
    OtherFormat {
        /// The folder.
        path: PathBuf,
        /// The format version found.
        found: u64,
        /// The format version of this release.
        expected: u64,
    },
    /// The identity file can't be read as such. Replace this member: start it with an empty folder.
    #[snafu(display("identity file {} is damaged: {source}", path.display()))]
    BadIdentity {
        /// The identity file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// There are journal files but no identity file. Restore it, or replace this member:
    /// start it with an empty folder.
    #[snafu(display("data folder {} holds {} but no identity file", folder.display(), file.display()))]
    NoIdentity {
        /// The folder.
        folder: PathBuf,
        /// One of the files found.
        file: PathBuf,
    },
    /// Acknowledged bytes have changed or gone. Replace this member: start it with an empty folder.
    #[snafu(display("{} is damaged at byte {offset}: {damage}", file.display()))]
    Damaged {
        /// The damaged file.
        file: PathBuf,
        /// Where the fault starts, in bytes from the start of the file.
        offset: u64,
        /// What is wrong there.
        damage: Damage,
    },
    /// The system refused an operation. Mend what it names and start again.
    #[snafu(display("{operation} {}: {source}", path.display()))]
    Io {
        /// What was tried.
        operation: &'static str,
        /// On which file or folder.
        path: PathBuf,
        /// The system's answer.
        source: io::Error,
    },
}

/// The kinds of damage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum Damage {
    /// The file's own header is short or does not match its checksum.
    #[snafu(display("the file header is short or fails its checksum"))]
    Header,
    /// A frame's length does not match its checksum.
    #[snafu(display("a frame's length fails its checksum"))]
    Length,
    /// A frame's body does not match its checksum.
    #[snafu(display("a frame's content fails its checksum"))]
    Checksum,
    /// A frame passes its checksum but can't be decoded.
    #[snafu(display("a frame can't be decoded"))]
    Encoding,
    /// A file ends before bytes that were acknowledged.
    #[snafu(display("the file ends before acknowledged bytes"))]
    Short,
    /// A record does not follow the one before it.
    #[snafu(display("a record does not follow the one before it"))]
    Gap,
    /// A segment that later ones build on is absent.
    #[snafu(display("the segment before this one is missing"))]
    MissingSegment,
    /// The snapshot that the records build on is absent or older than they need.
    #[snafu(display("the snapshot that the records build on is missing or too old"))]
    MissingSnapshot,
}

/// Why a change was not made durable.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum WriteError {
    /// The system refused a write or an fsync. What the disk holds is now unknown and
    /// the journal takes no more changes: stop the instance, see to the disk, start again.
    #[snafu(display("{operation} {}: {source}; the journal takes no more changes", path.display()))]
    Failed {
        /// What was tried.
        operation: &'static str,
        /// On which file or folder.
        path: PathBuf,
        /// The system's answer.
        source: io::Error,
    },
    /// An earlier write failed. Stop the instance, see to the disk, start again.
    #[snafu(display("an earlier write failed; the journal takes no more changes"))]
    Poisoned,
    /// The record is not the next one. Nothing was written; this is a fault in the caller.
    #[snafu(display("record {found} is out of order, expected {expected}"))]
    OutOfOrder {
        /// The index given.
        found: u64,
        /// The index that would have been taken.
        expected: u64,
    },
    /// The record is too large. Nothing was written; split the command.
    #[snafu(display("a payload of {bytes} bytes is over the limit of {limit}"))]
    TooLarge {
        /// The size of the payload in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The term would fall, or a vote would change within its term. Nothing was written;
    /// this is a fault in the caller.
    #[snafu(display("a vote once given would be taken back"))]
    VoteReverts,
    /// The journal's own files could not be read back. The journal takes no more changes:
    /// stop the instance and start again, which says whether the member must be replaced.
    #[snafu(context(false), display("reading the journal back: {source}"))]
    Unreadable {
        /// What was found.
        source: OpenError,
    },
}

impl WriteError {
    /// Whether what the disk holds is unknown after this error.
    pub(crate) fn is_fatal(&self) -> bool {
        matches!(
            self,
            WriteError::Failed { .. } | WriteError::Unreadable { .. } | WriteError::Poisoned
        )
    }
}
