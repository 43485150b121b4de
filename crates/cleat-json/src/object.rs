//! Typed access to a JSON object that records faults instead of stopping.

use std::ops::RangeInclusive;

use serde_json::{Map, Value};

use crate::{FaultKind, Faults, Path};

/// A value together with its path.
#[derive(Debug, Clone)]
pub struct Node<'a> {
    /// The value.
    pub value: &'a Value,
    /// Where it stands.
    pub path: Path,
}

impl<'a> Node<'a> {
    /// The document itself.
    pub fn root(value: &'a Value) -> Node<'a> {
        let path = Path::root();
        Node { value, path }
    }

    /// This value as an object; any other type is a fault.
    pub fn object(&self, faults: &mut Faults) -> Option<Object<'a>> {
        let map = self.value.as_object();
        if map.is_none() {
            self.wrong_type("an object", faults);
        }
        let path = self.path.clone();
        map.map(|map| Object { map, path })
    }

    /// This value as an array of nodes; any other type is a fault.
    pub fn array(&self, faults: &mut Faults) -> Vec<Node<'a>> {
        let Some(list) = self.value.as_array() else {
            self.wrong_type("an array", faults);
            return Vec::new();
        };
        let node = |(i, value)| Node {
            value,
            path: self.path.index(i),
        };
        list.iter().enumerate().map(node).collect()
    }

    /// This value as a text that is not empty.
    pub fn text(&self, faults: &mut Faults) -> Option<Box<str>> {
        match self.value.as_str() {
            Some("") => {
                let kind = FaultKind::BadText {
                    expected: "a text that is not empty".into(),
                    found: "".into(),
                };
                faults.add(&self.path, kind);
                None
            }
            Some(text) => Some(text.into()),
            None => {
                self.wrong_type("a string", faults);
                None
            }
        }
    }

    /// This value as a whole number within `range`.
    pub fn number(&self, range: RangeInclusive<u64>, faults: &mut Faults) -> Option<u64> {
        let Some(found) = self.value.as_u64() else {
            self.wrong_type("a whole number, not negative", faults);
            return None;
        };
        if range.contains(&found) {
            return Some(found);
        }
        let (min, max) = (*range.start(), *range.end());
        faults.add(&self.path, FaultKind::OutOfRange { min, max, found });
        None
    }

    /// This value as true or false.
    pub fn boolean(&self, faults: &mut Faults) -> Option<bool> {
        let found = self.value.as_bool();
        if found.is_none() {
            self.wrong_type("true or false", faults);
        }
        found
    }

    fn wrong_type(&self, expected: &str, faults: &mut Faults) {
        let expected = expected.into();
        faults.add(&self.path, FaultKind::WrongType { expected });
    }
}

/// A JSON object together with its path.
#[derive(Debug, Clone)]
pub struct Object<'a> {
    map: &'a Map<String, Value>,
    path: Path,
}

impl<'a> Object<'a> {
    /// The object's own path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reports every key that is not in `keys`.
    pub fn only(&self, keys: &[&str], faults: &mut Faults) {
        for key in self.map.keys() {
            if !keys.contains(&key.as_str()) {
                faults.add(&self.path.key(key), FaultKind::UnknownKey);
            }
        }
    }

    /// The member `key`, if present and not null.
    pub fn get(&self, key: &str) -> Option<Node<'a>> {
        let value = self.map.get(key).filter(|value| !value.is_null())?;
        let path = self.path.key(key);
        Some(Node { value, path })
    }

    /// The member `key`; its absence is a fault.
    pub fn require(&self, key: &str, faults: &mut Faults) -> Option<Node<'a>> {
        let node = self.get(key);
        if node.is_none() {
            faults.add(&self.path.key(key), FaultKind::Missing);
        }
        node
    }

    /// Every member in the order of the document.
    pub fn members(&self) -> impl Iterator<Item = (&'a str, Node<'a>)> + '_ {
        self.map.iter().map(|(key, value)| {
            let path = self.path.key(key);
            (key.as_str(), Node { value, path })
        })
    }

    /// The required text `key`.
    pub fn text(&self, key: &str, faults: &mut Faults) -> Option<Box<str>> {
        self.require(key, faults)?.text(faults)
    }

    /// The whole number `key`, or `default` where it is absent or at fault.
    pub fn number_or(
        &self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
        faults: &mut Faults,
    ) -> u64 {
        let found = self.get(key).map(|node| node.number(range, faults));
        found.flatten().unwrap_or(default)
    }

    /// The boolean `key`, or `default` where it is absent or at fault.
    pub fn boolean_or(&self, key: &str, default: bool, faults: &mut Faults) -> bool {
        let found = self.get(key).map(|node| node.boolean(faults));
        found.flatten().unwrap_or(default)
    }

    /// The member objects of `key`, none where it is absent or at fault.
    pub fn objects(&self, key: &str, faults: &mut Faults) -> Vec<(&'a str, Object<'a>)> {
        let Some(parent) = self.get(key).and_then(|node| node.object(faults)) else {
            return Vec::new();
        };
        let mut found = Vec::new();
        for (name, node) in parent.members() {
            if let Some(object) = node.object(faults) {
                found.push((name, object));
            }
        }
        found
    }
}
