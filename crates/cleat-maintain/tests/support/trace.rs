//! Replays recorded events in steps of one second.

use std::collections::BTreeMap;
use std::time::Duration;

use cleat_maintain::wait_reason;
use cleat_world::{CommandBody, MoveInstance, PauseWave};
use serde::{Deserialize, Serialize};

use super::Sim;
use super::fleet::POOLS;

/// One line of a trace.
#[derive(Debug, Deserialize)]
struct Line {
    /// The time in seconds.
    at: u64,
    #[serde(flatten)]
    event: TraceEvent,
}

#[derive(Debug, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
enum TraceEvent {
    Start { pool: Box<str> },
    Pause { pool: Box<str> },
    Resume { pool: Box<str> },
    Move { instance: Box<str>, to: Box<str> },
    RackFails { rack: usize, until: u64 },
    LeaderChanges,
    PoolWithdrawn,
    End,
}

/// The outcome of a trace.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Outcome {
    /// The maximum number of unavailable instances in each pool, for any reason.
    most_away: BTreeMap<String, u64>,
    /// The number of instances in each step at the end.
    steps: BTreeMap<String, usize>,
    /// The number of instances in each pool at the end.
    instances: BTreeMap<String, u64>,
    /// All reasons for which a wave waited at any time.
    waited_for: Vec<String>,
    /// The number of reboots that the platform ran.
    reboots: u64,
}

/// Replays the lines of `text` with these availability budgets of the two pools.
pub(crate) fn replay(text: &str, budgets: [u64; 2]) -> Outcome {
    let mut sim = Sim::without_faults(budgets);
    let mut outcome = Outcome {
        most_away: BTreeMap::new(),
        steps: BTreeMap::new(),
        instances: BTreeMap::new(),
        waited_for: Vec::new(),
        reboots: 0,
    };
    let mut second = 0;
    for line in text.lines() {
        let line: Line = serde_json::from_str(line).expect("a valid line of a trace");
        while second < line.at {
            sim.run_second();
            second += 1;
            observe(&sim, &mut outcome);
        }
        apply_event(&mut sim, line.event);
    }
    record_end(&sim, &mut outcome);
    outcome
}

fn apply_event(sim: &mut Sim, event: TraceEvent) {
    let command_id = None;
    match event {
        TraceEvent::Start { pool } => sim.start_wave(&pool),
        TraceEvent::Pause { pool } => {
            sim.apply(CommandBody::PauseWave(PauseWave { pool, command_id }));
        }
        TraceEvent::Resume { pool } => sim.resume_wave(&pool),
        TraceEvent::Move { instance, to } => sim.apply(CommandBody::MoveInstance(MoveInstance {
            instance,
            to,
            command_id,
        })),
        TraceEvent::RackFails { rack, until } => sim.fail_rack(rack, Duration::from_secs(until)),
        TraceEvent::LeaderChanges => sim.change_leader(),
        TraceEvent::PoolWithdrawn => sim.remove_pool_b(),
        TraceEvent::End => {}
    }
}

fn observe(sim: &Sim, outcome: &mut Outcome) {
    for pool in POOLS {
        if let Some(availability) = sim.world.availability(pool) {
            let max = outcome.most_away.entry(pool.to_owned()).or_default();
            *max = availability.away.max(*max);
        }
        if let Some(reason) = wait_reason(&sim.world, pool) {
            let reason = serde_json::to_value(reason).expect("it can be written as JSON");
            let reason = reason["reason"]
                .as_str()
                .expect("a reason is a string")
                .to_owned();
            if !outcome.waited_for.contains(&reason) {
                outcome.waited_for.push(reason);
                outcome.waited_for.sort();
            }
        }
    }
}

fn record_end(sim: &Sim, outcome: &mut Outcome) {
    outcome.reboots = sim.reboots();
    for wave in sim.world.waves().values() {
        for state in wave.instances.values() {
            let step = serde_json::to_value(state.step).expect("it can be written as JSON");
            let step = step.as_str().expect("a step is a string").to_owned();
            *outcome.steps.entry(step).or_default() += 1;
        }
    }
    for place in sim.world.places().values() {
        assert!(
            place.phase.destination().is_none(),
            "still moving: {place:?}"
        );
        *outcome.instances.entry(place.pool.to_string()).or_default() += 1;
    }
}
