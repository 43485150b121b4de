//! Where in a document a value stands.

use std::fmt;

/// A JSON path such as `$.pools.runners.instances["r 1"].rack`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Path(Box<str>);

impl Path {
    /// The whole document, `$`.
    pub fn root() -> Path {
        Path("$".into())
    }

    /// The member `key` of this object.
    pub fn key(&self, key: &str) -> Path {
        if is_plain(key) {
            return Path(format!("{}.{key}", self.0).into());
        }
        Path(format!("{}[{key:?}]", self.0).into())
    }

    /// The element `index` of this array, counted from 0.
    pub fn index(&self, index: usize) -> Path {
        Path(format!("{}[{index}]", self.0).into())
    }

    /// The path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn is_plain(key: &str) -> bool {
    !key.is_empty()
        && key
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'_' || b == b'-')
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
