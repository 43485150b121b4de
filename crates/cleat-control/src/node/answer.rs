//! Handles calls on the leader.

use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cleat_jobs::{
    Admission, Caller, Cap, Catalogue, Command, CommandOutcome, ControlState, Customer, Customers,
    Event, Heartbeat, Job, JobId, JobSpec, JobState, KeyDigest, Queue, Scheduler, Submission,
    WorkerView,
};
use cleat_link::{
    ControlCall, ControlError, ControlReply, CustomerLine, JobLine, JobView, Overview, WorkerLine,
};
use cleat_quorum::ProposeError;
use tokio::time::timeout;

use super::Shared;
use super::job_memory::JobMemory;
use crate::clock::{boot_time, wall_ms};
use crate::events::ControlEvent;

/// How long the answer to a worker that leaves may wait. A worker takes up to 200 ms to stop
/// a run, and a gateway asks again after 600 ms.
const MAX_DEPARTURE_WAIT: Duration = Duration::from_millis(500);

/// When a job comes again for which there was no memory, in milliseconds: others have to end first.
const MEMORY_RETRY_AFTER_MS: u64 = 5_000;

/// What the leader does for a call.
enum Action {
    /// Returns a reply at once.
    Reply(ControlReply),
    /// Commits a command, and replies with its answer.
    Commit(Command),
    /// Tells the owner that the life of this worker ends now, and replies once nothing runs
    /// there any more.
    AwaitDeparture(Box<str>),
}

/// The host, path and API key of a caller's request.
struct RequestAddress<'a> {
    host: &'a str,
    path: &'a str,
    key: Option<&'a KeyDigest>,
}

impl<'a> RequestAddress<'a> {
    fn of(host: &'a str, path: &'a str, key: Option<&'a KeyDigest>) -> RequestAddress<'a> {
        RequestAddress { host, path, key }
    }
}

/// What a request addresses, after its API key was accepted.
enum Route {
    Queue(Arc<Queue>),
    Job(Arc<Queue>, JobId, Caller),
}

/// A submitted job that the state does not contain.
struct NewJob<'a> {
    id: JobId,
    queue: Arc<Queue>,
    caller: &'a Caller,
    spec: Arc<JobSpec>,
    /// How long ago it arrived.
    age: Duration,
}

impl Shared {
    pub(crate) async fn answer(&self, call: ControlCall) -> Result<ControlReply, ControlError> {
        let status = self.replica().status();
        if !status.is_leader() {
            let leader = status.leader().map(|id| id.0);
            return Err(ControlError::NotLeader { leader });
        }
        // Without a valid leader lease, another instance may already lead. Until the state
        // is bootstrapped, the group has too few voters.
        if !self.leads() || !self.state.read(|state| state.bootstrapped) {
            return Err(ControlError::NoQuorum);
        }
        match self.plan(call)? {
            // Another instance may have stored the job if the lease ended meanwhile.
            Action::Reply(ControlReply::Overloaded { .. }) if !self.leads() => {
                Err(ControlError::NoQuorum)
            }
            Action::Reply(reply) => Ok(reply),
            Action::Commit(command) => {
                let reply = self.commit(&command).await?;
                if let Command::Submit { id, .. } = &command {
                    self.job_memory().settle(*id);
                }
                self.log_commit(&command);
                Ok(reply)
            }
            Action::AwaitDeparture(worker) => self.await_departure(worker).await,
        }
    }

    /// Decides what to do for a call.
    fn plan(&self, call: ControlCall) -> Result<Action, ControlError> {
        let action = match call {
            ControlCall::Leader => Action::Reply(ControlReply::Leading),
            ControlCall::Submit {
                host,
                path,
                key,
                spec,
                waited_ms,
            } => {
                let age = Duration::from_millis(waited_ms);
                self.submit(&RequestAddress::of(&host, &path, key.as_ref()), spec, age)?
            }
            ControlCall::Look { host, path, key } => {
                Action::Reply(self.look_up(&RequestAddress::of(&host, &path, key.as_ref()))?)
            }
            ControlCall::Cancel { host, path, key } => {
                self.cancel(&RequestAddress::of(&host, &path, key.as_ref()))
            }
            ControlCall::SubmitTo { queue, id, spec } => self.submit_to(&queue, id, spec)?,
            ControlCall::LookAt { id } => {
                Action::Reply(self.state.read(|state| self.job(state, id)))
            }
            ControlCall::CancelJob { id } => self.state.read(|state| cancel_job(state, id)),
            ControlCall::Overview => Action::Reply(self.overview()?),
            ControlCall::Heartbeat(heartbeat) => self.heartbeat(heartbeat)?,
            ControlCall::Left { worker } => Action::AwaitDeparture(worker),
            ControlCall::Configure(catalogue) => self.configure(catalogue),
            ControlCall::Configuration => Action::Reply(self.configuration()),
            ControlCall::StartWave {
                wave,
                machines,
                duration_ms,
                max_at_once,
            } => Action::Commit(Command::StartWave {
                wave,
                machines,
                duration_ms,
                max_at_once,
            }),
            ControlCall::Wave { wave } => Action::Reply(self.wave(wave)),
        };
        Ok(action)
    }

