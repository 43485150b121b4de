//! Orders to workers and what becomes of them.

use std::time::Duration;

use super::attempt::{Attempt, Phase};
use super::decision::{LifeOver, StopReason};
use super::event::{Order, OrderAnswer, TaskOrder};
use super::worker::WorkerKey;
use super::{Decision, Effect, Scheduler};
use crate::state::ControlState;
use crate::{JobId, Run, TaskId};

/// How long after a stop without an answer it is sent again.
const STOP_RETRY: Duration = Duration::from_millis(300);
/// How long nothing is started on a worker that is not well or has no room
/// where room was expected.
const REFUSAL_PAUSE: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Stops all runs of a job.
    pub(super) fn stop_job(&mut self, id: JobId) {
        let tasks = self.job_tasks.get(&id).cloned().unwrap_or_default();
        let running = |task: &TaskId| self.attempts.get(task).is_some_and(Attempt::holds_room);
        let tasks: Vec<TaskId> = tasks.into_iter().filter(running).collect();
        for task in tasks {
            self.stop(task, StopReason::JobOver);
        }
    }

    /// Stops a run. Its room is free once its worker lists the end.
    pub(super) fn stop(&mut self, task: TaskId, reason: StopReason) {
        let now = self.now;
        let Some(attempt) = self.attempts.get_mut(&task) else {
            return;
        };
        let next = match attempt.phase {
            // Its start may still be carried out, so the stop has to close
            // the door rather than end a run.
            Phase::Starting | Phase::Unanswered { .. } | Phase::InDoubt { .. } => {
                Phase::InDoubt { stop_sent: now }
            }
            Phase::Running { .. } | Phase::Stopping { .. } => Phase::Stopping { stop_sent: now },
            Phase::Closed { .. } | Phase::Ended => return,
        };
        attempt.phase = next;
        let (key, run) = (attempt.worker, attempt.run);
        self.send_stop(key, task, run, reason);
    }

    pub(super) fn send_stop(&mut self, key: WorkerKey, task: TaskId, run: Run, reason: StopReason) {
        let worker = self.worker_name(key);
        self.tell(Decision::Stop {
            task: task.to_string().into(),
            run: run.0,
            worker,
            reason,
        });
        let order = Order::Stop;
        self.send_order(key, TaskOrder { task, run, order });
    }

    pub(super) fn send_order(&mut self, key: WorkerKey, order: TaskOrder) {
        let record = &self.workers[key].record;
        self.effects.push(Effect::Order {
            worker: record.name.clone(),
            address: record.address.clone(),
            token: self.owner.token,
            order,
        });
    }

    /// Sends stops again that have no effect so far.
    pub(super) fn repeat_stops(&mut self) {
        let due = |(task, attempt): (&TaskId, &Attempt)| {
            let sent = match attempt.phase {
                Phase::InDoubt { stop_sent } | Phase::Stopping { stop_sent } => stop_sent,
                _ => return None,
            };
            (self.now >= sent + STOP_RETRY).then_some(*task)
        };
        let tasks: Vec<TaskId> = self.attempts.iter().filter_map(due).collect();
        for task in tasks {
            let over = !self.steps.contains_key(&task.step);
            let reason = if over {
                StopReason::JobOver
            } else {
                StopReason::InDoubt
            };
            self.stop(task, reason);
        }
    }

    pub(super) fn ordered(
        &mut self,
        state: &ControlState,
        worker: &str,
        order: &TaskOrder,
        answer: OrderAnswer,
    ) {
        let Some(key) = self.workers.key(worker) else {
            return;
        };
        match answer {
            OrderAnswer::OtherLife => {
                // What did not begin there has nothing to do with how it ended.
                if matches!(order.order, Order::Start { .. }) {
                    self.start_answered(state, key, order, answer);
                }
                return self.life_over(key, LifeOver::Replaced);
            }
            OrderAnswer::Fenced => {
                self.effects.push(Effect::Fenced {
                    worker: worker.into(),
                });
            }
            _ => {}
        }
        match order.order {
            Order::Start { .. } => self.start_answered(state, key, order, answer),
            Order::Stop => self.stop_answered(key, order, answer),
            Order::Throttle(_) => {}
        }
    }

    fn start_answered(
        &mut self,
        state: &ControlState,
        key: WorkerKey,
        order: &TaskOrder,
        answer: OrderAnswer,
    ) {
        let now = self.now;
        let Some(attempt) = self.attempts.get_mut(&order.task) else {
            return;
        };
        if attempt.worker != key || attempt.run != order.run {
            return;
        }
        if answer == OrderAnswer::Done {
            if attempt.phase == Phase::Starting {
                attempt.phase = Phase::Running { known_at: now };
            }
            return self.note_begun(order.task.job());
        }
        let lasts = attempt.lasts;
        let worker = self.worker_name(key);
        self.tell(Decision::StartFailed {
            task: order.task.to_string().into(),
            run: order.run.0,
            worker,
            answer: answer.name(),
        });
        if !answer.rules_out_execution() && self.cfg.protections.stop_unanswered_starts {
            if lasts {
                return self.await_list(order.task);
            }
            return self.stop(order.task, StopReason::InDoubt);
        }
        if matches!(answer, OrderAnswer::NoRoom | OrderAnswer::Unwell) {
            self.workers[key].shunned_until = now + REFUSAL_PAUSE;
        }
        if answer == OrderAnswer::NoTicket {
            self.drop_ticket(order.task.step, key);
        }
        self.withdraw(state, order.task);
    }

    /// Leaves a start without an answer to the next list of its worker. A stop
    /// would end a task at work, while more of its step may be away than it
    /// allows; such a task has no end to be late with.
    fn await_list(&mut self, task: TaskId) {
        let now = self.now;
        if let Some(attempt) = self.attempts.get_mut(&task)
            && attempt.phase == Phase::Starting
        {
            attempt.phase = Phase::Unanswered { since: now };
        }
    }

    /// Takes back a start that certainly has no effect.
    fn withdraw(&mut self, state: &ControlState, task: TaskId) {
        let Some(attempt) = self.remove_attempt(task) else {
            return;
        };
        if state.jobs.contains_key(&task.job()) {
            self.requeue(task, attempt.worker, attempt.checkpoint);
        }
    }

    fn stop_answered(&mut self, key: WorkerKey, order: &TaskOrder, answer: OrderAnswer) {
        let now = self.now;
        let Some(attempt) = self.attempts.get_mut(&order.task) else {
            return;
        };
        let this = attempt.worker == key && attempt.run == order.run;
        let settled = matches!(answer, OrderAnswer::Done | OrderAnswer::Old);
        if this && settled && matches!(attempt.phase, Phase::InDoubt { .. }) {
            attempt.phase = Phase::Closed { at: now };
        }
    }
}
