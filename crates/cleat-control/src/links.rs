//! Links to other control instances, connected on first use.

use std::sync::{Arc, Mutex, PoisonError};

use cleat_link::{ControlClient, Link, LinkConfig, LinkTraffic};
use cleat_quorum::{MemberId, Message, Transport};
use indexmap::IndexMap;

use crate::PeerAddressing;

/// A link for the calls of control instances.
pub(crate) type ControlLink = Link<ControlClient>;

/// One link to each control instance that was called so far.
#[derive(Debug)]
pub(crate) struct Links {
    addressing: PeerAddressing,
    traffic: Arc<LinkTraffic>,
    by_id: Mutex<IndexMap<MemberId, Arc<ControlLink>>>,
}

impl Links {
    pub(crate) fn new(addressing: PeerAddressing, traffic: Arc<LinkTraffic>) -> Links {
        Links {
            addressing,
            traffic,
            by_id: Mutex::new(IndexMap::new()),
        }
    }

    /// Returns the link to an instance, which may not be connected yet.
    pub(crate) fn link_to(&self, id: MemberId) -> Arc<ControlLink> {
        let mut by_id = self.by_id.lock().unwrap_or_else(PoisonError::into_inner);
        let link = by_id.entry(id).or_insert_with(|| {
            let address = self.addressing.socket_addr(id);
            let cfg = LinkConfig {
                name: address.to_string().into(),
                address,
            };
            Arc::new(Link::spawn(cfg, self.traffic.clone()))
        });
        link.clone()
    }
}

/// Sends consensus messages over the links.
pub(crate) struct LinkTransport(pub(crate) Arc<Links>);

impl Transport for LinkTransport {
    fn send(&self, to: MemberId, message: Message) {
        self.0.link_to(to).send(message);
    }
}
