//! The interfaces for operators and targets.
