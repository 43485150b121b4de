//! Machines as the platform lists them.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use crate::Size;

/// What the platform says of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// It works, or could.
    Up,
    /// It is on its way to another pool.
    Moving,
    /// It is being maintained.
    Maintained,
    /// It is away for another cause.
    Down,
    /// The platform says something that is not known here. The machine is not
    /// used, and nothing is concluded.
    Unknown,
}

/// One machine as listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineView {
    /// Its name, which stays.
    pub name: Box<str>,
    /// The pool that it works for.
    pub pool: Box<str>,
    /// What it does.
    pub state: MachineState,
    /// The worker that runs there, if one does.
    pub worker: Option<Box<str>>,
    /// What it can hold.
    pub capacity: Size,
    /// Its labels.
    pub labels: Vec<Box<str>>,
}

impl MachineView {
    /// Whether an order ended the life of a worker that ran there for `pool`.
    pub(crate) fn has_left_pool(&self, pool: &str) -> bool {
        let away = matches!(self.state, MachineState::Moving | MachineState::Maintained);
        away || *self.pool != *pool
    }
}

/// What is done with a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MachineOrder {
    /// It goes to another pool.
    Move {
        /// The pool.
        pool: Box<str>,
    },
    /// It is maintained.
    Maintain {
        /// The wave that asks for it.
        wave: u64,
    },
}

/// An order under way.
#[derive(Clone, Debug)]
pub(crate) struct PendingOrder {
    pub(crate) order: MachineOrder,
    /// When it was sent last.
    pub(crate) sent_at: Duration,
    /// When the platform said that it is under way.
    pub(crate) accepted_at: Option<Duration>,
}

/// One machine.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub(crate) view: MachineView,
    pub(crate) pending_order: Option<PendingOrder>,
    /// When the platform accepted the latest order. A list that was asked for
    /// earlier may show the machine as it was before.
    pub(crate) last_accepted_at: Option<Duration>,
    /// Since when nothing runs there.
    pub(crate) idle_since: Option<Duration>,
    /// The wave for which it is being emptied.
    pub(crate) draining_for_wave: Option<u64>,
    /// The pool to which it goes once it is empty.
    pub(crate) reserved_for: Option<Box<str>>,
    /// Since when the platform does not list it.
    pub(crate) missing_since: Option<Duration>,
}

impl Machine {
    /// A machine as it is listed for the first time.
    pub(crate) fn new(view: MachineView) -> Machine {
        Machine {
            view,
            pending_order: None,
            last_accepted_at: None,
            idle_since: None,
            draining_for_wave: None,
            reserved_for: None,
            missing_since: None,
        }
    }

    /// Takes what a list says that was asked for at `sent_at`, unless an order
    /// came since. Else a machine that has moved looks idle in its old pool, and
    /// an order ends what runs there. Lists of large fleets take long.
    pub(crate) fn update_view(&mut self, view: MachineView, sent_at: Duration) {
        let outdated = self.last_accepted_at.is_some_and(|at| at >= sent_at);
        if !outdated && !self.awaits_answer() {
            self.view = view;
        }
        self.missing_since = None;
    }

    /// Whether an order has no clear answer so far.
    pub(crate) fn awaits_answer(&self) -> bool {
        let ordered = self.pending_order.as_ref();
        ordered.is_some_and(|ordered| ordered.accepted_at.is_none())
    }

    /// Whether an order ended a life that worked for `pool` and became known at `since`.
    /// The order that brought a life stays open until the machine is listed again, and is
    /// no cause of its end.
    pub(crate) fn order_ended_life(
        &self,
        pool: &str,
        since: Duration,
        list_requested_at: Duration,
    ) -> bool {
        if *self.view.pool != *pool || self.awaits_answer() {
            return true;
        }
        let brought = self.last_accepted_at.is_some_and(|at| at < since);
        match brought {
            true => self.view.has_left_pool(pool) && list_requested_at > since,
            false => self.pending_order.is_some() || self.view.has_left_pool(pool),
        }
    }

    /// Whether nothing was decided for it.
    pub(crate) fn is_unassigned(&self) -> bool {
        self.pending_order.is_none()
            && self.draining_for_wave.is_none()
            && self.reserved_for.is_none()
    }

    /// Whether something was decided for it that it has to be empty for.
    pub(crate) fn must_be_emptied(&self) -> bool {
        self.awaits_answer() || self.draining_for_wave.is_some() || self.reserved_for.is_some()
    }
}

/// All machines that the platform listed.
#[derive(Debug, Default)]
pub(crate) struct Machines {
    pub(crate) by_name: IndexMap<Box<str>, Machine>,
    /// When the latest list was asked for; none before the first.
    pub(crate) list_requested_at: Option<Duration>,
    /// Whether a list is under way.
    pub(crate) list_in_progress: bool,
    /// When the next list is due.
    pub(crate) next_list_at: Duration,
    /// The pools to which the platform refuses to move each machine: they take others.
    refused: IndexMap<Box<str>, IndexSet<Box<str>>>,
    /// When each wave became known here.
    pub(crate) wave_seen_at: IndexMap<u64, Duration>,
}

impl Machines {
    /// Notes that the platform refuses to move a machine to a pool.
    pub(crate) fn record_refusal(&mut self, name: &str, pool: &str) {
        let pools = self.refused.entry(name.into()).or_default();
        pools.insert(pool.into());
    }

    /// Whether the platform refused to move a machine to a pool.
    pub(crate) fn is_refused(&self, name: &str, pool: &str) -> bool {
        let pools = self.refused.get(name);
        pools.is_some_and(|pools| pools.contains(pool))
    }

    /// How many orders wait for an answer.
    pub(crate) fn unanswered_orders(&self) -> usize {
        let machines = self.by_name.values();
        machines.filter(|machine| machine.awaits_answer()).count()
    }
}
