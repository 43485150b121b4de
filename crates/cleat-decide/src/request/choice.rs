//! Which target a try goes to.

use crate::Protections;

/// The most targets that count as ejected at once, in percent.
const EJECTED_MAX_PERCENT: usize = 50;
/// How many usable targets are compared.
const CHOICES: u32 = 2;
/// How many random picks are made before all targets are looked through.
const PICKS_MAX: u32 = 16;
/// A target slower than this many times the median counts as ejected.
const SLOW_TIMES: u32 = 4;
/// A target in another data centre is rated as this much dearer.
const REMOTE_PERCENT: u128 = 110;
const FULL_PERCENT: u128 = 100;

/// A target as the choice sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Requests of this instance in progress there.
    pub in_flight: u32,
    /// The most requests that this instance may have in progress there.
    pub max_in_flight: u32,
    /// Moving average of the latency in microseconds, 0 if unknown.
    pub latency_us: u32,
    /// Whether its health says that it should get no work.
    pub ejected: bool,
    /// How much of its usual work a new target should get, 1 to 100.
    pub warm_up_percent: u8,
    /// Whether it stands in the data centre of this instance.
    pub local: bool,
}

impl Candidate {
    fn has_free_slot(&self, protections: &Protections) -> bool {
        self.in_flight < self.max_in_flight || !protections.share_cap
    }

    /// Whether `self` is rated better than `other`.
    fn better_than(&self, other: &Candidate, protections: &Protections) -> bool {
        // An unknown latency says nothing, so only the load is compared.
        let known = self.latency_us > 0 && other.latency_us > 0 && protections.latency;
        self.cost(known) < other.cost(known)
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

/// The target for the next try, by its position, or `None` if none has room.
///
/// Two random usable targets are compared by load times latency. The cost does
/// not depend on the number of candidates as long as a fair part of them is
/// usable; else one pass looks through all. `exclude` is the target of the try
/// before. Invariant: never a target whose share is used up.
pub fn choose_target(
    candidates: &[Candidate],
    exclude: Option<usize>,
    random: u64,
) -> Option<usize> {
    choose_target_with(candidates, exclude, random, &Protections::ALL)
}

/// [`choose_target`] with some protections off, for tests of the tests.
#[doc(hidden)]
pub fn choose_target_with(
    candidates: &[Candidate],
    exclude: Option<usize>,
    random: u64,
    protections: &Protections,
) -> Option<usize> {
    let healthy = |index: usize| {
        let candidate = &candidates[index];
        let in_service = !candidate.ejected || !protections.ejection;
        Some(index) != exclude && in_service && candidate.has_free_slot(protections)
    };
    sample(candidates, random, protections, healthy)
        .or_else(|| scan(candidates, random, protections, healthy))
        .or_else(|| beyond_bound(candidates, exclude, random, protections))
}

/// Counts targets as ejected whose latency is far above that of most: waiting
/// for another one is then quicker. The bound on ejection holds for them too.
///
/// Costs one pass over all, so it is done when the candidates are rebuilt. A
/// remembered latency fades without work, so a slow target is tried again.
pub fn eject_slow_targets(candidates: &mut [Candidate]) {
    let known = candidates.iter().filter(|c| c.latency_us > 0 && !c.ejected);
    let mut known: Vec<u32> = known.map(|c| c.latency_us).collect();
    if known.is_empty() {
        return;
    }
    // Of two, the quicker one is what most are.
    let middle = (known.len() - 1) / 2;
    let (_, median, _) = known.select_nth_unstable(middle);
    let bound = median.saturating_mul(SLOW_TIMES);
    for candidate in candidates {
        candidate.ejected |= candidate.latency_us > bound;
    }
}

/// How many requests of this instance could start now, by the rules of
/// [`choose_target`] without an excluded target.
pub fn free_slots(candidates: &[Candidate]) -> u32 {
    let ejected = candidates.iter().filter(|c| c.ejected).count();
    let mut held_back = ejected.min(ejected_max(candidates.len()));
    let mut free = 0u32;
    for candidate in candidates {
        if candidate.ejected && held_back > 0 {
            held_back -= 1;
            continue;
        }
        free = free.saturating_add(candidate.max_in_flight.saturating_sub(candidate.in_flight));
    }
    free
}

/// The best of a few random picks that are usable.
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
        best = Some(better(candidates, best, index, protections));
        compared += 1;
        if compared == CHOICES {
            break;
        }
    }
    best
}

/// The best usable target of all, from a random start.
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
            best = Some(better(candidates, best, index, protections));
        }
    }
    best
}

/// The best of the ejected targets that the bound does not let count as ejected.
/// They are a last resort: the rest has no room.
fn beyond_bound(
    candidates: &[Candidate],
    exclude: Option<usize>,
    random: u64,
    protections: &Protections,
) -> Option<usize> {
    if !protections.ejection_bound {
        return None;
    }
    let ejected = candidates.iter().enumerate().filter(|(_, c)| c.ejected);
    let beyond = ejected.skip(ejected_max(candidates.len()));
    let open = beyond.filter(|(index, c)| Some(*index) != exclude && c.has_free_slot(protections));
    let open: Vec<usize> = open.map(|(index, _)| index).collect();
    if open.is_empty() {
        return None;
    }
    Some(open[below(random, open.len())])
}

fn ejected_max(count: usize) -> usize {
    count * EJECTED_MAX_PERCENT / 100
}

fn better(
    candidates: &[Candidate],
    best: Option<usize>,
    index: usize,
    protections: &Protections,
) -> usize {
    match best {
        Some(best) if !candidates[index].better_than(&candidates[best], protections) => best,
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

/// Maps a random number to `0..count` without a bias that matters here.
fn below(random: u64, count: usize) -> usize {
    let wide = u128::from(random) * count as u128;
    usize::try_from(wide >> 64).unwrap_or(0)
}
