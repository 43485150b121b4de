//! Reading an announcement with every fault found.

use std::net::SocketAddr;

use cleat_json::{Fault, FaultKind, Faults, Node, Object};
use cleat_world::{Announce, Announcement};
use http::StatusCode;
use serde_json::{Value, json};

use crate::http::{Answer, json as json_answer};

const DEFAULT_SLOTS: u64 = 8;
const DEFAULT_CONNECTIONS: u64 = 64;
const MAX_SLOTS: u64 = 65_536;
const MAX_NAME_BYTES: usize = 128;

/// Reads the announcement of target `name`.
pub(super) fn parse(name: &str, value: &Value) -> Result<Announce, Box<[Fault]>> {
    let mut faults = Faults::default();
    check_name(name, value, &mut faults);
    let announcement = Node::root(value)
        .object(&mut faults)
        .and_then(|root| read_announcement(&root, &mut faults));
    match faults.into_result(announcement)? {
        Some(announcement) => Ok(Announce {
            name: name.into(),
            announcement,
        }),
        None => Err(Box::default()),
    }
}

/// The answer to a faulty announcement.
pub(super) fn faults_answer(faults: &[Fault]) -> Answer {
    let faults: Vec<_> = faults
        .iter()
        .map(|fault| json!({"path": fault.path, "message": fault.kind.to_string()}))
        .collect();
    let body = json!({
        "type": "urn:celerycleat:problem:bad-announcement",
        "title": "The announcement is not valid",
        "status": 422,
        "faults": faults,
    });
    json_answer(StatusCode::UNPROCESSABLE_ENTITY, &body)
}

fn check_name(name: &str, value: &Value, faults: &mut Faults) {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
    if name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed) {
        return;
    }
    let kind = FaultKind::BadText {
        expected: "a path segment of letters, digits, '-', '_', '.' or ':'".into(),
        found: name.into(),
    };
    faults.add(&Node::root(value).path, kind);
}

fn read_announcement(root: &Object<'_>, faults: &mut Faults) -> Option<Announcement> {
    let keys = [
        "service",
        "address",
        "instance",
        "data_centre",
        "slots",
        "connections",
    ];
    root.only(&keys, faults);
    let service = root.text("service", faults);
    let address = read_address(root, faults);
    let instance = root.text("instance", faults);
    let data_centre = root.text("data_centre", faults);
    let slots = root.number_or("slots", DEFAULT_SLOTS, 1..=MAX_SLOTS, faults);
    let connections = root.number_or("connections", DEFAULT_CONNECTIONS, 1..=MAX_SLOTS, faults);
    Some(Announcement {
        service: service?,
        address: address?,
        instance: instance?,
        data_centre: data_centre?,
        slots: u32::try_from(slots).ok()?,
        connections: u32::try_from(connections).ok()?,
    })
}

fn read_address(root: &Object<'_>, faults: &mut Faults) -> Option<SocketAddr> {
    let node = root.require("address", faults)?;
    let text = node.text(faults)?;
    let address = text.parse::<SocketAddr>().ok();
    let usable =
        address.filter(|a| a.port() != 0 && !a.ip().is_unspecified() && !a.ip().is_multicast());
    if usable.is_none() {
        let kind = FaultKind::BadText {
            expected: "IP:PORT of one machine, the port not 0".into(),
            found: text,
        };
        faults.add(&node.path, kind);
    }
    usable
}
