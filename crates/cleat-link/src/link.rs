//! The side that asks.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use cleat_quorum::Message;
use cleat_world::CommandBody;
use snafu::Snafu;
use tarpc::client::RpcError;
use tarpc::context;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::channel::Channel;
use crate::{
    ControlCall, ControlClient, ControlError, ControlReply, LinkTraffic, MemberReport, PeerClient,
    PeerError, Proposed, Renewal, RenewalOutcome, SlotMessage,
};

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the other side may take to accept a batch of messages; past it
/// the connection counts as dead and is opened anew.
const DELIVER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long the other side may take to answer an empty batch after a call had
/// no answer in time. A connection can go silent for good, with nothing to
/// show it; over 100 times a round trip between data centres (2.8 ms).
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// The pause before a broken connection is opened again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Messages that wait for the connection; more are dropped, since consensus
/// sends again what still matters.
const MESSAGE_QUEUE: usize = 256;

/// Where a link leads.
#[derive(Debug, Clone)]
pub struct LinkConfig {
    /// The other instance's name.
    pub name: Box<str>,
    /// Its address for peers.
    pub address: SocketAddr,
}

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CallError<E: std::error::Error + 'static = PeerError> {
    /// There is no connection, so the call was not sent. Try another
    /// instance, or again later.
    #[snafu(display("not connected to {name}"))]
    NotSent {
        /// The other instance.
        name: Box<str>,
    },
    /// The call may have arrived; no answer came in time.
    #[snafu(display("no answer from {name}"))]
    NoAnswer {
        /// The other instance.
        name: Box<str>,
    },
    /// The other instance answered that it could not.
    #[snafu(display("{name} refused: {source}"))]
    Refused {
        /// The other instance.
        name: Box<str>,
        /// Why.
        source: E,
    },
}

/// A connection to one other instance that is opened again when it breaks.
#[derive(Debug)]
pub struct Link<C = PeerClient> {
    name: Box<str>,
    messages: mpsc::Sender<Message>,
    client: Arc<ArcSwapOption<C>>,
    /// Told when a call had no answer.
    doubt: Arc<Notify>,
    task: JoinHandle<()>,
}

impl<C: Channel> Link<C> {
    /// Starts to connect and keeps connecting until the link is dropped.
    pub fn spawn(cfg: LinkConfig, traffic: Arc<LinkTraffic>) -> Link<C> {
        let (messages, rx) = mpsc::channel(MESSAGE_QUEUE);
        let client = Arc::new(ArcSwapOption::empty());
        let name = cfg.name.clone();
        let doubt = Arc::new(Notify::new());
        let runner = Runner {
            cfg,
            traffic,
            client: client.clone(),
            doubt: doubt.clone(),
            messages: rx,
        };
        let task = tokio::spawn(runner.run());
        Link {
            name,
            messages,
            client,
            doubt,
            task,
        }
    }

    /// The other instance's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Sends a consensus message without waiting; it may be lost.
    pub fn send(&self, message: Message) {
        // A full queue means the other side is slow or gone: dropping is safe.
        let _ = self.messages.try_send(message);
    }

    async fn call<T, E, F, Fut>(&self, limit: Duration, call: F) -> Result<T, CallError<E>>
    where
        E: std::error::Error + 'static,
        F: FnOnce(Arc<C>, context::Context) -> Fut,
        Fut: Future<Output = Result<Result<T, E>, RpcError>>,
    {
        let name = self.name.clone();
        let Some(client) = self.client.load_full() else {
            return Err(CallError::NotSent { name });
        };
        match call(client, context_for(limit)).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(source)) => Err(CallError::Refused { name, source }),
            Err(error) => {
                log::debug!("call to {name} failed: {error}");
                self.doubt.notify_one();
                Err(CallError::NoAnswer { name })
            }
        }
    }
}

impl Link<ControlClient> {
    /// See [`Control::ask`](crate::Control::ask).
    ///
    /// # Errors
    /// [`CallError`]; only `NoAnswer` and `OutcomeUnknown` may have changed
    /// anything.
    pub async fn ask(
        &self,
        call: ControlCall,
        limit: Duration,
    ) -> Result<ControlReply, CallError<ControlError>> {
        let ask = |c: Arc<ControlClient>, cx| async move { c.ask(cx, call).await };
        self.call(limit, ask).await
    }
}

