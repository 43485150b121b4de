//! Consensus in one map, with faults.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use cleat_entry::{ClaimError, Control};
use cleat_world::{ClaimKey, KeyAnswer, KeyTable, KeyTerms, SettleKey, Settlement};

/// What a call comes to instead of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Script {
    Works,
    /// Nothing is changed.
    Refuses,
    /// It is changed, but the answer is lost.
    LosesAnswer,
    /// Neither.
    Hangs,
}

pub struct FakeControl {
    pub in_service: AtomicBool,
    pub claims: AtomicU32,
    pub claim_script: Mutex<Script>,
    pub settle_script: Mutex<Script>,
    pub look_up_script: Mutex<Script>,
    pub settlements: Mutex<Vec<SettleKey>>,
    pub table: Mutex<KeyTable>,
    pub terms: Mutex<KeyTerms>,
    pub last_digest: Mutex<Option<u64>>,
    started: Instant,
}

impl Default for FakeControl {
    fn default() -> Self {
        FakeControl {
            in_service: AtomicBool::new(true),
            claims: AtomicU32::new(0),
            claim_script: Mutex::new(Script::Works),
            settle_script: Mutex::new(Script::Works),
            look_up_script: Mutex::new(Script::Works),
            settlements: Mutex::default(),
            table: Mutex::default(),
            terms: Mutex::default(),
            last_digest: Mutex::default(),
            started: Instant::now(),
        }
    }
}

impl FakeControl {
    /// What was settled, in order.
    pub fn settled(&self) -> Vec<Settlement> {
        let settlements = self.settlements.lock().unwrap();
        settlements.iter().map(|s| s.settlement.clone()).collect()
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis().try_into().unwrap()
    }
}

impl Control for FakeControl {
    fn in_service(&self) -> bool {
        self.in_service.load(Ordering::SeqCst)
    }

    async fn claim(&self, claim: ClaimKey) -> Result<KeyAnswer, ClaimError> {
        self.claims.fetch_add(1, Ordering::SeqCst);
        *self.last_digest.lock().unwrap() = Some(claim.digest);
        let script = *self.claim_script.lock().unwrap();
        // As a quorum write: the rest happens after a while.
        tokio::time::sleep(Duration::from_millis(2)).await;
        if script == Script::Refuses {
            return Err(ClaimError::NotClaimed);
        }
        if script == Script::Hangs {
            std::future::pending::<()>().await;
        }
        let terms = *self.terms.lock().unwrap();
        let answer = self
            .table
            .lock()
            .unwrap()
            .claim(claim, terms, self.now_ms());
        if script == Script::LosesAnswer {
            return Err(ClaimError::OutcomeUnknown);
        }
        Ok(answer)
    }

    async fn settle(&self, settle: SettleKey) -> Result<KeyAnswer, ClaimError> {
        let script = *self.settle_script.lock().unwrap();
        tokio::time::sleep(Duration::from_millis(2)).await;
        if script == Script::Refuses {
            return Err(ClaimError::NotClaimed);
        }
        self.settlements.lock().unwrap().push(settle.clone());
        let answer = self.table.lock().unwrap().settle(settle);
        if script == Script::LosesAnswer {
            return Err(ClaimError::OutcomeUnknown);
        }
        Ok(answer)
    }

    async fn look_up(&self, key: &str, digest: u64) -> Result<Option<KeyAnswer>, ClaimError> {
        let script = *self.look_up_script.lock().unwrap();
        tokio::time::sleep(Duration::from_millis(2)).await;
        match script {
            Script::Works => Ok(self.table.lock().unwrap().look_up(key, digest)),
            Script::Hangs => std::future::pending().await,
            Script::Refuses | Script::LosesAnswer => Err(ClaimError::OutcomeUnknown),
        }
    }
}
