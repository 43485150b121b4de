//! Why an instance did not do what another asked of it.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Why an instance did not do what it was asked. `L` is what the leader goes
/// by.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Snafu)]
pub enum Refusal<L> {
    /// It does not lead. Nothing was changed; ask the leader.
    #[snafu(display("this instance does not lead"))]
    NotLeader {
        /// The leader it knows of.
        leader: Option<L>,
    },
    /// It can't be sure, or no majority of the voters can be reached. Nothing
    /// was changed; try again later.
    #[snafu(display("no quorum; nothing was changed"))]
    NoQuorum,
    /// It was proposed, and the lead was lost before the outcome was known.
    /// Repeat it under the same identity.
    #[snafu(display("the outcome is unknown"))]
    OutcomeUnknown,
    /// The command is too large for the log. Make it smaller.
    #[snafu(display("the command is too large for the log"))]
    TooLarge,
    /// The instance is stopping. Ask another one.
    #[snafu(display("this instance is stopping"))]
    Stopping,
}
