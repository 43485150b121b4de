//! An arena whose slots are used again under a new generation.

use std::marker::PhantomData;

use crate::keys::Key;

/// Objects addressed by a key that dies with its object.
#[derive(Debug, Clone)]
pub(crate) struct Slab<K, T> {
    slots: Vec<Slot<T>>,
    /// Invariant: exactly the positions of the slots without a value.
    free: Vec<u32>,
    key: PhantomData<K>,
}

#[derive(Debug, Clone)]
struct Slot<T> {
    /// Invariant: grows each time a value leaves the slot.
    generation: u32,
    value: Option<T>,
}

impl<K: Key, T> Slab<K, T> {
    pub(crate) fn new() -> Self {
        Slab {
            slots: Vec::new(),
            free: Vec::new(),
            key: PhantomData,
        }
    }

    pub(crate) fn insert(&mut self, value: T) -> K {
        if let Some(index) = self.free.pop() {
            let slot = &mut self.slots[index as usize];
            slot.value = Some(value);
            return K::new(index, slot.generation);
        }
        let index = u32::try_from(self.slots.len()).unwrap_or(u32::MAX);
        self.slots.push(Slot {
            generation: 0,
            value: Some(value),
        });
        K::new(index, 0)
    }

    pub(crate) fn remove(&mut self, key: K) -> Option<T> {
        let slot = self.slots.get_mut(key.index())?;
        if slot.generation != key.generation() {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free
            .push(u32::try_from(key.index()).unwrap_or(u32::MAX));
        Some(value)
    }

    pub(crate) fn get(&self, key: K) -> Option<&T> {
        let slot = self.slots.get(key.index())?;
        if slot.generation != key.generation() {
            return None;
        }
        slot.value.as_ref()
    }

    pub(crate) fn get_mut(&mut self, key: K) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index())?;
        if slot.generation != key.generation() {
            return None;
        }
        slot.value.as_mut()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        let slots = (0u32..).zip(&self.slots);
        slots.filter_map(|(index, slot)| {
            let value = slot.value.as_ref()?;
            Some((K::new(index, slot.generation), value))
        })
    }
}
