//! Replicated records of workers.

use serde::{Deserialize, Serialize};

use crate::Size;

/// One life of a worker: one run of its process. A new owner asks each recorded worker
/// which tasks it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The name of this life, see [`life_name`](super::life_name). A restarted worker has
    /// a new one, even if it keeps its id.
    pub name: Box<str>,
    /// The address at which it accepts orders, `IP:PORT`.
    pub address: Box<str>,
    /// The pool that it belongs to.
    pub pool: Box<str>,
    /// The machine that it runs on, if it reports one.
    pub machine: Option<Box<str>>,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// Its capacity, which may change while it runs.
    pub capacity: Size,
    /// Its labels, including its rack.
    pub labels: Vec<Box<str>>,
    /// Its rack, if it reports one.
    pub rack: Option<Box<str>>,
    /// What owners have recorded about it.
    pub history: WorkerHistory,
}

/// What owners have recorded about a worker. The default is that of a worker that is
/// known from its heartbeats only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerHistory {
    /// The number of the last end that was recorded.
    ///
    /// Invariant: never decreases, so an end that is reported again, to this owner
    /// or the next, counts once.
    pub last_recorded_end: u64,
    /// Whether a run that an owner started may still be running there.
    ///
    /// Invariant: true before the first start is sent to the worker, and false only
    /// once none of the runs started there can still be running.
    pub may_have_runs: bool,
    /// The log position at which the worker was recorded as silent; none while tasks
    /// may be started there.
    ///
    /// Invariant: no task that became ready at a later position runs there.
    pub silent_index: Option<u64>,
    /// How many times the worker was added, which sets `may_have_runs`. A record that
    /// it is silent, or that its lease expired, applies only if it names the current
    /// number: otherwise it was proposed before the worker was last added.
    pub activations: u32,
    /// The sequence number of the heartbeat that reported its capacity.
    ///
    /// Invariant: never decreases; an earlier heartbeat is out of date.
    pub capacity_sequence: u64,
}
