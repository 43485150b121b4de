//! What a gateway answers when a leader refuses a job for lack of capacity.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use cleat_control::{Gateway, GatewayConfig, Metrics, PeerAddressing};
use cleat_jobs::{JobId, JobSpec, StepSpec};
use cleat_link::{AskError, ControlCall, ControlError, ControlHandler, ControlReply, PeerListener};
use cleat_quorum::Message;
use cleat_telemetry::EventLog;

const TIMEOUT: Duration = Duration::from_secs(3);
const OVERLOADED: ControlReply = ControlReply::Overloaded {
    retry_after_ms: 2_000,
};

/// How a control instance answers each call.
#[derive(Clone, Copy)]
enum Instance {
    /// It receives the call and never answers.
    Silent,
    /// It does not lead.
    Follower,
    /// It leads and refuses.
    Refuses,
}

impl ControlHandler for Instance {
    fn deliver(&self, _: Vec<Message>) {}

    async fn ask(&self, _: ControlCall) -> Result<ControlReply, ControlError> {
        match self {
            Instance::Silent => std::future::pending().await,
            Instance::Follower => Err(ControlError::NotLeader { leader: None }),
            Instance::Refuses => Ok(OVERLOADED),
        }
    }
}

/// The outcome of a submission through a gateway that calls `first` and then an instance
/// that refuses. The instances listen on 127.`net`.0.1 and 2.
async fn submit(net: u8, first: Instance) -> Result<ControlReply, AskError> {
    let ip = |at| Ipv4Addr::new(127, net, 0, at);
    let bind = |at, port| PeerListener::bind(SocketAddr::new(ip(at).into(), port));
    let second = bind(2, 0).await.expect("a free port");
    let port = second.local_addr().port();
    let listener = bind(1, port).await.expect("a free port");
    let serving = [
        listener.serve_control(Arc::new(first), Arc::default()),
        second.serve_control(Arc::new(Instance::Refuses), Arc::default()),
    ];
    let gateway = Gateway::open(GatewayConfig {
        // A gateway begins with the second seed.
        seeds: [2, 1].map(|at| PeerAddressing::member_id(ip(at))).into(),
        addressing: PeerAddressing { port },
        metrics: Metrics::default(),
        events: EventLog::disabled(),
    });
    // The links connect in the background.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let call = ControlCall::SubmitTo {
        queue: "q".into(),
        id: JobId(1),
        spec: Arc::new(JobSpec {
            specification: "".into(),
            steps: vec![StepSpec::default()],
            repeat: None,
        }),
    };
    let answer = gateway.ask(call, TIMEOUT).await;
    serving.iter().for_each(tokio::task::JoinHandle::abort);
    answer
}

/// Guards against an untrue refusal: the instance that did not answer may have stored
/// the job.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_after_an_attempt_without_answer_is_unknown() {
    assert_eq!(submit(91, Instance::Silent).await, Err(AskError::Unknown));
}

/// Guards against answering *unknown* although no instance can have stored the job.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_after_a_call_to_a_follower_is_passed_on() {
    assert_eq!(submit(92, Instance::Follower).await, Ok(OVERLOADED));
}
