//! Counters and histograms as text, in the format that Prometheus reads.

use std::fmt::Write;

use crate::counters::Kind;
use crate::latency::LatencySummary;
use crate::{Counters, Latencies};

const PREFIX: &str = "celerycleat_";
const MICROS_A_SECOND: f64 = 1_000_000.0;

/// All numbers and histograms as text.
pub fn exposition(counters: &Counters, latencies: &Latencies) -> String {
    let mut text = String::new();
    counters.visit(|name, kind, value| {
        let name = name_of(name);
        let kind = match kind {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
        };
        // Writing to a string does not fail.
        let _ = writeln!(text, "# TYPE {name} {kind}\n{name} {value}");
    });
    latencies.visit(|name, summary| write_summary(&mut text, name, summary));
    text
}

fn write_summary(text: &mut String, name: &str, summary: &LatencySummary) {
    let name = format!("{}_seconds", name_of(name));
    let _ = writeln!(text, "# TYPE {name} summary");
    for (quantile, us) in &summary.quantiles {
        #[allow(clippy::cast_precision_loss)]
        let seconds = *us as f64 / MICROS_A_SECOND;
        let _ = writeln!(text, "{name}{{quantile=\"{quantile}\"}} {seconds}");
    }
    let sum = summary.sum_us / MICROS_A_SECOND;
    let _ = writeln!(text, "{name}_sum {sum}\n{name}_count {}", summary.count);
}

/// A name with the characters that the format allows.
fn name_of(name: &str) -> String {
    let allowed = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
    let mut text = String::from(PREFIX);
    text.extend(name.chars().map(allowed));
    text
}
