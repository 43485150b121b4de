//! Logs, metrics and traces.
//!
//! [`Telemetry::start`] installs all three for the process, once. Code logs with the `log`
//! macros, counts with handles from [`Counters`], and traces with spans of `tracing` below
//! a [`request_span`].
//!
//! # Cost of an untraced request
//! Whether a request is traced is decided once, before its first span is made. An untraced
//! request has a disabled span, and every span is disabled that has no enabled one around
//! it. No span data, trace id or context is made for it; a `tracing` macro then costs
//! one look at the thread's current span.

mod appender;
mod condition;
mod counters;
mod error;
mod events;
mod exposition;
mod latency;
mod logs;
mod push;
mod telemetry;
mod trace;

pub use appender::install_logs;
pub use condition::{Condition, Outage};
pub use counters::{Counter, Counters, Gauge};
pub use error::TelemetryError;
pub use events::EventLog;
pub use exposition::exposition;
pub use latency::{Latencies, Latency};
pub use telemetry::Telemetry;
pub use trace::{context_from, inject, request_span};
