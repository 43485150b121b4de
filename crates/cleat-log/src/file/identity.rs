//! The identity file: whose folder this is, and in which format.

use std::path::Path;

use serde::de::Error;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{FORMAT, Fault, IDENTITY, disk};
use crate::OpenError;
use crate::error::BadIdentitySnafu;

/// The content of the identity file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Identity {
    format: u64,
    /// The instance that owns the folder.
    pub(crate) owner: Box<str>,
    /// Random, made with the folder.
    pub(crate) identity: u64,
    checksum: u32,
}

/// The only part that every format must keep.
#[derive(Deserialize)]
struct Format {
    format: u64,
}

impl Identity {
    /// An identity in this release's format.
    pub(crate) fn new(owner: &str, identity: u64) -> Identity {
        let text = format!("{FORMAT} {identity} {owner}");
        Identity {
            format: FORMAT,
            owner: owner.into(),
            identity,
            checksum: crc32fast::hash(text.as_bytes()),
        }
    }
}

/// The folder's identity, checked, or nothing where the file is absent.
pub(crate) fn read_identity(folder: &Path) -> Result<Option<Identity>, OpenError> {
    let path = folder.join(IDENTITY);
    let Some(bytes) = disk::read(&path)? else {
        return Ok(None);
    };
    let Format { format } = decode(&path, &bytes)?;
    if format != FORMAT {
        return Err(OpenError::OtherFormat {
            path: folder.into(),
            found: format,
            expected: FORMAT,
        });
    }
    let found: Identity = decode(&path, &bytes)?;
    if found != Identity::new(&found.owner, found.identity) {
        let fault = Err(serde_json::Error::custom("its checksum does not match"));
        return fault.context(BadIdentitySnafu { path });
    }
    Ok(Some(found))
}

fn decode<'a, T: Deserialize<'a>>(path: &Path, bytes: &'a [u8]) -> Result<T, OpenError> {
    serde_json::from_slice(bytes).context(BadIdentitySnafu { path })
}

/// Writes the folder's identity.
pub(crate) fn write_identity(folder: &Path, identity: &Identity) -> Result<(), Fault> {
    let text = serde_json::json!(identity).to_string();
    disk::replace(folder, IDENTITY, &[text.as_bytes()])
}