    /// Sends an event to the owner task. Fails if none runs here, as the receiver of
    /// `Done` relies on the event being handled.
    fn send_to_owner(&self, event: Event) -> Result<ControlReply, ControlError> {
        if self.state.send_to_owner(event) {
            Ok(ControlReply::Done)
        } else {
            Err(ControlError::NoQuorum)
        }
    }

    /// Tells the owner task that a worker's life ends now. The worker ends once it hears the
    /// answer, so that waits until nothing runs there any more, but not long: the worker ends
    /// without an answer as well.
    async fn await_departure(&self, worker: Box<str>) -> Result<ControlReply, ControlError> {
        let departed = self.departures.register(&worker);
        let reported_at = Instant::now();
        let reply = self.send_to_owner(Event::Left { worker })?;
        let outcome = timeout(MAX_DEPARTURE_WAIT, departed).await;
        let latency = self.metrics.latencies.latency("departure");
        latency.record(reported_at.elapsed());
        match outcome {
            Ok(_) => Ok(reply),
            // The next owner has to be told as well.
            Err(_) if !self.leads() => Err(ControlError::NoQuorum),
            Err(_) => Ok(reply),
        }
    }

    /// Handles a heartbeat. That a worker drains is committed before the heartbeat is
    /// acknowledged: the worker relies on later owners not to assign work to it either.
    fn heartbeat(&self, heartbeat: Heartbeat) -> Result<Action, ControlError> {
        let name = heartbeat.record.name.clone();
        let already_committed = self.state.read(|state| state.draining.contains(&name));
        let is_draining = heartbeat.draining;
        let reply = self.send_to_owner(Event::Heartbeat(heartbeat))?;
        Ok(if is_draining && !already_committed {
            Action::Commit(Command::Draining { name })
        } else {
            Action::Reply(reply)
        })
    }

    fn submit(
        &self,
        address: &RequestAddress<'_>,
        spec: Arc<JobSpec>,
        age: Duration,
    ) -> Result<Action, ControlError> {
        let precedes_configuration = self.precedes_configuration(age);
        self.with_admission(|state, scheduler| match resolve(state, address) {
            Err(_) if precedes_configuration && is_stored(state, address) => {
                Action::Reply(ControlReply::Done)
            }
            Err(refusal) => Action::Reply(refusal),
            Ok(Route::Queue(_)) => Action::Reply(ControlReply::NotAJob),
            Ok(Route::Job(queue, id, caller)) => match state.customer_of(id) {
                None => {
                    let job = NewJob {
                        id,
                        queue,
                        caller: &caller,
                        spec,
                        age,
                    };
                    self.commit_or_refuse(state, scheduler, job)
                }
                // A repeated submission: the job is already stored.
                Some(owner) if owner == caller.name() => Action::Reply(ControlReply::Done),
                Some(_) => Action::Reply(ControlReply::Taken),
            },
        })
    }

    /// Whether a call that is this old arrived before the configuration came into force.
    fn precedes_configuration(&self, age: Duration) -> bool {
        let arrived_at = boot_time().saturating_sub(age);
        self.state.configured_at().is_some_and(|at| arrived_at < at)
    }

