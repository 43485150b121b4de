//! The computed lower bound that placements are compared with.

use crate::size::{Resource, Size};

/// The fewest workers that could hold `total`, were jobs divisible at will and
/// each resource looked at alone. No placement does with fewer.
pub fn fewest_workers(total: Size, capacities: &[Size]) -> usize {
    let counts = Resource::ALL.map(|resource| fewest_for(resource, total, capacities));
    counts.into_iter().max().unwrap_or(0)
}

fn fewest_for(resource: Resource, total: Size, capacities: &[Size]) -> usize {
    let mut amounts: Vec<u32> = capacities.iter().map(|c| c.amount(resource)).collect();
    amounts.sort_unstable_by(|a, b| b.cmp(a));
    let needed = u64::from(total.amount(resource));
    let mut sum = 0u64;
    let mut count = 0;
    for amount in amounts {
        if sum >= needed {
            break;
        }
        sum += u64::from(amount);
        count += 1;
    }
    count
}
