//! Applies commands to the replicated state. The result depends on the state and the
//! command only, so that it is the same on all members of the group.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::command::{Command, TaskEnd};
use super::job::{EndedJob, Job, JobState, StoppingJob};
use super::{ControlState, CrashedRun, Owner, Wave, WorkerHistory, WorkerRecord};
use crate::{Catalogue, JobId, Size};

/// The maximum number of draining workers that are recorded; beyond it the oldest
/// record is dropped. A draining worker ends within seconds, and the limit is more than
/// twice the size of a fleet of 1,100 workers that all drain at the same time.
const MAX_DRAINING_WORKERS: usize = 2_500;

/// The result of applying a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The command was applied, or it was ignored because it is outdated, has already
    /// taken effect, or records ends while earlier ends of the worker are missing.
    Done,
    /// The job does not exist.
    NoSuchJob,
    /// The job has ended and can no longer be cancelled.
    Over(JobState),
    /// The id belongs to another customer's job.
    Taken,
}

impl CommandOutcome {
    /// Encodes the outcome.
    pub fn encode(self) -> Box<[u8]> {
        // Can't fail: the value is plain data, and the vector grows as needed.
        postcard::to_stdvec(&self).unwrap_or_default().into()
    }

    /// Decodes the result of [`encode`](Self::encode); none for any other bytes.
    pub fn decode(bytes: &[u8]) -> Option<CommandOutcome> {
        postcard::from_bytes(bytes).ok()
    }
}

impl ControlState {
    /// Applies the command at position `index` of the log.
    pub fn apply(&mut self, index: u64, command: Command) -> CommandOutcome {
        match command {
            Command::Bootstrapped => self.bootstrapped = true,
            Command::TakeOver { member } => self.take_over(index, member),
            Command::Configure(catalogue) => self.configure(catalogue),
            Command::Submit {
                id,
                queue,
                customer,
                spec,
                arrived_ms,
            } => return self.submit(id, Job::new(queue, customer, spec, index, arrived_ms)),
            Command::Cancel { id } => return self.cancel(id),
            Command::RecordEnds {
                worker,
                after,
                ends,
            } => self.record_ends(index, &worker, after, &ends),
            Command::AddWorker(record) => self.add_worker(record),
            Command::WorkerSilent {
                name,
                token,
                activations,
            } => {
                if let Some(history) = self.current_activation(&name, token, activations) {
                    history.silent_index = Some(index);
                }
            }
            Command::WorkerLapsed {
                name,
                token,
                activations,
            } => {
                if let Some(history) = self.current_activation(&name, token, activations) {
                    history.may_have_runs = false;
                }
            }
            Command::RemoveWorkers { names } => {
                for name in names {
                    self.workers.swap_remove(&name);
                }
            }
            Command::Forget { ids } => {
                for id in ids {
                    self.ended.swap_remove(&id);
                }
            }
            Command::JobsStopped { ids } => {
                for id in ids {
                    self.stopping.swap_remove(&id);
                }
            }
            Command::StartWave {
                wave,
                machines,
                duration_ms,
                max_at_once,
            } => {
                let new = Wave {
                    waiting: machines.into_iter().collect(),
                    maintained: indexmap::IndexSet::new(),
                    duration_ms,
                    max_at_once,
                };
                self.waves.entry(wave).or_insert(new);
            }
            Command::Maintained { wave, machine } => {
                self.remove_waiting_machine(wave, machine, true);
            }
            Command::LeftWave { wave, machine } => {
                self.remove_waiting_machine(wave, machine, false);
            }
            Command::Draining { name } => self.record_draining(name),
            Command::Resized {
                name,
                capacity,
                sequence,
            } => self.resize(&name, capacity, sequence),
            Command::Crashed { runs } => self.record_crashes(&runs),
            Command::Learned(learned) => {
                if self.owner.is_some_and(|owner| owner.token == learned.token) {
                    self.learned = Some(learned);
                }
            }
        }
        CommandOutcome::Done
    }

    /// The number of owners before the current one; 0 without an owner.
    fn ordinal(&self) -> u32 {
        self.owner.map_or(0, |owner| owner.ordinal)
    }

    fn take_over(&mut self, index: u64, member: u32) {
        let ordinal = self.owner.map_or(0, |owner| owner.ordinal + 1);
        self.owner = Some(Owner {
            member,
            token: index,
            ordinal,
        });
        self.fail_jobs_at_crash_limit(ordinal);
    }

    /// Fails the jobs that reach the crash limit because of a new owner. Each change of
    /// owner may hide one crash that the previous owner did not record.
    fn fail_jobs_at_crash_limit(&mut self, ordinal: u32) {
        let jobs = self.jobs.iter();
        let at_limit = jobs.filter(|(_, job)| job.reaches_crash_limit(ordinal));
        let at_limit: Vec<JobId> = at_limit.map(|(id, _)| *id).collect();
        for id in at_limit {
            self.end_job(id, JobState::Failed);
        }
    }

    /// Puts a configuration into force if its version is higher than the current one. The
    /// result does not depend on the order of arrival.
    fn configure(&mut self, catalogue: Arc<Catalogue>) {
        let current = self.catalogue.as_ref().map(|current| current.version);
        if current.is_none_or(|current| catalogue.version > current) {
            self.catalogue = Some(catalogue);
        }
    }

