//! Stand-ins of the systems that celerycleat serves, with a load generator
//! and measuring tools. For tests and benches only; no part of the product.

mod addresses;
mod bench;
mod client;
mod error;
mod forwarder;
mod load;
mod platform;
mod process;
mod target;

pub use addresses::FreeAddresses;
pub use bench::{BenchOptions, BenchRow, BenchSide, BenchSummary, bench_path, format_table};
pub use client::{HttpConnection, fetch};
pub use error::FakeError;
pub use forwarder::Forwarder;
pub use load::{LatencySummary, LoadOptions, LoadReport, Pace, run_load};
pub use platform::{EffectKind, PlatformOptions, RecordedEffect, StandInPlatform};
pub use process::ProcessUsage;
pub use target::{
    Behaviour, Fault, NAME_HEADER, REQUEST_ID_HEADER, StandInTarget, TargetCounts, TargetOptions,
};
