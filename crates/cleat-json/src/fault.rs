//! What can be wrong with a document.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Path;

/// One fault found in a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The JSON path of the offending value.
    pub path: Box<str>,
    /// What is wrong with it.
    pub kind: FaultKind,
}

/// The kinds of fault. Each says how to mend it in its text form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum FaultKind {
    /// A required key is absent. Add it.
    Missing,
    /// A key that nothing reads, often a misspelt one. Remove or correct it.
    UnknownKey,
    /// A value of another JSON type. Write the expected type.
    WrongType {
        /// The type that is wanted.
        expected: Box<str>,
    },
    /// A number outside its range. Choose one inside.
    OutOfRange {
        /// The smallest value taken.
        min: u64,
        /// The largest value taken.
        max: u64,
        /// The value found.
        found: u64,
    },
    /// A text that does not have the required form.
    BadText {
        /// The required form, such as `IP:PORT`.
        expected: Box<str>,
        /// The text found.
        found: Box<str>,
    },
    /// A name that refers to nothing in the document.
    UnknownReference {
        /// What it should name, such as `pool`.
        what: Box<str>,
        /// The name found.
        name: Box<str>,
    },
    /// A name or address used twice.
    Duplicate {
        /// What is used twice, such as `instance`.
        what: Box<str>,
        /// The name found.
        name: Box<str>,
        /// The path of the first use.
        first: Box<str>,
    },
    /// Two values that are each valid but contradict each other.
    Conflict {
        /// The path of the other value.
        with: Box<str>,
        /// What must hold between them.
        rule: Box<str>,
    },
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FaultKind::Missing => write!(f, "is missing; add it"),
            FaultKind::UnknownKey => write!(f, "is not a known key; remove or correct it"),
            FaultKind::WrongType { expected } => write!(f, "must be {expected}"),
            FaultKind::OutOfRange { min, max, found } => {
                write!(f, "is {found}; it must be from {min} to {max}")
            }
            FaultKind::BadText { expected, found } => {
                write!(f, "is {found:?}; it must be {expected}")
            }
            FaultKind::UnknownReference { what, name } => {
                write!(
                    f,
                    "names the {what} {name:?}, which does not exist; define it or correct the name"
                )
            }
            FaultKind::Duplicate { what, name, first } => {
                write!(
                    f,
                    "uses the {what} {name:?} again, first used at {first}; keep one of them"
                )
            }
            FaultKind::Conflict { with, rule } => {
                write!(f, "contradicts {with}: {rule}")
            }
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.path, self.kind)
    }
}

/// The faults found so far, in the order of the walk.
#[derive(Debug, Default)]
pub struct Faults {
    list: Vec<Fault>,
}

impl Faults {
    /// Adds a fault at `path`.
    pub fn add(&mut self, path: &Path, kind: FaultKind) {
        self.list.push(Fault {
            path: path.as_str().into(),
            kind,
        });
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// `Ok(value)` if nothing was found, else every fault.
    ///
    /// # Errors
    /// The faults, at least one.
    pub fn into_result<T>(self, value: T) -> Result<T, Box<[Fault]>> {
        if self.list.is_empty() {
            Ok(value)
        } else {
            Err(self.list.into())
        }
    }
}
