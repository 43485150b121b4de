//! How far a JSON path leads into a document.

use cleat_json::Path;
use serde_json::Value;

/// How much of a path a document has: more is greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Depth {
    /// The first so many bytes of the path.
    Part(usize),
    /// All of it.
    Whole,
}

impl Depth {
    pub(super) fn is_whole(self) -> bool {
        self == Depth::Whole
    }
}

/// Every path of a document.
#[derive(Debug)]
pub(super) struct Paths(Vec<Path>);

impl Paths {
    pub(super) fn of(value: &Value) -> Paths {
        let mut paths = Vec::new();
        collect(value, Path::root(), &mut paths);
        Paths(paths)
    }

    /// How far `path` leads.
    pub(super) fn depth(&self, path: &str) -> Depth {
        let mut deepest = 0;
        for own in &self.0 {
            let Some(rest) = path.strip_prefix(own.as_str()) else {
                continue;
            };
            if rest.is_empty() {
                return Depth::Whole;
            }
            // `$.a` is no part of `$.ab`.
            if rest.starts_with(['.', '[']) {
                deepest = deepest.max(own.as_str().len());
            }
        }
        Depth::Part(deepest)
    }
}

fn collect(value: &Value, path: Path, paths: &mut Vec<Path>) {
    match value {
        Value::Object(members) => {
            for (key, member) in members {
                collect(member, path.key(key), paths);
            }
        }
        Value::Array(elements) => {
            for (i, element) in elements.iter().enumerate() {
                collect(element, path.index(i), paths);
            }
        }
        _ => {}
    }
    paths.push(path);
}
