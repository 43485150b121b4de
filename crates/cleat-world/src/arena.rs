//! A collection of named objects, addressed by small typed keys.

use std::marker::PhantomData;

use indexmap::IndexMap;

/// A key into an arena of one kind of object.
pub trait Key: Copy {
    /// Returns the key of the object at `index`.
    fn from_index(index: u32) -> Self;

    /// Returns the position of the object in its arena.
    fn index(self) -> usize;
}

/// Objects in insertion order, each with a unique name.
#[derive(Debug, Clone)]
pub struct Arena<K, T> {
    /// Invariant: never shrinks and is never reordered, so a key stays valid for the
    /// lifetime of the arena.
    entries: IndexMap<Box<str>, T>,
    key: PhantomData<K>,
}

impl<K: Key, T> Arena<K, T> {
    /// Creates an empty arena.
    pub fn new() -> Self {
        Arena {
            entries: IndexMap::new(),
            key: PhantomData,
        }
    }

    /// Adds `value` under `name` and returns its key.
    ///
    /// # Errors
    /// The key of the existing object if the name is already in use.
    pub fn add(&mut self, name: &str, value: T) -> Result<K, K> {
        if let Some(key) = self.find(name) {
            return Err(key);
        }
        let index = self.entries.len();
        self.entries.insert(name.into(), value);
        Ok(key_from_index(index))
    }

    /// Replaces the object at `key` with `value`; an unknown key is ignored.
    pub fn replace(&mut self, key: K, value: T) {
        if let Some((_, slot)) = self.entries.get_index_mut(key.index()) {
            *slot = value;
        }
    }

    /// Returns the key of the object named `name`.
    pub fn find(&self, name: &str) -> Option<K> {
        self.entries.get_index_of(name).map(key_from_index)
    }

    /// Returns the object named `name`.
    pub fn by_name(&self, name: &str) -> Option<&T> {
        self.entries.get(name)
    }

    /// Returns the object at `key`, if the key belongs to this arena.
    pub fn get(&self, key: K) -> Option<&T> {
        self.entries.get_index(key.index()).map(|(_, value)| value)
    }

    /// Returns the name of the object at `key`, or an empty string if the key is out of
    /// range.
    pub fn name(&self, key: K) -> &str {
        let entry = self.entries.get_index(key.index());
        entry.map_or("", |(name, _)| name)
    }

    /// Iterates over all objects with their keys and names.
    pub fn iter(&self) -> impl Iterator<Item = (K, &str, &T)> {
        let entries = self.entries.iter().enumerate();
        entries.map(|(i, (name, value))| (key_from_index(i), name.as_ref(), value))
    }

    /// Returns the number of objects.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the arena contains no objects.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn key_from_index<K: Key>(index: usize) -> K {
    K::from_index(u32::try_from(index).unwrap_or(u32::MAX))
}

impl<K: Key, T> Default for Arena<K, T> {
    fn default() -> Self {
        Arena::new()
    }
}
