//! Operations on the folder, each durable when it returns.

use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use super::{SNAPSHOT, segment};
use crate::{OpenError, WriteError};

/// A refused operation, not yet said whether on opening or on writing.
#[derive(Debug)]
pub(crate) struct Fault {
    operation: &'static str,
    path: PathBuf,
    source: io::Error,
}

impl Fault {
    /// For `map_err`: names the operation and the path.
    pub(crate) fn at(operation: &'static str, path: &Path) -> impl FnOnce(io::Error) -> Fault {
        move |source| Fault {
            operation,
            path: path.into(),
            source,
        }
    }
}

impl From<Fault> for WriteError {
    fn from(fault: Fault) -> WriteError {
        WriteError::Failed {
            operation: fault.operation,
            path: fault.path,
            source: fault.source,
        }
    }
}

impl From<Fault> for OpenError {
    fn from(fault: Fault) -> OpenError {
        let Fault {
            operation,
            path,
            source,
        } = fault;
        match source.kind() {
            ErrorKind::PermissionDenied | ErrorKind::ReadOnlyFilesystem => {
                OpenError::NotWritable { path, source }
            }
            ErrorKind::NotADirectory => OpenError::NotAFolder { path },
            _ => OpenError::Io {
                operation,
                path,
                source,
            },
        }
    }
}

/// Makes the folder and its parents where absent.
pub(crate) fn make_folder(path: &Path) -> Result<(), OpenError> {
    match fs::metadata(path) {
        Ok(found) if found.is_dir() => return Ok(()),
        Ok(_) => return Err(OpenError::NotAFolder { path: path.into() }),
        Err(error) if error.kind() == ErrorKind::NotFound => {}
        Err(error) => return Err(Fault::at("look at", path)(error).into()),
    }
    let parent = match path.parent() {
        Some(parent) if parent != Path::new("") => parent,
        _ => Path::new("."),
    };
    make_folder(parent)?;
    fs::create_dir(path).map_err(Fault::at("make", path))?;
    sync_folder(parent)?;
    Ok(())
}

/// Locks the folder itself, so that a refusal leaves nothing behind in it.
pub(crate) fn lock(folder: &Path) -> Result<File, OpenError> {
    let handle = File::open(folder).map_err(Fault::at("open", folder))?;
    match handle.try_lock() {
        Ok(()) => Ok(handle),
        Err(TryLockError::WouldBlock) => Err(OpenError::Locked {
            path: folder.into(),
        }),
        Err(TryLockError::Error(error)) => Err(Fault::at("lock", folder)(error).into()),
    }
}

/// The whole file, or nothing where it is absent.
pub(crate) fn read(path: &Path) -> Result<Option<Vec<u8>>, Fault> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(Fault::at("read", path)(error)),
    }
}

/// Puts a file with this content in place of `name`, whole or not at all.
pub(crate) fn replace(folder: &Path, name: &str, parts: &[&[u8]]) -> Result<(), Fault> {
    let draft = folder.join(format!("{name}.tmp"));
    let path = folder.join(name);
    let mut file = create(&draft).map_err(Fault::at("create", &draft))?;
    for part in parts {
        file.write_all(part).map_err(Fault::at("write", &draft))?;
    }
    file.sync_all().map_err(Fault::at("fsync", &draft))?;
    fs::rename(&draft, &path).map_err(Fault::at("rename into place", &path))?;
    sync_folder(folder)
}

/// A new file that none but the daemon's own user may read: what it holds may be
/// secret.
fn create(path: &Path) -> io::Result<File> {
    let mut options = File::options();
    options.write(true).create(true).truncate(true);
    options.mode(0o600).open(path)
}

/// Removes a file that may be absent.
pub(crate) fn remove(path: &Path) -> Result<(), Fault> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(Fault::at("remove", path)(error)),
        _ => Ok(()),
    }
}

/// Opens an existing file to write at its end.
pub(crate) fn open_append(path: &Path) -> Result<File, Fault> {
    let file = File::options().append(true).open(path);
    file.map_err(Fault::at("open to write", path))
}

fn sync_folder(path: &Path) -> Result<(), Fault> {
    let handle = File::open(path).map_err(Fault::at("open", path))?;
    handle.sync_all().map_err(Fault::at("fsync", path))
}

/// The journal's files in a folder; others are left alone.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    /// The numbers of the segments, rising.
    pub(crate) segments: Vec<u64>,
    /// Whether there is a snapshot.
    pub(crate) snapshot: bool,
    /// Drafts that a crash left behind.
    pub(crate) drafts: Vec<PathBuf>,
}

impl Listing {
    /// Reads the folder.
    pub(crate) fn read(folder: &Path) -> Result<Listing, Fault> {
        let mut listing = Listing::default();
        for entry in fs::read_dir(folder).map_err(Fault::at("list", folder))? {
            let entry = entry.map_err(Fault::at("list", folder))?;
            let name = entry.file_name();
            listing.add(&name.to_string_lossy(), entry.path());
        }
        listing.segments.sort_unstable();
        Ok(listing)
    }

    fn add(&mut self, name: &str, path: PathBuf) {
        if let Some(seq) = segment::number(name) {
            self.segments.push(seq);
        } else if name == SNAPSHOT {
            self.snapshot = true;
        } else if name.strip_suffix(".tmp").is_some_and(is_ours) {
            self.drafts.push(path);
        }
    }
}

fn is_ours(name: &str) -> bool {
    name == SNAPSHOT || name == super::IDENTITY || segment::number(name).is_some()
}
