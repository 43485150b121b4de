//! Partitions, simulated by the messages that each instance receives.

use cleat_quorum::{Append, VoteReply};

use super::*;

const MEMBERS: [MemberId; 5] = [
    MemberId(1),
    MemberId(2),
    MemberId(3),
    MemberId(4),
    MemberId(5),
];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn contact(own: u32, voters: usize) -> GroupContact {
    GroupContact::new(MemberId(own), voters, Timing::fast_failover(), ms(0))
}

fn message(from: u32, body: Body) -> Message {
    Message {
        group: 1,
        from: MemberId(from),
        to: MemberId(0),
        term: 1,
        body,
    }
}

fn append(from: u32) -> Message {
    let append = Append {
        round: 1,
        prev_index: 0,
        prev_term: 0,
        commit: 0,
        echo: None,
        entries: Vec::new(),
    };
    message(from, Body::Append(append))
}

fn vote_reply(from: u32) -> Message {
    let reply = VoteReply {
        pre: true,
        granted: false,
        identity: 1,
    };
    message(from, Body::VoteReply(reply))
}

/// Whether a member is on the smaller side of a partition into {1, 2} and {3, 4, 5}.
fn is_on_smaller_side(id: MemberId) -> bool {
    id.0 <= 2
}

/// Guards against new workers that are kept on the side without a leader: 225
/// workers start during 4.5 s of a partition and call the five instances in turn.
/// Once two election timeouts have passed, each reaches the larger side without
/// waiting and by at most one redirect. The leader is on either side.
#[test]
fn workers_that_start_during_a_partition_reach_the_larger_side() {
    for old_leader in [1, 5] {
        let mut group: Vec<_> = (1..=5).map(|id| contact(id, 5)).collect();
        let mut redirected = Vec::new();
        for step in 0..225_u32 {
            let now = ms(u64::from(step) * 20);
            exchange_messages(&mut group, old_leader, now);
            let first = MEMBERS[step as usize % 5];
            let at = first.0 as usize - 1;
            match group[at].route(&MEMBERS, false, now) {
                Route::Forward if is_on_smaller_side(first) => assert!(
                    now < ms(1_250),
                    "an instance without a leader made a worker wait at {now:?}"
                ),
                Route::Forward => {}
                Route::NoLeader { elsewhere } => {
                    assert!(
                        is_on_smaller_side(first),
                        "the larger side turned a worker away"
                    );
                    group[at].record_redirect();
                    redirected.push(elsewhere.expect("three members are silent"));
                }
            }
        }
        assert!(
            !redirected.iter().any(|id| is_on_smaller_side(*id)),
            "sent to its own side"
        );
        for target in &MEMBERS[2..] {
            let count = redirected.iter().filter(|id| *id == target).count();
            assert!(count * 4 >= redirected.len(), "{target:?} was skipped");
        }
    }
}

/// The messages of 20 ms: heartbeats of leaders every 100 ms, and pre-votes every
/// 460 ms where there is no leader; each is answered. An old leader on the smaller
/// side sends heartbeats for an election timeout. The larger side has a leader from
/// the start or from 0.6 s on.
fn exchange_messages(group: &mut [GroupContact], old_leader: u32, now: Duration) {
    let at = now.as_millis();
    let mut exchange = |from: MemberId, message: fn(u32) -> Message| {
        let peers = MEMBERS.iter().filter(|to| **to != from);
        for to in peers.filter(|to| is_on_smaller_side(**to) == is_on_smaller_side(from)) {
            group[to.0 as usize - 1].record_message(&message(from.0), now);
            group[from.0 as usize - 1].record_message(&vote_reply(to.0), now);
        }
    };
    let old_leader_is_cut_off = is_on_smaller_side(MemberId(old_leader));
    let is_heartbeat_due = at.is_multiple_of(100);
    if is_heartbeat_due && old_leader_is_cut_off && at < 600 {
        exchange(MemberId(old_leader), append);
    }
    if is_heartbeat_due && (!old_leader_is_cut_off || at >= 600) {
        exchange(MemberId(5), append);
    }
    if at > 0 && at.is_multiple_of(460) {
        exchange(MemberId(2), vote_reply);
    }
    if at == 460 && old_leader_is_cut_off {
        exchange(MemberId(4), vote_reply);
    }
}

/// Guards against calls that wait at an old leader until it steps down, and against
/// redirects by a leader that only renews its lease late.
#[test]
fn old_leader_without_a_majority_redirects_before_it_steps_down() {
    let mut contact = contact(1, 5);
    (2..=5).for_each(|from| contact.record_message(&vote_reply(from), ms(100)));
    contact.record_message(&vote_reply(2), ms(300));
    assert_eq!(contact.route(&MEMBERS, true, ms(390)), Route::Forward);
    let elsewhere = Some(MemberId(3));
    assert_eq!(
        contact.route(&MEMBERS, true, ms(400)),
        Route::NoLeader { elsewhere }
    );
}

/// Guards against redirects to a dead machine: after the loss of a leader, the
/// others still have a majority, and an election ends soon.
#[test]
fn lost_leader_causes_no_redirect() {
    let mut contact = contact(1, 5);
    contact.record_message(&append(5), ms(100));
    for from in 2..=4 {
        contact.record_message(&vote_reply(from), ms(600));
    }
    assert_eq!(contact.route(&MEMBERS, false, ms(900)), Route::Forward);
}

/// Guards against calls that wait at a follower whose leader has lost its majority
/// but still sends heartbeats, and against a failure that is never forgotten.
#[test]
fn failed_call_redirects_the_next_ones_for_a_while() {
    let mut contact = contact(2, 5);
    contact.record_message(&append(1), ms(100));
    assert_eq!(contact.route(&MEMBERS, false, ms(120)), Route::Forward);
    contact.record_failure(ms(150));
    let elsewhere = Some(MemberId(3));
    assert_eq!(
        contact.route(&MEMBERS, false, ms(160)),
        Route::NoLeader { elsewhere }
    );
    contact.record_message(&append(1), ms(400));
    assert_eq!(contact.route(&MEMBERS, false, ms(450)), Route::Forward);
}

/// Guards against redirects after the partition has ended.
#[test]
fn heartbeat_of_a_leader_ends_the_redirects() {
    let mut contact = contact(1, 5);
    let elsewhere = Some(MemberId(2));
    assert_eq!(
        contact.route(&MEMBERS, false, ms(600)),
        Route::NoLeader { elsewhere }
    );
    contact.record_message(&append(3), ms(620));
    assert_eq!(contact.route(&MEMBERS, false, ms(640)), Route::Forward);
}

/// Guards against a target where there is none: an instance that knows only itself.
#[test]
fn without_other_members_there_is_no_target() {
    let contact = contact(1, 3);
    let elsewhere = None;
    assert_eq!(
        contact.route(&MEMBERS[..1], false, ms(600)),
        Route::NoLeader { elsewhere }
    );
}

/// Guards against unbounded memory if senders announce arbitrary IDs.
#[test]
fn number_of_remembered_members_is_bounded() {
    let mut contact = contact(1, 3);
    for from in 2..1_000 {
        contact.record_message(&vote_reply(from), ms(from.into()));
    }
    assert_eq!(contact.heard.len(), MAX_HEARD);
    assert!(contact.heard.contains_key(&MemberId(999)));
}
