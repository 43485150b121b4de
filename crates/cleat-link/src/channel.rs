//! The clients that a link can keep.

use std::future::Future;
use std::sync::Arc;

use cleat_quorum::Message;
use tarpc::client::{self, RpcError};
use tarpc::context::Context;
use tokio::net::TcpStream;

use crate::codec::transport;
use crate::{ControlClient, LinkTraffic, PeerClient};

/// A client of one of the services, which all carry consensus messages.
pub trait Channel: Clone + Send + Sync + 'static {
    /// A client that speaks over `stream`.
    fn over(stream: TcpStream, traffic: Arc<LinkTraffic>) -> Self;

    /// Hands consensus messages to the other side.
    fn deliver(
        &self,
        cx: Context,
        messages: Vec<Message>,
    ) -> impl Future<Output = Result<(), RpcError>> + Send;
}

impl Channel for PeerClient {
    fn over(stream: TcpStream, traffic: Arc<LinkTraffic>) -> PeerClient {
        let transport = transport(stream, traffic);
        PeerClient::new(client::Config::default(), transport).spawn()
    }

    async fn deliver(&self, cx: Context, messages: Vec<Message>) -> Result<(), RpcError> {
        PeerClient::deliver(self, cx, messages).await
    }
}

impl Channel for ControlClient {
    fn over(stream: TcpStream, traffic: Arc<LinkTraffic>) -> ControlClient {
        let transport = transport(stream, traffic);
        ControlClient::new(client::Config::default(), transport).spawn()
    }

    async fn deliver(&self, cx: Context, messages: Vec<Message>) -> Result<(), RpcError> {
        ControlClient::deliver(self, cx, messages).await
    }
}
