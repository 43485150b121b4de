//! Typed calls between the instances, over tarpc on TCP.
//!
//! A [`Link`] keeps one connection to one other instance and opens it again
//! when it breaks. Consensus messages are sent without waiting and may be
//! lost; calls say whether they may have arrived.

mod channel;
mod codec;
mod control;
mod handler;
mod link;
mod peer;
mod refusal;
mod server;

pub use channel::Channel;
pub use codec::{LinkTraffic, TrafficSnapshot};
pub use control::{
    AskError, Control, ControlCall, ControlClient, ControlError, ControlHandler, ControlReply,
    CustomerLine, JobLine, JobView, Overview, ShownKey, WorkerLine,
};
pub use handler::Handler;
pub use link::{CallError, Link, LinkConfig};
pub use peer::{
    MemberReport, Peer, PeerClient, PeerError, Proposed, Renewal, RenewalOutcome, SlotMessage,
};
pub use refusal::Refusal;
pub use server::{PeerListener, ServeError};
