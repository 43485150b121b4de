//! The part of `--dev` that runs jobs: one control instance with a worker in
//! the same process.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cleat_control::{
    ControlConfig, ControlNode, InProcessWorkers, Metrics, NoAdviser, NoMachines, PeerAddressing,
    PlatformClients,
};
use cleat_http::{Listener, RunningServer};
use cleat_jobs::{
    Catalogue, CatalogueDraft, JobId, JobSpec, Pool, Queue, SchedulerConfig, Size, StepSpec,
    WorkerHistory, WorkerRecord,
};
use cleat_link::{ControlCall, ControlReply, JobView};
use cleat_operate::JobOperatorServer;
use cleat_quorum::Timing;
use cleat_telemetry::EventLog;
use snafu::{OptionExt, ResultExt};

use crate::error::{ControlSnafu, DaemonError, ExampleSnafu, ListenSnafu};

/// The only queue, and the pool that runs its jobs.
const QUEUE: &str = "example";
const POOL: &str = "example-workers";
/// The job that is run at the start.
const EXAMPLE: JobId = JobId(0xa7);
const TRIES: u32 = 200;
const PAUSE: Duration = Duration::from_millis(50);
/// The memory for accepted jobs, in bytes.
const JOBS_BYTES: u64 = 16 << 20;
const LIMIT: Duration = Duration::from_secs(2);

/// The running control instance.
pub(crate) struct DevJobs {
    node: Arc<ControlNode>,
    server: RunningServer,
    /// Where operators call.
    pub(crate) operators: SocketAddr,
}

impl DevJobs {
    /// Starts the instance in `folder`, and runs the example to its end.
    pub(crate) async fn start(folder: &Path) -> Result<DevJobs, DaemonError> {
        let workers = InProcessWorkers::new();
        let beat = workers.add(worker());
        let clients = PlatformClients {
            workers,
            machines: NoMachines,
            adviser: NoAdviser,
        };
        let events = EventLog::disabled();
        let node = ControlNode::start(config(folder), clients, events, Metrics::default());
        let node = Arc::new(node.await.context(ControlSnafu)?);
        let any = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
        let listener = Listener::bind(any).await.context(ListenSnafu)?;
        let jobs = DevJobs {
            operators: listener.local_addr(),
            server: JobOperatorServer::spawn(listener, node.clone()),
            node,
        };
        let configure = ControlCall::Configure(Arc::new(catalogue()?));
        jobs.insist(configure, "put the queue into force").await?;
        jobs.insist(ControlCall::Heartbeat(beat), "announce the worker")
            .await?;
        jobs.run_example().await?;
        Ok(jobs)
    }

    async fn run_example(&self) -> Result<(), DaemonError> {
        let submit = ControlCall::SubmitTo {
            queue: QUEUE.into(),
            id: EXAMPLE,
            spec: Arc::new(example()),
        };
        self.insist(submit, "submit the example job").await?;
        for _ in 0..TRIES {
            let state = self
                .node
                .ask(ControlCall::LookAt { id: EXAMPLE }, LIMIT)
                .await;
            if state == Ok(ControlReply::Job(JobView::Completed)) {
                return Ok(());
            }
            tokio::time::sleep(PAUSE).await;
        }
        let step = "run the example job";
        None.context(ExampleSnafu { step })
    }

    async fn insist(&self, call: ControlCall, step: &'static str) -> Result<(), DaemonError> {
        for _ in 0..TRIES {
            if self.node.ask(call.clone(), LIMIT).await == Ok(ControlReply::Done) {
                return Ok(());
            }
            tokio::time::sleep(PAUSE).await;
        }
        None.context(ExampleSnafu { step })
    }

    /// Says how to try it.
    pub(crate) fn print_hints(&self) {
        let operators = self.operators;
        eprintln!("job {EXAMPLE} of three tasks ran to its end on the built-in worker");
        eprintln!("jobs: celerycleat --server {operators} job status {EXAMPLE}");
    }

    pub(crate) async fn stop(self) {
        self.node.stop_replica().await;
        self.server.stop().await;
    }
}

fn config(folder: &Path) -> ControlConfig {
    let ip = Ipv4Addr::LOCALHOST;
    let id = PeerAddressing::member_id(ip);
    ControlConfig {
        name: "dev".into(),
        id,
        listen: SocketAddr::new(ip.into(), 0),
        // Nobody else is there to be called.
        addressing: PeerAddressing { port: 0 },
        seeds: vec![id],
        may_bootstrap: true,
        voters: 1,
        remove_silent_after: Duration::MAX,
        data_folder: folder.join("jobs"),
        redirect_calls: false,
        jobs_bytes: JOBS_BYTES,
        timing: Timing::fast_failover(),
        scheduler: SchedulerConfig::default(),
    }
}

fn worker() -> WorkerRecord {
    WorkerRecord {
        name: "built-in".into(),
        address: "built-in".into(),
        pool: POOL.into(),
        machine: None,
        data_centre: "dc1".into(),
        capacity: Size {
            cpu_milli: 4_000,
            memory_mb: 4_096,
            gpu: 0,
        },
        labels: Vec::new(),
        rack: None,
        history: WorkerHistory::default(),
    }
}

fn catalogue() -> Result<Catalogue, DaemonError> {
    let queue = Queue {
        name: QUEUE.into(),
        host: "localhost".into(),
        prefix: format!("/{QUEUE}/").into(),
        pool: POOL.into(),
        priority: 0,
        max_attempts: 3,
        stretch: 2.0,
        target_latency_ms: 500,
        timeout_ms: 3_000,
        public: false,
        advice: None,
    };
    let pool = Pool {
        name: POOL.into(),
        enforces_capacity: true,
        spare: false,
        health_path: "/".into(),
    };
    let draft = CatalogueDraft {
        version: 1,
        queues: vec![queue],
        pools: vec![pool],
        customers: None,
        document: "{}".into(),
    };
    let catalogue = Catalogue::new(draft);
    let step = "make the queue";
    catalogue.ok().context(ExampleSnafu { step })
}

/// Two tasks, and one after them.
fn example() -> JobSpec {
    let step = |count, after| StepSpec {
        count,
        size: Size {
            cpu_milli: 500,
            memory_mb: 256,
            gpu: 0,
        },
        estimate_ms: 200,
        after,
        ..StepSpec::default()
    };
    JobSpec {
        specification: "an example".into(),
        steps: vec![step(2, Vec::new()), step(1, vec![0])],
        repeat: None,
    }
}
