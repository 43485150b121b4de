//! The defaults of every optional key.

/// An example configuration in JSON that states every optional key with its
/// default value.
pub fn default_config_text() -> &'static str {
    include_str!("default.json")
}

/// The caller name that stands for every caller not listed.
pub(super) const ANY_CALLER: &str = "*";
pub(super) const AVAILABILITY_BUDGET: u64 = 1;
pub(super) const DEADLINE_MS: u64 = 2_000;
pub(super) const QUEUE_LENGTH: u64 = 512;
pub(super) const RETRY_TRIES: u64 = 3;
pub(super) const RETRY_BUDGET_PERCENT: u64 = 10;
pub(super) const CALLER_WEIGHT: u64 = 1;
pub(super) const BODY_LIMIT_BYTES: u64 = 1 << 20;
pub(super) const ANSWER_BUFFER_BYTES: u64 = 256 << 10;
pub(super) const TARGET_LEASE_MS: u64 = 5_000;
pub(super) const KEY_RETENTION_S: u64 = 600;
pub(super) const MAX_KEYS: u64 = 20_000;
pub(super) const MAX_KEY_ANSWER_BYTES: u64 = 16 << 10;
pub(super) const PROBATION_S: u64 = 60;
pub(super) const DRAIN_S: u64 = 120;
pub(super) const REBOOT_S: u64 = 900;
