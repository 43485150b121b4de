//! A stand-in platform: drains and reboots instances by request, once for
//! each token, and records every effect.

mod options;
mod serve;
mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

pub use options::PlatformOptions;
pub use state::{EffectKind, RecordedEffect};

use crate::FakeError;
use crate::error::BindSnafu;
use state::State;

/// What the connections share.
struct Shared {
    state: Mutex<State>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running stand-in platform, until it is dropped.
pub struct StandInPlatform {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: JoinHandle<()>,
}

impl StandInPlatform {
    /// Listens and serves `PUT /instances/NAME/drain` and `…/reboot` with
    /// `{"token": TEXT, "term": N}`, and `GET /effects`.
    ///
    /// # Errors
    /// [`FakeError::Bind`]
    pub async fn bind(options: PlatformOptions) -> Result<StandInPlatform, FakeError> {
        let address = options.bind;
        let listener = TcpListener::bind(address).await;
        let listener = listener.context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(options)),
        });
        let server = tokio::spawn(serve::serve(listener, Arc::clone(&shared)));
        Ok(StandInPlatform {
            address,
            shared,
            server,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Every effect in the order in which they began, one for each token.
    pub fn effects(&self) -> Vec<RecordedEffect> {
        self.shared.state().effects()
    }

    /// How often the instance was rebooted.
    pub fn boots(&self, instance: &str) -> usize {
        let effects = self.effects();
        let reboots = effects
            .iter()
            .filter(|effect| effect.kind == EffectKind::Reboot && &*effect.instance == instance);
        reboots.count()
    }

    /// Whether the instance is down for a reboot.
    pub fn is_down(&self, instance: &str) -> bool {
        self.shared.state().is_down(instance)
    }

    /// Loses the next `count` answers after their effect has begun.
    pub fn lose_answers(&self, count: usize) {
        self.shared.state().lose_answers(count);
    }

    /// Lets reboots of the instance fail from now on, or succeed again.
    pub fn break_reboots(&self, instance: &str, broken: bool) {
        self.shared.state().break_reboots(instance, broken);
    }
}

impl Drop for StandInPlatform {
    fn drop(&mut self) {
        self.server.abort();
    }
}
