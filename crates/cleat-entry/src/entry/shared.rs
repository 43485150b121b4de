//! What every request of an entry shares.

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, Guard};
use cleat_telemetry::Counters as Registry;
use cleat_world::{KeyTerms, World};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, Semaphore, mpsc, watch};
use tokio::time::Instant;

use super::work::{Work, WorkToken};
use crate::answer::Memory;
use crate::config::EntryConfig;
use crate::control::Control;
use crate::counters::Counters;
use crate::route::{Publisher, Routes};
use crate::service::ConnectTerms;
use crate::target::SlotMessage;
use crate::tries::KeysInHand;

/// Messages about slots that wait to be sent; more are lost, which only costs
/// time.
const SLOT_MESSAGES: usize = 1_024;

/// Times to come back, in seconds.
const LATER_SECS: Range<u64> = 1..4;

/// More look-ups of keys at once would only burden the leader.
const LOOK_UPS: usize = 64;

/// Where an entry stands on its way to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// It takes requests.
    Running,
    /// It is not ready any more, but still answers what comes, and closes each
    /// connection after its answer.
    Lingering,
    /// It takes no connection and closes unused ones.
    Closing,
}

/// The state of an entry.
pub(crate) struct Shared<C> {
    pub(crate) cfg: EntryConfig,
    pub(crate) control: Arc<C>,
    pub(crate) counters: Counters,
    pub(crate) answer_memory: Arc<Memory>,
    pub(crate) request_memory: Arc<Memory>,
    pub(crate) keys_in_hand: Arc<KeysInHand>,
    /// One permit for each look-up of a key under way.
    pub(crate) look_ups: Semaphore,
    pub(super) phase: watch::Sender<Phase>,
    pub(super) work: Arc<Work>,
    /// Wakes the ticker when a request begins to wait.
    pub(crate) waiting: Notify,
    /// What is to be said to other entries about slots, until it is taken.
    pub(super) slot_messages: Mutex<Option<mpsc::Receiver<SlotMessage>>>,
    routes: ArcSwap<Routes>,
    publisher: Mutex<Publisher>,
    random: AtomicU64,
    /// How many claims this life has made.
    claims: AtomicU64,
}

impl<C: Control> Shared<C> {
    pub(super) fn new(cfg: EntryConfig, control: Arc<C>, counters: &Registry) -> Shared<C> {
        let epoch = Instant::now();
        let (outbox, slot_messages) = mpsc::channel(SLOT_MESSAGES);
        Shared {
            control,
            counters: Counters::new(counters),
            answer_memory: Memory::new(cfg.limits.response_memory_bytes),
            request_memory: Memory::new(cfg.limits.request_memory_bytes),
            keys_in_hand: KeysInHand::new(cfg.limits.max_claims),
            look_ups: Semaphore::new(LOOK_UPS),
            phase: watch::Sender::new(Phase::Running),
            work: Arc::default(),
            waiting: Notify::new(),
            slot_messages: Mutex::new(Some(slot_messages)),
            routes: ArcSwap::default(),
            random: AtomicU64::new(cfg.seed),
            claims: AtomicU64::new(0),
            publisher: Mutex::new(Publisher::new(epoch, outbox)),
            cfg,
        }
    }

    pub(super) fn publish(&self, world: &World) {
        let publisher = self.publisher.lock();
        let mut publisher = publisher.unwrap_or_else(PoisonError::into_inner);
        if let Some(routes) =
            publisher.update(world, &self.cfg, self.control.incarnation_start_index())
        {
            self.routes.store(Arc::new(routes));
        }
    }

    pub(super) fn routes(&self) -> Guard<Arc<Routes>> {
        self.routes.load()
    }

    pub(super) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub(crate) fn key_terms(&self) -> KeyTerms {
        self.routes.load().keys
    }

    pub(crate) fn work_token(&self) -> WorkToken {
        self.work.begin()
    }

    pub(crate) fn connect_terms(&self) -> ConnectTerms {
        ConnectTerms {
            connect: self.cfg.limits.connect_timeout,
            idle: self.cfg.limits.idle_timeout,
        }
    }

    /// A number that no other claim of this life has.
    pub(crate) fn claim_number(&self) -> u64 {
        self.claims.fetch_add(1, Ordering::Relaxed)
    }

    /// Accounts a request that begins to wait.
    pub(crate) fn note_wait(&self) {
        self.counters.waited.incr();
        self.waiting.notify_one();
    }

    /// When a caller should come back if nothing better is known: spread, so
    /// that callers refused together do not return together.
    pub(super) fn later(&self) -> Duration {
        let state = self.random.fetch_add(1, Ordering::Relaxed);
        let choice =
            SmallRng::seed_from_u64(state).next_u64() % (LATER_SECS.end - LATER_SECS.start);
        Duration::from_secs(LATER_SECS.start + choice)
    }

    /// Brings the gauges up to date.
    pub(super) fn measure(&self) {
        let held = self.answer_memory.held() as u64;
        self.counters.answer_bytes.set(held);
    }
}
