//! Processor time that the answering thread spends on a call. Two sides in one process, each
//! with a runtime of one thread, talk over a loopback connection.
//!
//! Run with `cargo run --release -p cleat-link --example call_cost`.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use cleat_link::{
    ControlCall, ControlClient, ControlError, ControlHandler, ControlReply, JobView, Link,
    LinkConfig, PeerListener,
};
use cleat_quorum::Message;
use rustix::time::{ClockId, clock_gettime};
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinSet;
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(5);
const RUN: Duration = Duration::from_secs(4);
/// Calls made at the same time, and the pause between them.
const CALLS_AT_ONCE: u32 = 2;
const PAUSE: Duration = Duration::from_millis(2);

/// Answers at once; if asked who leads, with the processor time of its thread in
/// nanoseconds.
struct Answerer;

impl ControlHandler for Answerer {
    fn deliver(&self, _: Vec<Message>) {}

    async fn ask(&self, call: ControlCall) -> Result<ControlReply, ControlError> {
        Ok(match call {
            ControlCall::Leader => ControlReply::Waiting(thread_nanos()),
            _ => ControlReply::Job(JobView::Running),
        })
    }
}

fn thread_nanos() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    secs * 1_000_000_000 + nanos
}

fn runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Starts the answering side on a thread of its own.
fn serve() -> Result<SocketAddr, Box<dyn Error>> {
    let runtime = runtime()?;
    let listener = runtime.block_on(PeerListener::bind(([127, 0, 0, 1], 0).into()))?;
    let address = listener.local_addr();
    thread::spawn(move || {
        runtime.block_on(async {
            let _ = listener
                .serve_control(Arc::new(Answerer), Arc::default())
                .await;
        });
    });
    Ok(address)
}

/// The processor time of the answering thread.
async fn server_time(link: &Link<ControlClient>) -> Duration {
    loop {
        if let Ok(ControlReply::Waiting(nanos)) = link.ask(ControlCall::Leader, LIMIT).await {
            return Duration::from_nanos(nanos);
        }
        sleep(PAUSE).await;
    }
}

async fn measure(link: &Arc<Link<ControlClient>>) {
    let (begun, before) = (Instant::now(), server_time(link).await);
    let mut answered = 0;
    while begun.elapsed() < RUN {
        let mut calls = JoinSet::new();
        for _ in 0..CALLS_AT_ONCE {
            let link = link.clone();
            let call = ControlCall::Look {
                host: "jobs.example".into(),
                path: "/reports/0b5c6e1e-3f0c-4a44-9f0e-6f1d8f3f5a10".into(),
                key: None,
            };
            calls.spawn(async move { link.ask(call, LIMIT).await.is_ok() });
        }
        while let Some(done) = calls.join_next().await {
            answered += u32::from(done.is_ok_and(|answered| answered));
        }
        sleep(PAUSE).await;
    }
    let used = server_time(link).await.saturating_sub(before);
    let rate = f64::from(answered) / begun.elapsed().as_secs_f64();
    println!(
        "{rate:.0} calls/s: {:.2?} of the answering thread a call",
        used / answered.max(1)
    );
}

fn main() -> Result<(), Box<dyn Error>> {
    let cfg = LinkConfig {
        name: "answerer".into(),
        address: serve()?,
    };
    runtime()?.block_on(async {
        let link = Arc::new(Link::spawn(cfg, Arc::default()));
        for _ in 0..2 {
            measure(&link).await;
        }
    });
    Ok(())
}
