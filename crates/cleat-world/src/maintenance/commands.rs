//! The commands for moves and maintenance of instances, and their answers.

use serde::{Deserialize, Serialize};

use super::{Phase, Step};

/// Moves an instance to another pool, by order of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveInstance {
    /// The instance to move.
    pub instance: Box<str>,
    /// The destination pool.
    pub to: Box<str>,
    /// Identifies the command when it is repeated.
    pub command_id: Option<Box<str>>,
}

/// Advances a move to its next phase.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvanceMove {
    /// The instance.
    pub instance: Box<str>,
    /// The epoch of the phase in which the command was proposed.
    pub epoch: u64,
    /// The phase to enter; [`Phase::Joining`] ends the move.
    pub phase: Phase,
}

/// Starts a maintenance wave, by order of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartWave {
    /// The pool to maintain.
    pub pool: Box<str>,
    /// Identifies the command when it is repeated.
    pub command_id: Option<Box<str>>,
}

/// Pauses a maintenance wave, by order of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PauseWave {
    /// The pool under maintenance.
    pub pool: Box<str>,
    /// Identifies the command when it is repeated.
    pub command_id: Option<Box<str>>,
}

/// Resumes a paused maintenance wave, by order of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeWave {
    /// The pool under maintenance.
    pub pool: Box<str>,
    /// Identifies the command when it is repeated.
    pub command_id: Option<Box<str>>,
}

/// Advances an instance to its next step in a maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepInstance {
    /// The pool under maintenance.
    pub pool: Box<str>,
    /// The id of the wave in which the command was proposed.
    pub wave: u64,
    /// The instance.
    pub instance: Box<str>,
    /// The step in which the command was proposed.
    pub from: Step,
    /// The step to enter.
    pub to: Step,
}

/// The answer to [`MoveInstance`] and [`AdvanceMove`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveAnswer {
    /// The move is in progress.
    Moving {
        /// The log index at which the current phase began.
        epoch: u64,
    },
    /// The instance already belongs to the pool. Nothing was changed.
    AlreadyThere,
    /// The instance does not exist.
    UnknownInstance,
    /// The pool does not exist.
    UnknownPool,
    /// Another move of the instance is in progress.
    MoveInProgress {
        /// The destination of that move.
        to: Box<str>,
    },
    /// The instance is under maintenance.
    InMaintenance {
        /// The current maintenance step.
        step: Step,
    },
    /// The move would exceed the availability budget of the pool.
    OverBudget {
        /// The pool that the instance would leave.
        pool: Box<str>,
        /// The number of its instances that are away.
        away: u64,
        /// The number of its instances that may be away.
        budget: u64,
    },
    /// The command was proposed in a phase that is no longer current.
    Stale,
}

/// The answer to a command on a maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WaveAnswer {
    /// The wave started.
    Started {
        /// The id of the wave.
        wave: u64,
    },
    /// The wave is paused.
    Paused,
    /// The wave is resumed.
    Resumed,
    /// The instance entered the step.
    Stepped {
        /// The log index at which the step began.
        epoch: u64,
    },
    /// The pool does not exist.
    UnknownPool,
    /// The configuration does not name a platform that could maintain instances.
    NoPlatform,
    /// A wave of the pool is in progress.
    InProgress {
        /// The id of the wave.
        wave: u64,
    },
    /// No wave of the pool is in progress.
    NoWave,
    /// The step would exceed the availability budget of the pool.
    OverBudget {
        /// The number of instances of the pool that are away.
        away: u64,
        /// The number of instances of the pool that may be away.
        budget: u64,
    },
    /// The command was proposed in a wave or step that is no longer current, the wave
    /// is paused, or the instance is moving to another pool.
    Stale,
}
