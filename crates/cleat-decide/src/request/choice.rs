//! The choice of a target for an attempt.

use crate::Protections;

/// The maximum percentage of targets that is treated as ejected at once.
const EJECTED_MAX_PERCENT: usize = 50;
/// How many usable targets are compared (power of two choices).
const CHOICES: u32 = 2;
/// How many random picks are made before all targets are scanned.
const PICKS_MAX: u32 = 16;
/// A target slower than this multiple of the median is treated as ejected.
const SLOW_MULTIPLE: u32 = 4;
/// The cost of a target in another data centre, in percent of a local one.
const REMOTE_PERCENT: u128 = 110;
const FULL_PERCENT: u128 = 100;

/// What the choice knows about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Requests of this instance in progress at the target.
    pub in_flight: u32,
    /// The maximum number of requests that this instance may have in progress
    /// at the target.
    pub max_in_flight: u32,
    /// Moving average of the latency in microseconds; 0 if unknown.
    pub latency_us: u32,
    /// Whether the target should get no requests because of its health.
    pub ejected: bool,
    /// The percentage of its normal load that the target should get while it
    /// warms up, 1 to 100.
    pub warm_up_percent: u8,
    /// Whether the target is in the data centre of this instance.
    pub local: bool,
}

impl Candidate {
    fn has_free_slot(&self, protections: &Protections) -> bool {
        self.in_flight < self.max_in_flight || !protections.slot_limit
    }

    fn is_cheaper_than(&self, other: &Candidate, protections: &Protections) -> bool {
        // If either latency is unknown, only the load is compared.
        let latency_known =
            self.latency_us > 0 && other.latency_us > 0 && protections.latency_weighting;
        self.cost(latency_known) < other.cost(latency_known)
    }

    fn cost(&self, with_latency: bool) -> u128 {
        let latency = if with_latency { self.latency_us } else { 1 };
        let distance = if self.local {
            FULL_PERCENT
        } else {
            REMOTE_PERCENT
        };
        let load = u128::from(self.in_flight) + 1;
        let scaled = load * u128::from(latency) * distance * FULL_PERCENT;
        scaled / u128::from(self.warm_up_percent.clamp(1, 100))
    }
}

/// The index of the target for the next attempt, or `None` if none has a free
/// slot.
///
/// Compares two random usable targets by load times latency. The run time does
/// not depend on the number of candidates as long as a good part of them is
/// usable; otherwise one pass scans all of them. `exclude` is the target of the
/// previous attempt. Invariant: never a target at its `max_in_flight`.
pub fn choose_target(
    candidates: &[Candidate],
    exclude: Option<usize>,
    random: u64,
) -> Option<usize> {
    choose_target_with(candidates, exclude, random, &Protections::ALL)
}

/// [`choose_target`] with some protections disabled, for tests which show that a
/// check fails when a protection is missing.
#[doc(hidden)]
pub fn choose_target_with(
    candidates: &[Candidate],
    exclude: Option<usize>,
    random: u64,
    protections: &Protections,
) -> Option<usize> {
    let usable = |index: usize| {
        let candidate = &candidates[index];
        let in_service = !candidate.ejected || !protections.ejection;
        Some(index) != exclude && in_service && candidate.has_free_slot(protections)
    };
    sample(candidates, random, protections, usable)
        .or_else(|| scan(candidates, random, protections, usable))
        .or_else(|| beyond_ejection_limit(candidates, exclude, random, protections))
}

/// Marks targets as ejected whose latency is far above the median, because
/// waiting for another target is faster. The limit on ejection applies to them
/// too.
///
/// Takes one pass over all candidates, so call it when they are rebuilt. A
/// recorded latency decays while a target gets no requests, so a slow target is
/// tried again.
pub fn eject_slow_targets(candidates: &mut [Candidate]) {
    let known = candidates.iter().filter(|c| c.latency_us > 0 && !c.ejected);
    let mut known: Vec<u32> = known.map(|c| c.latency_us).collect();
    if known.is_empty() {
        return;
    }
    // Of two targets, the faster one counts as the median.
    let middle = (known.len() - 1) / 2;
    let (_, median, _) = known.select_nth_unstable(middle);
    let latency_max = median.saturating_mul(SLOW_MULTIPLE);
    for candidate in candidates {
        candidate.ejected |= candidate.latency_us > latency_max;
    }
}

/// How many requests of this instance could start now, by the rules of
/// [`choose_target`] with no target excluded.
pub fn free_slots(candidates: &[Candidate]) -> u32 {
    let ejected = candidates.iter().filter(|c| c.ejected).count();
    let mut skipped = ejected.min(ejected_max(candidates.len()));
    let mut free = 0u32;
    for candidate in candidates {
        if candidate.ejected && skipped > 0 {
            skipped -= 1;
            continue;
        }
        free = free.saturating_add(candidate.max_in_flight.saturating_sub(candidate.in_flight));
    }
    free
}

/// The cheapest of a few random usable targets.
fn sample(
    candidates: &[Candidate],
    random: u64,
    protections: &Protections,
    usable: impl Fn(usize) -> bool,
) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let mut state = random;
    let mut best: Option<usize> = None;
    let mut compared = 0;
    for _ in 0..PICKS_MAX {
        let index = below(next_random(&mut state), candidates.len());
        if best == Some(index) || !usable(index) {
            continue;
        }
        best = Some(cheaper(candidates, best, index, protections));
        compared += 1;
        if compared == CHOICES {
            break;
        }
    }
    best
}

/// The cheapest of all usable targets; the scan starts at a random index.
fn scan(
    candidates: &[Candidate],
    random: u64,
    protections: &Protections,
    usable: impl Fn(usize) -> bool,
) -> Option<usize> {
    let count = candidates.len();
    let start = below(random, count.max(1));
    let mut best = None;
    for index in (start..count).chain(0..start) {
        if usable(index) {
            best = Some(cheaper(candidates, best, index, protections));
        }
    }
    best
}

/// A random one of the ejected targets that exceed the limit on ejection. They
/// are the last resort, when no other target has a free slot.
fn beyond_ejection_limit(
    candidates: &[Candidate],
    exclude: Option<usize>,
    random: u64,
    protections: &Protections,
) -> Option<usize> {
    if !protections.ejection_limit {
        return None;
    }
    let ejected = candidates.iter().enumerate().filter(|(_, c)| c.ejected);
    let beyond = ejected.skip(ejected_max(candidates.len()));
    let usable =
        beyond.filter(|(index, c)| Some(*index) != exclude && c.has_free_slot(protections));
    let usable: Vec<usize> = usable.map(|(index, _)| index).collect();
    if usable.is_empty() {
        return None;
    }
    Some(usable[below(random, usable.len())])
}

fn ejected_max(count: usize) -> usize {
    count * EJECTED_MAX_PERCENT / 100
}

fn cheaper(
    candidates: &[Candidate],
    best: Option<usize>,
    index: usize,
    protections: &Protections,
) -> usize {
    match best {
        Some(best) if !candidates[index].is_cheaper_than(&candidates[best], protections) => best,
        _ => index,
    }
}

/// One step of the SplitMix64 sequence.
fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut mixed = *state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Maps a random number to `0..count`. The bias is negligible for counts of
/// targets.
fn below(random: u64, count: usize) -> usize {
    let wide = u128::from(random) * count as u128;
    usize::try_from(wide >> 64).unwrap_or(0)
}
