//! A small HTTP/1.1 server for JSON requests and answers.

mod problem;
mod request;
mod respond;
mod server;

pub(crate) use problem::{Problem, ProblemKind, from_control};
pub(crate) use request::read_json;
pub(crate) use respond::{Answer, json};
pub(crate) use server::Handler;
pub use server::{ListenError, Listener, RunningServer};
