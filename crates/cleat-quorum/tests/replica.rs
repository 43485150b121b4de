//! Replicas that store their state in real journals and are connected
//! in-process.

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

const TIMEOUT: Duration = Duration::from_secs(20);

/// Records all commands. The response to a command is the number of commands
/// before it.
#[derive(Clone, Default)]
struct CommandRecorder(Arc<Mutex<Vec<Vec<u8>>>>);

impl CommandRecorder {
    fn all(&self) -> Vec<Vec<u8>> {
        self.0.lock().expect("not poisoned").clone()
    }
}

impl StateMachine for CommandRecorder {
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
struct LocalTransport(Arc<Mutex<Vec<Option<Arc<Replica>>>>>);

impl LocalTransport {
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

impl Transport for LocalTransport {
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
    transport: LocalTransport,
    state_machines: Vec<CommandRecorder>,
}

impl Group {
    fn start(voters: u32, learners: u32) -> Group {
        let members = voters + learners;
        let transport = LocalTransport::default();
        transport
            .0
            .lock()
            .expect("not poisoned")
            .resize(members as usize, None);
        let dir = tempfile::tempdir().expect("temporary folder created");
        let state_machines = vec![CommandRecorder::default(); members as usize];
        let mut group = Group {
            dir,
            voters,
            members,
            transport,
            state_machines,
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
        let state_machine = CommandRecorder::default();
        self.state_machines[id as usize] = state_machine.clone();
        let (cfg, transport) = (self.config(id), self.transport.clone());
        let replica = if id < self.voters {
            let disk = Journal::open(&self.folder(id), "e").expect("the journal opens");
            Replica::spawn(cfg, disk, transport, state_machine)
        } else {
            Replica::spawn_in_memory(cfg, transport, state_machine)
        };
        self.transport
            .set(id, Some(replica.expect("the replica starts")));
    }

    /// Stops a member without releasing its lease or transferring leadership.
    async fn crash(&self, id: u32) {
        let Some(replica) = self.transport.get(id) else {
            return;
        };
        self.transport.set(id, None);
        drop(replica);
    }

    async fn restart(&mut self, id: u32) {
        // The disk thread of the previous incarnation may still hold the
        // folder's lock.
        let folder = self.folder(id);
        until(|| Journal::open(&folder, "e").is_ok()).await;
        self.spawn(id);
    }

    fn replica(&self, id: u32) -> Arc<Replica> {
        self.transport.get(id).expect("the member runs")
    }

    fn leader(&self) -> Option<u32> {
        let leads = |id: &u32| {
            let replica = self.transport.get(*id);
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

    /// Repeats the proposal until it is known to be applied.
    async fn propose_until_applied(&self, command: &str) -> u64 {
        loop {
            if let Ok(index) = self.propose(command).await {
                return index;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn wait_applied(&self, id: u32, index: u64) {
        let waited = self.replica(id).wait_applied(index, TIMEOUT).await;
        waited.expect("the entry is applied");
    }
}

async fn until(condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TIMEOUT, poll)
        .await
        .expect("the condition holds before the timeout");
}

#[tokio::test]
async fn propose_single_member() {
    let group = Group::start(1, 0);
    let first = group.propose_until_applied("a").await;
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
        .wait_in_force(applied.index, TIMEOUT)
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
async fn propose_survives_leader_crashes() {
    let mut group = Group::start(3, 1);
    let mut acknowledged = Vec::new();
    for round in 0..3 {
        for step in 0..15 {
            let command = format!("{round}.{step}");
            group.propose_until_applied(&command).await;
            acknowledged.push(command);
        }
        let leader = group.leader().expect("a leader");
        let other = (leader + 1) % 3;
        let rejected = group.replica(other).propose(b"x".as_slice().into()).await;
        assert!(
            matches!(rejected, Err(ProposeError::NotLeader { .. })),
            "{rejected:?}"
        );
        group.crash(leader).await;
        let index = group.propose_until_applied(&format!("{round}.after")).await;
        acknowledged.push(format!("{round}.after"));
        if round == 1 {
            until(|| std::fs::remove_dir_all(group.folder(leader)).is_ok()).await;
        }
        group.restart(leader).await;
        for id in 0..group.members {
            group.wait_applied(id, index).await;
        }
    }
    let index = group.propose_until_applied("last").await;
    let leader = group.leader().expect("a leader");
    group
        .replica(leader)
        .wait_in_force(index, TIMEOUT)
        .await
        .expect("in force everywhere");
    until(|| (0..3).all(|id| group.replica(id).status().role() != Role::Learner)).await;
    let expected = group.state_machines[leader as usize].all();
    for command in &acknowledged {
        assert!(
            expected.iter().any(|found| found == command.as_bytes()),
            "acknowledged command {command} was lost"
        );
    }
    for id in 0..group.members {
        group.wait_applied(id, index).await;
        assert_eq!(
            group.state_machines[id as usize].all(),
            expected,
            "member {id}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_transfers_leadership() {
    let group = Group::start(3, 1);
    group.propose_until_applied("a").await;
    let leader = group.leader().expect("a leader");
    let old = group.replica(leader);
    let term = old.status().term();
    old.stop().await;
    // The replica stops only after another member was elected in a later term.
    assert!(old.status().term() > term);
    let rejected = old.propose(b"b".as_slice().into()).await;
    assert_eq!(rejected, Err(ProposeError::Stopped));
    group.transport.set(leader, None);
    let index = group.propose_until_applied("b").await;
    for id in (0..group.members).filter(|id| *id != leader) {
        group.wait_applied(id, index).await;
        let commands = group.state_machines[id as usize].all();
        assert_eq!(commands, [b"a", b"b"], "member {id}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn propose_without_quorum() {
    let group = Group::start(3, 0);
    group.propose_until_applied("a").await;
    let leader = group.leader().expect("a leader");
    for id in (0..3).filter(|id| *id != leader) {
        group.crash(id).await;
    }
    let replica = group.replica(leader);
    let lost = replica.propose(b"b".as_slice().into()).await;
    // On a busy machine, the leader may lose contact to its majority before it
    // appends.
    let unconfirmed = matches!(
        lost,
        Err(ProposeError::OutcomeUnknown | ProposeError::NoQuorum)
    );
    assert!(unconfirmed, "{lost:?}");
    let rejected = replica.propose(b"c".as_slice().into()).await;
    let known = matches!(rejected, Err(ProposeError::NotLeader { leader: None }));
    assert!(known, "{rejected:?}");
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
    let (cfg, transport) = (group.config(0), LocalTransport::default());
    let replica = Replica::spawn_with_store(
        cfg,
        recovery,
        FailingStore,
        transport,
        CommandRecorder::default(),
    );
    let replica = replica.expect("the replica starts");
    timeout(TIMEOUT, replica.wait_stopped())
        .await
        .expect("the replica stops");
    assert!(!replica.status().in_service(cleat_quorum::BootTime::now()));
    let rejected = replica.propose(b"a".as_slice().into()).await;
    assert_eq!(rejected, Err(ProposeError::Stopped));
}
