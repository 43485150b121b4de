//! A small HTTP/1.1 server and a client that keeps connections, on hyper.

mod body;
mod budget;
mod client;
mod guarded;
mod inbound;
mod pool;
mod respond;
mod server;
mod time_limit;

pub use body::{BodyError, RequestBody, WholeBody, read_body};
pub use budget::ConnectionBudget;
pub use client::{CallError, Client, ClientConfig, Reply};
pub use guarded::GuardedBody;
pub use inbound::{
    Closure, Held, Inbound, InboundConnection, InboundCounts, InboundIo, InboundLimits, MemoryFull,
    RequestGuard,
};
pub use respond::{Answer, bytes, empty, json, json_with_media_type, text, unavailable};
pub use server::{Handler, ListenError, Listener, RunningServer, listen_for_clients};
