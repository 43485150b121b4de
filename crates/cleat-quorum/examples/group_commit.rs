//! Measures the commit rate and latency for different numbers of concurrent
//! proposers. The group has three voters with journals, all in one process.
//!
//! Run with `cargo run --release -p cleat-quorum --example group_commit --
//! FOLDER`. The folder determines which disk is measured.

use std::env;
use std::error::Error;
use std::path::Path;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use cleat_log::Journal;
use cleat_quorum::{
    MemberConfig, MemberId, Message, Replica, ReplicaConfig, RestoreError, StateMachine, Transport,
};
use tokio::task::JoinSet;
use tokio::time::sleep;

const VOTERS: u32 = 3;
const COMMAND_BYTES: usize = 256;
const RUN: Duration = Duration::from_secs(3);
const PROPOSERS: [usize; 6] = [1, 4, 16, 64, 256, 1024];

struct CommandCounter(u64);

impl StateMachine for CommandCounter {
    fn apply(&mut self, _: u64, _: &[u8]) -> Box<[u8]> {
        self.0 += 1;
        self.0.to_le_bytes().into()
    }

    fn snapshot(&self) -> Box<[u8]> {
        self.0.to_le_bytes().into()
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError> {
        let bytes = data.try_into().map_err(RestoreError::new)?;
        self.0 = u64::from_le_bytes(bytes);
        Ok(())
    }
}

type Group = Arc<OnceLock<Vec<Arc<Replica>>>>;

struct DirectTransport(Group);

impl Transport for DirectTransport {
    fn send(&self, to: MemberId, message: Message) {
        if let Some(replicas) = self.0.get() {
            replicas[to.0 as usize].deliver(message);
        }
    }
}

fn start(folder: &Path) -> Result<Vec<Arc<Replica>>, Box<dyn Error>> {
    let group = Group::default();
    let member = |id| MemberConfig {
        id: MemberId(id),
        votes: true,
    };
    let mut replicas = Vec::new();
    for id in 0..VOTERS {
        let name = format!("e{id}");
        let disk = Journal::open(&folder.join(&name), &name)?;
        let members = (0..VOTERS).map(member).collect();
        let cfg = ReplicaConfig::new(MemberId(id), members, rand::random());
        let replica = Replica::spawn(cfg, disk, DirectTransport(group.clone()), CommandCounter(0))?;
        replicas.push(Arc::new(replica));
    }
    let _ = group.set(replicas.clone());
    Ok(replicas)
}

async fn leader(replicas: &[Arc<Replica>]) -> Arc<Replica> {
    loop {
        if let Some(leader) = replicas.iter().find(|replica| {
            replica
                .status()
                .holds_leader_lease(cleat_quorum::BootTime::now())
        }) {
            return leader.clone();
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Proposes until the deadline and returns the latencies of the commits.
async fn propose(replica: Arc<Replica>, until: Instant) -> Vec<Duration> {
    let mut latencies = Vec::new();
    while Instant::now() < until {
        let begun = Instant::now();
        if replica.propose(vec![7; COMMAND_BYTES].into()).await.is_ok() {
            latencies.push(begun.elapsed());
        }
    }
    latencies
}

async fn measure(replicas: &[Arc<Replica>], proposers: usize) {
    let leader = leader(replicas).await;
    let begun = Instant::now();
    let tasks: JoinSet<_> = (0..proposers)
        .map(|_| propose(leader.clone(), begun + RUN))
        .collect();
    let mut latencies = tasks.join_all().await.concat();
    let took = begun.elapsed();
    latencies.sort_unstable();
    let rank = |percent: usize| latencies[(latencies.len() - 1) * percent / 100];
    let rate = latencies.len() as f64 / took.as_secs_f64();
    println!(
        "{proposers:>9} {rate:>11.0} {:>9.2?} {:>9.2?}",
        rank(50),
        rank(99)
    );
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let folder = env::args().nth(1).ok_or("usage: group_commit FOLDER")?;
    let replicas = start(Path::new(&folder))?;
    println!("proposers   commits/s       p50       p99");
    for proposers in PROPOSERS {
        measure(&replicas, proposers).await;
    }
    for replica in &replicas {
        replica.stop().await;
    }
    Ok(())
}
