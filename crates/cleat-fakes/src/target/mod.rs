//! A stand-in target: an HTTP/1.1 server that counts what it gets, answers as
//! it is asked to, faults included, and announces itself.

mod announce;
mod answer;
mod behaviour;
mod counters;
mod fault;
mod options;
mod serve;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use http::HeaderValue;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

pub use answer::{NAME_HEADER, REQUEST_ID_HEADER};
pub use behaviour::{Behaviour, Fault};
pub use counters::TargetCounts;
pub use options::TargetOptions;

use crate::FakeError;
use crate::error::{BindSnafu, RequestSnafu};
use counters::Counters;

/// How long a target that left still takes requests that are under way.
const LEAVE_GRACE: Duration = Duration::from_secs(2);

/// The life of a target, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Serving,
    Leaving,
    Stopping,
}

/// What the connections of one target share.
struct Shared {
    options: TargetOptions,
    name_header: HeaderValue,
    counters: Arc<Counters>,
    behaviour: ArcSwap<Behaviour>,
}

/// A running stand-in target. Dropping it breaks its connections.
pub struct StandInTarget {
    address: SocketAddr,
    shared: Arc<Shared>,
    phase: watch::Sender<Phase>,
    announced: watch::Receiver<u64>,
    refusal: watch::Receiver<Option<Box<str>>>,
    server: JoinHandle<()>,
    announcer: JoinHandle<()>,
}

impl StandInTarget {
    /// Listens, serves, and announces itself if there is somebody to tell.
    ///
    /// # Errors
    /// [`FakeError::Bind`], or [`FakeError::Request`] for a name that is no
    /// header value.
    pub async fn bind(options: TargetOptions) -> Result<StandInTarget, FakeError> {
        let address = options.bind;
        let listener = TcpListener::bind(address)
            .await
            .context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        let name_header = HeaderValue::from_str(&options.name)
            .map_err(http::Error::from)
            .context(RequestSnafu)?;
        let (phase, phase_rx) = watch::channel(Phase::Serving);
        let (announced_tx, announced) = watch::channel(0);
        let (refusal_tx, refusal) = watch::channel(None);
        let announcer = announce::keep_announced(
            options.clone(),
            address,
            phase_rx.clone(),
            announced_tx,
            refusal_tx,
        );
        let shared = Arc::new(Shared {
            options,
            name_header,
            counters: Arc::default(),
            behaviour: ArcSwap::default(),
        });
        let server = serve::serve(listener, Arc::clone(&shared), phase_rx);
        Ok(StandInTarget {
            address,
            shared,
            phase,
            announced,
            refusal,
            server: tokio::spawn(server),
            announcer: tokio::spawn(announcer),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it has seen so far.
    pub fn counts(&self) -> TargetCounts {
        self.shared.counters.counts()
    }

    /// How often the request with this `Request-Id`, or without one this
    /// `Idempotency-Key`, reached it.
    pub fn runs(&self, id: &str) -> u64 {
        self.shared.counters.runs(id)
    }

    /// How it answers from now on, where the query does not say otherwise.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.behaviour.store(Arc::new(behaviour));
    }

    /// Why the last announcement that failed did so.
    pub fn last_refusal(&self) -> Option<Box<str>> {
        self.refusal.borrow().clone()
    }

    /// Waits until an instance has taken the announcement.
    ///
    /// # Errors
    /// [`FakeError::NotAnnounced`] after `limit`.
    pub async fn wait_announced(&self, limit: Duration) -> Result<(), FakeError> {
        let mut announced = self.announced.clone();
        let wait = announced.wait_for(|n| *n > 0);
        let taken = tokio::time::timeout(limit, wait).await;
        if matches!(taken, Ok(Ok(_))) {
            return Ok(());
        }
        let name = self.shared.options.name.clone();
        Err(FakeError::NotAnnounced { name })
    }

    /// Withdraws itself and returns once an instance has taken that, or none
    /// did. Requests are still served.
    pub async fn leave(&mut self) {
        self.phase.send_replace(Phase::Leaving);
        if !self.announcer.is_finished() {
            let _ = (&mut self.announcer).await;
        }
        self.shared.counters.leave();
    }

    /// A graceful shutdown: leaves, serves 2 s longer if it was announced,
    /// finishes the requests in progress, and returns the final counts.
    pub async fn stop(mut self) -> TargetCounts {
        self.leave().await;
        if *self.announced.borrow() > 0 {
            tokio::time::sleep(LEAVE_GRACE).await;
        }
        self.phase.send_replace(Phase::Stopping);
        let _ = (&mut self.server).await;
        self.counts()
    }
}

impl Drop for StandInTarget {
    /// As if its process were killed: no withdrawal, broken connections.
    fn drop(&mut self) {
        self.announcer.abort();
        self.server.abort();
    }
}
