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
    /// The leader's clock when it proposed this, in milliseconds since the
    /// Unix epoch. The state never lets it run backwards.
    pub at_ms: u64,
    /// What to change.
    pub body: CommandBody,
}

/// What a command changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CommandBody {
    /// Bring a configuration into force.
    ApplyConfig(ApplyConfig),
    /// A target announces itself, or announces something new about itself.
    Announce(Announce),
    /// A target leaves.
    Withdraw(Withdraw),
    /// Take an idempotency key before the first send.
    ClaimKey(ClaimKey),
    /// Say what came of a claimed key.
    SettleKey(SettleKey),
    /// One of the system's own instances starts a new incarnation.
    BeginIncarnation(BeginIncarnation),
    /// Move an instance to another pool.
    MoveInstance(MoveInstance),
    /// Take a move one phase on.
    AdvanceMove(AdvanceMove),
    /// Start a maintenance wave.
    StartWave(StartWave),
    /// Pause a maintenance wave.
    PauseWave(PauseWave),
    /// Resume a maintenance wave.
    ResumeWave(ResumeWave),
    /// Take an instance one step on in a wave.
    StepInstance(StepInstance),
}

impl CommandBody {
    /// The identity of the command when it is sent again, if it has one.
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

/// A proposal of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyConfig {
    /// The version that must be in force for this to be accepted.
    pub expect: u64,
    /// The identity of the command when it is sent again.
    pub command_id: Option<Box<str>>,
    /// What is proposed.
    pub config: ProposedConfig,
}

/// A configuration as it is sent to every instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposedConfig {
    /// The whole configuration as JSON text, overlay already merged in.
    Whole(Box<str>),
    /// Only what differs from the expected version: a JSON Merge Patch as
    /// text. Most changes are small and configurations are not.
    Patch(Box<str>),
}

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service it serves.
    pub service: Box<str>,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// The instance it runs on, one of the service's pool.
    pub instance: Box<str>,
    /// The data centre it runs in.
    pub data_centre: Box<str>,
    /// The most requests of ours it takes at once, over all instances.
    pub slots: u32,
    /// The most connections of ours it takes, over all instances.
    pub connections: u32,
}

/// An announcement under a name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// The target's name, unique in the fleet.
    pub name: Box<str>,
    /// What it says.
    pub announcement: Announcement,
}

/// The end of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdraw {
    /// The target's name.
    pub name: Box<str>,
    /// Why.
    pub cause: WithdrawCause,
}

/// Why a target leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WithdrawCause {
    /// It said so.
    Left,
    /// Its lease lapsed. Holds only for the announcement that the leader
    /// watched, so that a later one under the same name is not taken away.
    LeaseLapsed {
        /// The log index of that announcement.
        incarnation: u64,
    },
}

/// Taking an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Service, caller and key, see [`KeyTable`](crate::KeyTable).
    pub key: Box<str>,
    /// A digest of what identifies the request; another under the same key is
    /// a caller's mistake.
    pub digest: u64,
    /// The claiming instance of the system's own.
    pub entry: Box<str>,
    /// That instance's incarnation.
    pub incarnation: u64,
    /// A number that no other claim of this incarnation has: a settlement that is
    /// sent twice or late cannot end a later claim of the same key.
    pub number: u64,
    /// After this long without a settlement the outcome is unknown, in ms.
    pub settle_timeout_ms: u64,
}

/// What came of a claimed key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleKey {
    /// The key of the claim.
    pub key: Box<str>,
    /// The instance that claimed it.
    pub entry: Box<str>,
    /// That instance's incarnation when it claimed.
    pub incarnation: u64,
    /// The number of the claim.
    pub number: u64,
    /// What came of it.
    pub settlement: crate::Settlement,
}

/// A new incarnation of one of the system's own instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginIncarnation {
    /// The instance.
    pub entry: Box<str>,
    /// A number that no earlier incarnation of it had.
    pub incarnation: u64,
}