    /// Calls `decide` with the state, and with the scheduler if admission control is
    /// enabled.
    ///
    /// With admission control, this fails until the takeover is complete: a job that is
    /// proposed without the scheduler's knowledge might be refused when it is submitted
    /// again.
    fn with_admission<T>(
        &self,
        decide: impl FnOnce(&ControlState, Option<&mut Scheduler>) -> T,
    ) -> Result<T, ControlError> {
        if !self.admission {
            return Ok(self.state.read(|state| decide(state, None)));
        }
        // In the same order as in the owner task: the scheduler before the state.
        let mut guard = self
            .scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let scheduler = guard.as_mut().ok_or(ControlError::NoQuorum)?;
        Ok(self.state.read(|state| decide(state, Some(scheduler))))
    }

    /// Returns the command that stores a job that the state does not contain, unless it is refused for lack of
    /// capacity.
    fn commit_or_refuse(
        &self,
        state: &ControlState,
        scheduler: Option<&mut Scheduler>,
        job: NewJob<'_>,
    ) -> Action {
        let NewJob {
            id,
            queue,
            caller,
            spec,
            age,
        } = job;
        let submission = Submission {
            id,
            queue: &queue,
            customer: caller.name(),
            spec: &spec,
            age,
        };
        if let Some(scheduler) = scheduler
            && let Some(refusal) = self.admit(state, scheduler, &submission)
        {
            return Action::Reply(refusal);
        }
        if let Some(refusal) = self.refuse_without_memory(state, id, &spec) {
            return Action::Reply(refusal);
        }
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Action::Commit(Command::Submit {
            id,
            queue,
            customer: caller.name().map(Into::into),
            spec,
            arrived_ms: wall_ms().saturating_sub(age_ms),
        })
    }

    /// Counts a job that is to be proposed; returns the reply if there is no memory for it.
    fn refuse_without_memory(
        &self,
        state: &ControlState,
        id: JobId,
        spec: &JobSpec,
    ) -> Option<ControlReply> {
        if self.job_memory().propose(state, id, spec, Instant::now()) {
            return None;
        }
        self.metrics.count("jobs.memory_full");
        Some(ControlReply::Overloaded {
            retry_after_ms: MEMORY_RETRY_AFTER_MS,
        })
    }

    fn job_memory(&self) -> MutexGuard<'_, JobMemory> {
        let job_memory = self.job_memory.lock();
        job_memory.unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides whether a job is accepted; returns the reply if it is refused.
    fn admit(
        &self,
        state: &ControlState,
        scheduler: &mut Scheduler,
        submission: &Submission<'_>,
    ) -> Option<ControlReply> {
        match scheduler.admit(state, submission) {
            Admission::Accept { wait } => {
                self.metrics.count("admission.accepted");
                if let Some(wait) = wait {
                    self.metrics
                        .latencies
                        .latency("admission.wait")
                        .record(wait);
                }
                None
            }
            Admission::Refuse {
                retry_after,
                reason,
            } => {
                let name = format!("admission.refused.{}", reason.name());
                self.metrics.count(&name);
                let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
                Some(ControlReply::Overloaded { retry_after_ms })
            }
        }
    }

    fn look_up(&self, address: &RequestAddress<'_>) -> Result<ControlReply, ControlError> {
        self.state.read(|state| match resolve(state, address) {
            Err(refusal) => Ok(refusal),
            Ok(Route::Queue(queue)) => {
                let count =
                    |s: &cleat_jobs::Scheduler| s.waiting_jobs(state, &queue.host, &queue.prefix);
                let waiting = self.with_scheduler(count).ok_or(ControlError::NoQuorum)?;
                Ok(ControlReply::Waiting(waiting as u64))
            }
            Ok(Route::Job(_, id, caller)) if is_other_customers_job(state, id, &caller) => {
                Ok(ControlReply::NoSuchJob)
            }
            Ok(Route::Job(_, id, _)) => Ok(self.job(state, id)),
        })
    }

    fn job(&self, state: &ControlState, id: JobId) -> ControlReply {
        let Some(known) = state.job_state(id) else {
            return ControlReply::NoSuchJob;
        };
        let begun = self.with_scheduler(|scheduler| scheduler.has_started(id));
        ControlReply::Job(JobView::of(known, begun.unwrap_or_default()))
    }

    fn cancel(&self, address: &RequestAddress<'_>) -> Action {
        self.state.read(|state| match resolve(state, address) {
            Err(refusal) => Action::Reply(refusal),
            Ok(Route::Queue(_)) => Action::Reply(ControlReply::NotAJob),
            Ok(Route::Job(_, id, caller)) if is_other_customers_job(state, id, &caller) => {
                Action::Reply(ControlReply::NoSuchJob)
            }
            Ok(Route::Job(_, id, _)) => cancel_job(state, id),
        })
    }

