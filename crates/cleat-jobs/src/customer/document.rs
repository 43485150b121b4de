//! The operator's configuration document, which contains secret keys.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The text of a configuration as the operator wrote it, which operators can read back.
///
/// It contains the customers' keys, so its `Debug` output shows only its length. Clones share
/// the text: any number of answers with it may wait to be read.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document(Arc<str>);

impl Document {
    /// The text. It contains keys and must be shown to operators only.
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
