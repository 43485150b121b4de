//! Replicas on real journals, connected within the process.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cleat_log::Journal;
use cleat_quorum::{
    Limits, MemberConfig, MemberId, MemoryStore, Message, ProposeError, Recovery, Replica,
    ReplicaConfig, RestoreError, Role, StateMachine, Store, StoreError, Transport, Write,
};
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

const LIMIT: Duration = Duration::from_secs(20);

/// Keeps all commands; the answer to a command is how many came before it.
#[derive(Clone, Default)]
struct Commands(Arc<Mutex<Vec<Vec<u8>>>>);

impl Commands {
    fn all(&self) -> Vec<Vec<u8>> {
        self.0.lock().expect("not poisoned").clone()
    }
}

impl StateMachine for Commands {
    fn apply(&mut self, _: u64, command: &[u8]) -> Box<[u8]> {
        let mut commands = self.0.lock().expect("not poisoned");
        commands.push(command.to_vec());
        (commands.len() as u64 - 1).to_le_bytes().into()
    }

    fn snapshot(&self) -> Box<[u8]> {
        postcard::to_stdvec(&self.all()).expect("encodes").into()
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError> {
        let commands = postcard::from_bytes(data).map_err(RestoreError::new)?;
        *self.0.lock().expect("not poisoned") = commands;
        Ok(())
    }
}

#[derive(Clone, Default)]
struct Wires(Arc<Mutex<Vec<Option<Arc<Replica>>>>>);

impl Wires {
    fn get(&self, id: u32) -> Option<Arc<Replica>> {
        self.0
            .lock()
            .expect("not poisoned")
            .get(id as usize)?
            .clone()
    }

    fn set(&self, id: u32, replica: Option<Replica>) {
        self.0.lock().expect("not poisoned")[id as usize] = replica.map(Arc::new);
    }
}

impl Transport for Wires {
    fn send(&self, to: MemberId, message: Message) {
        if let Some(replica) = self.get(to.0) {
            replica.deliver(message);
        }
    }
}

struct Group {
    dir: TempDir,
    voters: u32,
    members: u32,
    wires: Wires,
    machines: Vec<Commands>,
}

impl Group {
    fn start(voters: u32, learners: u32) -> Group {
        let members = voters + learners;
        let wires = Wires::default();
        wires
            .0
            .lock()
            .expect("not poisoned")
            .resize(members as usize, None);
        let dir = tempfile::tempdir().expect("a folder");
        let machines = vec![Commands::default(); members as usize];
        let mut group = Group {
            dir,
            voters,
            members,
            wires,
            machines,
        };
        for id in 0..members {
            group.spawn(id);
        }
        group
    }

    fn config(&self, id: u32) -> ReplicaConfig {
        let member = |id| MemberConfig {
            id: MemberId(id),
            votes: id < self.voters,
        };
        let members = (0..self.members).map(member).collect();
        let limits = Limits {
            compact_after_entries: 20,
            retained_entries: 5,
            ..Limits::default()
        };
        ReplicaConfig::new(MemberId(id), members, rand::random()).with_limits(limits)
    }

    fn folder(&self, id: u32) -> Box<Path> {
        self.dir.path().join(format!("e{id}")).into()
    }

    fn spawn(&mut self, id: u32) {
        let machine = Commands::default();
        self.machines[id as usize] = machine.clone();
        let (cfg, wires) = (self.config(id), self.wires.clone());
        let replica = if id < self.voters {
            let disk = Journal::open(&self.folder(id), "e").expect("the journal opens");
            Replica::spawn(cfg, disk, wires, machine)
        } else {
            Replica::spawn_in_memory(cfg, wires, machine)
        };
        self.wires
            .set(id, Some(replica.expect("the replica starts")));
    }

    /// Ends a member without a word to the others.
    async fn kill(&self, id: u32) {
        let Some(replica) = self.wires.get(id) else {
            return;
        };
        self.wires.set(id, None);
        drop(replica);
    }

    async fn reopen(&mut self, id: u32) {
        // The disk thread of the last incarnation may still hold the folder's lock.
        let folder = self.folder(id);
        until(|| Journal::open(&folder, "e").is_ok()).await;
        self.spawn(id);
    }

    fn replica(&self, id: u32) -> Arc<Replica> {
        self.wires.get(id).expect("the member runs")
    }

    fn leader(&self) -> Option<u32> {
        let leads = |id: &u32| {
            let replica = self.wires.get(*id);
            replica.is_some_and(|replica| {
                let status = replica.status();
                status.is_leader() && status.in_service(cleat_quorum::BootTime::now())
            })
        };
        (0..self.members).find(leads)
    }

    async fn propose(&self, command: &str) -> Result<u64, ProposeError> {
        until(|| self.leader().is_some()).await;
        let leader = self.leader().expect("a leader");
        let applied = self
            .replica(leader)
            .propose(command.as_bytes().into())
            .await?;
        Ok(applied.index)
    }