    fn submit_to(
        &self,
        queue: &str,
        id: JobId,
        spec: Arc<JobSpec>,
    ) -> Result<Action, ControlError> {
        self.with_admission(|state, scheduler| {
            let Some(catalogue) = &state.catalogue else {
                return Action::Reply(ControlReply::NoConfiguration);
            };
            let mut queues = catalogue.queues.iter();
            match queues.find(|known| *known.name == *queue) {
                None => Action::Reply(ControlReply::NoSuchQueue),
                Some(_) if state.job_state(id).is_some() => Action::Reply(ControlReply::Done),
                Some(queue) => {
                    let job = NewJob {
                        id,
                        queue: queue.clone(),
                        caller: &Caller::Anyone,
                        spec,
                        age: Duration::ZERO,
                    };
                    self.commit_or_refuse(state, scheduler, job)
                }
            }
        })
    }

    fn overview(&self) -> Result<ControlReply, ControlError> {
        let overview = self.state.read(|state| {
            self.with_scheduler(|scheduler| Overview {
                jobs: state
                    .jobs
                    .iter()
                    .map(|(id, job)| job_line(*id, job, scheduler))
                    .collect(),
                ended: state.ended.len() as u64,
                workers: scheduler
                    .workers()
                    .map(|worker| worker_line(&worker))
                    .collect(),
                customers: customer_lines(state, scheduler),
            })
        });
        let mut overview = overview.ok_or(ControlError::NoQuorum)?;
        overview.jobs.sort_by_key(|job| job.id);
        Ok(ControlReply::Overview(overview))
    }

    fn configure(&self, catalogue: Arc<Catalogue>) -> Action {
        let is_current = self.state.read(|state| {
            let current = state.catalogue.as_ref();
            current.is_some_and(|current| current.version >= catalogue.version)
        });
        if is_current {
            Action::Reply(ControlReply::Done)
        } else {
            Action::Commit(Command::Configure(catalogue))
        }
    }

    fn configuration(&self) -> ControlReply {
        let catalogue = self.state.read(|state| state.catalogue.clone());
        catalogue.map_or(ControlReply::NoConfiguration, |catalogue| {
            ControlReply::Configuration {
                version: catalogue.version,
                document: catalogue.document.clone(),
            }
        })
    }

    fn wave(&self, wave: u64) -> ControlReply {
        let completed = self
            .state
            .read(|state| state.waves.get(&wave).map(|wave| wave.is_completed()));
        completed.map_or(ControlReply::NoSuchWave, |completed| ControlReply::Wave {
            completed,
        })
    }

    fn log_commit(&self, command: &Command) {
        if let Command::Configure(catalogue) = command {
            self.events.emit(&ControlEvent::Configured {
                version: catalogue.version,
                queues: catalogue.queues.len(),
                pools: catalogue.pools.len(),
                customers: catalogue.customers.as_ref().map(Customers::len),
            });
        }
    }

    async fn commit(&self, command: &Command) -> Result<ControlReply, ControlError> {
        let started_at = Instant::now();
        let applied = self.replica().propose(command.encode()).await;
        self.metrics
            .latencies
            .latency("commit")
            .record(started_at.elapsed());
        let applied = applied.map_err(|error| control_error(&error))?;
        Ok(match CommandOutcome::decode(&applied.response) {
            Some(CommandOutcome::Done) => ControlReply::Done,
            Some(CommandOutcome::NoSuchJob) => ControlReply::NoSuchJob,
            Some(CommandOutcome::Over(_)) => ControlReply::Over,
            Some(CommandOutcome::Taken) => ControlReply::Taken,
            None => return Err(ControlError::OutcomeUnknown),
        })
    }
}

fn cancel_job(state: &ControlState, id: JobId) -> Action {
    match state.job_state(id) {
        None => Action::Reply(ControlReply::NoSuchJob),
        Some(JobState::Active) => Action::Commit(Command::Cancel { id }),
        Some(JobState::Cancelled) => Action::Reply(ControlReply::Done),
        Some(_) => Action::Reply(ControlReply::Over),
    }
}

