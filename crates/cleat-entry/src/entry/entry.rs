//! The handle of a running entry.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};

use cleat_decide::Message;
use cleat_telemetry::Counters;
use cleat_world::World;
use indexmap::IndexMap;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::shared::{Phase, SharedState};
use super::{accept, drain, tick};
use crate::config::EntryConfig;
use crate::control::Control;
use crate::target::SlotMessage;

/// A running entry. Dropping it closes its listener and lets requests in
/// progress finish; [`Entry::drain`] also waits for them.
pub struct Entry<C: Control> {
    shared: Arc<SharedState<C>>,
    local_addr: SocketAddr,
    counters: Counters,
}

/// An entry that could not start.
#[derive(Debug, Snafu)]
pub enum BindError {
    /// The address can't be listened on: another process has it, or it is not
    /// of this machine. Change `listen.callers` in the settings.
    #[snafu(display(
        "cannot listen for callers on {address}; free the address or correct listen.callers"
    ))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
}

impl<C: Control> Entry<C> {
    /// Listens and serves. Every service is unknown until the first
    /// [`Entry::update_routes`].
    ///
    /// # Errors
    /// [`BindError`] if the address can't be listened on.
    pub async fn bind(cfg: EntryConfig, control: Arc<C>) -> Result<Entry<C>, BindError> {
        Entry::bind_with_counters(cfg, control, &Counters::default()).await
    }

    /// As [`Entry::bind`], counting in `counters` under names that begin with
    /// `entry.`.
    ///
    /// # Errors
    /// [`BindError`] if the address can't be listened on.
    pub async fn bind_with_counters(
        cfg: EntryConfig,
        control: Arc<C>,
        counters: &Counters,
    ) -> Result<Entry<C>, BindError> {
        let address = cfg.listen;
        let listening = TcpListener::bind(address).await;
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

    /// Where callers connect.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Brings the services and targets of `world` into force. When it returns,
    /// no request begins by what was before. Cheap if neither changed.
    pub fn update_routes(&self, world: &World) {
        self.shared.update_routes(world);
    }

    /// What this entry has to say to others about slots; `None` if it was taken
    /// before. While nobody sends it, the entry has its own part of the slots.
    pub fn take_slot_messages(&self) -> Option<mpsc::Receiver<SlotMessage>> {
        let messages = self.shared.slot_messages.lock();
        messages.unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Handles what the entry `from` says about the slots of `service`.
    pub fn handle_slot_message(&self, from: &str, service: &str, message: Message) {
        if let Some(route) = self.shared.routes().find(service) {
            route.state.handle_slot_message(from, message);
        }
    }

    /// Gives back borrowed slots that are idle. Says whether any is left; then
    /// it has to be called again within a few tens of milliseconds.
    pub fn return_idle_slots(&self) -> bool {
        let routes = self.shared.routes();
        let mut borrowed = false;
        for route in routes.services.values() {
            borrowed |= route.state.return_idle_slots();
        }
        borrowed
    }

    /// Every number of the registry it counts in, by name.
    pub fn counters(&self) -> IndexMap<Box<str>, u64> {
        self.shared.update_gauges();
        self.counters.snapshot()
    }

    /// Stops gracefully: not ready at once, lets what is on its way arrive
    /// ([`Limits::drain_delay`](crate::Limits::drain_delay)), then takes no more and
    /// returns when every request in progress has its answer.
    pub async fn drain(&self) {
        drain::drain(&self.shared).await;
    }
}

impl<C: Control> Drop for Entry<C> {
    fn drop(&mut self) {
        self.shared.phase.send_replace(Phase::Closing);
    }
}
