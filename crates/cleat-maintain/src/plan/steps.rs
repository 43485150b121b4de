//! The next step of an instance in a wave.

use std::time::Duration;

use cleat_world::{MaintenanceTerms, Phase, Step, World};

use super::Effect;
use super::moves::max_request_duration;
use super::observations::Observation;
use crate::{Action, ActionState, ActionToken};

/// An instance under maintenance.
pub(super) struct Context<'a> {
    pub(super) world: &'a World,
    pub(super) pool: &'a str,
    pub(super) instance: &'a str,
    pub(super) epoch: u64,
    pub(super) now: Duration,
}

/// What to do for the instance.
pub(super) enum Next {
    Nothing,
    Do(Effect),
    Enter(Step),
}

/// What advances the instance from `step`.
pub(super) fn next(cx: &Context<'_>, step: Step, observation: &mut Observation) -> Next {
    match step {
        Step::Waiting | Step::Done | Step::Skipped => Next::Nothing,
        Step::Draining => draining(cx, observation),
        Step::Rebooting => rebooting(cx, observation),
        Step::Probation => probation(cx, observation),
        Step::Failed => failed(cx, observation),
    }
}

/// Continues to the reboot only once every entry has stopped sending requests to
/// the instance, the longest of these has ended, and the platform has drained the
/// instance.
fn draining(cx: &Context<'_>, observation: &Observation) -> Next {
    let Some(in_force_at) = observation.in_force_at else {
        let index = cx.epoch;
        return Next::Do(Effect::AwaitInForce { index });
    };
    let requests_ended_at = in_force_at + max_request_duration(cx.world, cx.pool);
    match observation.action_state {
        Some(ActionState::Done) if cx.now >= requests_ended_at => Next::Enter(Step::Rebooting),
        Some(ActionState::Done) => Next::Nothing,
        Some(ActionState::Failed) => Next::Enter(Step::Failed),
        _ if cx.now >= requests_ended_at + seconds(cx.terms().drain_s) => Next::Enter(Step::Failed),
        _ => cx.run_action(Action::Drain),
    }
}

fn rebooting(cx: &Context<'_>, observation: &Observation) -> Next {
    match observation.action_state {
        Some(ActionState::Done) => Next::Enter(Step::Probation),
        Some(ActionState::Failed) => Next::Enter(Step::Failed),
        _ if cx.now >= observation.since + seconds(cx.terms().reboot_s) => {
            Next::Enter(Step::Failed)
        }
        _ => cx.run_action(Action::Reboot),
    }
}

/// The instance has to serve for the probation time without interruption. One
/// that stops serving starts that time again. It has failed if it is not serving
/// once the probation time plus the time for a reboot has passed.
fn probation(cx: &Context<'_>, observation: &mut Observation) -> Next {
    if has_passed_probation(cx, observation) {
        return Next::Enter(Step::Done);
    }
    match observation.serving_since {
        Some(_) => Next::Nothing,
        None => not_serving(cx, observation),
    }
}

/// An instance that was repaired outside the wave has to pass the probation too.
fn failed(cx: &Context<'_>, observation: &mut Observation) -> Next {
    match has_passed_probation(cx, observation) {
        true => Next::Enter(Step::Skipped),
        false => Next::Nothing,
    }
}

/// Whether the instance has served for the probation time without interruption.
fn has_passed_probation(cx: &Context<'_>, observation: &mut Observation) -> bool {
    if !cx.world.has_target(cx.instance) {
        observation.serving_since = None;
        return false;
    }
    let serving_since = *observation.serving_since.get_or_insert(cx.now);
    cx.now >= serving_since + seconds(cx.terms().probation_s)
}

fn not_serving(cx: &Context<'_>, observation: &Observation) -> Next {
    let terms = cx.terms();
    let place = cx.world.places().get(cx.instance);
    // An instance that never served in the pool has nothing to recover.
    let never_served = place.is_some_and(|place| place.phase == Phase::Joining);
    if never_served && cx.now >= observation.since + seconds(terms.probation_s) {
        return Next::Enter(Step::Done);
    }
    match cx.now >= observation.since + seconds(terms.probation_s + terms.reboot_s) {
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
