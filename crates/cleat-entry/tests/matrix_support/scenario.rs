//! When the fault of a cell is applied, and what the targets observed.

use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

use cleat_entry::{ClaimError, Control};
use cleat_world::{ClaimKey, KeyAnswer, SettleKey};
use tokio::sync::watch;

use crate::support::FakeControl;

/// The steps of a request, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// The instance received the head and half of the body.
    Received,
    /// The claim was committed, but its result has not arrived.
    Claimed,
    Queued,
    Connecting,
    /// The target read only the head.
    HeadSent,
    BodySent,
    AnswerHead,
    /// The target wrote half of the body.
    AnswerBody,
    /// The response is complete, but the settlement has not been committed.
    Settled,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    KillTarget,
    KillInstance,
    Reset,
    Freeze,
    BlackHole,
    Delay,
    Duplicate,
    Second,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Not idempotent, with an idempotency key.
    Keyed,
    Get,
}

#[derive(Debug, Clone, Copy)]
pub struct Cell {
    pub kind: Kind,
    pub step: Step,
    pub fault: Fault,
}

impl Cell {
    /// Whether a target has received the request.
    pub fn is_at_target(self) -> bool {
        (Step::HeadSent..=Step::AnswerBody).contains(&self.step)
    }

    /// Whether the second fault applies to the retry of the same request.
    pub fn faults_retry(self) -> bool {
        self.fault == Fault::Second && self.kind == Kind::Get && self.is_at_target()
    }

    /// Whether no target is alive at the time of the retry.
    pub fn kills_all_targets(self) -> bool {
        self.faults_retry() && self.step >= Step::AnswerHead
    }

    pub fn kills_instance(self) -> bool {
        self.fault == Fault::KillInstance || self.fault == Fault::Second && !self.faults_retry()
    }

    pub fn hangs(self) -> bool {
        matches!(self.fault, Fault::Freeze | Fault::BlackHole)
    }
}

pub struct Scenario {
    pub cell: Cell,
    /// The step at which the probe is paused for the fault, and how many times.
    planned: Mutex<(Step, u32)>,
    pub fault_count: AtomicU32,
    pub resume: watch::Sender<bool>,
    /// The target that received the probe last.
    pub probe_target: Mutex<usize>,
    /// Cloned by each exchange at a target.
    pub busy: Arc<()>,
    log: Mutex<Vec<String>>,
}

impl Scenario {
    pub fn new(cell: Cell) -> Scenario {
        let twice = cell.faults_retry() && !cell.kills_all_targets();
        let strikes = 1 + u32::from(twice);
        Scenario {
            cell,
            planned: Mutex::new((cell.step, strikes)),
            fault_count: AtomicU32::new(0),
            resume: watch::Sender::new(false),
            probe_target: Mutex::default(),
            busy: Arc::default(),
            log: Mutex::default(),
        }
    }

    /// Plans one more fault.
    pub fn plan_fault(&self, step: Step) {
        *self.planned.lock().unwrap() = (step, 1);
    }

    /// Called when the probe reaches `step`. If the fault is planned for this
    /// step, waits until it is applied and returns `true`.
    pub async fn pause_at(&self, step: Step) -> bool {
        match &mut *self.planned.lock().unwrap() {
            (planned, left) if *planned == step && *left > 0 => *left -= 1,
            _ => return false,
        }
        self.fault_count.fetch_add(1, SeqCst);
        self.resume
            .subscribe()
            .wait_for(|resume| *resume)
            .await
            .unwrap();
        true
    }

    pub fn record(&self, what: &str, id: &str) {
        self.log.lock().unwrap().push(format!("{what} {id}"));
    }

    /// How many times targets received the head of a request ("saw") or its
    /// complete body ("ran").
    pub fn count(&self, what: &str, id: &str) -> usize {
        let line = format!("{what} {id}");
        self.log
            .lock()
            .unwrap()
            .iter()
            .filter(|l| **l == line)
            .count()
    }
}

/// A control that pauses at the claim and settlement of the probe.
pub struct PausingControl {
    pub inner: FakeControl,
    pub scenario: Arc<Scenario>,
}

impl Control for PausingControl {
    fn in_service(&self) -> bool {
        self.inner.in_service()
    }

    async fn claim(&self, claim: ClaimKey) -> Result<KeyAnswer, ClaimError> {
        let answer = self.inner.claim(claim).await;
        self.scenario.pause_at(Step::Claimed).await;
        answer
    }

    async fn settle(&self, settle: SettleKey) -> Result<KeyAnswer, ClaimError> {
        self.scenario.pause_at(Step::Settled).await;
        self.inner.settle(settle).await
    }

    async fn look_up(&self, key: &str, digest: u64) -> Result<Option<KeyAnswer>, ClaimError> {
        self.inner.look_up(key, digest).await
    }
}
