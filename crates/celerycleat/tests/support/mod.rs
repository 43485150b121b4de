//! Runs the program, and serves what it asks.

use std::net::SocketAddr;
use std::process::Command;
use std::sync::{Arc, Mutex};

use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;

/// What a run of the program gave.
#[derive(Debug, PartialEq)]
pub(crate) struct Run {
    pub(crate) code: Option<i32>,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl Run {
    /// All of it as one text, with the addresses of `servers` replaced.
    pub(crate) fn text(&self, servers: &[&FakeServer]) -> String {
        let code = self.code.expect("no signal");
        let (stdout, stderr) = (&self.stdout, &self.stderr);
        let mut text = format!("exit code {code}\n--- stdout\n{stdout}--- stderr\n{stderr}");
        for (i, server) in servers.iter().enumerate() {
            text = text.replace(&server.address.to_string(), &format!("SERVER{}", i + 1));
        }
        text
    }
}

/// Runs the program among the example files.
pub(crate) fn run(words: &str) -> Run {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/examples");
    let mut command = Command::new(env!("CARGO_BIN_EXE_celerycleat"));
    command.args(words.split_whitespace()).current_dir(folder);
    let output = command.output().expect("the program runs");
    Run {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).expect("text"),
        stderr: String::from_utf8(output.stderr).expect("text"),
    }
}

/// Runs the program with these servers, in their order.
pub(crate) fn ask(servers: &[&FakeServer], words: &str) -> Run {
    let options = servers.iter().map(|s| format!("--server {} ", s.address));
    let words = format!("{}{words}", options.collect::<String>());
    tokio::task::block_in_place(|| run(&words))
}

/// How a fake server answers every request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Reply {
    Json(u16, &'static str),
    /// Closes the connection once the request is read.
    HangUp,
}

/// What a fake server was asked.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Asked {
    pub(crate) line: String,
    pub(crate) body: Value,
}

/// A server that answers each request alike.
#[derive(Debug)]
pub(crate) struct FakeServer {
    pub(crate) address: SocketAddr,
    asked: Arc<Mutex<Vec<Asked>>>,
}

impl FakeServer {
    pub(crate) async fn bind(reply: Reply) -> FakeServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let asked = Arc::default();
        let kept = Arc::clone(&asked);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let kept = Arc::clone(&kept);
                let service = service_fn(move |req| answer(reply, Arc::clone(&kept), req));
                let builder = hyper::server::conn::http1::Builder::new();
                tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
            }
        });
        FakeServer { address, asked }
    }

    pub(crate) fn asked(&self) -> Vec<Asked> {
        self.asked.lock().expect("no panic").clone()
    }
}

/// Ends a connection without an answer.
#[derive(Debug)]
struct HungUp;

impl std::fmt::Display for HungUp {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("hung up")
    }
}

impl std::error::Error for HungUp {}

async fn answer(
    reply: Reply,
    asked: Arc<Mutex<Vec<Asked>>>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, HungUp> {
    let line = format!("{} {}", req.method(), req.uri());
    let body = req.into_body().collect().await.expect("a whole request");
    let body = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    asked.lock().expect("no panic").push(Asked { line, body });
    match reply {
        Reply::HangUp => Err(HungUp),
        Reply::Json(status, text) => {
            let mut answer = Response::new(Full::from(text));
            *answer.status_mut() = status.try_into().expect("a status");
            Ok(answer)
        }
    }
}
