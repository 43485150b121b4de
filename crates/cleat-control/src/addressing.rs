//! Member IDs that encode an IPv4 address.
//!
//! The settings of a control instance or a gateway list only seeds, not all
//! members. A member's ID is therefore its IPv4 address, and all members listen
//! on the same port, so that an ID is enough to connect to a member.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use cleat_quorum::MemberId;

/// Derives the socket address of a member from its ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerAddressing {
    /// The port on which every member listens for the other members.
    pub port: u16,
}

impl PeerAddressing {
    /// The ID of the member at an IP address.
    pub fn member_id(ip: Ipv4Addr) -> MemberId {
        MemberId(ip.to_bits())
    }

    /// The IP address that a member ID encodes.
    pub fn ip(id: MemberId) -> Ipv4Addr {
        Ipv4Addr::from_bits(id.0)
    }

    /// The socket address on which a member listens.
    pub fn socket_addr(self, id: MemberId) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(PeerAddressing::ip(id)), self.port)
    }
}
