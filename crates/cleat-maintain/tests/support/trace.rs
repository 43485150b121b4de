//! Replays recorded events second by second.

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
    /// In seconds.
    at: u64,
    #[serde(flatten)]
    event: Recorded,
}

#[derive(Debug, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
enum Recorded {
    Start { pool: Box<str> },
    Pause { pool: Box<str> },
    Resume { pool: Box<str> },
    Move { instance: Box<str>, to: Box<str> },
    RackFails { rack: usize, until: u64 },
    LeaderChanges,
    PoolWithdrawn,
    End,
}

/// What came of a trace.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Outcome {
    /// The most instances away at once in each pool, for whatever cause.
    most_away: BTreeMap<String, u64>,
    /// The last state of the waves: how many instances are in each step.
    steps: BTreeMap<String, usize>,
    /// How many instances are in each pool.
    instances: BTreeMap<String, u64>,
    /// What the waves waited for at one time or another.
    waited_for: Vec<String>,
    /// How many reboots the platform carried out.
    reboots: u64,
}

/// Replays the lines of `text` after the two budgets in `budgets`.
pub(crate) fn replay(text: &str, budgets: [u64; 2]) -> Outcome {
    let mut sim = Sim::calm(budgets);
    let mut outcome = Outcome {
        most_away: BTreeMap::new(),
        steps: BTreeMap::new(),
        instances: BTreeMap::new(),
        waited_for: Vec::new(),
        reboots: 0,
    };
    let mut second = 0;
    for line in text.lines() {
        let line: Line = serde_json::from_str(line).expect("a line of a trace");
        while second < line.at {
            sim.second();
            second += 1;
            observe(&sim, &mut outcome);
        }
        happen(&mut sim, line.event);
    }
    conclude(&sim, &mut outcome);
    outcome
}

fn happen(sim: &mut Sim, event: Recorded) {
    let command_id = None;
    match event {
        Recorded::Start { pool } => sim.start_wave(&pool),
        Recorded::Pause { pool } => {
            sim.apply(CommandBody::PauseWave(PauseWave { pool, command_id }));
        }
        Recorded::Resume { pool } => sim.resume_wave(&pool),
        Recorded::Move { instance, to } => sim.apply(CommandBody::MoveInstance(MoveInstance {
            instance,
            to,
            command_id,
        })),
        Recorded::RackFails { rack, until } => sim.fail_rack(rack, Duration::from_secs(until)),
        Recorded::LeaderChanges => sim.change_leader(),
        Recorded::PoolWithdrawn => sim.withdraw_b(),
        Recorded::End => {}
    }
}

fn observe(sim: &Sim, outcome: &mut Outcome) {
    for pool in POOLS {
        if let Some(found) = sim.world.availability(pool) {
            let most = outcome.most_away.entry(pool.to_owned()).or_default();
            *most = found.away.max(*most);
        }
        if let Some(reason) = wait_reason(&sim.world, pool) {
            let reason = serde_json::to_value(reason).expect("JSON");
            let reason = reason["reason"].as_str().expect("a reason").to_owned();
            if !outcome.waited_for.contains(&reason) {
                outcome.waited_for.push(reason);
                outcome.waited_for.sort();
            }
        }
    }
}

fn conclude(sim: &Sim, outcome: &mut Outcome) {
    outcome.reboots = sim.reboots();
    for wave in sim.world.waves().values() {
        for state in wave.instances.values() {
            let step = serde_json::to_value(state.step).expect("JSON");
            let step = step.as_str().expect("a step").to_owned();
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