fn job_line(id: JobId, job: &Job, scheduler: &Scheduler) -> JobLine {
    let tasks = job.spec.steps.iter().map(|step| u64::from(step.count));
    JobLine {
        id,
        queue: job.queue.name.clone(),
        pool: job.queue.pool.clone(),
        tasks: tasks.sum(),
        done: job.done_count(),
        running: scheduler.running_tasks(id) as u64,
    }
}

/// The customers of the current configuration, in its order.
fn customer_lines(state: &ControlState, scheduler: &Scheduler) -> Vec<CustomerLine> {
    let catalogue = state.catalogue.as_deref();
    let Some(customers) = catalogue.and_then(|catalogue| catalogue.customers.as_ref()) else {
        return Vec::new();
    };
    let views = scheduler.customers();
    let line = |customer: &Arc<Customer>| {
        let view = views.iter().find(|view| *view.name == *customer.name);
        let own = |job: &&Job| job.customer.as_deref() == Some(&*customer.name);
        let Cap(cap) = customer.cap;
        CustomerLine {
            name: customer.name.clone(),
            keys: customer
                .keys
                .iter()
                .map(|key| key.to_string().into())
                .collect(),
            weight: customer.weight,
            jobs: state.jobs.values().filter(own).count() as u64,
            waiting: view.map_or(0, |view| view.waiting as u64),
            used: view.map(|view| view.used).unwrap_or_default(),
            in_doubt: view.map(|view| view.hidden_usage).unwrap_or_default(),
            cap,
        }
    };
    customers.iter().map(line).collect()
}

fn worker_line(worker: &WorkerView<'_>) -> WorkerLine {
    WorkerLine {
        name: worker.record.name.clone(),
        pool: worker.record.pool.clone(),
        machine: worker.record.machine.clone(),
        state: worker.state,
        runs: worker.runs as u64,
        used_cpu_milli: worker.used.cpu_milli,
        cpu_milli: worker.record.capacity.cpu_milli,
    }
}

/// Resolves a request by the current configuration of the leader, which is the
/// newest one: a gateway keeps no copy, as it could be older.
///
/// An unknown queue is reported before the key is checked, as it has no customers.
fn resolve(state: &ControlState, address: &RequestAddress<'_>) -> Result<Route, ControlReply> {
    let Some(catalogue) = &state.catalogue else {
        return Err(ControlReply::NoConfiguration);
    };
    let Some(queue) = catalogue.route(address.host, address.path) else {
        return Err(ControlReply::NoSuchQueue);
    };
    let caller = catalogue.authenticate(queue, address.key);
    if caller == Caller::Unknown {
        return Err(ControlReply::UnknownKey);
    }
    let job_name = &address.path[queue.prefix.len()..];
    if job_name.is_empty() {
        return Ok(Route::Queue(queue.clone()));
    }
    match job_name.parse() {
        Ok(id) => Ok(Route::Job(queue.clone(), id, caller)),
        Err(_) => Err(ControlReply::NotAJob),
    }
}

/// Whether a job is stored that the address names, and that has no customer or the one with
/// its key. Its queue may have been removed since.
fn is_stored(state: &ControlState, address: &RequestAddress<'_>) -> bool {
    let Some(catalogue) = &state.catalogue else {
        return false;
    };
    let name = address.path.rsplit('/').next().unwrap_or_default();
    let owner = name.parse().ok().and_then(|id| state.customer_of(id));
    let customer = address.key.and_then(|key| catalogue.customer_by_key(key));
    let customer = customer.map(|customer| &*customer.name);
    owner.is_some_and(|owner| owner.is_none() || owner == customer)
}

/// Whether a job belongs to another customer. Callers must not learn that such a
/// job exists.
fn is_other_customers_job(state: &ControlState, id: JobId, caller: &Caller) -> bool {
    let owner = state.customer_of(id);
    owner.is_some_and(|owner| !caller.may_access(owner))
}

pub(crate) fn control_error(error: &ProposeError) -> ControlError {
    match error {
        ProposeError::NotLeader { leader } => ControlError::NotLeader {
            leader: leader.map(|id| id.0),
        },
        ProposeError::NoQuorum => ControlError::NoQuorum,
        ProposeError::OutcomeUnknown => ControlError::OutcomeUnknown,
        ProposeError::TooLarge { .. } => ControlError::TooLarge,
        ProposeError::Stopped => ControlError::Stopping,
    }
}
