//! A replica with a slow disk, driven only by messages.

#[path = "group/recovery.rs"]
mod recovery;

use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;

use cleat_quorum::{
    Append, BOOTSTRAP_INDEX, Body, Entry, HardState, Limits, MemberConfig, MemberId, Message,
    Payload, Recovery, Replica, ReplicaConfig, RestoreError, StateMachine, Store, StoreError,
    Transport, VoteRequest, Write,
};
use recovery::{GROUP, identity, recover};
use tokio::time::{sleep, timeout};

const TERM: u64 = 1;
const TIMEOUT: Duration = Duration::from_secs(20);

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

/// Each sync blocks until the test permits it.
struct GatedStore(mpsc::Receiver<()>);

impl Store for GatedStore {
    fn write(&mut self, _: &Write) -> Result<(), StoreError> {
        Ok(())
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        let _ = self.0.recv();
        Ok(())
    }
}

#[derive(Clone, Default)]
struct RecordingTransport(Arc<Mutex<Vec<Message>>>);

impl Transport for RecordingTransport {
    fn send(&self, _: MemberId, message: Message) {
        self.0.lock().expect("not poisoned").push(message);
    }
}

fn follower(compact_after_entries: u64) -> (ReplicaConfig, Recovery) {
    let members = (0..3).map(|id| MemberConfig {
        id: MemberId(id),
        votes: true,
    });
    let limits = Limits {
        compact_after_entries,
        ..Limits::default()
    };
    let cfg = ReplicaConfig::new(MemberId(1), members.collect(), 1).with_limits(limits);
    let mut recovery = Recovery {
        identity: identity(1),
        hard_state: HardState::default(),
        snapshot: None,
        entries: Vec::new(),
    };
    recover(&mut recovery, 3, TERM, &[]);
    (cfg, recovery)
}

fn message(from: u32, term: u64, body: Body) -> Message {
    Message {
        group: GROUP,
        from: MemberId(from),
        to: MemberId(1),
        term,
        body,
    }
}

/// An append of one entry after `index`, which is committed.
fn append(index: u64) -> Message {
    let entry = Entry {
        index: index + 1,
        term: TERM,
        payload: Payload::Noop,
    };
    let append = Append {
        round: index,
        prev_index: index,
        prev_term: if index == BOOTSTRAP_INDEX { 0 } else { TERM },
        commit: index,
        echo: None,
        entries: vec![entry],
    };
    message(0, TERM, Body::Append(append))
}

/// A snapshot becomes due in the step that writes an entry, while the disk is
/// busy. The member must count both the entry and the snapshot as synced;
/// otherwise it would never vote again. A step is the core's handling of one
/// event.
#[tokio::test]
async fn step_snapshot_during_slow_sync() {
    let (cfg, recovery) = follower(1);
    let (allow, gate) = mpsc::channel();
    let sent = RecordingTransport::default();
    let replica = Replica::spawn_with_store(
        cfg,
        recovery,
        GatedStore(gate),
        sent.clone(),
        NullStateMachine,
    );
    let replica = replica.expect("the replica starts");
    for index in BOOTSTRAP_INDEX..BOOTSTRAP_INDEX + 3 {
        replica.deliver(append(index));
        let applied = replica.wait_applied(index, TIMEOUT).await;
        applied.expect("what is committed is applied");
    }
    for _ in 0..20 {
        allow.send(()).expect("the disk thread still has its store");
    }
    let request_pre_vote = || {
        let req = VoteRequest {
            pre: true,
            transfer: false,
            last_index: BOOTSTRAP_INDEX + 3,
            last_term: TERM,
            voter_identity: identity(1),
        };
        replica.deliver(message(2, TERM + 1, Body::VoteRequest(req)));
    };
    let voted = async {
        let granted = |message: &Message| matches!(&message.body, Body::VoteReply(r) if r.granted);
        while !sent.0.lock().expect("not poisoned").iter().any(granted) {
            request_pre_vote();
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TIMEOUT, voted)
        .await
        .expect("the member votes once it hears from no leader");
}
