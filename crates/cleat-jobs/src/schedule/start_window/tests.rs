//! The window beside workers whose answers take a given time.

use std::collections::VecDeque;

use super::*;

const STEP: Duration = Duration::from_millis(1);
/// The delay of answers without a queue, and that after the network has become slower.
const NEAR: Duration = Duration::from_millis(10);
const FAR: Duration = Duration::from_millis(70);
/// Within this time the window follows a network that has become slower.
const ADAPTATION_TIME: Duration = Duration::from_secs(30);
/// The starts a second that an owner has to be able to send at any distance.
const MIN_RATE: u128 = 2_000;

/// Starts as many as the window allows for a while. Each is answered after `delay`.
fn run(
    window: &mut StartWindow,
    sent: &mut VecDeque<Duration>,
    now: &mut Duration,
    span: Duration,
    delay: Duration,
) {
    let end = *now + span;
    while *now < end {
        *now += STEP;
        while let Some(decided_at) = sent.pop_front_if(|at| *at + delay <= *now) {
            window.record_end();
            let answer = StartAnswer {
                decided_at,
                data_centre: "dc1",
                is_from_worker: true,
            };
            window.record_delay(answer, *now);
        }
        while !window.is_full() {
            window.record_sent();
            sent.push_back(*now);
        }
    }
}

/// Guards against a window that takes a slower network for a queue for as long as the owner owns.
#[test]
fn window_follows_a_network_that_becomes_slower() {
    let (mut window, mut sent, mut now) = (StartWindow::new(), VecDeque::new(), STEP);
    run(
        &mut window,
        &mut sent,
        &mut now,
        Duration::from_secs(2),
        NEAR,
    );
    run(&mut window, &mut sent, &mut now, ADAPTATION_TIME, FAR);
    let rate = window.limit as u128 * 1_000 / FAR.as_millis();
    assert!(
        rate >= MIN_RATE,
        "a window of {} allows {rate} starts a second",
        window.limit
    );
}
