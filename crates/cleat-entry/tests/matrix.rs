//! The fault matrix of a request: each step × each fault × each kind of
//! request.
//!
//! Until a target has received the request, faults of targets apply to all
//! targets, and a reset applies to the connection of the caller. Afterwards,
//! they apply to the target that received it. A second fault applies to the
//! retry or, if the instance was killed, to the request that the caller sends
//! again.
#![allow(clippy::unwrap_used)]

mod matrix_support;
mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;

use matrix_support::{Cell, CheckResult, Fault, Kind, Step, TestBed, ensure, wait_until};
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
const MAX_CONCURRENT_CELLS: usize = 24;
/// Runs a cell. Returns the result of each send, or the violated invariant.
async fn run_cell(cell: Cell) -> CheckResult<String> {
    let mut test_bed = TestBed::new(cell).await;
    let scenario = Arc::clone(&test_bed.scenario);
    for taken in (1..=2).filter(|_| cell.step == Step::Queued) {
        test_bed.send(&test_bed.first, "block");
        wait_until("a slot is taken", || {
            scenario.count("ran", "block") == taken
        })
        .await?;
    }
    let probe = test_bed.send(&test_bed.first, "probe");
    test_bed.wait_for_step().await?;
    let duplicate = test_bed.apply_fault().await?;
    // A frozen target stays frozen until the response has arrived.
    let ended = probe.await.unwrap();
    let mut outcomes = vec![test_bed.check(&ended, "probe", 0)?];
    if let Some(duplicate) = duplicate {
        let id = if cell.kind == Kind::Keyed {
            "probe"
        } else {
            "twin"
        };
        outcomes.push(test_bed.check(&duplicate.await.unwrap(), id, 0)?);
    }
    scenario.resume.send_replace(true);
    let open = cell.kind == Kind::Keyed && outcomes[0] == "unknown";
    if open || cell.kills_instance() || matches!(ended, Err("gone")) {
        test_bed.resend(&mut outcomes).await?;
    }
    let tries = test_bed.first.counters()["entry.tries"];
    ensure(!cell.faults_retry() || tries >= 2, "no retry")?;
    let fault_count = scenario.fault_count.load(SeqCst);
    let twice = cell.faults_retry() && !cell.kills_all_targets();
    ensure(
        !twice || fault_count == 2,
        "no fault was applied to the retry",
    )?;
    test_bed.check_resources_released().await?;
    let once = cell.kind == Kind::Get || scenario.count("ran", "probe") <= 1;
    ensure(once, "ran twice")?;
    let not_run = outcomes.iter().all(|end| end == "not-run");
    ensure(
        !not_run || scenario.count("saw", "probe") == 0,
        "not-run, but a target saw it later",
    )?;
    let harmless = matches!(cell.fault, Fault::Delay | Fault::Duplicate);
    let answered = outcomes.iter().all(|end| end == "answered");
    ensure(
        answered || !harmless,
        "a delay or a duplicate made the request fail",
    )?;
    Ok(outcomes.join(", "))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_every_step_and_fault() {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_CELLS));
    let mut running = Vec::new();
    for kind in [Kind::Keyed, Kind::Get] {
        // Requests without a key have no claim.
        let has = |step: &&Step| kind == Kind::Keyed || **step != Step::Claimed;
        for step in STEPS.iter().filter(has) {
            for fault in FAULTS {
                let cell = Cell {
                    kind,
                    step: *step,
                    fault,
                };
                let permits = Arc::clone(&permits);
                let work = async move {
                    let _permit = permits.acquire().await.unwrap();
                    run_cell(cell).await
                };
                running.push((cell, tokio::spawn(work)));
            }
        }
    }
    let mut failed = 0;
    for (Cell { kind, step, fault }, task) in running {
        let result = task.await.unwrap_or_else(|e| Err(e.to_string()));
        failed += usize::from(result.is_err());
        let text = result.unwrap_or_else(|broken| format!("RED: {broken}"));
        println!("{kind:?} | {step:?} | {fault:?} | {text}");
    }
    assert_eq!(failed, 0, "cells failed, see the table");
}
