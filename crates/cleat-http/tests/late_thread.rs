//! Replies that arrive in time while the client's thread is busy past the time limit.
#![allow(clippy::unwrap_used)]

use std::future::poll_fn;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::task::Poll;
use std::thread;
use std::time::{Duration, Instant};

use cleat_http::{CallError, Client, ClientConfig, ConnectionBudget, Reply};
use http::Method;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;

/// Long enough for a request to reach the server before it is over.
const LIMIT: Duration = Duration::from_secs(1);
/// More than the client reads from a socket at once, and less than the socket holds.
const LARGE_BODY: usize = 50_000;

/// A server whose reply is written while the client's thread is blocked.
struct Server {
    address: SocketAddr,
    /// Resolves once the server has read the request.
    asked: oneshot::Receiver<()>,
    /// Lets the server write its reply.
    release: mpsc::Sender<()>,
    /// Receives a message once the reply is in the client's socket.
    written: mpsc::Receiver<()>,
}

impl Server {
    /// Accepts one connection and answers one request with a body of `length` bytes.
    fn spawn(length: usize) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (asked_tx, asked) = oneshot::channel();
        let (release, released) = mpsc::channel();
        let (written_tx, written) = mpsc::channel();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut buf = [0; 4096];
            assert!(stream.read(&mut buf).unwrap() > 0);
            asked_tx.send(()).unwrap();
            released.recv().unwrap();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(&vec![b'x'; length]).unwrap();
            written_tx.send(()).unwrap();
            // Open until the client closes it.
            while stream.read(&mut buf).is_ok_and(|length| length > 0) {}
        });
        Server {
            address,
            asked,
            release,
            written,
        }
    }

    /// Blocks the thread from when the request has arrived until the reply is in the socket
    /// and the time limit of the call is over.
    async fn block_thread(self) {
        self.asked.await.unwrap();
        let asked_at = Instant::now();
        self.release.send(()).unwrap();
        self.written.recv().unwrap();
        thread::sleep(LIMIT.saturating_sub(asked_at.elapsed()));
    }
}

async fn call(address: SocketAddr) -> Result<Reply, CallError> {
    let client = Client::new(ClientConfig {
        connections: 1,
        connect_limit: LIMIT,
        max_body: LARGE_BODY,
        budget: ConnectionBudget::unlimited(),
    });
    let address = address.to_string();
    let body = b"x".to_vec();
    let called = client.call(&address, Method::POST, "/", &[], body, LIMIT);
    called.await
}

/// A control instance runs on one thread.
fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().unwrap()
}

/// Guards against giving up a call whose reply has arrived. The thread reads no sockets while
/// it is busy, and then finds the time limit over before the task of the connection has run.
#[test]
fn call_by_a_late_thread_uses_a_reply_that_arrived_in_time() {
    let server = Server::spawn(2);
    let reply = runtime().block_on(async {
        let address = server.address;
        tokio::spawn(server.block_thread());
        call(address).await
    });
    assert_eq!(reply.unwrap().body, "xx");
}

/// Wakes its task without end, so that the task is always among those that run next.
async fn stay_ready() {
    poll_fn::<(), _>(|cx| {
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// The calls of an owner are part of one task. Under load that task always has something to do,
/// so it is polled before the tasks of the connections.
#[test]
fn call_by_a_busy_task_uses_a_reply_that_arrived_in_time() {
    let server = Server::spawn(2);
    let reply = runtime().block_on(async {
        let address = server.address;
        let other_work = async {
            server.block_thread().await;
            stay_ready().await;
        };
        let owner = async move {
            tokio::select! {
                reply = call(address) => reply,
                () = other_work => unreachable!("it has no end"),
            }
        };
        tokio::spawn(owner).await.unwrap()
    });
    assert_eq!(reply.unwrap().body, "xx");
}

/// A large reply is read in several parts, between which the caller's task runs.
#[test]
fn call_by_a_late_thread_uses_a_large_reply_that_arrived_in_time() {
    let server = Server::spawn(LARGE_BODY);
    let reply = runtime().block_on(async {
        let address = server.address;
        tokio::spawn(server.block_thread());
        call(address).await
    });
    assert_eq!(reply.unwrap().body.len(), LARGE_BODY);
}
