//! Counting what members send.

use super::FRAME_BYTES;

/// What one change cost.
pub(crate) struct Outcome {
    /// Bytes sent by the member that sent most.
    pub(crate) bytes_max: f64,
    /// Bytes sent by a member on average.
    pub(crate) bytes_mean: f64,
    /// The most hops to any member that was reached.
    pub(crate) hops_max: f64,
    /// Live members that were not reached.
    pub(crate) missed: f64,
}

/// Bytes sent by each member.
pub(crate) struct Tally {
    sent: Vec<u64>,
}

impl Tally {
    pub(crate) fn new(members: usize) -> Tally {
        Tally {
            sent: vec![0; members],
        }
    }

    /// `from` sends a frame with `payload` bytes.
    pub(crate) fn send(&mut self, from: usize, payload: u64) {
        self.sent[from] += payload + FRAME_BYTES;
    }

    /// `hops[i]` is unset where member `i` was not reached; `rounds` changes
    /// were counted.
    pub(crate) fn outcome(
        &self,
        hops: &[Option<u32>],
        frozen: Option<usize>,
        rounds: u64,
    ) -> Outcome {
        let live = |i: &usize| Some(*i) != frozen;
        let missed = (0..hops.len())
            .filter(live)
            .filter(|i| hops[*i].is_none())
            .count();
        let max = self.sent.iter().max().copied().unwrap_or(0);
        let sum: u64 = self.sent.iter().sum();
        let hops_max = hops.iter().flatten().max().copied().unwrap_or(0);
        Outcome {
            bytes_max: max as f64 / rounds as f64,
            bytes_mean: sum as f64 / hops.len() as f64 / rounds as f64,
            hops_max: f64::from(hops_max),
            missed: missed as f64,
        }
    }
}
