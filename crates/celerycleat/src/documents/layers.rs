//! A base file with its overlay.

use std::path::{Path, PathBuf};

use serde_json::Value;
use snafu::ResultExt;

use super::origin::Paths;
use super::{File, LocatedFault};
use crate::CliError;
use crate::error::{ParseFileSnafu, ReadFileSnafu};

/// One file with its content.
#[derive(Debug)]
struct Document {
    file: PathBuf,
    value: Value,
}

/// A base file with its overlay, if there is one.
#[derive(Debug)]
pub(crate) struct Layers {
    base: Document,
    overlay: Option<Document>,
}

impl Layers {
    /// Reads both files.
    pub(crate) fn open(base: &Path, overlay: Option<&Path>) -> Result<Layers, CliError> {
        let base = read(base)?;
        let overlay = overlay.map(read).transpose()?;
        Ok(Layers { base, overlay })
    }

    /// The configuration that they state together.
    pub(crate) fn merged(&self) -> Value {
        let base = self.base.value.clone();
        match &self.overlay {
            Some(overlay) => cleat_world::merge(base, &overlay.value),
            None => base,
        }
    }

    /// A fault of the merged configuration, with the file it comes from.
    pub(crate) fn locate(&self, path: &str, message: &str) -> LocatedFault {
        LocatedFault {
            file: self.origin(path),
            path: path.into(),
            message: message.into(),
        }
    }

    fn origin(&self, path: &str) -> File {
        let base = &self.base.file;
        let Some(overlay) = &self.overlay else {
            return File::one(base);
        };
        let in_base = Paths::of(&self.base.value).depth(path);
        let in_overlay = Paths::of(&overlay.value).depth(path);
        match in_overlay.cmp(&in_base) {
            std::cmp::Ordering::Greater => File::one(&overlay.file),
            std::cmp::Ordering::Less => File::one(base),
            // A value stated by both comes from the overlay, which is last;
            // something absent may be added to either.
            std::cmp::Ordering::Equal if in_overlay.is_whole() => File::one(&overlay.file),
            std::cmp::Ordering::Equal => File::both(base, &overlay.file),
        }
    }
}

fn read(file: &Path) -> Result<Document, CliError> {
    let text = std::fs::read_to_string(file).context(ReadFileSnafu { file })?;
    let value = serde_json::from_str(&text).context(ParseFileSnafu { file })?;
    let file = file.to_owned();
    Ok(Document { file, value })
}
