//! Named objects addressed by a small typed key.

use std::marker::PhantomData;

use indexmap::IndexMap;

/// A key into one kind of arena.
pub trait Key: Copy {
    /// The key of the object at `index`.
    fn from_index(index: u32) -> Self;

    /// The position of the object in its arena.
    fn index(self) -> usize;
}

/// Objects in the order they were added, each with a unique name.
#[derive(Debug, Clone)]
pub struct Arena<K, T> {
    /// Invariant: never shrinks and is never reordered, so a key stays valid
    /// as long as the arena lives.
    entries: IndexMap<Box<str>, T>,
    key: PhantomData<K>,
}

impl<K: Key, T> Arena<K, T> {
    /// An arena without objects.
    pub fn new() -> Self {
        Arena {
            entries: IndexMap::new(),
            key: PhantomData,
        }
    }

    /// Adds `value` under `name`, or gives the key of the object that already
    /// has this name.
    ///
    /// # Errors
    /// The key of the object that holds the name.
    pub fn add(&mut self, name: &str, value: T) -> Result<K, K> {
        if let Some(key) = self.find(name) {
            return Err(key);
        }
        let index = self.entries.len();
        self.entries.insert(name.into(), value);
        Ok(key_from_index(index))
    }

    /// Puts `value` in place of the object of `key`; an unknown key is ignored.
    pub fn replace(&mut self, key: K, value: T) {
        if let Some((_, slot)) = self.entries.get_index_mut(key.index()) {
            *slot = value;
        }
    }

    /// The key of the object called `name`.
    pub fn find(&self, name: &str) -> Option<K> {
        self.entries.get_index_of(name).map(key_from_index)
    }

    /// The object called `name`.
    pub fn by_name(&self, name: &str) -> Option<&T> {
        self.entries.get(name)
    }

    /// The object of `key`, if the key came from this arena.
    pub fn get(&self, key: K) -> Option<&T> {
        self.entries.get_index(key.index()).map(|(_, value)| value)
    }

    /// The name of `key`, empty if the key is from another arena.
    pub fn name(&self, key: K) -> &str {
        let entry = self.entries.get_index(key.index());
        entry.map_or("", |(name, _)| name)
    }

    /// Every object with its key and name.
    pub fn iter(&self) -> impl Iterator<Item = (K, &str, &T)> {
        let entries = self.entries.iter().enumerate();
        entries.map(|(i, (name, value))| (key_from_index(i), name.as_ref(), value))
    }

    /// How many objects there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
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
