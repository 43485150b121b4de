//! Handles on the connections of clients and on what they hold.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use snafu::Snafu;
use tokio::sync::Notify;
use tokio::time::timeout_at;

use super::counts::ClosureLog;
use super::table::{ConnectionKey, Holding, Phase, Signals, Table};
use super::{Closure, InboundCounts, InboundLimits};

/// How long a request waits for the memory of what was evicted.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(100);

/// All connections of clients to a process; a clone is another handle on them.
#[derive(Debug, Clone)]
pub struct Inbound(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limits: InboundLimits,
    /// Lock order: `table`, then `closures`.
    table: Mutex<Table>,
    closures: Mutex<ClosureLog>,
    /// Told when a connection is gone.
    gone: Notify,
    /// Told when memory is released.
    released: Notify,
}

/// There is no memory for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the memory for requests is full"))]
pub struct MemoryFull;

impl Inbound {
    /// No connections yet.
    pub fn new(limits: InboundLimits) -> Inbound {
        let table = Table::new(limits.bytes, limits.connections);
        Inbound(Arc::new(Shared {
            table: Mutex::new(table),
            closures: Mutex::default(),
            gone: Notify::new(),
            released: Notify::new(),
            limits,
        }))
    }

    /// The limits of each connection, and of all.
    pub fn limits(&self) -> &InboundLimits {
        &self.0.limits
    }

    /// Counts a new connection. If there are too many, others are closed for it.
    ///
    /// `None` if all are busy with requests, and none ends in time: it has to be closed.
    pub async fn admit(&self) -> Option<InboundConnection> {
        let deadline = tokio::time::Instant::now() + self.0.limits.admission_timeout;
        loop {
            let gone = self.0.gone.notified();
            if let Some(client) = self.try_admit() {
                return Some(client);
            }
            if timeout_at(deadline, gone).await.is_err() {
                self.record(Closure::ConnectionsFull, 1);
                return None;
            }
        }
    }

    /// Counts a new connection, however many there are.
    pub fn admit_anyway(&self) -> InboundConnection {
        let signals = Arc::<Signals>::default();
        let key = self.table().add_connection(&signals);
        self.connection(key, signals)
    }

    fn try_admit(&self) -> Option<InboundConnection> {
        let signals = Arc::<Signals>::default();
        let (key, evicted) = self.table().admit(&signals);
        self.record(Closure::Evicted, evicted);
        key.map(|key| self.connection(key, signals))
    }

    fn connection(&self, key: ConnectionKey, signals: Arc<Signals>) -> InboundConnection {
        InboundConnection(Arc::new(State {
            key,
            inbound: self.clone(),
            signals,
            guards: AtomicUsize::new(0),
            requests: AtomicU64::new(0),
        }))
    }

    /// What they hold, and what was closed.
    pub fn counts(&self) -> InboundCounts {
        let table = self.table();
        let (open, held_bytes) = (table.open(), table.held());
        drop(table);
        InboundCounts {
            open,
            most: self.0.limits.connections,
            held_bytes,
            most_bytes: self.0.limits.bytes,
            closures: self.closures().counts(),
        }
    }

    /// Counts closures for a cause, and logs them.
    fn record(&self, cause: Closure, count: usize) {
        if count == 0 {
            return;
        }
        let line = self.closures().record(cause, count as u64, Instant::now());
        if let Some(line) = line {
            log::warn!("inbound connections are cut off: {line}");
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.0.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn closures(&self) -> MutexGuard<'_, ClosureLog> {
        let closures = self.0.closures.lock();
        closures.unwrap_or_else(PoisonError::into_inner)
    }
}

/// One connection of a client, which counts until all handles on it are gone.
#[derive(Debug, Clone)]
pub struct InboundConnection(Arc<State>);

#[derive(Debug)]
struct State {
    key: ConnectionKey,
    inbound: Inbound,
    signals: Arc<Signals>,
    /// The number of [`RequestGuard`]s.
    guards: AtomicUsize,
    /// The number of requests begun.
    requests: AtomicU64,
}

impl Drop for State {
    fn drop(&mut self) {
        self.inbound.table().remove(self.key);
        self.inbound.0.gone.notify_one();
    }
}

impl InboundConnection {
    /// The limits of the connection.
    pub fn limits(&self) -> &InboundLimits {
        self.0.inbound.limits()
    }

    /// Waits until the connection has to be closed without an answer.
    pub async fn evicted(&self) {
        self.0.signals.close.notified().await;
    }

    /// Whether the connection has to be closed after the answer, if there is one.
    pub fn is_evicted(&self) -> bool {
        self.0.inbound.table().is_evicted(self.0.key)
    }

    /// Begins a request, whose head has arrived. It lasts until the last clone of the guard
    /// is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        self.0.requests.fetch_add(1, Ordering::Relaxed);
        self.set_phase(Phase::Active);
        RequestGuard::new(self.clone())
    }

