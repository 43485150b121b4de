//! Maps the names of instances to their member IDs in the consensus group.

use cleat_quorum::MemberId;
use cleat_settings::Settings;
use indexmap::IndexMap;
use std::net::SocketAddr;

/// A member of the consensus group, as listed in the settings.
#[derive(Debug, Clone)]
pub(crate) struct MemberInfo {
    pub(crate) name: Box<str>,
    pub(crate) data_centre: Box<str>,
    /// `None` for an instance without peers.
    pub(crate) address: Option<SocketAddr>,
    pub(crate) votes: bool,
}

/// All members by ID.
#[derive(Debug, Clone)]
pub(crate) struct Members {
    by_id: IndexMap<MemberId, MemberInfo>,
    own_id: MemberId,
}

/// Two instance names with the same member ID; one of them has to be changed.
#[derive(Debug)]
pub(crate) struct MemberIdCollision {
    pub(crate) first: Box<str>,
    pub(crate) second: Box<str>,
}

impl Members {
    /// Reads the members from the settings. Without peers, this instance is the only
    /// member.
    pub(crate) fn from_settings(settings: &Settings) -> Result<Members, MemberIdCollision> {
        let mut members = Members {
            by_id: IndexMap::new(),
            own_id: member_id(&settings.name),
        };
        for peer in &settings.peers {
            members.add(MemberInfo {
                name: peer.name.clone(),
                data_centre: peer.data_centre.clone(),
                address: Some(peer.address),
                votes: peer.votes,
            })?;
        }
        if settings.peers.is_empty() {
            members.add(MemberInfo {
                name: settings.name.clone(),
                data_centre: settings.data_centre.clone(),
                address: None,
                votes: true,
            })?;
        }
        Ok(members)
    }

    fn add(&mut self, info: MemberInfo) -> Result<(), MemberIdCollision> {
        let id = member_id(&info.name);
        if let Some(first) = self.by_id.get(&id) {
            return Err(MemberIdCollision {
                first: first.name.clone(),
                second: info.name,
            });
        }
        self.by_id.insert(id, info);
        Ok(())
    }

    pub(crate) fn own_id(&self) -> MemberId {
        self.own_id
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (MemberId, &MemberInfo)> {
        self.by_id.iter().map(|(id, info)| (*id, info))
    }

    pub(crate) fn name(&self, id: MemberId) -> Option<&str> {
        self.by_id.get(&id).map(|info| &*info.name)
    }

    pub(crate) fn by_name(&self, name: &str) -> Option<&MemberInfo> {
        self.by_id.get(&member_id(name))
    }

    /// The names of all members, sorted so that the list is the same on every
    /// instance.
    pub(crate) fn sorted_names(&self) -> Vec<Box<str>> {
        let mut names: Vec<_> = self.by_id.values().map(|info| info.name.clone()).collect();
        names.sort();
        names
    }
}

/// The member ID of an instance, a 16-bit hash of its name: every process derives the
/// same ID. It depends only on the name, so that adding or removing an instance in the
/// settings does not change the IDs of the others. Two names with the same hash are
/// reported at the start; one of the instances has to be renamed.
pub(crate) fn member_id(name: &str) -> MemberId {
    let hash = crc32fast::hash(name.as_bytes());
    let [a, b, c, d] = hash.to_be_bytes();
    MemberId(u32::from(u16::from_be_bytes([a ^ c, b ^ d])))
}