    /// Proposes until the outcome is known.
    async fn insist(&self, command: &str) -> u64 {
        loop {
            if let Ok(index) = self.propose(command).await {
                return index;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn wait_applied(&self, id: u32, index: u64) {
        let waited = self.replica(id).wait_applied(index, LIMIT).await;
        waited.expect("the entry is applied");
    }
}

async fn until(condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(LIMIT, poll)
        .await
        .expect("the condition comes true");
}

#[tokio::test]
async fn propose_single_member() {
    let group = Group::start(1, 0);
    let first = group.insist("a").await;
    let applied = group
        .replica(0)
        .propose(b"b".as_slice().into())
        .await
        .expect("applied");
    assert_eq!(
        (applied.index, &*applied.response),
        (first + 1, &1u64.to_le_bytes()[..])
    );
    let read = group.replica(0).read_index().await.expect("a read");
    assert!(read >= applied.index);
    group
        .replica(0)
        .wait_in_force(applied.index, LIMIT)
        .await
        .expect("in force");
    group.replica(0).stop().await;
    let stopped = group.replica(0).propose(b"c".as_slice().into()).await;
    assert_eq!(stopped, Err(ProposeError::Stopped));
    assert!(
        !group
            .replica(0)
            .status()
            .in_service(cleat_quorum::BootTime::now())
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn propose_survives_the_leader() {
    let mut group = Group::start(3, 1);
    let mut acknowledged = Vec::new();
    for round in 0..3 {
        for step in 0..15 {
            let command = format!("{round}.{step}");
            group.insist(&command).await;
            acknowledged.push(command);
        }
        let leader = group.leader().expect("a leader");
        let other = (leader + 1) % 3;
        let refused = group.replica(other).propose(b"x".as_slice().into()).await;
        assert!(
            matches!(refused, Err(ProposeError::NotLeader { .. })),
            "{refused:?}"
        );
        group.kill(leader).await;
        let index = group.insist(&format!("{round}.after")).await;
        acknowledged.push(format!("{round}.after"));
        if round == 1 {
            until(|| std::fs::remove_dir_all(group.folder(leader)).is_ok()).await;
        }
        group.reopen(leader).await;
        for id in 0..group.members {
            group.wait_applied(id, index).await;
        }
    }
    let index = group.insist("last").await;
    let leader = group.leader().expect("a leader");
    group
        .replica(leader)
        .wait_in_force(index, LIMIT)
        .await
        .expect("in force everywhere");
    until(|| (0..3).all(|id| group.replica(id).status().role() != Role::Learner)).await;
    let expected = group.machines[leader as usize].all();
    for command in &acknowledged {
        assert!(
            expected.iter().any(|found| found == command.as_bytes()),
            "{command} is lost"
        );
    }
    for id in 0..group.members {
        group.wait_applied(id, index).await;
        assert_eq!(group.machines[id as usize].all(), expected, "member {id}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_hands_the_lead_over() {
    let group = Group::start(3, 1);
    group.insist("a").await;
    let leader = group.leader().expect("a leader");
    let old = group.replica(leader);
    let term = old.status().term();
    old.stop().await;
    // It ends only after another member leads, in a later term.
    assert!(old.status().term() > term);
    let refused = old.propose(b"b".as_slice().into()).await;
    assert_eq!(refused, Err(ProposeError::Stopped));
    group.wires.set(leader, None);
    let index = group.insist("b").await;
    for id in (0..group.members).filter(|id| *id != leader) {
        group.wait_applied(id, index).await;
        let commands = group.machines[id as usize].all();
        assert_eq!(commands, [b"a", b"b"], "member {id}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn propose_without_quorum() {
    let group = Group::start(3, 0);
    group.insist("a").await;
    let leader = group.leader().expect("a leader");
    for id in (0..3).filter(|id| *id != leader) {
        group.kill(id).await;
    }
    let replica = group.replica(leader);
    let lost = replica.propose(b"b".as_slice().into()).await;
    // On a busy machine the leader may notice before it appends.
    let unconfirmed = matches!(
        lost,
        Err(ProposeError::OutcomeUnknown | ProposeError::NoQuorum)
    );
    assert!(unconfirmed, "{lost:?}");
    let refused = replica.propose(b"c".as_slice().into()).await;
    let known = matches!(refused, Err(ProposeError::NotLeader { leader: None }));
    assert!(known, "{refused:?}");
    until(|| !replica.status().in_service(cleat_quorum::BootTime::now())).await;
}

struct FailingStore;

impl Store for FailingStore {
    fn write(&mut self, write: &Write) -> Result<(), StoreError> {
        MemoryStore.write(write)
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        Err(StoreError::new(std::io::Error::other("no space")))
    }
}

#[tokio::test]
async fn spawn_with_failing_store_stops() {
    let group = Group::start(1, 0);
    let recovery = Recovery {
        identity: 1,
        hard_state: Default::default(),
        snapshot: None,
        entries: Vec::new(),
    };
    let (cfg, wires) = (group.config(0), Wires::default());
    let replica =
        Replica::spawn_with_store(cfg, recovery, FailingStore, wires, Commands::default());
    let replica = replica.expect("the replica starts");
    timeout(LIMIT, replica.wait_stopped())
        .await
        .expect("the replica ends");
    assert!(!replica.status().in_service(cleat_quorum::BootTime::now()));
    let refused = replica.propose(b"a".as_slice().into()).await;
    assert_eq!(refused, Err(ProposeError::Stopped));
}
