//! The side that answers.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use snafu::{ResultExt, Snafu};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::codec::transport;
use crate::control::ControlAdapter;
use crate::handler::Adapter;
use crate::{Control, ControlHandler, Handler, LinkTraffic, Peer};

/// How long nothing is accepted after a connection could not be. Out of file
/// descriptors, the listener stays readable: trying again at once would take a
/// core and write a line each time. A tenth of what an election waits.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Why the listener could not start.
#[derive(Debug, Snafu)]
pub enum ServeError {
    /// The address could not be bound: it is in use or not this machine's.
    /// Correct `listen.peers` in the settings.
    #[snafu(display(
        "cannot listen for other instances on {address}; free the address or correct listen.peers"
    ))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
}

/// A bound listener for the other instances.
#[derive(Debug)]
pub struct PeerListener {
    listener: TcpListener,
    local_addr: SocketAddr,
}

impl PeerListener {
    /// Binds `address`; nothing is answered before [`PeerListener::serve`].
    ///
    /// # Errors
    /// [`ServeError::Bind`] if the address cannot be had.
    pub async fn bind(address: SocketAddr) -> Result<PeerListener, ServeError> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.context(BindSnafu { address })?;
        let local_addr = listener.local_addr().context(BindSnafu { address })?;
        Ok(PeerListener {
            listener,
            local_addr,
        })
    }

    /// The bound address.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Answers with `handler` until the returned task is aborted.
    pub fn serve<H: Handler>(self, handler: Arc<H>, traffic: Arc<LinkTraffic>) -> JoinHandle<()> {
        self.accept(move |stream| {
            let channel = BaseChannel::with_defaults(transport(stream, traffic.clone()));
            let requests = channel.execute(Adapter(handler.clone()).serve());
            requests.for_each(|request| async move {
                tokio::spawn(request);
            })
        })
    }

    /// Answers with the `handler` of a control instance until the returned
    /// task is aborted.
    pub fn serve_control<H: ControlHandler>(
        self,
        handler: Arc<H>,
        traffic: Arc<LinkTraffic>,
    ) -> JoinHandle<()> {
        self.accept(move |stream| {
            let channel = BaseChannel::with_defaults(transport(stream, traffic.clone()));
            let requests = channel.execute(ControlAdapter(handler.clone()).serve());
            requests.for_each(|request| async move {
                tokio::spawn(request);
            })
        })
    }

    /// Serves connections until the returned task is aborted, which ends them
    /// as well: who holds on to a handler would seem to be there otherwise.
    fn accept<F>(self, serve: impl Fn(TcpStream) -> F + Send + 'static) -> JoinHandle<()>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        tokio::spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = self.listener.accept() => match accepted {
                        Ok((stream, _)) => {
                            if let Err(error) = stream.set_nodelay(true) {
                                log::debug!("cannot set TCP_NODELAY: {error}");
                            }
                            connections.spawn(serve(stream));
                        }
                        Err(error) => {
                            log::warn!("cannot accept another instance: {error}");
                            sleep(ACCEPT_PAUSE).await;
                        }
                    },
                    Some(_) = connections.join_next() => {}
                }
            }
        })
    }
}
