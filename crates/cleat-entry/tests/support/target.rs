//! A target that follows a script, byte by byte.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// One step of the script for a request.
#[derive(Debug, Clone)]
pub enum Step {
    Write(Vec<u8>),
    Sleep(u64),
    Close,
    Reset,
}

impl Step {
    pub fn write(text: &str) -> Step {
        Step::Write(text.as_bytes().to_vec())
    }

    /// A complete response.
    pub fn ok(body: &str) -> Vec<Step> {
        let length = body.len();
        let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
        vec![Step::write(&text)]
    }

    pub fn slow_ok(ms: u64, body: &str) -> Vec<Step> {
        let mut steps = vec![Step::Sleep(ms)];
        steps.extend(Step::ok(body));
        steps
    }
}

type ScriptFn = dyn Fn(&str) -> Vec<Step> + Send + Sync;

#[derive(Default)]
struct Statistics {
    requests: Mutex<Vec<String>>,
    in_progress: AtomicU32,
    max_in_progress: AtomicU32,
    connections: AtomicU32,
    max_connections: AtomicU32,
    accepted: AtomicU32,
}

pub struct Target {
    pub address: SocketAddr,
    stats: Arc<Statistics>,
    listening: tokio::task::JoinHandle<()>,
}

impl Target {
    /// `script` maps the head and body of a request to the steps to run.
    pub async fn spawn(script: impl Fn(&str) -> Vec<Step> + Send + Sync + 'static) -> Target {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let stats = Arc::new(Statistics::default());
        let script: Arc<ScriptFn> = Arc::new(script);
        let shared = Arc::clone(&stats);
        let listening = tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                shared.accepted.fetch_add(1, Ordering::SeqCst);
                let (shared, script) = (Arc::clone(&shared), Arc::clone(&script));
                tokio::spawn(async move { serve(stream, &shared, &*script).await });
            }
        });
        Target {
            address,
            stats,
            listening,
        }
    }

    /// A target that always responds with `body`.
    pub async fn ok(body: &'static str) -> Target {
        Target::spawn(move |_| Step::ok(body)).await
    }

    /// A target whose address refuses connections.
    pub async fn refusing() -> Target {
        let target = Target::ok("").await;
        target.listening.abort();
        // The listener is closed when the task has ended.
        while tokio::net::TcpStream::connect(target.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        target
    }

    /// The heads and bodies of all requests.
    pub fn requests(&self) -> Vec<String> {
        self.stats.requests.lock().unwrap().clone()
    }

    pub fn count(&self) -> usize {
        self.stats.requests.lock().unwrap().len()
    }

    /// Restarts counting requests.
    pub fn clear_requests(&self) {
        self.stats.requests.lock().unwrap().clear();
    }

    /// The maximum number of concurrent requests.
    pub fn max_in_progress(&self) -> u32 {
        self.stats.max_in_progress.load(Ordering::SeqCst)
    }

    pub fn in_progress(&self) -> u32 {
        self.stats.in_progress.load(Ordering::SeqCst)
    }

    /// The maximum number of concurrent connections.
    pub fn max_connections(&self) -> u32 {
        self.stats.max_connections.load(Ordering::SeqCst)
    }

    pub fn connections(&self) -> u32 {
        self.stats.connections.load(Ordering::SeqCst)
    }

    /// The number of connections accepted so far.
    pub fn accepted(&self) -> u32 {
        self.stats.accepted.load(Ordering::SeqCst)
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.listening.abort();
    }
}

async fn serve(mut stream: TcpStream, stats: &Statistics, script: &ScriptFn) {
    let open = stats.connections.fetch_add(1, Ordering::SeqCst) + 1;
    stats.max_connections.fetch_max(open, Ordering::SeqCst);
    while let Some(request) = read_request(&mut stream).await {
        let in_progress = stats.in_progress.fetch_add(1, Ordering::SeqCst) + 1;
        stats
            .max_in_progress
            .fetch_max(in_progress, Ordering::SeqCst);
        stats.requests.lock().unwrap().push(request.clone());
        let stays_open = run_steps(&mut stream, script(&request), stats).await;
        if !stays_open {
            break;
        }
    }
    stats.connections.fetch_sub(1, Ordering::SeqCst);
}

/// Runs the script. The request is no longer counted as in progress before its
/// last byte is sent.
async fn run_steps(stream: &mut TcpStream, steps: Vec<Step>, stats: &Statistics) -> bool {
    let last = steps.len();
    let mut is_counted = true;
    let mut stays_open = true;
    for (i, step) in steps.into_iter().enumerate() {
        if i + 1 == last {
            stats.in_progress.fetch_sub(1, Ordering::SeqCst);
            is_counted = false;
        }
        match step {
            Step::Write(bytes) => stays_open = stream.write_all(&bytes).await.is_ok(),
            Step::Sleep(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            Step::Close => stays_open = false,
            Step::Reset => {
                stream.set_zero_linger().unwrap();
                stays_open = false;
            }
        }
        if !stays_open {
            break;
        }
    }
    if is_counted {
        stats.in_progress.fetch_sub(1, Ordering::SeqCst);
    }
    stays_open
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
            let length = head
                .lines()
                .find_map(|l| l.strip_prefix("content-length: "));
            let length: usize = length.map_or(0, |length| length.parse().unwrap());
            if bytes.len() >= end + 4 + length {
                return Some(String::from_utf8_lossy(&bytes).into());
            }
        }
        let count = stream.read(&mut buf).await.ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&buf[..count]);
    }
}
