//! The handle of a running entry.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};

use cleat_decide::Message;
use cleat_http::{Inbound, listen_for_clients};
use cleat_telemetry::Counters;
use cleat_world::World;
use indexmap::IndexMap;
use snafu::{ResultExt, Snafu};
use tokio::sync::mpsc;

use super::shared::{Phase, SharedState};
use super::{accept, drain, tick};
use crate::config::EntryConfig;
use crate::control::Control;
use crate::target::SlotMessage;

/// A running entry. Dropping it closes the listener and lets requests in
/// progress finish; [`Entry::drain`] also waits for them.
pub struct Entry<C: Control> {
    shared: Arc<SharedState<C>>,
    local_addr: SocketAddr,
    counters: Counters,
}

/// Why an entry could not start.
#[derive(Debug, Snafu)]
pub enum BindError {
    /// The listener could not be bound: another process uses the address, or it
    /// is not an address of this machine. Change `listen.callers` in the
    /// settings.
    #[snafu(display(
        "cannot listen for callers on {address}; free the address or correct listen.callers"
    ))]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl<C: Control> Entry<C> {
    /// Binds the listener and starts to serve requests. All services are
    /// unknown until the first call of [`Entry::update_routes`].
    ///
    /// # Errors
    /// [`BindError`] if the listener can't be bound.
    pub async fn bind(cfg: EntryConfig, control: Arc<C>) -> Result<Entry<C>, BindError> {
        Entry::bind_with_counters(cfg, control, &Counters::default()).await
    }

    /// Like [`Entry::bind`], but registers the metrics in `counters`, with
    /// names that start with `entry.`.
    ///
    /// # Errors
    /// [`BindError`] if the listener can't be bound.
    pub async fn bind_with_counters(
        cfg: EntryConfig,
        control: Arc<C>,
        counters: &Counters,
    ) -> Result<Entry<C>, BindError> {
        let address = cfg.listen;
        let listening = listen_for_clients(address);
        let listener = listening.context(ListenSnafu { address })?;
        let local_addr = listener.local_addr().context(ListenSnafu { address })?;
        let shared = Arc::new(SharedState::new(cfg, control, counters));
        accept::spawn(&shared, listener);
        tick::spawn(&shared);
        let counters = counters.clone();
        Ok(Entry {
            shared,
            local_addr,
            counters,
        })
    }

    /// The address that callers connect to.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// The connections of callers, whose limits other listeners of the process share.
    pub fn inbound(&self) -> &Inbound {
        &self.shared.inbound
    }

    /// Replaces the services and targets by those of `world`. After the call,
    /// no new request uses the previous ones. Cheap if neither has changed.
    pub fn update_routes(&self, world: &World) {
        self.shared.update_routes(world);
    }

    /// The queue of messages about slots to be sent to other entries, or `None`
    /// if it was already taken. While the messages are not sent, the entry only
    /// uses its own share of the slots.
    pub fn take_slot_messages(&self) -> Option<mpsc::Receiver<SlotMessage>> {
        let messages = self.shared.slot_messages.lock();
        messages.unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Handles a message from the entry `from` about the slots of `service`.
    pub fn handle_slot_message(&self, from: &str, service: &str, message: Message) {
        if let Some(route) = self.shared.routes().find(service) {
            route.state.handle_slot_message(from, message);
        }
    }

    /// Returns borrowed slots that are idle. If the result is `true`, the entry
    /// still has borrowed slots and the call must be repeated within a few tens
    /// of milliseconds.
    pub fn return_idle_slots(&self) -> bool {
        let routes = self.shared.routes();
        let mut borrowed = false;
        for route in routes.services.values() {
            borrowed |= route.state.return_idle_slots();
        }
        borrowed
    }

    /// The values of all metrics in the registry of this entry, by name.
    pub fn counters(&self) -> IndexMap<Box<str>, u64> {
        self.shared.update_gauges();
        self.counters.snapshot()
    }

    /// Shuts down gracefully. The entry reports that it is not ready, accepts
    /// requests that are already on their way for
    /// [`Limits::drain_delay`](crate::Limits::drain_delay), then stops
    /// accepting and waits until every request in progress has its response.
    pub async fn drain(&self) {
        drain::drain(&self.shared).await;
    }
}

impl<C: Control> Drop for Entry<C> {
    fn drop(&mut self) {
        self.shared.phase.send_replace(Phase::Closing);
    }
}
