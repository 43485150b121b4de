//! Answers of workers that their owner handles late, beside the ticks that let leases expire.

mod support;

use std::time::Duration;

use cleat_jobs::{
    Command, Effect, EndKind, Event, JobId, JobState, OrderAnswer, RenewalAnswer, TaskOrder,
    WorkerState,
};
use support::{Harness, end, ended, proposals, starts, step};

/// Longer than the lease of a worker.
const LEASE_OVER: Duration = Duration::from_millis(5_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An owner of `w1` and `w2` whose only task runs on `w1`, which is silent.
fn silent_worker() -> (Harness, TaskOrder) {
    let mut harness = Harness::new();
    let (worker, run) = starts(&harness.submit(1, vec![step(1, 1_000)])).remove(0);
    assert_eq!(&*worker, "w1");
    harness.answer(&worker, &run, OrderAnswer::Done);
    harness.fail_renewal("w1");
    harness.tick(ms(850));
    assert_eq!(state_of(&harness, "w1"), WorkerState::Silent);
    (harness, run)
}

fn state_of(harness: &Harness, name: &str) -> WorkerState {
    let mut views = harness.owner.workers();
    let view = views.find(|view| *view.record.name == *name);
    view.expect("a known worker").state
}

/// The answer of `w1`, which lists that the run is done.
fn done(harness: &Harness, run: &TaskOrder) -> Event {
    let listed = end(1, run.task, run.run.0, EndKind::Done);
    let clock_ms = 1_000 + u64::try_from(harness.now.as_millis()).expect("value out of range");
    Event::RenewalAnswered {
        worker: "w1".into(),
        sent_at: harness.now,
        acked: 0,
        answer: RenewalAnswer {
            clock_ms,
            ..ended(vec![listed])
        },
    }
}

/// Commits what the effects propose, and what follows from that. Returns the starts.
fn commit_all(harness: &mut Harness, effects: Vec<Effect>) -> Vec<(Box<str>, TaskOrder)> {
    let mut started = starts(&effects);
    let mut effects = effects;
    while !proposals(&effects).is_empty() {
        effects = harness.commit(&effects);
        started.extend(starts(&effects));
    }
    started
}

/// Guards against starting a task again whose end `done` the owner has received. The tick at
/// which the lease of its worker expires is in the same batch as the answer, before it.
#[test]
fn answer_in_the_batch_of_a_tick_is_handled_before_leases_expire() {
    let (mut harness, run) = silent_worker();
    harness.now += LEASE_OVER;
    let events = [Event::Tick { wall_ms: 1 }, done(&harness, &run)];
    let effects = harness.owner.handle(&harness.state, events, harness.now);
    let lapsed = |command: &Command| matches!(command, Command::WorkerLapsed { .. });
    assert!(!proposals(&effects).iter().any(lapsed));
    assert!(commit_all(&mut harness, effects).is_empty());
    assert_eq!(harness.state.job_state(JobId(1)), Some(JobState::Completed));
}

/// Guards against starting a task again that is done. Its owner was stalled from a failed
/// renewal until after the lease, while the worker answered the next renewal; that answer is
/// handled after the first ticks.
#[test]
fn lease_does_not_expire_by_a_stall_of_the_owner() {
    let (mut harness, run) = silent_worker();
    harness.tick(ms(50));
    harness.now += LEASE_OVER;
    harness.feed(Event::Stalled);
    for _ in 0..3 {
        let effects = harness.tick(ms(50));
        assert!(commit_all(&mut harness, effects).is_empty());
    }
    assert_eq!(state_of(&harness, "w1"), WorkerState::Silent);
    let answered = done(&harness, &run);
    let effects = harness.feed(answered);
    assert!(commit_all(&mut harness, effects).is_empty());
    assert_eq!(harness.state.job_state(JobId(1)), Some(JobState::Completed));
}

/// A stall that is longer than two leases leaves the owner time to hear the worker as well.
#[test]
fn lease_does_not_expire_by_a_stall_of_two_leases() {
    let (mut harness, run) = silent_worker();
    harness.tick(ms(50));
    harness.now += 2 * LEASE_OVER;
    harness.feed(Event::Stalled);
    for _ in 0..3 {
        let effects = harness.tick(ms(50));
        assert!(commit_all(&mut harness, effects).is_empty());
    }
    let answered = done(&harness, &run);
    let effects = harness.feed(answered);
    assert!(commit_all(&mut harness, effects).is_empty());
}

/// A renewal that was sent before the end of the stall may have had no time for its answer.
/// The next one that fails shows that the worker is gone, and its task starts elsewhere.
#[test]
fn lease_expires_when_a_renewal_after_a_stall_fails() {
    let (mut harness, _) = silent_worker();
    harness.tick(ms(50));
    harness.now += LEASE_OVER;
    harness.feed(Event::Stalled);
    harness.fail_renewal("w1");
    harness.tick(ms(300));
    assert_eq!(state_of(&harness, "w1"), WorkerState::Silent);
    harness.fail_renewal("w1");
    let effects = harness.tick(ms(50));
    assert_eq!(state_of(&harness, "w1"), WorkerState::Lapsed);
    let started = commit_all(&mut harness, effects);
    assert_eq!(started.len(), 1, "the task of a lost worker waits");
}

/// The same for the lease that an earlier owner granted.
#[test]
fn inherited_lease_does_not_expire_by_a_stall_of_the_owner() {
    let (mut harness, run) = silent_worker();
    harness.replace_owner();
    harness.now += LEASE_OVER;
    harness.feed(Event::Stalled);
    harness.answer_renewal("w2", RenewalAnswer::default());
    let effects = harness.tick(ms(50));
    assert!(commit_all(&mut harness, effects).is_empty());
    let answered = done(&harness, &run);
    let effects = harness.feed(answered);
    assert!(commit_all(&mut harness, effects).is_empty());
    assert_eq!(harness.state.job_state(JobId(1)), Some(JobState::Completed));
}

/// An owner that stalls again and again still gives up a worker that is gone.
#[test]
fn lease_expires_in_spite_of_repeated_stalls() {
    let (mut harness, _) = silent_worker();
    let silent_since = harness.now;
    while state_of(&harness, "w1") != WorkerState::Lapsed {
        harness.fail_renewal("w1");
        harness.now += ms(300);
        harness.feed(Event::Stalled);
        harness.tick(ms(0));
        assert!(harness.now < silent_since + 2 * LEASE_OVER);
    }
}

/// Guards against taking the owner's own doubt about its leadership for a worker's silence.
#[test]
fn renewal_that_was_not_sent_makes_no_worker_silent() {
    let mut harness = Harness::new();
    for _ in 0..10 {
        let worker = "w1".into();
        harness.feed(Event::RenewalNotSent { worker });
        harness.answer_renewal("w2", RenewalAnswer::default());
        harness.tick(ms(100));
    }
    assert_eq!(state_of(&harness, "w1"), WorkerState::Live);
}

/// Guards against a lease that expires although the worker runs and can be reached: its answer
/// to an order shows that, so it is asked at once what has ended.
#[test]
fn worker_that_answers_an_order_is_asked_before_its_lease_expires() {
    let (mut harness, run) = silent_worker();
    let asked = |effects: &[Effect]| {
        let renewal =
            |effect: &Effect| matches!(effect, Effect::Renew { worker, .. } if **worker == *"w1");
        effects.iter().any(renewal)
    };
    assert!(!asked(&harness.answer("w1", &run, OrderAnswer::Unknown)));
    harness.fail_renewal("w1");
    assert!(asked(&harness.answer("w1", &run, OrderAnswer::Done)));
}
