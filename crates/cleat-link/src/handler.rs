//! What the daemon implements to answer other instances.

use std::future::Future;
use std::sync::Arc;

use cleat_quorum::Message;
use cleat_world::CommandBody;
use tarpc::context::Context;

use crate::{MemberReport, Peer, PeerError, Proposed, Renewal, RenewalOutcome, SlotMessage};

/// The methods of [`Peer`] with futures that may move between threads, which
/// the trait made by tarpc does not promise.
pub trait Handler: Send + Sync + 'static {
    /// See [`Peer::deliver`].
    fn deliver(&self, messages: Vec<Message>);

    /// See [`Peer::slots`].
    fn slots(&self, from: &str, messages: Vec<SlotMessage>);

    /// See [`Peer::propose`].
    fn propose(
        &self,
        body: CommandBody,
    ) -> impl Future<Output = Result<Proposed, PeerError>> + Send;

    /// See [`Peer::wait_in_force`].
    fn wait_in_force(&self, index: u64) -> impl Future<Output = Result<(), PeerError>> + Send;

    /// See [`Peer::read_index`].
    fn read_index(&self) -> impl Future<Output = Result<u64, PeerError>> + Send;

    /// See [`Peer::renew`].
    fn renew(&self, renewals: &[Renewal]) -> Result<Vec<RenewalOutcome>, PeerError>;

    /// See [`Peer::members`].
    fn members(&self) -> Result<Vec<MemberReport>, PeerError>;
}

/// Serves a [`Handler`] as a [`Peer`].
pub(crate) struct Adapter<H>(pub(crate) Arc<H>);

impl<H> Clone for Adapter<H> {
    fn clone(&self) -> Self {
        Adapter(self.0.clone())
    }
}

impl<H: Handler> Peer for Adapter<H> {
    async fn deliver(self, _: Context, messages: Vec<Message>) {
        self.0.deliver(messages);
    }

    async fn slots(self, _: Context, from: Box<str>, messages: Vec<SlotMessage>) {
        self.0.slots(&from, messages);
    }

    async fn propose(self, _: Context, body: CommandBody) -> Result<Proposed, PeerError> {
        self.0.propose(body).await
    }

    async fn wait_in_force(self, _: Context, index: u64) -> Result<(), PeerError> {
        self.0.wait_in_force(index).await
    }

    async fn read_index(self, _: Context) -> Result<u64, PeerError> {
        self.0.read_index().await
    }

    async fn renew(
        self,
        _: Context,
        renewals: Vec<Renewal>,
    ) -> Result<Vec<RenewalOutcome>, PeerError> {
        self.0.renew(&renewals)
    }

    async fn members(self, _: Context) -> Result<Vec<MemberReport>, PeerError> {
        self.0.members()
    }
}
