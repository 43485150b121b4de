//! Placeholder until the daemon is wired.
fn main() {}
