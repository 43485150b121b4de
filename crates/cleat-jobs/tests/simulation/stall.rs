//! Stalls of the owner: its event loop handles nothing while workers and commits go on.

use std::time::Duration;

use cleat_jobs::{EndKind, Event, RenewalAnswer, TaskId, TaskOrder};
use indexmap::IndexMap;
use rand::RngExt;

use super::plan::Fault;
use super::violation::Violation;
use super::world::{SimEvent, World, ms};

/// How long after a stall an answer that arrived during it may be handled.
const MAX_HANDLING_DELAY_MS: u64 = 300;
/// The longest time in which an answer reaches the owner.
const MAX_ANSWER_LATENCY: Duration = Duration::from_millis(10);

/// The stall of the current owner, and what it has been sent.
#[derive(Debug, Default)]
pub(super) struct Stall {
    until: Duration,
    /// The events that wait for the end of the stall, in the order of their arrival.
    events: Vec<Event>,
    /// The tasks whose end `done` was listed in an answer to this owner, with the worker
    /// and the time at which the answer was sent.
    listed_done: IndexMap<TaskId, (usize, Duration)>,
    /// A start that the owner sent although the end of the task had been listed.
    violation: Option<Violation>,
}

impl World {
    /// Stalls the owner.
    pub(super) fn stall_owner(&mut self) {
        let stall = ms(self.rng.random_range(300..4_000));
        self.stall.until = self.stall.until.max(self.now + stall);
        self.schedule(stall, SimEvent::OwnerResumes);
    }

    /// Keeps an event until the end of the stall, if there is one. Returns the event
    /// otherwise.
    pub(super) fn hold_while_stalled(&mut self, event: Event) -> Option<Event> {
        if self.now >= self.stall.until {
            return Some(event);
        }
        self.stall.events.push(event);
        None
    }

    /// Lets the owner handle what arrived during its stall. The answers of workers are
    /// handled later than the rest, between ticks.
    pub(super) fn resume_owner(&mut self) {
        if self.now < self.stall.until {
            return;
        }
        let Some(ordinal) = self.ordinal() else {
            return;
        };
        let mut tick = None;
        for event in std::mem::take(&mut self.stall.events) {
            match event {
                Event::RenewalAnswered { .. } => {
                    let delay = ms(self.rng.random_range(0..MAX_HANDLING_DELAY_MS));
                    self.schedule(delay, SimEvent::Deliver(ordinal, event));
                }
                Event::Tick { .. } => tick = Some(event),
                event => self.feed(event),
            }
        }
        self.feed(Event::Stalled);
        tick.into_iter().for_each(|tick| self.feed(tick));
    }

    /// Forgets what was sent to an owner that died.
    pub(super) fn reset_stall(&mut self) {
        self.stall = Stall::default();
    }

    /// Records the ends `done` in an answer that a worker sends to the owner.
    pub(super) fn record_listed_ends(&mut self, at: usize, answer: &RenewalAnswer) {
        let done = answer.ended.iter().map(|listed| &listed.end);
        let done = done.filter(|end| end.kind == EndKind::Done);
        for end in done {
            let listed = &mut self.stall.listed_done;
            listed.entry(end.task).or_insert((at, self.now));
        }
    }

    /// Forgets the ends that a crashed worker listed: its runs may be lost.
    pub(super) fn forget_listed_ends(&mut self, at: usize) {
        self.stall
            .listed_done
            .retain(|_, (worker, _)| *worker != at);
    }

    /// The owner may not start a task whose end `done` it has been sent, even if it did not
    /// handle the answer yet. A speculative task may have another run. Checked in plans in
    /// which the owner stalls.
    pub(super) fn check_not_listed_done(&mut self, order: &TaskOrder) {
        if self.is_speculative(order.task.job()) || !self.plan.has(Fault::OwnerStalls) {
            return;
        }
        let listed = self.stall.listed_done.get(&order.task);
        let received = listed.is_some_and(|(_, sent)| *sent + MAX_ANSWER_LATENCY < self.now);
        if received {
            let (task, ms) = (order.task, self.now.as_millis());
            let violation = Violation::StartsListedDone { task, ms };
            self.stall.violation.get_or_insert(violation);
        }
    }

    /// The violation of the last event, if there was one.
    pub(super) fn take_stall_violation(&mut self) -> Result<(), Violation> {
        self.stall.violation.take().map_or(Ok(()), Err)
    }
}
