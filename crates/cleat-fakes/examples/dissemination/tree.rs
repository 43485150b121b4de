//! Each member sends to its three children in a tree of random order. A
//! frozen member cuts off what is below it until the tree is made anew.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt, SeedableRng};

use super::CHANGE_BYTES;
use super::tally::{Outcome, Tally};

const CHILDREN: usize = 3;

pub(crate) fn run(members: usize, frozen: bool, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let order = order(members, &mut rng);
    let frozen = frozen.then(|| rng.random_range(1..members));
    let mut tally = Tally::new(members);
    let mut hops = vec![None; members];
    hops[0] = Some(0);
    for place in 0..members {
        let from = order[place];
        let Some(hop) = hops[from] else { continue };
        for child in 1..=CHILDREN {
            let Some(to) = order.get(place * CHILDREN + child) else {
                break;
            };
            tally.send(from, CHANGE_BYTES);
            if Some(*to) != frozen {
                hops[*to] = Some(hop + 1);
            }
        }
    }
    tally.outcome(&hops, frozen, 1)
}

/// The leader first, the others in random order.
fn order(members: usize, rng: &mut impl Rng) -> Vec<usize> {
    let mut order: Vec<_> = (0..members).collect();
    order[1..].shuffle(rng);
    order
}
