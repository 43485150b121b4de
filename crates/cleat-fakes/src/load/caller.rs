//! One connection of a load.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use tokio::time::Instant;

use super::check;
use super::options::{LoadOptions, Pace};
use super::report::{Tally, Verdict};
use crate::{FakeError, HttpConnection, REQUEST_ID_HEADER};

/// The timer fires up to this much late; the rest is waited for actively.
const TIMER_SLACK: Duration = Duration::from_millis(2);
/// Between two attempts to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

pub(super) struct Caller {
    options: Arc<LoadOptions>,
    uri: Box<str>,
    /// Which of the connections this is, counted from 0.
    index: u32,
    connection: Option<HttpConnection>,
    tally: Tally,
    sequence: u64,
}

impl Caller {
    pub(super) fn new(options: Arc<LoadOptions>, index: u32) -> Caller {
        let separator = if options.path.contains('?') { '&' } else { '?' };
        let (path, bytes) = (&options.path, options.bytes);
        let mut uri = format!("{path}{separator}bytes={bytes}");
        if !options.work.is_zero() {
            uri.push_str(&format!("&sleep_ms={}", options.work.as_millis()));
        }
        Caller {
            options,
            uri: uri.into(),
            index,
            connection: None,
            tally: Tally::new(),
            sequence: 0,
        }
    }

    /// Sends until the load's duration from `start` has passed.
    pub(super) async fn run(mut self, start: Instant) -> Tally {
        let end = start + self.options.duration;
        while let Some(due) = self.next_due(start, end).await {
            let verdict = self.request().await;
            self.tally.verdict(verdict, due.elapsed());
        }
        self.tally
    }

    /// Waits for the next request's time. Its latency counts from the moment
    /// returned: when it was due if the connection was busy then, else now.
    async fn next_due(&mut self, start: Instant, end: Instant) -> Option<Instant> {
        let now = Instant::now();
        let due = match self.options.pace {
            Pace::Closed => now,
            Pace::Open(rate) => start + self.offset(rate),
        };
        self.sequence += 1;
        if due >= end {
            return None;
        }
        if due <= now {
            return Some(due);
        }
        wait_until(due).await;
        Some(Instant::now())
    }

    /// When this connection's next request is due: the connections take turns
    /// at even distances.
    fn offset(&self, rate: f64) -> Duration {
        let connections = f64::from(self.options.connections.max(1));
        let turn = self.sequence as f64 * connections + f64::from(self.index);
        Duration::from_secs_f64(turn / rate)
    }

    async fn request(&mut self) -> Verdict {
        let (prefix, index, sequence) = (&self.options.id_prefix, self.index, self.sequence);
        let id = format!("{prefix}-{index}-{sequence}");
        let limit = self.options.timeout;
        let exchange = tokio::time::timeout(limit, self.exchange(&id)).await;
        let verdict = match exchange {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => Verdict::Failed,
        };
        if matches!(verdict, Verdict::Cut | Verdict::Failed) {
            self.connection = None;
        }
        verdict
    }

    async fn exchange(&mut self, id: &str) -> Result<Verdict, FakeError> {
        let req = self.build(id)?;
        let mut connection = match self.connection.take().filter(HttpConnection::is_open) {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let answer = connection.send(req).await?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await;
        let outcome = check::outcome(&head.headers);
        self.tally.answer(outcome, head.status.as_u16());
        let Ok(body) = body else {
            return Ok(Verdict::Cut);
        };
        self.connection = Some(connection);
        let bytes = self.options.bytes;
        Ok(check::judge(&head.headers, &body.to_bytes(), id, bytes))
    }

    async fn connect(&self) -> Result<HttpConnection, FakeError> {
        let opened = HttpConnection::open(self.options.address).await;
        if opened.is_err() {
            // A server that is down must not turn a closed loop into a flood.
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
        opened
    }

    fn build(&self, id: &str) -> Result<Request<Full<Bytes>>, FakeError> {
        let options = &self.options;
        let caller = self.sequence % u64::from(options.callers.max(1));
        let mut req = Request::builder()
            .method(&options.method)
            .uri(&*self.uri)
            .header("host", "load")
            .header(REQUEST_ID_HEADER, id)
            .header("celerycleat-caller", format!("caller-{caller}"));
        if let Some(deadline) = options.deadline {
            let deadline = deadline.as_millis().to_string();
            req = req.header("celerycleat-deadline-ms", deadline);
        }
        if options.keys {
            req = req.header("idempotency-key", id);
        }
        let built = req.body(Full::new(Bytes::new()));
        built.map_err(|source| FakeError::Request { source })
    }
}

async fn wait_until(due: Instant) {
    tokio::time::sleep_until(due - TIMER_SLACK).await;
    while Instant::now() < due {
        tokio::task::yield_now().await;
    }
}
