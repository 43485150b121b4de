//! Groups that grow from seeds.

#[allow(dead_code)]
mod group;

use std::time::Duration;

use cleat_quorum::{Core, CoreConfig, JoinConfig, MemberId, Recovery, Role};

use group::recovery::identity;
use group::{Group, seconds};

const SEEDS: u32 = 3;
const MEMBERS: u32 = 5;
const SILENCE: Duration = Duration::from_secs(3);

fn join_config(may_bootstrap: bool) -> JoinConfig {
    JoinConfig {
        may_bootstrap,
        target_voters: MEMBERS as usize,
        extra_voter_timeout: SILENCE,
    }
}

/// Five members that are told of the three seeds only.
fn seeded(extra: u32, founds: fn(u32) -> bool) -> Group {
    Group::new(SEEDS, MEMBERS - SEEDS + extra, |id, config, _| {
        config.members.truncate(SEEDS as usize);
        config.join = Some(join_config(founds(id)));
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
    let mut group = seeded(0, |_| true);
    group.advance(seconds(4));
    assert_eq!(voters(&group), vec![0, 1, 2, 3, 4]);
}

#[test]
fn join_without_the_right_to_found_founds_nothing() {
    let mut group = seeded(0, |_| false);
    group.advance(seconds(4));
    let led = group.cores.iter().any(|core| core.role() == Role::Leader);
    assert!(!led, "empty disks that start later may be lost ones");
}

#[test]
fn join_replaces_a_silent_voter() {
    // The sixth member is not there at first.
    let mut group = seeded(1, |_| true);
    group.passes = |message| message.from.0 != 5 && message.to.0 != 5;
    group.advance(seconds(4));
    assert_eq!(voters(&group), vec![0, 1, 2, 3, 4]);
    // Member 4 is gone for good, the sixth comes.
    group.passes = |message| message.from.0 != 4 && message.to.0 != 4;
    group.advance(seconds(8));
    assert_eq!(voters(&group), vec![0, 1, 2, 3, 5]);
}

#[test]
fn join_keeps_a_silent_voter_that_nobody_replaces() {
    let mut group = seeded(0, |_| true);
    group.advance(seconds(4));
    group.passes = |message| message.from.0 != 4 && message.to.0 != 4;
    group.advance(seconds(8));
    assert_eq!(voters(&group), vec![0, 1, 2, 3, 4]);
}

#[test]
fn join_removed_member_comes_back() {
    let mut group = seeded(1, |_| true);
    group.passes = |message| message.from.0 != 5 && message.to.0 != 5;
    group.advance(seconds(4));
    group.passes = |message| message.from.0 != 4 && message.to.0 != 4;
    group.advance(seconds(8));
    group.passes = |_| true;
    group.advance(seconds(8));
    assert!(voters(&group).contains(&4), "it asked for its place");
}

/// Two of five lose their disks at once, right after a commit on three.
#[test]
fn join_two_lost_disks_keep_what_was_committed() {
    let mut group = seeded(0, |_| true);
    group.advance(seconds(4));
    let leader = group.leader();
    group.propose(leader, b"kept");
    let kept = group.core(leader).status().commit;
    for lost in [0u32, 1] {
        group.cores[lost as usize] = fresh(lost);
    }
    group.advance(seconds(6));
    let leader = group.core(group.leader());
    assert!(leader.status().commit >= kept);
    assert_eq!(voters(&group), vec![0, 1, 2, 3, 4]);
}

/// A member that starts anew with an empty disk.
fn fresh(id: u32) -> Core {
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
