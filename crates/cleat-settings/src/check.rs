//! What must hold between values that are each valid.

use std::net::SocketAddr;

use cleat_json::{FaultKind, Faults, Path};

use crate::read::PeerDraft;

/// What the instance says of itself; values at fault are absent.
#[derive(Debug)]
pub(crate) struct Own<'a> {
    pub(crate) name: Option<&'a str>,
    pub(crate) data_centre: Option<&'a str>,
    pub(crate) has_folder: bool,
}

/// No two listeners on one port, unless the system chooses it.
pub(crate) fn listen(found: &[Option<(Path, SocketAddr)>], faults: &mut Faults) {
    let mut seen: Vec<&(Path, SocketAddr)> = Vec::new();
    for current in found.iter().flatten() {
        let (path, address) = current;
        match seen.iter().find(|(_, other)| collide(address, other)) {
            Some((first, _)) => {
                let kind = duplicate("port", &address.port().to_string(), first);
                faults.add(path, kind);
            }
            None => seen.push(current),
        }
    }
}

/// Whether both can't be bound at once.
fn collide(a: &SocketAddr, b: &SocketAddr) -> bool {
    let any = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && (any || a.ip() == b.ip())
}

/// The peers differ, and this instance is one of them as it says itself.
pub(crate) fn peers(own: &Own<'_>, peers: &[PeerDraft<'_>], faults: &mut Faults) {
    for (i, peer) in peers.iter().enumerate() {
        let before = &peers[..i];
        unique_name(peer, before, faults);
        unique_address(peer, before, faults);
        if own.name != peer.name.as_deref() {
            reachable(peer, faults);
        }
    }
    let Some(name) = own.name else {
        return;
    };
    let me = peers.iter().find(|peer| peer.name.as_deref() == Some(name));
    match me {
        Some(me) => same_as_own(own, me, faults),
        None if peers.is_empty() => {}
        None => {
            let kind = FaultKind::UnknownReference {
                what: "peer".into(),
                name: name.into(),
            };
            faults.add(&Path::root().key("name"), kind);
        }
    }
}

fn unique_name(peer: &PeerDraft<'_>, before: &[PeerDraft<'_>], faults: &mut Faults) {
    let Some(name) = &peer.name else {
        return;
    };
    if let Some(first) = before.iter().find(|other| other.name == peer.name) {
        let first = first.object.path().key("name");
        let kind = duplicate("instance", name, &first);
        faults.add(&peer.object.path().key("name"), kind);
    }
}

fn unique_address(peer: &PeerDraft<'_>, before: &[PeerDraft<'_>], faults: &mut Faults) {
    let Some(address) = peer.address.filter(|address| address.port() != 0) else {
        return;
    };
    if let Some(first) = before.iter().find(|other| other.address == peer.address) {
        let first = first.object.path().key("address");
        let kind = duplicate("address", &address.to_string(), &first);
        faults.add(&peer.object.path().key("address"), kind);
    }
}

/// Another instance has to be on a port that can be dialled.
fn reachable(peer: &PeerDraft<'_>, faults: &mut Faults) {
    let Some(address) = peer.address.filter(|address| address.port() == 0) else {
        return;
    };
    let kind = FaultKind::BadText {
        expected: "IP:PORT with a port other than 0".into(),
        found: address.to_string().into(),
    };
    faults.add(&peer.object.path().key("address"), kind);
}

fn same_as_own(own: &Own<'_>, me: &PeerDraft<'_>, faults: &mut Faults) {
    let both = own.data_centre.zip(me.data_centre.as_deref());
    if both.is_some_and(|(own, listed)| own != listed) {
        let with = me.object.path().key("data_centre");
        let rule = "an instance is in the data centre that its own entry in peers names";
        let kind = conflict(&with, rule);
        faults.add(&Path::root().key("data_centre"), kind);
    }
    if me.votes && !own.has_folder {
        let with = Path::root().key("data_folder");
        let rule = "an instance that votes needs a data folder; name one or set votes to false";
        let kind = conflict(&with, rule);
        faults.add(&me.object.path().key("votes"), kind);
    }
}

fn duplicate(what: &str, name: &str, first: &Path) -> FaultKind {
    FaultKind::Duplicate {
        what: what.into(),
        name: name.into(),
        first: first.as_str().into(),
    }
}

fn conflict(with: &Path, rule: &str) -> FaultKind {
    FaultKind::Conflict {
        with: with.as_str().into(),
        rule: rule.into(),
    }
}
