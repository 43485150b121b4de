//! Reads JSON requests and builds JSON answers, on top of the HTTP/1.1 server of `cleat_http`.

mod problem;
mod request;

pub(crate) use cleat_http::{Answer, Handler, json};
pub use cleat_http::{ListenError, Listener, RunningServer};
pub(crate) use problem::{Problem, ProblemKind, from_control};
pub(crate) use request::read_json;
