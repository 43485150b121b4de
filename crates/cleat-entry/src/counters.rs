//! What the request path counts.

use std::sync::atomic::{AtomicU64, Ordering};

use indexmap::IndexMap;

use crate::headers::Outcome;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {
        /// Counters of one entry. Each only grows.
        #[derive(Debug, Default)]
        pub(crate) struct Counters {
            $($(#[$doc])* pub(crate) $name: Counter,)+
        }

        impl Counters {
            /// Every counter by name.
            pub(crate) fn snapshot(&self) -> IndexMap<Box<str>, u64> {
                let mut values = IndexMap::new();
                $(values.insert(concat!("entry.", stringify!($name)).into(), self.$name.get());)+
                values
            }
        }
    };
}

counters! {
    /// Requests whose head was read.
    requests,
    /// Answers of targets passed on.
    answered,
    /// Requests that did not run.
    not_run,
    /// Requests that may have run.
    unknown,
    /// Requests that had to wait for a slot.
    waited,
    /// Tries after the first.
    retries,
    /// Tries in all.
    tries,
    /// Stored answers given again for a key.
    replayed,
    /// Answers too large to hold, passed on as they came.
    streamed,
    /// Claims of idempotency keys.
    claims,
}

/// One number.
#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    pub(crate) fn incr(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl Counters {
    pub(crate) fn count(&self, outcome: Outcome) {
        match outcome {
            Outcome::Answered => self.answered.incr(),
            Outcome::NotRun => self.not_run.incr(),
            Outcome::Unknown => self.unknown.incr(),
        }
    }
}
