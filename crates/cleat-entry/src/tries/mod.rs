//! From a checked request to its answer.

mod answer;
mod claim;
mod detached;
mod exchange;
mod in_hand;
mod job;
mod keyed;
mod look_up;
mod run;
mod settle;

pub(crate) use answer::Answer;
pub(crate) use in_hand::KeysInHand;
pub(crate) use job::Job;
pub(crate) use look_up::Refused;
