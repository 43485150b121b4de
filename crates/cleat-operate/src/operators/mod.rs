//! The operator interface of entry instances.

mod command_id;
mod config;
mod lists;
mod maintenance;
mod moves;
mod status;

use std::sync::Arc;

use cleat_http::RequestBody;
use http::{Method, Request};

use crate::ControlPlane;
use crate::http::{Answer, Handler, Listener, Problem, ProblemKind, RunningServer};

/// The HTTP server for operators.
#[derive(Debug)]
pub struct OperatorServer<C> {
    control: Arc<C>,
}

impl<C: ControlPlane> OperatorServer<C> {
    /// Serves requests on `listener` until the returned server is stopped.
    pub fn spawn(listener: Listener, control: Arc<C>) -> RunningServer {
        listener.spawn(Arc::new(OperatorServer { control }))
    }
}

impl<C: ControlPlane> Handler for OperatorServer<C> {
    async fn handle(&self, req: Request<RequestBody>) -> Answer {
        let control = &*self.control;
        let path = req.uri().path().to_owned();
        match (req.method().clone(), path.as_str()) {
            (Method::POST, path) => post(control, path, req).await,
            (Method::GET, "/maintenance") => maintenance::show(control).await,
            (Method::PUT, "/config") => config::put(control, req).await,
            (Method::GET, "/config") => config::show(control).await,
            (Method::GET, "/config/history") => config::history(control).await,
            (Method::GET, "/config/status") => config::status(control).await,
            (Method::GET, "/pools") => lists::pools(control).await,
            (Method::GET, "/instances") => lists::instances(control).await,
            (Method::GET, "/targets") => lists::targets(control).await,
            (Method::GET, "/status") => status::status(control).await,
            (Method::GET, "/metrics-snapshot") => status::metrics(control),
            (method, path) => unknown_route(&method, path),
        }
    }
}

/// Routes a POST request, which acts on one instance or one pool.
async fn post<C: ControlPlane>(control: &C, path: &str, req: Request<RequestBody>) -> Answer {
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match segments[..] {
        ["instances", name, "move"] => return moves::post(control, name, req).await,
        ["maintenance", pool, segment] => {
            if let Some(action) = maintenance::WaveAction::from_segment(segment) {
                return maintenance::post(control, pool, action, req).await;
            }
        }
        _ => {}
    }
    unknown_route(&Method::POST, path)
}

/// Answers that the path does not exist or does not support the method.
fn unknown_route(method: &Method, path: &str) -> Answer {
    let known = [
        "/config",
        "/config/history",
        "/config/status",
        "/pools",
        "/instances",
        "/maintenance",
        "/targets",
        "/status",
        "/metrics-snapshot",
    ];
    let kind = match known.contains(&path) {
        true => ProblemKind::MethodNotAllowed,
        false => ProblemKind::NotFound,
    };
    Problem::new(kind, format!("{method} {path}")).into_answer()
}
