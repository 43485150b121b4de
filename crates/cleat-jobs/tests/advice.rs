//! Queues whose starts need the adviser's permission.

mod support;

use std::sync::Arc;
use std::time::Duration;

use cleat_jobs::{AdviceTiming, Command, Effect, Event, JobId, Order, OrderAnswer, StepId};
use support::{Harness, advice, job, queue, starts, step, task};

const VALIDITY_MS: u64 = 3_000;

fn submit(harness: &mut Harness, id: u64, count: u32) -> Vec<Effect> {
    let mut advised = queue("q", "a");
    advised.advice = Some(AdviceTiming {
        decision_ms: 20,
        per_worker_us: 1_000,
        validity_ms: VALIDITY_MS,
    });
    harness.apply(Command::Submit {
        id: JobId(id),
        queue: Arc::new(advised),
        customer: None,
        spec: job(vec![step(count, 1_000)]),
        arrived_ms: 0,
    })
}

fn answer(
    harness: &mut Harness,
    id: StepId,
    asked: &[Box<str>],
    permitted: Option<&[&str]>,
) -> Vec<Effect> {
    let ticket = |name: &&str| (Box::from(*name), format!("ticket-{name}").into());
    let (step, asked, sent_at) = (id, asked.to_vec(), harness.now);
    harness.feed(Event::Advised {
        step,
        sent_at,
        asked,
        permitted: permitted.map(|permitted| permitted.iter().map(ticket).collect()),
    })
}

#[test]
fn advice_is_requested_before_a_start() {
    let mut harness = Harness::new();
    let effects = submit(&mut harness, 1, 2);
    assert!(starts(&effects).is_empty());
    let (id, asked) = advice(&effects).remove(0);
    assert_eq!(id, task(1, 0, 0).step);
    let started = starts(&answer(&mut harness, id, &asked, Some(&["w2"])));
    assert_eq!(started.len(), 2);
    for (worker, order) in started {
        assert_eq!(&*worker, "w2");
        let Order::Start { ticket, .. } = order.order else {
            panic!("not a start order");
        };
        assert_eq!(ticket.as_deref(), Some("ticket-w2"));
    }
}

#[test]
fn advice_is_not_requested_again_for_refused_workers() {
    let mut harness = Harness::new();
    let (id, asked) = advice(&submit(&mut harness, 1, 1)).remove(0);
    let effects = answer(&mut harness, id, &asked, Some(&[]));
    assert!(starts(&effects).is_empty());
    assert!(
        advice(&effects).is_empty(),
        "refused workers were asked about again"
    );
    let effects = harness.add_worker("w3", "a");
    assert_eq!(advice(&effects)[0].1, vec![Box::from("w3")]);
}

#[test]
fn advice_without_answer_is_requested_again() {
    let mut harness = Harness::new();
    let (id, asked) = advice(&submit(&mut harness, 1, 1)).remove(0);
    assert!(advice(&answer(&mut harness, id, &asked, None)).is_empty());
    let effects = harness.tick(Duration::from_millis(400));
    assert_eq!(advice(&effects).len(), 1);
}

#[test]
fn advice_expires() {
    let mut harness = Harness::with_workers(&["w1"]);
    let (id, asked) = advice(&submit(&mut harness, 1, 9)).remove(0);
    let started = starts(&answer(&mut harness, id, &asked, Some(&["w1"])));
    assert_eq!(
        started.len(),
        8,
        "not all but one of the tasks were started"
    );
    harness.now += Duration::from_millis(VALIDITY_MS);
    let (worker, order) = &started[0];
    let effects = harness.answer(worker, order, OrderAnswer::NoRoom);
    assert!(starts(&effects).is_empty());
    let effects = harness.tick(Duration::from_secs(1));
    assert_eq!(
        advice(&effects).len(),
        1,
        "an expired ticket was not requested again"
    );
}

#[test]
fn advice_is_requested_again_after_a_refused_ticket() {
    let mut harness = Harness::with_workers(&["w1"]);
    let (id, asked) = advice(&submit(&mut harness, 1, 1)).remove(0);
    let (worker, order) = starts(&answer(&mut harness, id, &asked, Some(&["w1"]))).remove(0);
    let effects = harness.answer(&worker, &order, OrderAnswer::NoTicket);
    assert_eq!(advice(&effects).len(), 1);
}
