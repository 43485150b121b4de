//! The fault matrix of a request: each step × each fault × each kind.
//!
//! Before a target has the request, a fault of targets strikes them all and a
//! reset strikes the caller's connection; afterwards they strike the target
//! that has it. A second fault strikes the retry or, after a kill of the
//! instance, the request sent again.
#![allow(clippy::unwrap_used)]

mod matrix_support;
mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;

use matrix_support::{Cell, Checked, Fault, Kind, Step, World, ensure, until};
use tokio::sync::Semaphore;

const STEPS: [Step; 9] = [
    Step::Received,
    Step::Claimed,
    Step::Queued,
    Step::Connecting,
    Step::HeadSent,
    Step::BodySent,
    Step::AnswerHead,
    Step::AnswerBody,
    Step::Settled,
];
const FAULTS: [Fault; 8] = [
    Fault::KillTarget,
    Fault::KillInstance,
    Fault::Reset,
    Fault::Freeze,
    Fault::BlackHole,
    Fault::Delay,
    Fault::Duplicate,
    Fault::Second,
];
const AT_ONCE: usize = 24;
/// Runs a cell; the end of each send, or the invariant that broke.
async fn run(cell: Cell) -> Checked<String> {
    let mut world = World::new(cell).await;
    let script = Arc::clone(&world.script);
    for taken in (1..=2).filter(|_| cell.step == Step::Queued) {
        world.send(&world.first, "block");
        until("a slot is taken", || script.count("ran", "block") == taken).await?;
    }
    let probe = world.send(&world.first, "probe");
    world.at_step().await?;
    let twin = world.strike().await?;
    // A frozen target is frozen until the answer is here.
    let ended = probe.await.unwrap();
    let mut ends = vec![world.check(&ended, "probe", 0)?];
    if let Some(twin) = twin {
        let id = if cell.kind == Kind::Keyed {
            "probe"
        } else {
            "twin"
        };
        ends.push(world.check(&twin.await.unwrap(), id, 0)?);
    }
    script.go.send_replace(true);
    let open = cell.kind == Kind::Keyed && ends[0] == "unknown";
    if open || cell.kills_instance() || matches!(ended, Err("gone")) {
        world.send_again(&mut ends).await?;
    }
    let tries = world.first.counters()["entry.tries"];
    ensure(!cell.strikes_retry() || tries >= 2, "no retry")?;
    let struck = script.struck.load(SeqCst);
    let twice = cell.strikes_retry() && !cell.kills_all();
    ensure(!twice || struck == 2, "the retry was not struck")?;
    world.check_rest().await?;
    let once = cell.kind == Kind::Get || script.count("ran", "probe") <= 1;
    ensure(once, "ran twice")?;
    let not_run = ends.iter().all(|end| end == "not-run");
    ensure(
        !not_run || script.count("saw", "probe") == 0,
        "not-run, but seen later",
    )?;
    let harmless = matches!(cell.fault, Fault::Delay | Fault::Duplicate);
    let answered = ends.iter().all(|end| end == "answered");
    ensure(answered || !harmless, "a harmless fault did harm")?;
    Ok(ends.join(", "))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_every_step_and_fault() {
    let places = Arc::new(Semaphore::new(AT_ONCE));
    let mut running = Vec::new();
    for kind in [Kind::Keyed, Kind::Get] {
        // Without a key there is no claim.
        let has = |step: &&Step| kind == Kind::Keyed || **step != Step::Claimed;
        for step in STEPS.iter().filter(has) {
            for fault in FAULTS {
                let cell = Cell {
                    kind,
                    step: *step,
                    fault,
                };
                let places = Arc::clone(&places);
                let work = async move {
                    let _place = places.acquire().await.unwrap();
                    run(cell).await
                };
                running.push((cell, tokio::spawn(work)));
            }
        }
    }
    let mut red = 0;
    for (Cell { kind, step, fault }, task) in running {
        let result = task.await.unwrap_or_else(|e| Err(e.to_string()));
        red += usize::from(result.is_err());
        let text = result.unwrap_or_else(|broken| format!("RED: {broken}"));
        println!("{kind:?} | {step:?} | {fault:?} | {text}");
    }
    assert_eq!(red, 0, "cells are red, see the table");
}
