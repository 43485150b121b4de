//! The maps and sets of the scheduler, which iterate in the order of insertion.
//!
//! They are looked up several times for each event, so their keys are hashed by a faster
//! function than the standard one. Callers choose the ids of jobs, so the function is
//! keyed at random: they can't find ids that collide. The replicated state is not kept in
//! these.

use ahash::RandomState;

pub(crate) type IndexMap<K, V> = indexmap::IndexMap<K, V, RandomState>;
pub(crate) type IndexSet<T> = indexmap::IndexSet<T, RandomState>;
