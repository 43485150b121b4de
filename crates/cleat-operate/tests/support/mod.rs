//! A control plane in memory and a client.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use cleat_link::{MemberReport, Proposed, Renewal, RenewalOutcome};
use cleat_operate::{
    ControlError, ControlPlane, InstanceStatus, Listener, OperatorServer, Role, RunningServer,
    TargetServer,
};
use cleat_world::{Command, CommandBody, World};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use serde_json::Value;
use tokio::net::TcpStream;

#[derive(Default)]
pub(crate) struct FakeControl {
    world: Mutex<World>,
    index: AtomicU64,
    failure: Mutex<Option<ControlError>>,
    in_force_blocked: AtomicBool,
    renewals: AtomicU64,
}

impl FakeControl {
    pub(crate) fn fail_with(&self, failure: Option<ControlError>) {
        *self.failure.lock().expect("a lock") = failure;
    }

    pub(crate) fn block_in_force(&self, on: bool) {
        self.in_force_blocked.store(on, Ordering::SeqCst);
    }

    pub(crate) fn renewals(&self) -> u64 {
        self.renewals.load(Ordering::SeqCst)
    }

    fn check(&self) -> Result<(), ControlError> {
        match &*self.failure.lock().expect("a lock") {
            Some(error) => Err(error.clone()),
            None => Ok(()),
        }
    }
}

impl ControlPlane for FakeControl {
    fn world<R>(&self, read: impl FnOnce(&World) -> R) -> R {
        read(&self.world.lock().expect("a lock"))
    }

    async fn propose(&self, body: CommandBody) -> Result<Proposed, ControlError> {
        self.check()?;
        let index = self.index.fetch_add(1, Ordering::SeqCst) + 1;
        let command = Command { at_ms: 0, body };
        let answer = self.world.lock().expect("a lock").apply(index, command);
        Ok(Proposed { index, answer })
    }

    async fn wait_in_force(&self, _: u64) -> Result<(), ControlError> {
        match self.in_force_blocked.load(Ordering::SeqCst) {
            true => Err(ControlError::NoQuorum),
            false => Ok(()),
        }
    }

    async fn catch_up(&self) -> Result<(), ControlError> {
        self.check()
    }

    async fn renew(&self, _: Renewal) -> Result<RenewalOutcome, ControlError> {
        self.renewals.fetch_add(1, Ordering::SeqCst);
        self.check().map(|()| RenewalOutcome::Renewed)
    }

    fn status(&self) -> InstanceStatus {
        InstanceStatus {
            name: "e1".into(),
            data_centre: "dc1".into(),
            role: Role::Leader,
            term: 1,
            leader: Some("e1".into()),
            applied: 0,
            in_service: true,
        }
    }

    async fn members(&self) -> Result<Vec<MemberReport>, ControlError> {
        self.check().map(|()| Vec::new())
    }

    fn data_centre_of(&self, _: &str) -> Option<Box<str>> {
        Some("dc1".into())
    }

    fn metrics(&self) -> IndexMap<Box<str>, u64> {
        IndexMap::new()
    }
}

pub(crate) struct Fixture {
    pub(crate) control: Arc<FakeControl>,
    operators: SocketAddr,
    targets: SocketAddr,
    _servers: [RunningServer; 2],
}

impl Fixture {
    pub(crate) async fn start() -> Fixture {
        let control = Arc::new(FakeControl::default());
        let any = || SocketAddr::from(([127, 0, 0, 1], 0));
        let operators = Listener::bind(any()).await.expect("a port");
        let targets = Listener::bind(any()).await.expect("a port");
        Fixture {
            operators: operators.local_addr(),
            targets: targets.local_addr(),
            _servers: [
                OperatorServer::spawn(operators, control.clone()),
                TargetServer::spawn(targets, control.clone()),
            ],
            control,
        }
    }

    pub(crate) async fn operator(&self, method: Method, path: &str, body: &Value) -> (u16, Value) {
        call(self.operators, method, path, body.to_string()).await
    }

    pub(crate) async fn operator_text(
        &self,
        method: Method,
        path: &str,
        body: &str,
    ) -> (u16, Value) {
        call(self.operators, method, path, body.to_owned()).await
    }

    pub(crate) async fn target(&self, method: Method, path: &str, body: &Value) -> (u16, Value) {
        call(self.targets, method, path, body.to_string()).await
    }
}

async fn call(address: SocketAddr, method: Method, path: &str, body: String) -> (u16, Value) {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (mut tx, connection) = http1::handshake(TokioIo::new(stream)).await.expect("http");
    tokio::spawn(connection);
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "instance");
    let req = req.body(Full::new(Bytes::from(body))).expect("a request");
    let response = tx.send_request(req).await.expect("an answer");
    let status = response.status().as_u16();
    let body = response
        .into_body()
        .collect()
        .await
        .expect("a body")
        .to_bytes();
    (status, serde_json::from_slice(&body).unwrap_or_default())
}
