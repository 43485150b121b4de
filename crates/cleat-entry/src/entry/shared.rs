//! State shared by all requests of an entry.

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, Guard};
use cleat_http::Inbound;
use cleat_telemetry::Counters as Registry;
use cleat_world::{KeyTerms, World};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, Semaphore, mpsc, watch};
use tokio::time::Instant;

use super::work::{WorkToken, WorkTracker};
use crate::attempts::HeldKeys;
use crate::config::EntryConfig;
use crate::control::Control;
use crate::counters::Counters;
use crate::response::MemoryBudget;
use crate::route::{RouteUpdater, Routes};
use crate::service::ConnectOptions;
use crate::target::SlotMessage;

/// The maximum number of queued messages about slots. Further messages are
/// dropped, which only delays the transfer of slots.
const SLOT_MESSAGE_QUEUE: usize = 1_024;

/// The range of the default `Retry-After`, in seconds.
const RETRY_AFTER_SECS: Range<u64> = 1..4;

/// The maximum number of concurrent lookups of keys. More would only load the
/// leader.
const MAX_CONCURRENT_LOOKUPS: usize = 64;

/// The phases of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// The entry accepts requests.
    Running,
    /// The entry reports that it is not ready. It still accepts requests, but
    /// closes each connection after its response.
    Draining,
    /// The entry accepts no connections and closes idle ones.
    Closing,
}

pub(crate) struct SharedState<C> {
    pub(crate) cfg: EntryConfig,
    pub(crate) control: Arc<C>,
    pub(crate) counters: Counters,
    pub(crate) response_memory: Arc<MemoryBudget>,
    pub(crate) request_memory: Arc<MemoryBudget>,
    /// The connections of callers.
    pub(super) inbound: Inbound,
    pub(crate) held_keys: Arc<HeldKeys>,
    /// One permit per concurrent lookup of a key.
    pub(crate) lookup_permits: Semaphore,
    pub(super) phase: watch::Sender<Phase>,
    pub(super) work: Arc<WorkTracker>,
    /// Wakes the ticker when a request starts to wait.
    pub(crate) waiter_added: Notify,
    /// The queue of messages to other entries about slots, until it is taken.
    pub(super) slot_messages: Mutex<Option<mpsc::Receiver<SlotMessage>>>,
    routes: ArcSwap<Routes>,
    route_updater: Mutex<RouteUpdater>,
    jitter_seed: AtomicU64,
    /// The number of claims made by this incarnation.
    claim_count: AtomicU64,
}

impl<C: Control> SharedState<C> {
    pub(super) fn new(cfg: EntryConfig, control: Arc<C>, counters: &Registry) -> SharedState<C> {
        let epoch = Instant::now();
        let (outbox, slot_messages) = mpsc::channel(SLOT_MESSAGE_QUEUE);
        SharedState {
            control,
            counters: Counters::new(counters),
            response_memory: MemoryBudget::new(cfg.limits.response_memory_bytes),
            request_memory: MemoryBudget::new(cfg.limits.request_memory_bytes),
            inbound: Inbound::new(cfg.limits.inbound.clone()),
            held_keys: HeldKeys::new(cfg.limits.max_claims),
            lookup_permits: Semaphore::new(MAX_CONCURRENT_LOOKUPS),
            phase: watch::Sender::new(Phase::Running),
            work: Arc::default(),
            waiter_added: Notify::new(),
            slot_messages: Mutex::new(Some(slot_messages)),
            routes: ArcSwap::default(),
            jitter_seed: AtomicU64::new(cfg.seed),
            claim_count: AtomicU64::new(0),
            route_updater: Mutex::new(RouteUpdater::new(epoch, outbox)),
            cfg,
        }
    }

    pub(super) fn update_routes(&self, world: &World) {
        let route_updater = self.route_updater.lock();
        let mut route_updater = route_updater.unwrap_or_else(PoisonError::into_inner);
        if let Some(routes) =
            route_updater.update(world, &self.cfg, self.control.incarnation_start_index())
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

    pub(crate) fn connect_options(&self) -> ConnectOptions {
        ConnectOptions {
            connect_timeout: self.cfg.limits.connect_timeout,
            idle_timeout: self.cfg.limits.idle_timeout,
        }
    }

    /// Returns a number that no other claim of this incarnation has.
    pub(crate) fn next_claim_number(&self) -> u64 {
        self.claim_count.fetch_add(1, Ordering::Relaxed)
    }

    /// Records that a request starts to wait.
    pub(crate) fn record_wait(&self) {
        self.counters.waited.incr();
        self.waiter_added.notify_one();
    }

    /// The `Retry-After` of problems without a computed one. It is random, so
    /// that callers rejected together don't retry together.
    pub(super) fn default_retry_after(&self) -> Duration {
        let state = self.jitter_seed.fetch_add(1, Ordering::Relaxed);
        let choice = SmallRng::seed_from_u64(state).next_u64()
            % (RETRY_AFTER_SECS.end - RETRY_AFTER_SECS.start);
        Duration::from_secs(RETRY_AFTER_SECS.start + choice)
    }

    pub(super) fn update_gauges(&self) {
        let held = self.response_memory.held() as u64;
        self.counters.response_bytes.set(held);
        self.counters.set_inbound(&self.inbound.counts());
    }
}
