//! The status and the metrics of this instance.

use cleat_link::MemberReport;
use http::StatusCode;
use serde::Serialize;

use crate::http::{Answer, json};
use crate::{ControlPlane, InstanceStatus};

#[derive(Serialize)]
struct StatusBody {
    #[serde(flatten)]
    instance: InstanceStatus,
    version: u64,
    targets: usize,
    /// Null if the leader cannot be reached.
    members: Option<Vec<MemberReport>>,
}

/// `GET /status`, which also works without a quorum.
pub(super) async fn status<C: ControlPlane>(control: &C) -> Answer {
    let members = control.members().await.ok();
    let (version, targets) = control.world(|world| (world.version(), world.targets().len()));
    let body = StatusBody {
        instance: control.status(),
        version,
        targets,
        members,
    };
    json(StatusCode::OK, &body)
}

/// `GET /metrics-snapshot`.
pub(super) fn metrics<C: ControlPlane>(control: &C) -> Answer {
    json(StatusCode::OK, &control.metrics())
}
