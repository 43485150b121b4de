//! Counts and logs the connections that are closed and the requests that are refused.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// The minimum time between two lines in the log.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a connection is closed, or a request refused, though its client did not ask for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Closure {
    /// Others needed its memory or its descriptor, and it had gone without a whole request
    /// for longest.
    Evicted,
    /// All connections are busy with requests, so a new one is closed.
    ConnectionsFull,
    /// A request does not fit in the memory, and nothing can be evicted for it.
    MemoryFull,
    /// A head is malformed or too large.
    BadHead,
    /// A head did not arrive in time.
    HeadTimeout,
    /// A body made no progress in time.
    BodyTimeout,
    /// An answer was not read in time.
    AnswerTimeout,
}

impl Closure {
    /// All of them.
    pub const ALL: [Closure; 7] = [
        Closure::Evicted,
        Closure::ConnectionsFull,
        Closure::MemoryFull,
        Closure::BadHead,
        Closure::HeadTimeout,
        Closure::BodyTimeout,
        Closure::AnswerTimeout,
    ];

    /// The name of its count in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Closure::Evicted => "inbound.evicted",
            Closure::ConnectionsFull => "inbound.connections_full",
            Closure::MemoryFull => "inbound.memory_full",
            Closure::BadHead => "inbound.bad_head",
            Closure::HeadTimeout => "inbound.head_timeout",
            Closure::BodyTimeout => "inbound.body_timeout",
            Closure::AnswerTimeout => "inbound.answer_timeout",
        }
    }
}

/// What clients hold, and how many connections were closed for which cause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InboundCounts {
    /// Open connections.
    pub open: usize,
    /// The maximum of them.
    pub most: usize,
    /// Bytes that requests and answers take up.
    pub held_bytes: usize,
    /// The maximum of them.
    pub most_bytes: usize,
    /// How often each cause came.
    pub closures: IndexMap<Closure, u64>,
}

impl InboundCounts {
    /// The names and values of the metrics.
    pub fn named(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let sizes = [
            ("inbound.open", self.open),
            ("inbound.most", self.most),
            ("inbound.held_bytes", self.held_bytes),
            ("inbound.most_bytes", self.most_bytes),
        ];
        let sizes = sizes.map(|(name, size)| (name, u64::try_from(size).unwrap_or(u64::MAX)));
        let closures = self.closures.iter();
        let closures = closures.map(|(cause, count)| (cause.name(), *count));
        sizes.into_iter().chain(closures)
    }
}

/// Counts closures, and writes at most one line a second about them.
#[derive(Debug, Default)]
pub(super) struct ClosureLog {
    counts: IndexMap<Closure, u64>,
    unwritten: IndexMap<Closure, u64>,
    written_at: Option<Instant>,
}

impl ClosureLog {
    /// The line to write, if it is time for one.
    pub(super) fn record(&mut self, cause: Closure, count: u64, now: Instant) -> Option<Box<str>> {
        *self.counts.entry(cause).or_default() += count;
        *self.unwritten.entry(cause).or_default() += count;
        let is_early = |at: Instant| now.saturating_duration_since(at) < LINE_INTERVAL;
        if self.written_at.is_some_and(is_early) {
            return None;
        }
        self.written_at = Some(now);
        let causes = self.unwritten.drain(..);
        let causes = causes.map(|(cause, count)| format!("{}={count}", cause.name()));
        let causes: Vec<String> = causes.collect();
        Some(causes.join(" ").into())
    }

    pub(super) fn counts(&self) -> IndexMap<Closure, u64> {
        let counts = Closure::ALL.iter().map(|cause| {
            let count = self.counts.get(cause).copied();
            (*cause, count.unwrap_or_default())
        });
        counts.collect()
    }
}
