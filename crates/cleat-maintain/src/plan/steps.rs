//! The next step of an instance in a wave.

use std::time::Duration;

use cleat_world::{MaintenanceTerms, Phase, Step, World};

use super::Effect;
use super::moves::longest_request;
use super::watch::Watch;
use crate::{Action, ActionState, ActionToken};

/// One instance under maintenance.
pub(super) struct Context<'a> {
    pub(super) world: &'a World,
    pub(super) pool: &'a str,
    pub(super) instance: &'a str,
    pub(super) epoch: u64,
    pub(super) now: Duration,
}

/// What follows for it.
pub(super) enum Next {
    Nothing,
    Do(Effect),
    Enter(Step),
}

/// What takes the instance on from `step`.
pub(super) fn next(cx: &Context<'_>, step: Step, watch: &mut Watch) -> Next {
    match step {
        Step::Waiting | Step::Done | Step::Skipped => Next::Nothing,
        Step::Draining => draining(cx, watch),
        Step::Rebooting => rebooting(cx, watch),
        Step::Probation => probation(cx, watch),
        Step::Failed => failed(cx, watch),
    }
}

/// Reboots only once every instance of the system's own has stopped sending,
/// the longest request has ended, and the platform has drained it.
fn draining(cx: &Context<'_>, watch: &Watch) -> Next {
    let Some(in_force_at) = watch.in_force_at else {
        let index = cx.epoch;
        return Next::Do(Effect::AwaitInForce { index });
    };
    let quiet_at = in_force_at + longest_request(cx.world, cx.pool);
    match watch.action_state {
        Some(ActionState::Done) if cx.now >= quiet_at => Next::Enter(Step::Rebooting),
        Some(ActionState::Done) => Next::Nothing,
        Some(ActionState::Failed) => Next::Enter(Step::Failed),
        _ if cx.now >= quiet_at + seconds(cx.terms().drain_s) => Next::Enter(Step::Failed),
        _ => cx.run_action(Action::Drain),
    }
}

fn rebooting(cx: &Context<'_>, watch: &Watch) -> Next {
    match watch.action_state {
        Some(ActionState::Done) => Next::Enter(Step::Probation),
        Some(ActionState::Failed) => Next::Enter(Step::Failed),
        _ if cx.now >= watch.since + seconds(cx.terms().reboot_s) => Next::Enter(Step::Failed),
        _ => cx.run_action(Action::Reboot),
    }
}

/// It has to serve for a while without a break. One that fails right after
/// its repair starts anew, and fails for good once it has had the time of a
/// reboot to come back.
fn probation(cx: &Context<'_>, watch: &mut Watch) -> Next {
    if has_proved_itself(cx, watch) {
        return Next::Enter(Step::Done);
    }
    match watch.serving_since {
        Some(_) => Next::Nothing,
        None => unserved(cx, watch),
    }
}

/// One that was repaired by other hands has to prove itself all the same.
fn failed(cx: &Context<'_>, watch: &mut Watch) -> Next {
    match has_proved_itself(cx, watch) {
        true => Next::Enter(Step::Skipped),
        false => Next::Nothing,
    }
}

/// Whether it has served for the time of the probation without a break.
fn has_proved_itself(cx: &Context<'_>, watch: &mut Watch) -> bool {
    if !cx.world.has_target(cx.instance) {
        watch.serving_since = None;
        return false;
    }
    let serving_since = *watch.serving_since.get_or_insert(cx.now);
    cx.now >= serving_since + seconds(cx.terms().probation_s)
}

fn unserved(cx: &Context<'_>, watch: &Watch) -> Next {
    let terms = cx.terms();
    let place = cx.world.places().get(cx.instance);
    // One that never served has nothing to prove.
    let never_served = place.is_some_and(|place| place.phase == Phase::Joining);
    if never_served && cx.now >= watch.since + seconds(terms.probation_s) {
        return Next::Enter(Step::Done);
    }
    match cx.now >= watch.since + seconds(terms.probation_s + terms.reboot_s) {
        true => Next::Enter(Step::Failed),
        false => Next::Nothing,
    }
}

impl Context<'_> {
    fn terms(&self) -> MaintenanceTerms {
        let pool = self.world.fleet().pools.by_name(self.pool);
        pool.map(|pool| pool.maintenance).unwrap_or_default()
    }

    fn run_action(&self, action: Action) -> Next {
        Next::Do(Effect::RunAction(ActionToken {
            instance: self.instance.into(),
            action,
            epoch: self.epoch,
        }))
    }
}

fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}
