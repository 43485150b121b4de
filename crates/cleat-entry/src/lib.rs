//! The request path between callers and targets.
