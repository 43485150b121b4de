//! Named numbers that the request path may change.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use indexmap::IndexMap;

/// The registry. A clone is another handle on the same numbers.
///
/// Looking a name up takes no lock; the first use of a name copies the table of names.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    table: Arc<ArcSwap<Table>>,
}

type Table = IndexMap<Box<str>, Cell>;

#[derive(Debug, Clone)]
struct Cell {
    kind: Kind,
    value: Arc<AtomicU64>,
}

/// How a number is sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// It only rises; its increase is sent.
    Counter,
    /// It rises and falls; its value is sent.
    Gauge,
}

impl Counters {
    /// The counter `name`, made on first use with value 0. Parts of names are joined with
    /// dots, as in `requests.answered`. A name stays what its first use made it.
    pub fn counter(&self, name: &str) -> Counter {
        let value = self.value(name, Kind::Counter);
        Counter { value }
    }

    /// The gauge `name`; see [`counter`](Self::counter).
    pub fn gauge(&self, name: &str) -> Gauge {
        let value = self.value(name, Kind::Gauge);
        Gauge { value }
    }

    /// Every number by its name, in the order of names.
    pub fn snapshot(&self) -> IndexMap<Box<str>, u64> {
        let mut all = IndexMap::new();
        self.visit(|name, _, value| {
            all.insert(name.into(), value);
        });
        all.sort_unstable_keys();
        all
    }

    /// Shows each number in turn.
    pub(crate) fn visit(&self, mut see: impl FnMut(&str, Kind, u64)) {
        for (name, cell) in self.table.load().iter() {
            see(name, cell.kind, cell.value.load(Ordering::Relaxed));
        }
    }

    fn value(&self, name: &str, kind: Kind) -> Arc<AtomicU64> {
        if let Some(cell) = self.table.load().get(name) {
            return cell.value.clone();
        }
        let fresh = Cell {
            kind,
            value: Arc::default(),
        };
        self.table.rcu(|table| {
            let mut table = Table::clone(table);
            table.entry(name.into()).or_insert_with(|| fresh.clone());
            table
        });
        // Another thread may have been first.
        let table = self.table.load();
        table
            .get(name)
            .map_or(fresh.value, |cell| cell.value.clone())
    }
}

/// A number that only rises. A clone counts on the same number.
#[derive(Debug, Clone)]
pub struct Counter {
    value: Arc<AtomicU64>,
}

impl Counter {
    /// Adds one, with one atomic addition.
    pub fn incr(&self) {
        self.add(1);
    }

    /// Adds `n`, with one atomic addition.
    pub fn add(&self, n: u64) {
        self.value.fetch_add(n, Ordering::Relaxed);
    }

    /// The number now.
    pub fn get(&self) -> u64 {
        self.value.load(Ordering::Relaxed)
    }
}

/// A number that rises and falls. A clone changes the same number.
#[derive(Debug, Clone)]
pub struct Gauge {
    value: Arc<AtomicU64>,
}

impl Gauge {
    /// Replaces the number.
    pub fn set(&self, value: u64) {
        self.value.store(value, Ordering::Relaxed);
    }

    /// Adds `n`.
    pub fn add(&self, n: u64) {
        self.value.fetch_add(n, Ordering::Relaxed);
    }

    /// Takes `n` away; what would be less than 0 becomes 0.
    pub fn sub(&self, n: u64) {
        let less = |value: u64| Some(value.saturating_sub(n));
        // The closure always gives a value, so this does not fail.
        let _ = self
            .value
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, less);
    }

    /// The number now.
    pub fn get(&self) -> u64 {
        self.value.load(Ordering::Relaxed)
    }
}
