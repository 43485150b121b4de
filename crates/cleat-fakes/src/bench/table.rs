//! The summary as a table for people.

use std::fmt::Write;

use super::options::BenchSide;
use super::summary::BenchSummary;

const MEBIBYTE: f64 = 1_048_576.0;

/// `summaries` as a Markdown table.
pub fn format_table(summaries: &[BenchSummary]) -> String {
    let mut text = String::from(
        "| bytes | loop | side | req/s | cpu µs/req (range) | of forwarder | added p50 µs | added p99 µs | added p99.9 µs | RSS MiB | bad |\n\
         |---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for summary in summaries {
        // Writing to a String does not fail.
        let _ = write_row(&mut text, summary);
    }
    text
}

fn write_row(text: &mut String, s: &BenchSummary) -> std::fmt::Result {
    let pace = s
        .rate
        .map_or_else(|| "closed".into(), |rate| format!("{rate:.0}/s"));
    let side = match s.side {
        BenchSide::Direct => "direct",
        BenchSide::Forwarder => "forwarder",
        BenchSide::Instance => "instance",
    };
    write!(
        text,
        "| {} | {pace} | {side} | {:.0} |",
        s.bytes, s.per_second
    )?;
    if s.side == BenchSide::Direct {
        return writeln!(text, " – | – | – | – | – | – | {} |", s.bad);
    }
    let (least, most) = s.cpu_us_range;
    write!(text, " {:.1} ({least:.1}–{most:.1}) |", s.cpu_us)?;
    write!(text, " {:.2} |", s.cpu_ratio)?;
    let added = &s.added;
    write!(
        text,
        " {:.0} | {:.0} | {:.0} |",
        added.p50_us, added.p99_us, added.p999_us
    )?;
    let memory = s.rss_bytes as f64 / MEBIBYTE;
    writeln!(text, " {memory:.1} | {} |", s.bad)
}
