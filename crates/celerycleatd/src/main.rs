//! The daemon's entry point.

use std::process::ExitCode;

use mimalloc::MiMalloc;

/// Allocations and releases of small blocks are a large part of what an order to a worker
/// costs, and this allocator needs less processor time for them than that of the system.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    celerycleatd::main()
}
