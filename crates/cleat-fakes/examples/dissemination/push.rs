//! The leader sends to each member.

use super::CHANGE_BYTES;
use super::tally::{Outcome, Tally};

pub(crate) fn run(members: usize, frozen: bool) -> Outcome {
    let mut tally = Tally::new(members);
    let frozen = frozen.then_some(members / 2);
    let mut hops = vec![None; members];
    hops[0] = Some(0);
    for (to, hop) in hops.iter_mut().enumerate().skip(1) {
        tally.send(0, CHANGE_BYTES);
        if Some(to) != frozen {
            *hop = Some(1);
        }
    }
    tally.outcome(&hops, frozen, 1)
}