/// What a command came to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// To [`ApplyConfig`].
    Config(ConfigAnswer),
    /// To [`Announce`] and [`Withdraw`].
    Target(TargetAnswer),
    /// To [`ClaimKey`] and [`SettleKey`].
    Key(KeyAnswer),
    /// To [`MoveInstance`] and [`AdvanceMove`].
    Move(MoveAnswer),
    /// To the commands about waves.
    Wave(WaveAnswer),
    /// To a command that always succeeds.
    Done,
    /// The entry could not be read; it changed nothing on any instance.
    Unreadable,
}

/// What an [`ApplyConfig`] came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigAnswer {
    /// It is the configuration now.
    Accepted {
        /// Its version.
        version: u64,
    },
    /// Another version is in force than was expected.
    Refused {
        /// The version in force.
        winner: u64,
        /// The command that brought it, if it had an id.
        winner_command_id: Option<Box<str>>,
    },
    /// It is not valid.
    Invalid {
        /// Every fault found.
        faults: Box<[Fault]>,
    },
    /// A pool keeps its budget now and would not keep it afterwards.
    OverBudget {
        /// The pool.
        pool: Box<str>,
        /// How many of its instances are away.
        away: u64,
        /// How many could be.
        budget: u64,
    },
}

/// What an announcement or withdrawal came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetAnswer {
    /// The target is known under this announcement.
    Announced {
        /// The log index of the announcement.
        incarnation: u64,
        /// How long it holds without renewal, in milliseconds.
        lease_ms: u64,
    },
    /// The target is gone, or was never there.
    Withdrawn,
    /// The service is not configured.
    UnknownService,
    /// The instance is in no pool.
    UnknownInstance,
    /// The instance belongs to another pool than the service's.
    WrongPool {
        /// The pool of the instance.
        pool: Box<str>,
    },
    /// The instance is configured in another data centre.
    WrongDataCentre {
        /// The data centre of the instance.
        data_centre: Box<str>,
    },
    /// The instance moves to another pool or reboots; announce again later.
    InstanceAway,
    /// Another target has the address.
    AddressTaken {
        /// The target that has it.
        by: Box<str>,
    },
}

/// What a claim or settlement came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyAnswer {
    /// The claim is the caller's: it may send.
    Granted,
    /// Another request with this key is in progress.
    InProgress {
        /// The instance that holds it.
        entry: Box<str>,
    },
    /// It ran; this is the first answer.
    Ran(StoredAnswer),
    /// It ran; the answer was larger than what is kept.
    RanAnswerNotKept,
    /// It may have run.
    Unknown,
    /// The key was used with another request.
    OtherRequest,
    /// The table of keys is full; nothing was claimed.
    Full,
    /// The settlement was recorded.
    Settled,
    /// The settlement came from no holder of the claim and changed nothing.
    NotHolder,
}

/// A log entry that could not be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DecodeError {
    /// The bytes are not a command of this format. An instance of another
    /// version wrote them; run the same version on all instances.
    #[snafu(display("the log entry is not a command of this version"))]
    NotACommand {
        /// What the codec says.
        source: postcard::Error,
    },
}

impl Command {
    /// The bytes that stand in the log.
    pub fn encode(&self) -> Box<[u8]> {
        to_bytes(self)
    }

    /// Reads what [`Command::encode`] wrote.
    ///
    /// # Errors
    /// [`DecodeError`] if the bytes are not a command of this format.
    pub fn decode(bytes: &[u8]) -> Result<Command, DecodeError> {
        postcard::from_bytes(bytes).context(NotACommandSnafu)
    }
}

impl Answer {
    /// The bytes that go back to the proposer.
    pub fn encode(&self) -> Box<[u8]> {
        to_bytes(self)
    }

    /// Reads what [`Answer::encode`] wrote; anything else is
    /// [`Answer::Unreadable`].
    pub fn decode(bytes: &[u8]) -> Answer {
        postcard::from_bytes(bytes).unwrap_or(Answer::Unreadable)
    }
}

/// Plain data of known length always encodes; an empty buffer would be refused
/// by every reader.
pub(crate) fn to_bytes<T: Serialize>(value: &T) -> Box<[u8]> {
    postcard::to_stdvec(value).unwrap_or_default().into()
}