    /// Adds a job. A known job is not changed, so that submission is idempotent.
    fn submit(&mut self, id: JobId, job: Job) -> CommandOutcome {
        match self.customer_of(id) {
            None => {
                let accepted_ordinal = self.ordinal();
                let job = Job {
                    accepted_ordinal,
                    ..job
                };
                self.jobs_bytes.0 += job.spec.memory_bytes();
                self.jobs.insert(id, job);
                CommandOutcome::Done
            }
            Some(customer) if customer == job.customer.as_deref() => CommandOutcome::Done,
            Some(_) => CommandOutcome::Taken,
        }
    }

    fn cancel(&mut self, id: JobId) -> CommandOutcome {
        match self.job_state(id) {
            None => CommandOutcome::NoSuchJob,
            Some(JobState::Active) => {
                self.end_job(id, JobState::Cancelled);
                CommandOutcome::Done
            }
            Some(JobState::Cancelled) => CommandOutcome::Done,
            Some(state) => CommandOutcome::Over(state),
        }
    }

    fn end_job(&mut self, id: JobId, state: JobState) {
        let job = self.jobs.swap_remove(&id);
        let bytes = job.as_ref().map_or(0, |job| job.spec.memory_bytes());
        self.jobs_bytes.0 = self.jobs_bytes.0.saturating_sub(bytes);
        let largest_task = job.as_ref().map(Job::largest_task).unwrap_or_default();
        let size = job
            .as_ref()
            .map(Job::possibly_running_size)
            .unwrap_or_default();
        let customer = job.and_then(|job| job.customer);
        if let Some(customer) = customer.clone()
            && state != JobState::Completed
        {
            self.add_stopping(id, customer, size);
        }
        let ended = EndedJob {
            state,
            customer,
            largest_task,
        };
        self.ended.insert(id, ended);
    }

    /// Records that runs of a job may be left. Until they have stopped they count against the
    /// customer's cap, also under a later owner.
    fn add_stopping(&mut self, id: JobId, customer: Box<str>, size: Size) {
        let stopping = self.stopping.entry(id).or_insert(StoppingJob {
            customer,
            size: Size::default(),
        });
        stopping.size += size;
    }

    /// Records ends that a worker reported, except those that were recorded before. All of
    /// `ends` are ignored unless every end up to number `after` is recorded.
    fn record_ends(&mut self, index: u64, worker: &str, after: u64, ends: &[TaskEnd]) {
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        let last_recorded = record.history.last_recorded_end;
        if last_recorded < after {
            return;
        }
        if let Some(last) = ends.last() {
            record.history.last_recorded_end = last_recorded.max(last.number);
        }
        for TaskEnd { end, .. } in ends.iter().filter(|end| end.number > last_recorded) {
            let id = end.task.job();
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let size_left = job.size_left_by_end(end);
            let customer = job.customer.clone();
            let state = job.record_end(index, end);
            if let Some(customer) = customer.filter(|_| size_left != Size::default()) {
                self.add_stopping(id, customer, size_left);
            }
            if state != JobState::Active {
                self.end_job(id, state);
            }
        }
    }

    fn record_crashes(&mut self, runs: &[CrashedRun]) {
        let ordinal = self.ordinal();
        for crashed in runs {
            let id = crashed.task.job();
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.record_crash(crashed);
            if job.reaches_crash_limit(ordinal) {
                self.end_job(id, JobState::Failed);
            }
        }
    }

    /// Adds a worker, or adds it again after it was recorded as silent or its lease expired.
    /// Each time starts a new activation, which `activations` counts.
    fn add_worker(&mut self, record: WorkerRecord) {
        let known = self.workers.get(&record.name);
        let before = known.map(|known| known.history).unwrap_or_default();
        let capacity = match known {
            Some(known) if before.capacity_sequence > record.history.capacity_sequence => {
                known.capacity
            }
            _ => record.capacity,
        };
        let history = WorkerHistory {
            last_recorded_end: before.last_recorded_end,
            may_have_runs: true,
            silent_index: None,
            activations: before.activations + 1,
            capacity_sequence: before
                .capacity_sequence
                .max(record.history.capacity_sequence),
        };
        let name = record.name.clone();
        let record = WorkerRecord {
            history,
            capacity,
            ..record
        };
        self.workers.insert(name, record);
    }

    /// Records the capacity of a worker, unless a later heartbeat reported it already.
    fn resize(&mut self, name: &str, capacity: Size, sequence: u64) {
        if let Some(record) = self.workers.get_mut(name)
            && record.history.capacity_sequence <= sequence
        {
            record.capacity = capacity;
            record.history.capacity_sequence = sequence;
        }
    }

    fn record_draining(&mut self, name: Box<str>) {
        self.draining.insert(name);
        if self.draining.len() > MAX_DRAINING_WORKERS {
            self.draining.shift_remove_index(0);
        }
    }

    /// The history of a worker, if `token` is that of the current owner and
    /// `activations` the current number. A record by an earlier owner or for an earlier
    /// activation does not cover the runs that were started since.
    fn current_activation(
        &mut self,
        name: &str,
        token: u64,
        activations: u32,
    ) -> Option<&mut WorkerHistory> {
        let owned = self.owner.is_some_and(|owner| owner.token == token);
        let history = &mut self.workers.get_mut(name)?.history;
        (owned && history.activations == activations).then_some(history)
    }

    fn remove_waiting_machine(&mut self, wave: u64, machine: Box<str>, maintained: bool) {
        let Some(wave) = self.waves.get_mut(&wave) else {
            return;
        };
        let was_waiting = wave.waiting.shift_remove(&machine);
        if was_waiting && maintained {
            wave.maintained.insert(machine);
        }
    }
}