    /// Whether a request is handled or its answer is sent.
    pub fn is_active(&self) -> bool {
        self.0.guards.load(Ordering::Relaxed) > 0
    }

    /// The number of requests begun.
    pub fn request_count(&self) -> u64 {
        self.0.requests.load(Ordering::Relaxed)
    }

    /// Begins to count memory, none yet.
    pub fn hold_nothing(&self) -> Held {
        Held {
            inbound: self.0.inbound.clone(),
            key: self.0.key,
            bytes: 0,
        }
    }

    /// Counts memory until the value returned is dropped.
    ///
    /// # Errors
    /// The memory is full, and nothing could be evicted for this.
    pub async fn hold(&self, bytes: usize) -> Result<Held, MemoryFull> {
        let mut held = self.hold_nothing();
        held.grow_to(bytes).await?;
        Ok(held)
    }

    /// As [`hold`](Self::hold), for what can't be refused any more.
    pub fn hold_anyway(&self, bytes: usize) -> Held {
        let mut held = self.hold_nothing();
        held.grow_anyway(bytes);
        held
    }

    /// Counts that the client is cut off.
    pub fn record(&self, cause: Closure) {
        self.0.inbound.record(cause, 1);
    }

    pub(super) fn begin_head(&self) {
        self.set_phase(Phase::Head);
    }

    /// Whether an answer waits for the client to read it.
    pub(super) fn set_unread(&self, is_unread: bool) {
        self.0.inbound.table().set_unread(self.0.key, is_unread);
    }

    pub(crate) fn begin_body(&self) {
        self.set_phase(Phase::Body);
    }

    /// Ends the reading of a body; fails if the connection was evicted meanwhile.
    pub(crate) fn end_body(&self) -> Result<(), MemoryFull> {
        self.set_phase(Phase::Active);
        match self.is_evicted() {
            true => Err(MemoryFull),
            false => Ok(()),
        }
    }

    /// Waits until a request whose body is read has to be refused.
    pub(crate) async fn refused(&self) {
        self.0.signals.refuse.notified().await;
    }

    fn set_phase(&self, phase: Phase) {
        self.0.inbound.table().set_phase(self.0.key, phase);
    }
}

/// Memory that counts until this is dropped, also beyond the end of its connection.
#[derive(Debug)]
pub struct Held {
    inbound: Inbound,
    key: ConnectionKey,
    bytes: usize,
}

impl Held {
    /// Counts more, if it is not as much yet. Waits until what was evicted for that is released.
    ///
    /// # Errors
    /// The memory is full, and nothing could be evicted for this.
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        let deadline = tokio::time::Instant::now() + EVICTION_TIMEOUT;
        let shared = self.inbound.0.clone();
        loop {
            let released = shared.released.notified();
            tokio::pin!(released);
            // Else a release between the look and the wait would be missed.
            released.as_mut().enable();
            match self.try_grow_to(bytes) {
                Holding::Held => return Ok(()),
                Holding::Wait if timeout_at(deadline, released).await.is_ok() => {}
                Holding::Wait | Holding::Full => {
                    self.inbound.record(Closure::MemoryFull, 1);
                    return Err(MemoryFull);
                }
            }
        }
    }

    /// As [`grow_to`](Self::grow_to), without waiting.
    pub(super) fn try_grow_to(&mut self, bytes: usize) -> Holding {
        let more = bytes.saturating_sub(self.bytes);
        if more == 0 {
            return Holding::Held;
        }
        let (holding, evicted) = self.inbound.table().hold(self.key, more);
        self.inbound.record(Closure::Evicted, evicted);
        if holding == Holding::Held {
            self.bytes += more;
        }
        holding
    }

    /// How much counts.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Counts no more than this.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        self.bytes -= less;
        self.release(less);
    }

    fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.inbound.table().release(self.key, bytes);
            self.inbound.0.released.notify_waiters();
        }
    }

    /// As [`grow_to`](Self::grow_to), for what can't be refused any more.
    pub fn grow_anyway(&mut self, bytes: usize) {
        let more = bytes.saturating_sub(self.bytes);
        if more > 0 {
            self.inbound.table().add(self.key, more);
            self.bytes += more;
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}

/// Marks a connection as busy with a request. The guards are counted in the connection,
/// because a flag for each request would need an allocation.
#[derive(Debug)]
pub struct RequestGuard(InboundConnection);

impl RequestGuard {
    fn new(client: InboundConnection) -> RequestGuard {
        client.0.guards.fetch_add(1, Ordering::Relaxed);
        RequestGuard(client)
    }
}

impl Clone for RequestGuard {
    fn clone(&self) -> RequestGuard {
        RequestGuard::new(self.0.clone())
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.0.0.guards.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.set_phase(Phase::Idle);
        }
    }
}
