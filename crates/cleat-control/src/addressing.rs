//! Keys of members that are addresses.
//!
//! Where the settings do not list the members, a member's key is its IPv4
//! address, and all listen on one port: so whoever knows a key can call.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use cleat_quorum::MemberId;

/// How to reach a member by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerAddressing {
    /// The port on which every member listens for the others.
    pub port: u16,
}

impl PeerAddressing {
    /// The key of the member at an address.
    pub fn member_id(ip: Ipv4Addr) -> MemberId {
        MemberId(ip.to_bits())
    }

    /// The IP address of a member.
    pub fn ip(id: MemberId) -> Ipv4Addr {
        Ipv4Addr::from_bits(id.0)
    }

    /// Where a member listens.
    pub fn socket_addr(self, id: MemberId) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(PeerAddressing::ip(id)), self.port)
    }
}
