//! The commands that move and maintain instances, and their answers.

use serde::{Deserialize, Serialize};

use super::{Phase, Step};

/// An operator moves an instance to another pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveInstance {
    /// The instance.
    pub instance: Box<str>,
    /// The pool it is to belong to.
    pub to: Box<str>,
    /// The identity of the command when it is sent again.
    pub command_id: Option<Box<str>>,
}

/// A move goes one phase on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvanceMove {
    /// The instance.
    pub instance: Box<str>,
    /// The epoch of the phase that this was decided in.
    pub epoch: u64,
    /// The phase to enter; [`Phase::Joining`] ends the move.
    pub phase: Phase,
}

/// An operator starts a maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartWave {
    /// The pool to maintain.
    pub pool: Box<str>,
    /// The identity of the command when it is sent again.
    pub command_id: Option<Box<str>>,
}

/// An operator pauses a wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PauseWave {
    /// The pool under maintenance.
    pub pool: Box<str>,
    /// The identity of the command when it is sent again.
    pub command_id: Option<Box<str>>,
}

/// An operator resumes a paused wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeWave {
    /// The pool under maintenance.
    pub pool: Box<str>,
    /// The identity of the command when it is sent again.
    pub command_id: Option<Box<str>>,
}

/// An instance goes one step on in a wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepInstance {
    /// The pool under maintenance.
    pub pool: Box<str>,
    /// The id of the wave that this was decided in.
    pub wave: u64,
    /// The instance.
    pub instance: Box<str>,
    /// The step that this was decided in.
    pub from: Step,
    /// The step to enter.
    pub to: Step,
}

/// What a [`MoveInstance`] or [`AdvanceMove`] came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveAnswer {
    /// The move began or went on.
    Moving {
        /// The log index from which it holds.
        epoch: u64,
    },
    /// The instance belongs to the pool already; nothing was changed.
    AlreadyThere,
    /// No such instance.
    UnknownInstance,
    /// No such pool.
    UnknownPool,
    /// Another move of the instance is under way.
    MoveInProgress {
        /// Where it goes.
        to: Box<str>,
    },
    /// A maintenance wave has the instance.
    InMaintenance {
        /// How far it is.
        step: Step,
    },
    /// More instances of the pool would be away than its budget allows.
    OverBudget {
        /// The pool that would be short.
        pool: Box<str>,
        /// How many of its instances are away now.
        away: u64,
        /// How many may be.
        budget: u64,
    },
    /// It was decided in another phase than the instance is in now.
    Stale,
}

/// What a command about a wave came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WaveAnswer {
    /// The wave started.
    Started {
        /// Its id.
        wave: u64,
    },
    /// The wave is paused.
    Paused,
    /// The wave goes on.
    Resumed,
    /// The instance went one step on.
    Stepped {
        /// The log index from which it holds.
        epoch: u64,
    },
    /// No such pool.
    UnknownPool,
    /// The configuration names no platform that could do it.
    NoPlatform,
    /// A wave of the pool is under way.
    InProgress {
        /// Its id.
        wave: u64,
    },
    /// No wave of the pool is under way.
    NoWave,
    /// More instances of the pool would be away than its budget allows.
    OverBudget {
        /// How many of its instances are away now.
        away: u64,
        /// How many may be.
        budget: u64,
    },
    /// It was decided in another wave or step than the one now, the wave is
    /// paused, or the instance is on the move.
    Stale,
}
