//! The objects of the fleet: data centres, pools, instances, services and
//! targets, the configuration that states them, and the replicated state.
//!
//! Everything here is plain data and pure functions. A [`World`] changes only
//! through [`World::apply`], one [`Command`] at a time, in the order of the
//! replicated log, so that every instance computes the same state.

mod arena;
mod command;
mod fleet;
mod ids;
mod keys;
mod maintenance;
mod state;

pub use arena::{Arena, Key};
pub use command::{
    Announce, Announcement, Answer, ApplyConfig, BeginIncarnation, ClaimKey, Command, CommandBody,
    ConfigAnswer, DecodeError, KeyAnswer, ProposedConfig, SettleKey, TargetAnswer, Withdraw,
    WithdrawCause,
};
pub use fleet::{
    CallerTerms, DataCentre, FleetConfig, Instance, KeyTerms, MaintenanceTerms, Pool, Queue, Quota,
    Retry, Service, default_config_text, diff, merge,
};
pub use ids::{DataCentreId, InstanceId, PoolId, ServiceId};
pub use keys::{Claim, ClaimState, KeyTable, Settlement, StoredAnswer};
pub use maintenance::{
    AdvanceMove, MoveAnswer, MoveInstance, PauseWave, Phase, Place, ResumeWave, StartWave, Step,
    StepInstance, StepState, Wave, WaveAnswer,
};
pub use state::{Availability, ConfigRecord, RestoreError, Target, World};
