//! Links to the other instances.

use std::sync::Arc;

use cleat_link::{Link, LinkConfig, LinkTraffic};
use cleat_quorum::{MemberId, Message, Transport};
use indexmap::IndexMap;

use crate::member::Members;

/// One link to each other instance.
pub(crate) struct Links {
    by_id: IndexMap<MemberId, Link>,
    traffic: Arc<LinkTraffic>,
}

impl Links {
    /// Starts connecting to all other instances.
    pub(crate) fn spawn(members: &Members) -> Links {
        let traffic = Arc::new(LinkTraffic::default());
        let mut by_id = IndexMap::new();
        for (id, info) in members.iter() {
            let Some(address) = info.address.filter(|_| id != members.own_id()) else {
                continue;
            };
            let name = info.name.clone();
            let link = Link::spawn(LinkConfig { name, address }, traffic.clone());
            by_id.insert(id, link);
        }
        Links { by_id, traffic }
    }

    pub(crate) fn get(&self, id: MemberId) -> Option<&Link> {
        self.by_id.get(&id)
    }

    pub(crate) fn traffic(&self) -> &Arc<LinkTraffic> {
        &self.traffic
    }
}

/// Sends consensus messages over the links.
pub(crate) struct LinkTransport(pub(crate) Arc<Links>);

impl Transport for LinkTransport {
    fn send(&self, to: MemberId, message: Message) {
        if let Some(link) = self.0.get(to) {
            link.send(message);
        }
    }
}
