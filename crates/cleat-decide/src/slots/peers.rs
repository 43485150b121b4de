//! Whom to ask for slots.

use std::time::Duration;

use super::EntryIndex;

/// An unanswered ask counts as lost after this time.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);
/// What a peer said of its idle slots counts for this long.
const HINT_AGE_MAX: Duration = Duration::from_millis(50);
/// That a peer has nothing to lend counts for longer each time it says so, up
/// to this long: in an overload of all, asking only costs messages.
const REFUSED_AGE_MAX: Duration = Duration::from_millis(200);
/// What is assumed of a peer of which nothing fresh is known.
const IDLE_ASSUMED: u32 = 1;

/// One other entry.
#[derive(Debug, Default)]
pub(super) struct Peer {
    /// The life and serial of its last ask.
    pub(super) heard: Option<(u64, u64)>,
    idle: u32,
    hinted_at: Option<Duration>,
    /// How long the last hint counts.
    hint_age: Duration,
    /// The ask that waits for an answer.
    ask: Option<Ask>,
}

/// An ask under way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ask {
    pub(super) serial: u64,
    pub(super) count: u32,
    pub(super) sent_at: Duration,
}

impl Peer {
    /// How many slots to hope for, 0 while an ask is under way.
    pub(super) fn hope(&self, now: Duration) -> u32 {
        if self.pending(now) > 0 {
            return 0;
        }
        let fresh = self.hinted_at.is_some_and(|at| now < at + self.hint_age);
        if fresh {
            self.idle
        } else {
            self.idle.max(IDLE_ASSUMED)
        }
    }

    /// Slots asked for and not answered yet.
    pub(super) fn pending(&self, now: Duration) -> u32 {
        let ask = self.ask.filter(|ask| now < ask.sent_at + ASK_TIMEOUT);
        ask.map_or(0, |ask| ask.count)
    }

    pub(super) fn asked(&mut self, ask: Ask) {
        self.ask = Some(ask);
    }

    /// Ends the ask `serial`, if it is the one under way: whether slots were
    /// granted, and how many more are idle.
    pub(super) fn answered(
        &mut self,
        serial: u64,
        granted: bool,
        idle: u32,
        now: Duration,
    ) -> Option<Ask> {
        let ask = self.ask.take_if(|ask| ask.serial == serial)?;
        self.hint_age = if granted {
            HINT_AGE_MAX
        } else {
            (self.hint_age * 2).clamp(HINT_AGE_MAX, REFUSED_AGE_MAX)
        };
        self.idle = idle;
        self.hinted_at = Some(now);
        Some(ask)
    }

    /// Whether an ask is new; remembers it. Lives have no order: an ask of an
    /// earlier one that comes late is answered to nobody, and what is lent by
    /// it comes back when its time is over.
    pub(super) fn is_new(&mut self, incarnation: u64, serial: u64) -> bool {
        let old = |heard: (u64, u64)| heard.0 == incarnation && heard.1 >= serial;
        if self.heard.is_some_and(old) {
            return false;
        }
        self.heard = Some((incarnation, serial));
        true
    }
}

/// The peer to ask next: the one with the most to hope for, from a rotating
/// start.
pub(super) fn most_hopeful(
    peers: &[Peer],
    me: EntryIndex,
    turn: u64,
    now: Duration,
) -> Option<(usize, u32)> {
    let count = peers.len();
    let start = usize::try_from(turn % count.max(1) as u64).unwrap_or(0);
    let order = (start..count).chain(0..start);
    let others = order.filter(|index| *index != me.0 as usize);
    let hopes = others.map(|index| (index, peers[index].hope(now)));
    let best = hopes.reduce(|best, next| if next.1 > best.1 { next } else { best });
    best.filter(|(_, hope)| *hope > 0)
}