impl Link<PeerClient> {
    /// See [`Peer::propose`](crate::Peer::propose).
    ///
    /// # Errors
    /// [`CallError`]; only `NoAnswer` and `OutcomeUnknown` may have changed
    /// anything.
    pub async fn propose(&self, body: CommandBody, limit: Duration) -> Result<Proposed, CallError> {
        let call = |c: Arc<PeerClient>, cx| async move { c.propose(cx, body).await };
        self.call(limit, call).await
    }

    /// See [`Peer::wait_in_force`](crate::Peer::wait_in_force).
    ///
    /// # Errors
    /// [`CallError`].
    pub async fn wait_in_force(&self, index: u64, limit: Duration) -> Result<(), CallError> {
        let call = |c: Arc<PeerClient>, cx| async move { c.wait_in_force(cx, index).await };
        self.call(limit, call).await
    }

    /// See [`Peer::read_index`](crate::Peer::read_index).
    ///
    /// # Errors
    /// [`CallError`].
    pub async fn read_index(&self, limit: Duration) -> Result<u64, CallError> {
        let call = |c: Arc<PeerClient>, cx| async move { c.read_index(cx).await };
        self.call(limit, call).await
    }

    /// See [`Peer::renew`](crate::Peer::renew).
    ///
    /// # Errors
    /// [`CallError`].
    pub async fn renew(
        &self,
        renewals: Vec<Renewal>,
        limit: Duration,
    ) -> Result<Vec<RenewalOutcome>, CallError> {
        let call = |c: Arc<PeerClient>, cx| async move { c.renew(cx, renewals).await };
        self.call(limit, call).await
    }

    /// See [`Peer::slots`](crate::Peer::slots). Messages that could not be
    /// sent or taken within `limit` are lost.
    pub async fn slots(&self, from: &str, messages: Vec<SlotMessage>, limit: Duration) {
        let Some(client) = self.client.load_full() else {
            return;
        };
        let sent = client.slots(context_for(limit), from.into(), messages);
        if let Err(error) = sent.await {
            log::debug!("messages on slots to {} may be lost: {error}", self.name);
        }
    }

    /// See [`Peer::members`](crate::Peer::members).
    ///
    /// # Errors
    /// [`CallError`].
    pub async fn members(&self, limit: Duration) -> Result<Vec<MemberReport>, CallError> {
        let call = |c: Arc<PeerClient>, cx| async move { c.members(cx).await };
        self.call(limit, call).await
    }
}

impl<C> Drop for Link<C> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The current span's context with a deadline of its own.
fn context_for(limit: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + limit;
    cx
}

struct Runner<C> {
    cfg: LinkConfig,
    traffic: Arc<LinkTraffic>,
    client: Arc<ArcSwapOption<C>>,
    doubt: Arc<Notify>,
    messages: mpsc::Receiver<Message>,
}

impl<C: Channel> Runner<C> {
    async fn run(mut self) {
        loop {
            if let Some(client) = self.connect().await {
                self.client.store(Some(Arc::new(client.clone())));
                let closed = self.pump(&client).await;
                self.client.store(None);
                if closed {
                    return;
                }
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn connect(&self) -> Option<C> {
        let opening = TcpStream::connect(self.cfg.address);
        let stream = timeout(CONNECT_TIMEOUT, opening).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(C::over(stream, self.traffic.clone()))
    }

    /// Sends messages until the connection breaks, or the link is dropped
    /// (`true`).
    async fn pump(&mut self, client: &C) -> bool {
        let mut batch = Vec::new();
        loop {
            let limit = tokio::select! {
                count = self.messages.recv_many(&mut batch, MESSAGE_QUEUE) => {
                    if count == 0 {
                        return true;
                    }
                    DELIVER_TIMEOUT
                }
                () = self.doubt.notified() => PROBE_TIMEOUT,
            };
            let messages = std::mem::take(&mut batch);
            let cx = context_for(limit);
            if let Err(error) = client.deliver(cx, messages).await {
                log::debug!("link to {} broke: {error}", self.cfg.name);
                return false;
            }
        }
    }
}
