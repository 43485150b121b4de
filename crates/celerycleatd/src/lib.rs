//! The daemon: one instance, put together from its settings.
