//! Pacing work that fills beside work that serves.

mod scaffold;

use std::time::Duration;

use cleat_jobs::{RenewalAnswer, Run, RunningTask, StepSpec};
use scaffold::{Bed, paces, starts, step, task};

const TARGET_MS: u64 = 100;
const SETTLED: Duration = Duration::from_millis(700);

/// One serving and one filling task on the only worker.
fn shared() -> Bed {
    let serving = StepSpec {
        long_running: true,
        target_ms: Some(TARGET_MS),
        ..step(1, 1_000)
    };
    let filling = StepSpec {
        fills: true,
        ..step(1, 7_500)
    };
    let mut bed = Bed::with_workers(&["w1"]);
    bed.submit(1, vec![serving]);
    let started = starts(&bed.submit(2, vec![filling]));
    assert_eq!(
        started.len(),
        1,
        "what fills needs no processor time of its own"
    );
    bed
}

fn list(bed: &mut Bed, tail_ms: u64, percent: u64) -> Vec<u8> {
    bed.now += SETTLED;
    let run = |task, percent, load| RunningTask {
        task,
        run: Run(1),
        checkpoint: "".into(),
        percent,
        load,
    };
    let answer = RenewalAnswer {
        running: vec![
            run(task(1, 0, 0), 100, tail_ms),
            run(task(2, 0, 0), percent, 4_000),
        ],
        ..RenewalAnswer::default()
    };
    let effects = bed.answer_renewal("w1", answer);
    paces(&effects).into_iter().map(|(_, pace)| pace).collect()
}

#[test]
fn pace_falls_before_the_target_is_reached() {
    let mut bed = shared();
    assert_eq!(list(&mut bed, TARGET_MS * 9 / 10, 100), vec![50]);
    assert_eq!(list(&mut bed, TARGET_MS * 2, 50), vec![25]);
}

#[test]
fn pace_goes_down_to_nothing() {
    let mut bed = shared();
    let mut percent = 100;
    for _ in 0..6 {
        if let [next] = list(&mut bed, TARGET_MS * 3, percent)[..] {
            percent = u64::from(next);
        }
    }
    assert_eq!(percent, 0);
}

#[test]
fn pace_rises_slowly_while_there_is_room() {
    let mut bed = shared();
    assert_eq!(list(&mut bed, TARGET_MS, 100), vec![50]);
    assert_eq!(list(&mut bed, TARGET_MS / 4, 50), vec![65]);
    assert_eq!(
        list(&mut bed, TARGET_MS * 7 / 10, 65),
        Vec::<u8>::new(),
        "it fits"
    );
}

#[test]
fn pace_waits_for_the_figures_to_settle() {
    let mut bed = shared();
    assert_eq!(list(&mut bed, TARGET_MS, 100), vec![50]);
    bed.now -= SETTLED;
    assert_eq!(list(&mut bed, TARGET_MS * 2, 100), Vec::<u8>::new());
}
