//! A small HTTP/1.1 server and a client that keeps connections, on hyper.

mod body;
mod budget;
mod client;
mod pool;
mod respond;
mod server;
mod time_limit;

pub use body::{BodyError, read_body};
pub use budget::ConnectionBudget;
pub use client::{CallError, Client, ClientConfig, Reply};
pub use respond::{Answer, empty, json, json_with_media_type, text};
pub use server::{Handler, ListenError, Listener, RunningServer};
