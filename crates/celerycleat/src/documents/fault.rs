//! A fault with the file that has to be corrected.

use std::fmt;
use std::path::Path;

/// Which file a value comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum File {
    /// This one alone.
    One(Box<str>),
    /// The place exists in both, so either may have to change.
    Both {
        /// The base file.
        base: Box<str>,
        /// The overlay.
        overlay: Box<str>,
    },
}

impl File {
    pub(crate) fn one(path: &Path) -> File {
        File::One(path.display().to_string().into())
    }

    pub(crate) fn both(base: &Path, overlay: &Path) -> File {
        File::Both {
            base: base.display().to_string().into(),
            overlay: overlay.display().to_string().into(),
        }
    }
}

impl fmt::Display for File {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            File::One(file) => f.write_str(file),
            File::Both { base, overlay } => write!(f, "{base} with {overlay}"),
        }
    }
}

/// One fault of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocatedFault {
    /// Where to correct it.
    pub file: File,
    /// The JSON path.
    pub path: Box<str>,
    /// What is wrong and how to mend it.
    pub message: Box<str>,
}

impl fmt::Display for LocatedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} {}", self.file, self.path, self.message)
    }
}

/// One line for each fault.
pub(crate) fn list_faults(faults: &[LocatedFault]) -> String {
    if faults.is_empty() {
        return "error: the configuration is not valid".into();
    }
    let lines = faults.iter().map(|fault| format!("error: {fault}\n"));
    lines.collect()
}
