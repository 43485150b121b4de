//! Measures the traffic of each member of an idle group: nine members, three of
//! them voters, in one process and without framing.
//!
//! Run with `cargo run --release -p cleat-quorum --example idle_traffic`.

use std::error::Error;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use cleat_quorum::{
    MemberConfig, MemberId, Message, Replica, ReplicaConfig, RestoreError, StateMachine, Transport,
};
use tokio::time::sleep;

const MEMBERS: u32 = 9;
const VOTERS: u32 = 3;
const SETTLE: Duration = Duration::from_secs(5);
const RUN: Duration = Duration::from_secs(10);

struct NullStateMachine;

impl StateMachine for NullStateMachine {
    fn apply(&mut self, _: u64, _: &[u8]) -> Box<[u8]> {
        Box::default()
    }

    fn snapshot(&self) -> Box<[u8]> {
        Box::default()
    }

    fn restore(&mut self, _: &[u8]) -> Result<(), RestoreError> {
        Ok(())
    }
}

#[derive(Default)]
struct Sent {
    bytes: AtomicU64,
    messages: AtomicU64,
}

type Group = Arc<OnceLock<Vec<Replica>>>;

struct CountingTransport {
    group: Group,
    sent: Arc<Sent>,
}

impl Transport for CountingTransport {
    fn send(&self, to: MemberId, message: Message) {
        let bytes = postcard::to_stdvec(&message).map_or(0, |encoded| encoded.len());
        self.sent.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.sent.messages.fetch_add(1, Ordering::Relaxed);
        if let Some(replicas) = self.group.get() {
            replicas[to.0 as usize].deliver(message);
        }
    }
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let group = Group::default();
    let member = |id| MemberConfig {
        id: MemberId(id),
        votes: id < VOTERS,
    };
    let (mut replicas, mut counters) = (Vec::new(), Vec::new());
    for id in 0..MEMBERS {
        let sent = Arc::new(Sent::default());
        counters.push(sent.clone());
        let members = (0..MEMBERS).map(member).collect();
        let cfg = ReplicaConfig::new(MemberId(id), members, rand::random());
        let transport = CountingTransport {
            group: group.clone(),
            sent,
        };
        replicas.push(Replica::spawn_in_memory(cfg, transport, NullStateMachine)?);
    }
    let _ = group.set(replicas);
    sleep(SETTLE).await;
    let read = |sent: &Arc<Sent>| {
        (
            sent.bytes.load(Ordering::Relaxed),
            sent.messages.load(Ordering::Relaxed),
        )
    };
    let before: Vec<_> = counters.iter().map(read).collect();
    sleep(RUN).await;
    println!("member  leads  bytes/s  messages/s");
    for (id, sent) in counters.iter().enumerate() {
        let (bytes, messages) = read(sent);
        let per_second = |count: u64| count as f64 / RUN.as_secs_f64();
        let leads = group.get().is_some_and(|all| {
            all[id]
                .status()
                .holds_leader_lease(cleat_quorum::BootTime::now())
        });
        println!(
            "{id:>6}  {leads:>5}  {:>7.0}  {:>10.1}",
            per_second(bytes - before[id].0),
            per_second(messages - before[id].1),
        );
    }
    Ok(())
}
