//! The local copy of the fleet's state, shared by its readers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{OnceLock, PoisonError, RwLock};

use cleat_world::World;

type Subscriber = Box<dyn Fn(&World) + Send + Sync>;

/// The local copy of the fleet's state.
///
/// The request path does not read it, but gets its routes through the subscriber and
/// keeps them in its own snapshot.
pub(crate) struct SharedWorld {
    world: RwLock<World>,
    subscriber: OnceLock<Subscriber>,
    /// The name of this instance.
    own_name: Box<str>,
    /// The current life of this instance, cached for the request path; [`NO_LIFE`]
    /// while the fleet knows none.
    own_life: AtomicU64,
}

/// Stands for an unknown life; [`new_life`] never returns it.
const NO_LIFE: u64 = 0;

/// A random ID for a new life of this instance, which no earlier life had.
pub(crate) fn new_life() -> u64 {
    rand::random::<u64>().max(NO_LIFE + 1)
}

impl SharedWorld {
    /// Creates an empty copy on the instance `own_name`.
    pub(crate) fn new(own_name: &str) -> SharedWorld {
        SharedWorld {
            world: RwLock::default(),
            subscriber: OnceLock::new(),
            own_name: own_name.into(),
            own_life: AtomicU64::new(NO_LIFE),
        }
    }

    /// The life of this instance that the fleet knows, read with one atomic load.
    pub(crate) fn own_life(&self) -> Option<u64> {
        let life = self.own_life.load(Ordering::Acquire);
        (life != NO_LIFE).then_some(life)
    }

    /// Reads the state.
    pub(crate) fn read<R>(&self, read: impl FnOnce(&World) -> R) -> R {
        read(&self.world.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes the state. If the change affects the request path, the subscriber has
    /// received it when this returns.
    pub(crate) fn write<R>(&self, write: impl FnOnce(&mut World) -> R) -> R {
        let mut world = self.world.write().unwrap_or_else(PoisonError::into_inner);
        let before = world.generation();
        let result = write(&mut world);
        let own_life = world.incarnation(&self.own_name).unwrap_or(NO_LIFE);
        self.own_life.store(own_life, Ordering::Release);
        if world.generation() != before {
            self.publish(&world);
        }
        result
    }

    /// Calls `subscriber` with the current state, and again after each change that
    /// affects the request path. Only the first subscriber is registered.
    pub(crate) fn subscribe(&self, subscriber: Subscriber) {
        let world = self.world.write().unwrap_or_else(PoisonError::into_inner);
        if self.subscriber.set(subscriber).is_ok() {
            self.publish(&world);
        }
    }

    fn publish(&self, world: &World) {
        if let Some(subscriber) = self.subscriber.get() {
            subscriber(world);
        }
    }
}
