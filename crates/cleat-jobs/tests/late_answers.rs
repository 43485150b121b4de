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
