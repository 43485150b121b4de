//! A control with an in-memory table of keys that can simulate failures.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use cleat_entry::{ClaimError, Control};
use cleat_world::{ClaimKey, KeyAnswer, KeyTable, KeyTerms, SettleKey, Settlement};

/// The behaviour of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    Works,
    /// Fails without any effect.
    Refuses,
    /// Takes effect, but its result is lost.
    LosesReply,
    /// Has no effect and never returns.
    Hangs,
}

pub struct FakeControl {
    pub in_service: AtomicBool,
    pub claims: AtomicU32,
    pub claim_behaviour: Mutex<Behaviour>,
    pub settle_behaviour: Mutex<Behaviour>,
    pub look_up_behaviour: Mutex<Behaviour>,
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
            claim_behaviour: Mutex::new(Behaviour::Works),
            settle_behaviour: Mutex::new(Behaviour::Works),
            look_up_behaviour: Mutex::new(Behaviour::Works),
            settlements: Mutex::default(),
            table: Mutex::default(),
            terms: Mutex::default(),
            last_digest: Mutex::default(),
            started: Instant::now(),
        }
    }
}

impl FakeControl {
    /// The settlements, in the order in which they were made.
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
        let behaviour = *self.claim_behaviour.lock().unwrap();
        // Like a quorum write, the call takes effect after a delay.
        tokio::time::sleep(Duration::from_millis(2)).await;
        if behaviour == Behaviour::Refuses {
            return Err(ClaimError::NotClaimed);
        }
        if behaviour == Behaviour::Hangs {
            std::future::pending::<()>().await;
        }
        let terms = *self.terms.lock().unwrap();
        let answer = self
            .table
            .lock()
            .unwrap()
            .claim(claim, terms, self.now_ms());
        if behaviour == Behaviour::LosesReply {
            return Err(ClaimError::OutcomeUnknown);
        }
        Ok(answer)
    }

    async fn settle(&self, settle: SettleKey) -> Result<KeyAnswer, ClaimError> {
        let behaviour = *self.settle_behaviour.lock().unwrap();
        tokio::time::sleep(Duration::from_millis(2)).await;
        if behaviour == Behaviour::Refuses {
            return Err(ClaimError::NotClaimed);
        }
        self.settlements.lock().unwrap().push(settle.clone());
        let answer = self.table.lock().unwrap().settle(settle);
        if behaviour == Behaviour::LosesReply {
            return Err(ClaimError::OutcomeUnknown);
        }
        Ok(answer)
    }

    async fn look_up(&self, key: &str, digest: u64) -> Result<Option<KeyAnswer>, ClaimError> {
        let behaviour = *self.look_up_behaviour.lock().unwrap();
        tokio::time::sleep(Duration::from_millis(2)).await;
        match behaviour {
            Behaviour::Works => Ok(self.table.lock().unwrap().look_up(key, digest)),
            Behaviour::Hangs => std::future::pending().await,
            Behaviour::Refuses | Behaviour::LosesReply => Err(ClaimError::OutcomeUnknown),
        }
    }
}
