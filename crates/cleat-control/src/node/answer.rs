//! How the leader answers calls.

use std::sync::Arc;
use std::time::Instant;

use cleat_jobs::{
    Caller, Cap, Catalogue, Command, CommandOutcome, ControlState, Customer, Customers, Event,
    Heartbeat, Job, JobId, JobSpec, JobState, KeyDigest, Queue, Scheduler, WorkerView,
};
use cleat_link::{
    ControlCall, ControlError, ControlReply, CustomerLine, JobLine, JobView, Overview, WorkerLine,
};
use cleat_quorum::ProposeError;

use super::Shared;
use crate::clock::wall_ms;
use crate::events::ControlEvent;

/// A call that needs a commit, or its answer.
enum Step {
    Answer(ControlReply),
    Commit(Command),
}

/// What a call of a customer names.
struct Address<'a> {
    host: &'a str,
    path: &'a str,
    key: Option<&'a KeyDigest>,
}

impl<'a> Address<'a> {
    fn of(host: &'a str, path: &'a str, key: Option<&'a KeyDigest>) -> Address<'a> {
        Address { host, path, key }
    }
}

/// What that leads to, for a caller who may go there.
enum Place {
    Queue(Arc<Queue>),
    Job(Arc<Queue>, JobId, Caller),
}

impl Shared {
    pub(crate) async fn answer(&self, call: ControlCall) -> Result<ControlReply, ControlError> {
        let status = self.replica().status();
        if !status.is_leader() {
            let leader = status.leader().map(|id| id.0);
            return Err(ControlError::NotLeader { leader });
        }
        // A leader that others may have replaced can't be sure of anything.
        if !self.leads() || !self.state.read(|state| state.bootstrapped) {
            return Err(ControlError::NoQuorum);
        }
        match self.first_step(call)? {
            Step::Answer(reply) => Ok(reply),
            Step::Commit(command) => {
                let reply = self.commit(&command).await?;
                self.tell_commit(&command);
                Ok(reply)
            }
        }
    }

    fn first_step(&self, call: ControlCall) -> Result<Step, ControlError> {
        let step = match call {
            ControlCall::Leader => Step::Answer(ControlReply::Leading),
            ControlCall::Submit {
                host,
                path,
                key,
                spec,
                waited_ms,
            } => {
                let arrived_ms = wall_ms().saturating_sub(waited_ms);
                self.submit(&Address::of(&host, &path, key.as_ref()), spec, arrived_ms)
            }
            ControlCall::Look { host, path, key } => {
                Step::Answer(self.look(&Address::of(&host, &path, key.as_ref()))?)
            }
            ControlCall::Cancel { host, path, key } => {
                self.cancel(&Address::of(&host, &path, key.as_ref()))
            }
            ControlCall::SubmitTo { queue, id, spec } => self.submit_to(&queue, id, spec),
            ControlCall::LookAt { id } => {
                Step::Answer(self.state.read(|state| self.job(state, id)))
            }
            ControlCall::CancelJob { id } => self.state.read(|state| cancel_job(state, id)),
            ControlCall::Overview => Step::Answer(self.overview()?),
            ControlCall::Heartbeat(beat) => self.heartbeat(beat)?,
            ControlCall::Left { worker } => Step::Answer(self.hand_over(Event::Left { worker })?),
            ControlCall::Configure(catalogue) => self.configure(catalogue),
            ControlCall::Configuration => Step::Answer(self.configuration()),
            ControlCall::StartWave {
                wave,
                machines,
                duration_ms,
                max_at_once,
            } => Step::Commit(Command::StartWave {
                wave,
                machines,
                duration_ms,
                max_at_once,
            }),
            ControlCall::Wave { wave } => Step::Answer(self.wave(wave)),
        };
        Ok(step)
    }

    /// Gives an event to the owner. It has to be there: whoever hears `Done`
    /// relies on it.
    fn hand_over(&self, event: Event) -> Result<ControlReply, ControlError> {
        if self.state.send(event) {
            Ok(ControlReply::Done)
        } else {
            Err(ControlError::NoQuorum)
        }
    }

    /// Takes a heartbeat. That a worker is about to end is committed before it
    /// hears so: it relies on every later owner to give it no work.
    fn heartbeat(&self, beat: Heartbeat) -> Result<Step, ControlError> {
        let name = beat.record.name.clone();
        let known = self.state.read(|state| state.draining.contains(&name));
        let drains = beat.draining;
        let reply = self.hand_over(Event::Heartbeat(beat))?;
        Ok(if drains && !known {
            Step::Commit(Command::Draining { name })
        } else {
            Step::Answer(reply)
        })
    }

    fn submit(&self, address: &Address<'_>, spec: Arc<JobSpec>, arrived_ms: u64) -> Step {
        self.state.read(|state| match place(state, address) {
            Err(refusal) => Step::Answer(refusal),
            Ok(Place::Queue(_)) => Step::Answer(ControlReply::NotAJob),
            Ok(Place::Job(queue, id, caller)) => match state.customer_of(id) {
                None => Step::Commit(Command::Submit {
                    id,
                    queue,
                    customer: caller.name().map(Into::into),
                    spec,
                    arrived_ms,
                }),
                // Sent again: it is stored already.
                Some(owner) if owner == caller.name() => Step::Answer(ControlReply::Done),
                Some(_) => Step::Answer(ControlReply::Taken),
            },
        })
    }

