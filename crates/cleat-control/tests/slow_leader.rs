//! What a gateway makes of a leader that is overloaded, so that its answers come late.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cleat_control::{Gateway, GatewayConfig, Metrics, PeerAddressing};
use cleat_jobs::{JobId, JobSpec, StepSpec};
use cleat_link::{AskError, ControlCall, ControlError, ControlHandler, ControlReply, PeerListener};
use cleat_quorum::Message;
use cleat_telemetry::EventLog;
use tokio::time::sleep;

/// The time limit of a call, as callers have it.
const TIMEOUT: Duration = Duration::from_millis(2_900);
/// How long the overloaded leader takes for each call: longer than a gateway waits
/// before it repeats a call.
const ANSWER_DELAY: Duration = Duration::from_millis(900);

/// A leader that answers each call late, and counts the calls that it receives.
#[derive(Clone)]
struct SlowLeader {
    reply: ControlReply,
    calls: Arc<AtomicUsize>,
}

impl SlowLeader {
    fn new(reply: ControlReply) -> SlowLeader {
        SlowLeader {
            reply,
            calls: Arc::default(),
        }
    }
}

impl ControlHandler for SlowLeader {
    fn deliver(&self, _: Vec<Message>) {}

    async fn ask(&self, _: ControlCall) -> Result<ControlReply, ControlError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        sleep(ANSWER_DELAY).await;
        Ok(self.reply.clone())
    }
}

/// A gateway with one control instance, which listens on 127.`net`.0.1.
async fn gateway(net: u8, leader: SlowLeader) -> Gateway {
    let ip = Ipv4Addr::new(127, net, 0, 1);
    let listener = PeerListener::bind(SocketAddr::new(ip.into(), 0)).await;
    let listener = listener.expect("a free port");
    let port = listener.local_addr().port();
    listener.serve_control(Arc::new(leader), Arc::default());
    let gateway = Gateway::open(GatewayConfig {
        seeds: vec![PeerAddressing::member_id(ip)],
        addressing: PeerAddressing { port },
        metrics: Metrics::default(),
        events: EventLog::disabled(),
    });
    // The link connects in the background.
    sleep(Duration::from_millis(300)).await;
    gateway
}

/// Guards against giving up each attempt shortly before its answer: the leader then carries
/// out every attempt, and the caller gets no answer to any of them.
#[tokio::test(flavor = "multi_thread")]
async fn late_answer_of_an_overloaded_leader_is_used() {
    let leader = SlowLeader::new(ControlReply::Leading);
    let gateway = gateway(140, leader.clone()).await;
    let answer = gateway.ask(ControlCall::Leader, TIMEOUT).await;
    let calls = leader.calls.load(Ordering::Relaxed);
    assert_eq!(
        answer,
        Ok(ControlReply::Leading),
        "the leader received {calls} calls"
    );
}

/// Guards against passing on a refusal that came late: another attempt may have stored the job.
#[tokio::test(flavor = "multi_thread")]
async fn late_refusal_of_an_overloaded_leader_is_unknown() {
    let leader = SlowLeader::new(ControlReply::NoSuchQueue);
    let gateway = gateway(141, leader).await;
    let submission = ControlCall::SubmitTo {
        queue: "q".into(),
        id: JobId(1),
        spec: Arc::new(JobSpec {
            specification: "".into(),
            steps: vec![StepSpec::default()],
            repeat: None,
        }),
    };
    let answer = gateway.ask(submission, TIMEOUT).await;
    assert_eq!(answer, Err(AskError::Unknown));
}
