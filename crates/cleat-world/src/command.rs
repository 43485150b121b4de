//! The commands of the replicated log and their answers.

use cleat_json::Fault;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::{
    AdvanceMove, MoveAnswer, MoveInstance, PauseWave, ResumeWave, StartWave, StepInstance,
    StoredAnswer, WaveAnswer,
};

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// The time on the leader's clock when it proposed the command, in milliseconds
    /// since the Unix epoch. A time earlier than that of a previous command does not
    /// set the clock of the state back.
    pub at_ms: u64,
    /// The change to make.
    pub body: CommandBody,
}

/// The change that a command makes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CommandBody {
    /// Replaces the configuration.
    ApplyConfig(ApplyConfig),
    /// Announces a target, or replaces its announcement.
    Announce(Announce),
    /// Withdraws a target.
    Withdraw(Withdraw),
    /// Claims an idempotency key, before the request is first sent to a target.
    ClaimKey(ClaimKey),
    /// Records the outcome of the request under a claimed key.
    SettleKey(SettleKey),
    /// Starts a new incarnation of an entry instance.
    BeginIncarnation(BeginIncarnation),
    /// Moves an instance to another pool.
    MoveInstance(MoveInstance),
    /// Advances a move to its next phase.
    AdvanceMove(AdvanceMove),
    /// Starts a maintenance wave.
    StartWave(StartWave),
    /// Pauses a maintenance wave.
    PauseWave(PauseWave),
    /// Resumes a maintenance wave.
    ResumeWave(ResumeWave),
    /// Advances an instance to its next step in a wave.
    StepInstance(StepInstance),
}

impl CommandBody {
    /// Returns the id that identifies a repeated command, if it has one.
    pub fn command_id(&self) -> Option<&str> {
        match self {
            CommandBody::ApplyConfig(change) => change.command_id.as_deref(),
            CommandBody::MoveInstance(change) => change.command_id.as_deref(),
            CommandBody::StartWave(change) => change.command_id.as_deref(),
            CommandBody::PauseWave(change) => change.command_id.as_deref(),
            CommandBody::ResumeWave(change) => change.command_id.as_deref(),
            CommandBody::Announce(_)
            | CommandBody::Withdraw(_)
            | CommandBody::ClaimKey(_)
            | CommandBody::SettleKey(_)
            | CommandBody::BeginIncarnation(_)
            | CommandBody::AdvanceMove(_)
            | CommandBody::StepInstance(_) => None,
        }
    }
}

/// Proposes a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyConfig {
    /// The version that has to be current for the proposal to be accepted.
    pub expect: u64,
    /// Identifies the command when it is repeated.
    pub command_id: Option<Box<str>>,
    /// The proposed configuration.
    pub config: ProposedConfig,
}

/// A proposed configuration as the replicated log contains it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposedConfig {
    /// The whole configuration as JSON text, with the overlay already merged in.
    Whole(Box<str>),
    /// The difference from the expected version, as the text of a JSON Merge Patch.
    /// Most changes are small while configurations are large.
    Patch(Box<str>),
}

/// The properties that a target declares for itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service that the target provides.
    pub service: Box<str>,
    /// The address that the target listens on.
    pub address: std::net::SocketAddr,
    /// The instance that the target runs on, which belongs to the pool of the service.
    pub instance: Box<str>,
    /// The data centre that the target runs in.
    pub data_centre: Box<str>,
    /// The maximum number of concurrent requests that the target admits from all
    /// entry instances together.
    pub slots: u32,
    /// The maximum number of connections that the target accepts from all entry
    /// instances together.
    pub connections: u32,
}

/// Announces a target under a name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// The target's name, unique in the fleet.
    pub name: Box<str>,
    /// The declared properties.
    pub announcement: Announcement,
}

/// Withdraws a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdraw {
    /// The target's name.
    pub name: Box<str>,
    /// The reason.
    pub cause: WithdrawCause,
}

/// The reason for withdrawing a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WithdrawCause {
    /// The target requested it.
    Left,
    /// The lease of the target lapsed. This applies only to the incarnation that the
    /// leader tracked, so that a later one under the same name is not withdrawn.
    LeaseLapsed {
        /// The log index of the announcement that started this incarnation.
        incarnation: u64,
    },
}

/// Claims an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The service, the caller and the key, in the stored form of
    /// [`KeyTable`](crate::KeyTable).
    pub key: Box<str>,
    /// A digest of what identifies the request. A different digest under the same key
    /// is an error of the caller.
    pub digest: u64,
    /// The entry instance that makes the claim.
    pub entry: Box<str>,
    /// The incarnation of the entry instance.
    pub incarnation: u64,
    /// A number that is unique among the claims of this incarnation, so that a
    /// repeated or late settlement cannot end a later claim of the same key.
    pub number: u64,
    /// The time after which the outcome of an unsettled claim is unknown, in ms.
    pub settle_timeout_ms: u64,
}

