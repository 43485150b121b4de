//! The operator's document, which holds keys.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A configuration as its operator wrote it, to be read back by operators.
///
/// It holds customers' keys, so that it shows nothing but its length where it is
/// printed.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document(Box<str>);

impl Document {
    /// The text, for an operator only.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Document {
    fn from(text: &str) -> Document {
        Document(text.into())
    }
}

impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Document({} bytes)", self.0.len())
    }
}
