//! Groups that start from seeds and add members at run time.

#[allow(dead_code)]
mod group;

use std::time::Duration;

use cleat_quorum::{Core, CoreConfig, JoinConfig, MemberId, Recovery, Role};

use group::recovery::identity;
use group::{Group, seconds};

const SEEDS: u32 = 3;
const MEMBERS: u32 = 5;
const REMOVE_SILENT_AFTER: Duration = Duration::from_secs(3);

fn join_config(may_bootstrap: bool) -> JoinConfig {
    JoinConfig {
        may_bootstrap,
        target_voters: MEMBERS as usize,
        remove_silent_after: REMOVE_SILENT_AFTER,
    }
}

/// A group of five members plus `extra` ones. Each is configured with the three
/// seeds only.
fn group_from_seeds(extra: u32, may_bootstrap: fn(u32) -> bool) -> Group {
    Group::new(SEEDS, MEMBERS - SEEDS + extra, |id, config, _| {
        config.members.truncate(SEEDS as usize);
        config.join = Some(join_config(may_bootstrap(id)));
    })
}

fn voters(group: &Group) -> Vec<u32> {
    let leader = group.core(group.leader());
    let members = leader.status().members;
    let mut voters: Vec<u32> = members.iter().filter(|m| m.votes).map(|m| m.id.0).collect();
    voters.sort_unstable();
    voters
}

#[test]
fn join_all_members_vote() {
    let mut group = group_from_seeds(0, |_| true);
    group.advance(seconds(4));
    assert_eq!(voters(&group), vec![0, 1, 2, 3, 4]);
}

/// A member that starts later must not bootstrap a group: its disk may be empty
/// because it was lost.
#[test]
fn join_without_may_bootstrap_elects_nobody() {
    let mut group = group_from_seeds(0, |_| false);
    group.advance(seconds(4));
    let led = group.cores.iter().any(|core| core.role() == Role::Leader);
    assert!(!led, "a member that must not bootstrap became leader");
}

#[test]
fn join_replaces_silent_voter() {
    // Member 5 is unreachable at first.
    let mut group = group_from_seeds(1, |_| true);
    group.filter_message = |message| message.from.0 != 5 && message.to.0 != 5;
    group.advance(seconds(4));
    assert_eq!(voters(&group), vec![0, 1, 2, 3, 4]);
    // Member 4 fails permanently, and member 5 becomes reachable.
    group.filter_message = |message| message.from.0 != 4 && message.to.0 != 4;
    group.advance(seconds(8));
    assert_eq!(voters(&group), vec![0, 1, 2, 3, 5]);
}

#[test]
fn join_retains_silent_voter_without_replacement() {
    let mut group = group_from_seeds(0, |_| true);
    group.advance(seconds(4));
    group.filter_message = |message| message.from.0 != 4 && message.to.0 != 4;
    group.advance(seconds(8));
    assert_eq!(voters(&group), vec![0, 1, 2, 3, 4]);
}

#[test]
fn join_removed_member_rejoins() {
    let mut group = group_from_seeds(1, |_| true);
    group.filter_message = |message| message.from.0 != 5 && message.to.0 != 5;
    group.advance(seconds(4));
    group.filter_message = |message| message.from.0 != 4 && message.to.0 != 4;
    group.advance(seconds(8));
    group.filter_message = |_| true;
    group.advance(seconds(8));
    assert!(
        voters(&group).contains(&4),
        "the removed member did not rejoin"
    );
}

/// Two of five members lose their disks at the same time, right after three
/// members committed an entry. The entry must survive.
#[test]
fn join_two_lost_disks_preserve_committed_entries() {
    let mut group = group_from_seeds(0, |_| true);
    group.advance(seconds(4));
    let leader = group.leader();
    group.propose(leader, b"kept");
    let committed = group.core(leader).status().commit;
    for lost in [0u32, 1] {
        group.cores[lost as usize] = start_with_empty_disk(lost);
    }
    group.advance(seconds(6));
    let leader = group.core(group.leader());
    assert!(leader.status().commit >= committed);
    assert_eq!(voters(&group), vec![0, 1, 2, 3, 4]);
}

/// Starts a member again after it lost its disk.
fn start_with_empty_disk(id: u32) -> Core {
    let seed = |id| cleat_quorum::MemberConfig {
        id: MemberId(id),
        votes: true,
    };
    let seeds = (0..SEEDS).map(seed).collect();
    let mut config = CoreConfig::new(MemberId(id), seeds, u64::from(id) + 100);
    config.join = Some(join_config(false));
    let recovery = Recovery {
        identity: identity(id) + 1_000,
        hard_state: cleat_quorum::HardState::default(),
        snapshot: None,
        entries: Vec::new(),
    };
    Core::new(config, recovery, seconds(4))
}