/// Records the outcome of the request under a claimed key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleKey {
    /// The key of the claim.
    pub key: Box<str>,
    /// The entry instance that made the claim.
    pub entry: Box<str>,
    /// The incarnation of the entry instance that made the claim.
    pub incarnation: u64,
    /// The number of the claim.
    pub number: u64,
    /// The outcome.
    pub settlement: crate::Settlement,
}

/// Starts a new incarnation of an entry instance: a new run of its process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginIncarnation {
    /// The entry instance.
    pub entry: Box<str>,
    /// A number that no earlier incarnation of the entry instance had.
    pub incarnation: u64,
}

/// The answer to a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The answer to [`ApplyConfig`].
    Config(ConfigAnswer),
    /// The answer to [`Announce`] and [`Withdraw`].
    Target(TargetAnswer),
    /// The answer to [`ClaimKey`] and [`SettleKey`].
    Key(KeyAnswer),
    /// The answer to [`MoveInstance`] and [`AdvanceMove`].
    Move(MoveAnswer),
    /// The answer to the commands on maintenance waves.
    Wave(WaveAnswer),
    /// The answer to a command that always succeeds.
    Done,
    /// The log entry could not be decoded and changed nothing on any instance.
    Unreadable,
}

/// The answer to [`ApplyConfig`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigAnswer {
    /// The proposal is the current configuration.
    Accepted {
        /// The version of the configuration.
        version: u64,
    },
    /// The current version is not the expected one.
    Refused {
        /// The current version.
        winner: u64,
        /// The id of the command that set the current version, if it had one.
        winner_command_id: Option<Box<str>>,
    },
    /// The proposed configuration is not valid.
    Invalid {
        /// All faults of the configuration.
        faults: Box<[Fault]>,
    },
    /// A pool that is within its availability budget would exceed it.
    OverBudget {
        /// The pool.
        pool: Box<str>,
        /// The number of its instances that would be away.
        away: u64,
        /// The number of its instances that may be away under the proposal.
        budget: u64,
    },
}

/// The answer to [`Announce`] and [`Withdraw`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetAnswer {
    /// The target is registered with this announcement.
    Announced {
        /// The log index of the announcement.
        incarnation: u64,
        /// The duration of the lease without a renewal, in milliseconds.
        lease_ms: u64,
    },
    /// The target is withdrawn, or was never announced.
    Withdrawn,
    /// The service is not configured.
    UnknownService,
    /// The instance belongs to no pool.
    UnknownInstance,
    /// The instance does not belong to the pool of the service.
    WrongPool {
        /// The pool of the instance.
        pool: Box<str>,
    },
    /// The instance is configured in another data centre.
    WrongDataCentre {
        /// The data centre of the instance.
        data_centre: Box<str>,
    },
    /// The instance is moving to another pool or rebooting. Announce again later.
    InstanceAway,
    /// Another target uses the address.
    AddressTaken {
        /// The target that uses the address.
        by: Box<str>,
    },
}

/// The answer to [`ClaimKey`] and [`SettleKey`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyAnswer {
    /// The key is claimed: the claimant may send the request.
    Granted,
    /// Another request under this key is in progress.
    InProgress {
        /// The entry instance that holds the claim.
        entry: Box<str>,
    },
    /// The request ran. This is its stored answer.
    Ran(StoredAnswer),
    /// The request ran. Its answer exceeded the size limit or was evicted.
    RanAnswerNotKept,
    /// The request may have run.
    Unknown,
    /// The key was used for a different request.
    OtherRequest,
    /// The key table is full. The key was not claimed.
    Full,
    /// The settlement was recorded.
    Settled,
    /// The settlement did not come from the holder of the claim and changed nothing.
    NotHolder,
}

/// Why a log entry could not be decoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DecodeError {
    /// The bytes are not a command of this format. An instance of another version
    /// wrote them. Run the same version on all instances.
    #[snafu(display("the log entry is not a command of this version"))]
    NotACommand {
        /// The error of the codec.
        source: postcard::Error,
    },
}

impl Command {
    /// Encodes the command for the log.
    pub fn encode(&self) -> Box<[u8]> {
        to_bytes(self)
    }

    /// Decodes the output of [`Command::encode`].
    ///
    /// # Errors
    /// [`DecodeError`] if the bytes are not a command of this format.
    pub fn decode(bytes: &[u8]) -> Result<Command, DecodeError> {
        postcard::from_bytes(bytes).context(NotACommandSnafu)
    }
}

impl Answer {
    /// Encodes the answer for the proposer.
    pub fn encode(&self) -> Box<[u8]> {
        to_bytes(self)
    }

    /// Decodes the output of [`Answer::encode`]; anything else is
    /// [`Answer::Unreadable`].
    pub fn decode(bytes: &[u8]) -> Answer {
        postcard::from_bytes(bytes).unwrap_or(Answer::Unreadable)
    }
}

/// Encodes `value`. Plain data of known length can always be encoded; the empty buffer
/// that an error would produce fails to decode.
pub(crate) fn to_bytes<T: Serialize>(value: &T) -> Box<[u8]> {
    postcard::to_stdvec(value).unwrap_or_default().into()
}
