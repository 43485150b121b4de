//! Orders to workers, and the handling of their answers.

use std::time::Duration;

use super::attempt::{Attempt, Phase};
use super::decision::{LifeOver, StopReason};
use super::event::{Order, OrderAnswer, TaskOrder};
use super::log_names::task_name;
use super::worker::WorkerKey;
use super::{Decision, Effect, Scheduler};
use crate::state::ControlState;
use crate::{JobId, Run, TaskId};

/// How long after a stop order that had no effect the order is sent again.
pub(super) const STOP_RETRY_DELAY: Duration = Duration::from_millis(300);
/// How long starts are paused on a worker that is unhealthy, or that lacks the
/// free capacity that this owner expected.
const REFUSAL_PAUSE: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Stops all runs of a job.
    pub(super) fn stop_job(&mut self, id: JobId) {
        let tasks = self.job_tasks.get(&id).cloned().unwrap_or_default();
        let running = |task: &TaskId| self.attempts.get(task).is_some_and(Attempt::uses_capacity);
        let tasks: Vec<TaskId> = tasks.into_iter().filter(running).collect();
        for task in tasks {
            self.stop(task, StopReason::JobOver);
        }
        self.stop_superseded_of_job(id);
    }

    /// Stops a run. Its capacity stays reserved until its worker lists the end.
    pub(super) fn stop(&mut self, task: TaskId, reason: StopReason) {
        let now = self.now;
        let Some(attempt) = self.attempts.get_mut(&task) else {
            return;
        };
        let next = match attempt.phase {
            // The start may still be executed. The stop makes the worker reject
            // it if it arrives later.
            Phase::Starting | Phase::Unanswered { .. } | Phase::InDoubt { .. } => {
                Phase::InDoubt { stop_sent: now }
            }
            Phase::Running { .. } | Phase::Stopping { .. } => Phase::Stopping { stop_sent: now },
            Phase::StopAnswered { .. } | Phase::Ended => return,
        };
        attempt.phase = next;
        let (key, run) = (attempt.worker, attempt.run);
        self.send_stop(key, task, run, reason);
    }

    pub(super) fn send_stop(&mut self, key: WorkerKey, task: TaskId, run: Run, reason: StopReason) {
        let worker = self.worker_name(key);
        self.log(Decision::Stop {
            task: task_name(task),
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

    /// Sends stops again that have had no effect.
    pub(super) fn resend_stops(&mut self) {
        let due = |(task, attempt): (&TaskId, &Attempt)| {
            let sent = match attempt.phase {
                Phase::InDoubt { stop_sent } | Phase::Stopping { stop_sent } => stop_sent,
                _ => return None,
            };
            (self.now >= sent + STOP_RETRY_DELAY).then_some(*task)
        };
        let tasks: Vec<TaskId> = self.attempts.iter().filter_map(due).collect();
        for task in tasks {
            let is_job_over = !self.steps.contains_key(&task.step);
            let reason = if is_job_over {
                StopReason::JobOver
            } else {
                StopReason::InDoubt
            };
            self.stop(task, reason);
        }
        self.resend_superseded_stops();
    }

    pub(super) fn handle_order_answer(
        &mut self,
        state: &ControlState,
        worker: &str,
        order: &TaskOrder,
        answer: OrderAnswer,
    ) {
        if matches!(order.order, Order::Start { .. }) {
            self.record_start_answer(order, answer);
        }
        let Some(key) = self.workers.key(worker) else {
            return;
        };
        if answer.is_from_worker() {
            self.ask_if_unanswered(key);
        }
        match answer {
            OrderAnswer::OtherLife => {
                // The start was not executed, so the run is not among those
                // that are lost with the worker or count as suspects.
                if matches!(order.order, Order::Start { .. }) {
                    self.start_answered(state, key, order, answer);
                }
                return self.end_life(key, LifeOver::Replaced);
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
            return self.record_job_started(order.task.job());
        }
        let long_running = attempt.long_running;
        let worker = self.worker_name(key);
        self.log(Decision::StartFailed {
            task: task_name(order.task),
            run: order.run.0,
            worker,
            answer: answer.name(),
        });
        if !answer.rules_out_execution() && self.cfg.protections.stop_unanswered_starts {
            if long_running {
                return self.await_listing(order.task);
            }
            return self.stop(order.task, StopReason::InDoubt);
        }
        if matches!(answer, OrderAnswer::NoRoom | OrderAnswer::Unwell) {
            self.workers[key].starts_paused_until = now + REFUSAL_PAUSE;
        }
        if answer == OrderAnswer::NoTicket {
            self.remove_ticket(order.task.step, key);
        }
        self.withdraw_start(state, order.task);
    }

    /// Waits for the worker's next list to show whether a start without an
    /// answer was executed. Stopping the run could end a task that is running
    /// while more tasks of its step may be unavailable than the step allows. A
    /// long-running task has no deadline that the wait could miss.
    fn await_listing(&mut self, task: TaskId) {
        let now = self.now;
        if let Some(attempt) = self.attempts.get_mut(&task)
            && attempt.phase == Phase::Starting
        {
            attempt.phase = Phase::Unanswered { since: now };
        }
    }

    /// Withdraws a start that was certainly not executed.
    fn withdraw_start(&mut self, state: &ControlState, task: TaskId) {
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
        let is_current = attempt.worker == key && attempt.run == order.run;
        let confirmed = matches!(answer, OrderAnswer::Done | OrderAnswer::Old);
        if is_current && confirmed && matches!(attempt.phase, Phase::InDoubt { .. }) {
            attempt.phase = Phase::StopAnswered { at: now };
        }
    }
}
