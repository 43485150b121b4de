//! Runs a validated request, with retries and idempotency keys.

mod attempt_loop;
mod claim;
mod claim_guard;
mod detached;
mod exchange;
mod held_keys;
mod keyed;
mod pending_request;
mod rejected;
mod target_response;

pub(crate) use held_keys::HeldKeys;
pub(crate) use pending_request::PendingRequest;
pub(crate) use rejected::RejectedRequest;
pub(crate) use target_response::TargetResponse;
