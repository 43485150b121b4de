//! The local replica, shared by those who read it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{OnceLock, PoisonError, RwLock};

use cleat_world::World;

type Subscriber = Box<dyn Fn(&World) + Send + Sync>;

/// The local replica of the fleet's state.
///
/// The request path does not read it: it gets its routes through the
/// subscriber and keeps them in a snapshot of its own.
pub(crate) struct SharedWorld {
    world: RwLock<World>,
    subscriber: OnceLock<Subscriber>,
    /// The instance whose life is kept at hand for the request path.
    own_name: Box<str>,
    /// Its current life, [`NO_LIFE`] while the fleet knows none.
    own_life: AtomicU64,
}

/// Stands for an unset life; [`new_life`] never gives it.
const NO_LIFE: u64 = 0;

/// A life that no earlier run had.
pub(crate) fn new_life() -> u64 {
    rand::random::<u64>().max(NO_LIFE + 1)
}

impl SharedWorld {
    /// An empty replica on the instance `own_name`.
    pub(crate) fn new(own_name: &str) -> SharedWorld {
        SharedWorld {
            world: RwLock::default(),
            subscriber: OnceLock::new(),
            own_name: own_name.into(),
            own_life: AtomicU64::new(NO_LIFE),
        }
    }

    /// The life that the fleet knows of this instance; one atomic read.
    pub(crate) fn own_life(&self) -> Option<u64> {
        let life = self.own_life.load(Ordering::Acquire);
        (life != NO_LIFE).then_some(life)
    }

    /// Reads the replica.
    pub(crate) fn read<R>(&self, read: impl FnOnce(&World) -> R) -> R {
        read(&self.world.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes the replica. The subscriber has the change when this returns,
    /// if it concerns the request path.
    pub(crate) fn write<R>(&self, write: impl FnOnce(&mut World) -> R) -> R {
        let mut world = self.world.write().unwrap_or_else(PoisonError::into_inner);
        let before = world.generation();
        let result = write(&mut world);
        let own_life = world.life(&self.own_name).unwrap_or(NO_LIFE);
        self.own_life.store(own_life, Ordering::Release);
        if world.generation() != before {
            self.publish(&world);
        }
        result
    }

    /// Calls `subscriber` with the replica as it is, and again after each
    /// change that concerns the request path. The first subscriber stays.
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
