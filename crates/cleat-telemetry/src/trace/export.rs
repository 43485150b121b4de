//! Finished spans as log lines.

use std::fmt::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use cleat_settings::LogFormat;
use log::{Level, Record};
use opentelemetry::trace::{SpanId, Status};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{SpanData, SpanExporter};

use crate::Counter;
use crate::logs::SPAN_TARGET;

/// Writes each span as one log line with target `span`, on the exporter's own thread.
/// The message is the name; the attributes of the JSON line, all as text, are `trace_id`,
/// `span_id`, `parent_id` (absent without parent), `kind`, `start_us` (since the Unix
/// epoch), `duration_us`, `error` (if any) and the span's own.
#[derive(Debug)]
pub(super) struct Export {
    format: LogFormat,
    written: Counter,
}

impl Export {
    pub(super) fn new(format: LogFormat, written: Counter) -> Export {
        Export { format, written }
    }

    fn write(&self, span: &SpanData) {
        let values = values(span);
        let pairs: Vec<(&str, &str)> = values.iter().map(|(k, v)| (&**k, &**v)).collect();
        let mut record = Record::builder();
        record.level(Level::Info).target(SPAN_TARGET);
        match self.format {
            LogFormat::Json => {
                let args = format_args!("{}", span.name);
                log::logger().log(&record.args(args).key_values(&pairs).build());
            }
            LogFormat::Plain => {
                let text = plain(span, &pairs);
                log::logger().log(&record.args(format_args!("{text}")).build());
            }
        }
    }
}

impl SpanExporter for Export {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        for span in &batch {
            self.write(span);
            self.written.incr();
        }
        Ok(())
    }
}

fn values(span: &SpanData) -> Vec<(Box<str>, Box<str>)> {
    let mut values = Vec::new();
    let mut add = |key: &str, value: String| values.push((key.into(), value.into()));
    add("trace_id", span.span_context.trace_id().to_string());
    add("span_id", span.span_context.span_id().to_string());
    if span.parent_span_id != SpanId::INVALID {
        add("parent_id", span.parent_span_id.to_string());
    }
    add("kind", format!("{:?}", span.span_kind).to_lowercase());
    add("start_us", micros(UNIX_EPOCH, span.start_time));
    add("duration_us", micros(span.start_time, span.end_time));
    if let Status::Error { description } = &span.status {
        add("error", description.to_string());
    }
    for pair in &span.attributes {
        add(pair.key.as_str(), pair.value.to_string());
    }
    values
}

fn micros(from: SystemTime, to: SystemTime) -> String {
    let time = to.duration_since(from).unwrap_or_default();
    time.as_micros().to_string()
}

fn plain(span: &SpanData, pairs: &[(&str, &str)]) -> String {
    let mut text = span.name.to_string();
    for (key, value) in pairs {
        // Writing to a string does not fail.
        let _ = write!(text, " {key}={value}");
    }
    text
}
