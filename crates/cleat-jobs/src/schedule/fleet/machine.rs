//! Machines as the platform lists them.

use std::time::Duration;

use serde::Serialize;

use super::joins::{Join, JoinTimes, Joined};
use super::plan::PlanReport;
use crate::Size;
use crate::collections::{IndexMap, IndexSet};

/// The state of a machine as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// It is available.
    Up,
    /// It is being moved to another pool.
    Moving,
    /// It is being maintained.
    Maintained,
    /// It is unavailable for another reason.
    Down,
    /// The platform reported a state that this version does not know. The machine is not
    /// used, and nothing is concluded about its worker.
    Unknown,
}

/// One machine in a list from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineView {
    /// Its name, which never changes.
    pub name: Box<str>,
    /// The pool that it belongs to.
    pub pool: Box<str>,
    /// Its state.
    pub state: MachineState,
    /// The worker that runs there, if any.
    pub worker: Option<Box<str>>,
    /// Its capacity.
    pub capacity: Size,
    /// Its labels.
    pub labels: Vec<Box<str>>,
}

impl MachineView {
    /// Whether the machine was ordered out of `pool`: it is moving, in maintenance or in
    /// another pool. Such an order ends the life of its worker.
    pub(crate) fn has_left_pool(&self, pool: &str) -> bool {
        let unavailable = matches!(self.state, MachineState::Moving | MachineState::Maintained);
        unavailable || *self.pool != *pool
    }
}

/// An order to the platform about a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MachineOrder {
    /// Move the machine to another pool.
    Move {
        /// The pool.
        pool: Box<str>,
    },
    /// Start the maintenance of the machine.
    Maintain {
        /// The wave that the maintenance belongs to.
        wave: u64,
    },
}

/// An order that was sent and is not completed.
#[derive(Clone, Debug)]
pub(crate) struct PendingOrder {
    pub(crate) order: MachineOrder,
    /// When it was last sent.
    pub(crate) sent_at: Duration,
    /// When the platform accepted it.
    pub(crate) accepted_at: Option<Duration>,
}

/// The owner's view of one machine.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    /// The machine as last listed, or as the last accepted order changed it.
    pub(crate) view: MachineView,
    pub(crate) pending_order: Option<PendingOrder>,
    /// When the platform accepted the latest order. A list that was requested earlier may
    /// show the machine as it was before that order.
    pub(crate) last_accepted_at: Option<Duration>,
    /// Since when nothing has run there.
    pub(crate) idle_since: Option<Duration>,
    /// The wave for which it is being drained.
    pub(crate) draining_for_wave: Option<u64>,
    /// The pool that it moves to once it is empty.
    pub(crate) reserved_for: Option<Box<str>>,
    /// Since when the platform has not listed it.
    pub(crate) missing_since: Option<Duration>,
    /// The move by which it is joining a pool; recorded only by the machine plan.
    pub(crate) join: Option<Join>,
    /// The move by which it joined its pool, if this owner observed it.
    pub(crate) joined: Option<Joined>,
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
            join: None,
            joined: None,
        }
    }

    /// Updates the machine from a list that was requested at `sent_at`, unless an order
    /// was accepted since or awaits an answer. Otherwise a machine that has moved would
    /// look idle in its old pool, and another order would end the tasks that run on it in
    /// the new one. Lists of large fleets take long, so this does happen. Returns whether
    /// what the machine can hold has changed.
    pub(crate) fn update_view(&mut self, view: MachineView, sent_at: Duration) -> bool {
        self.missing_since = None;
        let outdated = self.last_accepted_at.is_some_and(|at| at >= sent_at);
        if outdated || self.awaits_answer() {
            return false;
        }
        let resized = view.capacity != self.view.capacity || view.labels != self.view.labels;
        self.view = view;
        resized
    }

    /// Whether an order was sent that the platform has not accepted or refused yet.
    pub(crate) fn awaits_answer(&self) -> bool {
        let pending = self.pending_order.as_ref();
        pending.is_some_and(|pending| pending.accepted_at.is_none())
    }

    /// Whether an order ended the life of a worker that belonged to `pool` and has been
    /// known since `known_since`. The order that moved the machine to `pool` stays
    /// pending until the machine is listed again, but does not end the life that
    /// started because of it.
    pub(crate) fn order_ended_life(
        &self,
        pool: &str,
        known_since: Duration,
        list_requested_at: Duration,
    ) -> bool {
        if *self.view.pool != *pool || self.awaits_answer() {
            return true;
        }
        let started_after_order = self.last_accepted_at.is_some_and(|at| at < known_since);
        match started_after_order {
            true => self.view.has_left_pool(pool) && list_requested_at > known_since,
            false => self.pending_order.is_some() || self.view.has_left_pool(pool),
        }
    }

    /// Whether no order, maintenance or move is planned for it.
    pub(crate) fn is_unassigned(&self) -> bool {
        self.pending_order.is_none()
            && self.draining_for_wave.is_none()
            && self.reserved_for.is_none()
    }

    /// Whether it must be empty for what is planned: an order without an answer,
    /// maintenance or a move.
    pub(crate) fn must_be_emptied(&self) -> bool {
        self.awaits_answer() || self.draining_for_wave.is_some() || self.reserved_for.is_some()
    }
}

/// All machines that the platform has listed.
#[derive(Debug, Default)]
pub(crate) struct Machines {
    pub(crate) by_name: IndexMap<Box<str>, Machine>,
    /// When the latest received list was requested; none before the first.
    pub(crate) list_requested_at: Option<Duration>,
    /// Whether a requested list has not arrived yet.
    pub(crate) list_in_progress: bool,
    /// When the next list is requested.
    pub(crate) next_list_at: Duration,
    /// The pools to which the platform refused to move each machine, because they accept
    /// other machines only.
    refused: IndexMap<Box<str>, IndexSet<Box<str>>>,
    /// When this owner first saw each wave.
    pub(crate) wave_seen_at: IndexMap<u64, Duration>,
    /// When the platform last answered; none before its first list.
    pub(crate) heard_at: Option<Duration>,
    /// How long machines take to join each pool.
    pub(crate) joins: JoinTimes,
    /// How often a machine was ordered, reserved or released while machines were moved, which
    /// changes the balances.
    pub(crate) assignments: u64,
    /// What the machine plan decided since it was last logged.
    pub(crate) plan_report: PlanReport,
}

impl Machines {
    /// Records that the platform refused to move a machine to a pool.
    pub(crate) fn record_refusal(&mut self, name: &str, pool: &str) {
        let pools = self.refused.entry(name.into()).or_default();
        pools.insert(pool.into());
    }

    /// Whether the platform refused to move a machine to a pool.
    pub(crate) fn is_refused(&self, name: &str, pool: &str) -> bool {
        let pools = self.refused.get(name);
        pools.is_some_and(|pools| pools.contains(pool))
    }

    /// The number of orders without an answer.
    pub(crate) fn unanswered_orders(&self) -> usize {
        let machines = self.by_name.values();
        machines.filter(|machine| machine.awaits_answer()).count()
    }
}
