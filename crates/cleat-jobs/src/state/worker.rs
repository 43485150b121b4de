//! What is remembered of a worker.

use serde::{Deserialize, Serialize};

use crate::Size;

/// One life of a worker. A new owner asks each of them what it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The name of this life; a restarted worker has another.
    pub name: Box<str>,
    /// Where it takes orders, `IP:PORT`.
    pub address: Box<str>,
    /// The pool that it works for.
    pub pool: Box<str>,
    /// The machine that it runs on, if it says so.
    pub machine: Option<Box<str>>,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// What it can hold; a worker may shrink and grow while it runs.
    pub capacity: Size,
    /// Its labels, its rack among them.
    pub labels: Vec<Box<str>>,
    /// Its rack, if it names one.
    pub rack: Option<Box<str>>,
    /// What owners noted of it.
    pub history: WorkerHistory,
}

/// What owners noted of a worker. A worker that only its heartbeats told of
/// has the default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerHistory {
    /// The number of the last end that was noted.
    ///
    /// Invariant: never falls, so an end that is listed again, to this owner
    /// or the next, counts once.
    pub last_recorded_end: u64,
    /// Whether an owner may have started something that still runs there.
    ///
    /// Invariant: true before the first start there is sent, and false only
    /// once nothing that was sent can run any more.
    pub may_have_runs: bool,
    /// The position of the note that it does not answer; none while it may be
    /// given work.
    ///
    /// Invariant: nothing that became ready later than this runs there.
    pub silent_index: Option<u64>,
    /// How often `may_have_runs` was asked to become true. Tells a note that its
    /// lease is over, or that it is silent, from one that came before it was
    /// used again.
    pub activations: u32,
    /// The heartbeat that told its capacity.
    ///
    /// Invariant: never falls; what an earlier one said is out of date.
    pub capacity_sequence: u64,
}