    fn look(&self, address: &Address<'_>) -> Result<ControlReply, ControlError> {
        self.state.read(|state| match place(state, address) {
            Err(refusal) => Ok(refusal),
            Ok(Place::Queue(queue)) => {
                let count =
                    |s: &cleat_jobs::Scheduler| s.waiting_jobs(state, &queue.host, &queue.prefix);
                let waiting = self.with_scheduler(count).ok_or(ControlError::NoQuorum)?;
                Ok(ControlReply::Waiting(waiting as u64))
            }
            Ok(Place::Job(_, id, caller)) if hidden(state, id, &caller) => {
                Ok(ControlReply::NoSuchJob)
            }
            Ok(Place::Job(_, id, _)) => Ok(self.job(state, id)),
        })
    }

    fn job(&self, state: &ControlState, id: JobId) -> ControlReply {
        let Some(known) = state.job_state(id) else {
            return ControlReply::NoSuchJob;
        };
        let begun = self.with_scheduler(|scheduler| scheduler.has_started(id));
        ControlReply::Job(JobView::of(known, begun.unwrap_or_default()))
    }

    fn cancel(&self, address: &Address<'_>) -> Step {
        self.state.read(|state| match place(state, address) {
            Err(refusal) => Step::Answer(refusal),
            Ok(Place::Queue(_)) => Step::Answer(ControlReply::NotAJob),
            Ok(Place::Job(_, id, caller)) if hidden(state, id, &caller) => {
                Step::Answer(ControlReply::NoSuchJob)
            }
            Ok(Place::Job(_, id, _)) => cancel_job(state, id),
        })
    }

    fn submit_to(&self, queue: &str, id: JobId, spec: Arc<JobSpec>) -> Step {
        self.state.read(|state| {
            let Some(catalogue) = &state.catalogue else {
                return Step::Answer(ControlReply::NoConfiguration);
            };
            let mut queues = catalogue.queues.iter();
            match queues.find(|known| *known.name == *queue) {
                None => Step::Answer(ControlReply::NoSuchQueue),
                Some(_) if state.job_state(id).is_some() => Step::Answer(ControlReply::Done),
                Some(queue) => {
                    let queue = queue.clone();
                    Step::Commit(Command::Submit {
                        id,
                        queue,
                        customer: None,
                        spec,
                        arrived_ms: wall_ms(),
                    })
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

    fn configure(&self, catalogue: Arc<Catalogue>) -> Step {
        let held = self.state.read(|state| {
            let held = state.catalogue.as_ref();
            held.is_some_and(|held| held.version >= catalogue.version)
        });
        if held {
            Step::Answer(ControlReply::Done)
        } else {
            Step::Commit(Command::Configure(catalogue))
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

    fn tell_commit(&self, command: &Command) {
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
        let began = Instant::now();
        let applied = self.replica().propose(command.encode()).await;
        self.metrics
            .latencies
            .latency("commit")
            .record(began.elapsed());
        let applied = applied.map_err(|error| refusal(&error))?;
        Ok(match CommandOutcome::decode(&applied.response) {
            Some(CommandOutcome::Done) => ControlReply::Done,
            Some(CommandOutcome::NoSuchJob) => ControlReply::NoSuchJob,
            Some(CommandOutcome::Over(_)) => ControlReply::Over,
            Some(CommandOutcome::Taken) => ControlReply::Taken,
            None => return Err(ControlError::OutcomeUnknown),
        })
    }
}

fn cancel_job(state: &ControlState, id: JobId) -> Step {
    match state.job_state(id) {
        None => Step::Answer(ControlReply::NoSuchJob),
        Some(JobState::Active) => Step::Commit(Command::Cancel { id }),
        Some(JobState::Cancelled) => Step::Answer(ControlReply::Done),
        Some(_) => Step::Answer(ControlReply::Over),
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

/// The customers of the configuration in force, in its order.
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
            in_doubt: view.map(|view| view.in_doubt).unwrap_or_default(),
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

/// Where a call leads, by the configuration in force on the leader, which is the
/// newest: a gateway keeps no copy that could be older.
///
/// What is not there is told before the key is looked at: an unknown queue has no
/// customers.
fn place(state: &ControlState, address: &Address<'_>) -> Result<Place, ControlReply> {
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
    let name = &address.path[queue.prefix.len()..];
    if name.is_empty() {
        return Ok(Place::Queue(queue.clone()));
    }
    match name.parse() {
        Ok(id) => Ok(Place::Job(queue.clone(), id, caller)),
        Err(_) => Err(ControlReply::NotAJob),
    }
}

/// Whether a job is another customer's, who alone may know of it.
fn hidden(state: &ControlState, id: JobId, caller: &Caller) -> bool {
    let owner = state.customer_of(id);
    owner.is_some_and(|owner| !caller.may_access(owner))
}

pub(crate) fn refusal(error: &ProposeError) -> ControlError {
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
