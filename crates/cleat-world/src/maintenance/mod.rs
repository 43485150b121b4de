//! The places of instances in pools, moves between pools, and maintenance waves.

mod commands;
mod place;
mod wave;

pub use commands::{
    AdvanceMove, MoveAnswer, MoveInstance, PauseWave, ResumeWave, StartWave, StepInstance,
    WaveAnswer,
};
pub use place::{Phase, Place};
pub use wave::{Step, StepState, Wave};
