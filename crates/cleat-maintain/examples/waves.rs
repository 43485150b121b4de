//! Measures the cost of a wave: how long it takes, how long its instances are
//! unavailable, and how much time a pass over all pools of the planned fleet takes
//! on the leader.
//!
//! The product's reconciler makes the decisions, on a simulated clock and with
//! machines that take a fixed time for each action.

use std::time::{Duration, Instant};

use cleat_maintain::{Action, ActionState, ActionToken, Effect, Event, Reconciler};
use cleat_world::{
    Announce, Announcement, ApplyConfig, Command, CommandBody, ProposedConfig, StartWave, Step,
    World,
};
use indexmap::IndexMap;
use serde_json::{Map, Value, json};

/// The times that a machine takes, in seconds. The wave cannot shorten them.
const DRAIN_S: u64 = 30;
const REBOOT_S: u64 = 180;
const PROBATION_S: u64 = 60;
const DEADLINE_S: u64 = 2;
const UNAVOIDABLE_S: u64 = DEADLINE_S + DRAIN_S + REBOOT_S + PROBATION_S;
/// The number of instances per rack.
const INSTANCES_PER_RACK: usize = 4;
const DATA_CENTRES: usize = 3;
const SEVEN_WEEKS_S: u64 = 7 * 7 * 24 * 60 * 60;
const POOLS: usize = 89;
const INSTANCES: usize = 1_100;
/// A run is stopped after this time.
const RUN_LIMIT_S: u64 = 10_000_000;

fn main() {
    println!("pool budget wave_s bound_s one_at_a_time_s away_s/instance bound max_away racks");
    for instances in [6, 12, 48] {
        let one_at_a_time = Run::with_waves(&[instances], 1).finish();
        for budget in [1, 2, 6] {
            let results = Run::with_waves(&[instances], budget).finish();
            let bound = (instances as u64).div_ceil(budget) * UNAVOIDABLE_S;
            let each = results.away_s as f64 / instances as f64;
            println!(
                "{instances:4} {budget:6} {:6} {bound:7} {:15} {each:15.1} {UNAVOIDABLE_S:5} {:9} {:5}",
                results.seconds, one_at_a_time.seconds, results.max_away, results.max_racks
            );
        }
    }
    whole_fleet();
}

/// Measures waves in all pools at once, and one after the other.
fn whole_fleet() {
    let sizes: Vec<usize> = (0..POOLS).map(|i| (INSTANCES + i) / POOLS).collect();
    let total: usize = sizes.iter().sum();
    for budget in [1, 2] {
        let results = Run::with_waves(&sizes, budget).finish();
        let largest = sizes.iter().copied().max().unwrap_or(0);
        let one_at_a_time = Run::with_waves(&[largest], budget).finish();
        let in_turn = one_at_a_time.seconds * POOLS as u64;
        println!(
            "{POOLS} pools, {total} instances, budget {budget}: all at once {} s; in turn {in_turn} s, \
             {:.1} % of 7 weeks; {} commands; decision at most {:?}, mean {:?}",
            results.seconds,
            100.0 * in_turn as f64 / SEVEN_WEEKS_S as f64,
            results.commands,
            results.slowest,
            results.deciding / u32::try_from(results.seconds).unwrap_or(u32::MAX),
        );
    }
    let idle = Run::idle(&sizes);
    println!("no wave: decision mean {idle:?}");
}

/// The results of a run.
#[derive(Default)]
struct Results {
    seconds: u64,
    /// The time that instances were unavailable, in seconds, added up over all
    /// instances.
    away_s: u64,
    /// The maximum number of unavailable instances.
    max_away: u64,
    /// The maximum number of racks with an unavailable instance.
    max_racks: usize,
    commands: u64,
    deciding: Duration,
    slowest: Duration,
}

struct Run {
    world: World,
    index: u64,
    leader: Reconciler,
    /// When each action began.
    begun: IndexMap<ActionToken, u64>,
    sizes: Vec<usize>,
}

impl Run {
    fn with_waves(sizes: &[usize], budget: u64) -> Run {
        let mut run = Run::without_waves(sizes, budget);
        for pool in 0..sizes.len() {
            let (pool, command_id) = (format!("p{pool}").into(), None);
            run.apply(CommandBody::StartWave(StartWave { pool, command_id }));
        }
        run
    }

    /// The mean time of a decision when nothing can advance.
    fn idle(sizes: &[usize]) -> Duration {
        let mut run = Run::without_waves(sizes, 1);
        let start = Instant::now();
        for second in 0..1_000 {
            let now = Duration::from_secs(second);
            run.leader.handle(Event::Tick, &run.world, now);
        }
        start.elapsed() / 1_000
    }

    fn without_waves(sizes: &[usize], budget: u64) -> Run {
        let mut run = Run {
            world: World::default(),
            index: 0,
            leader: Reconciler::default(),
            begun: IndexMap::new(),
            sizes: sizes.to_vec(),
        };
        let text = config(sizes, budget).to_string();
        run.apply(CommandBody::ApplyConfig(ApplyConfig {
            expect: 0,
            command_id: None,
            config: ProposedConfig::Whole(text.into()),
        }));
        run.announce_targets();
        run
    }

    fn apply(&mut self, body: CommandBody) {
        self.index += 1;
        self.world.apply(self.index, Command { at_ms: 0, body });
    }

    fn finish(&mut self) -> Results {
        let mut results = Results::default();
        while results.seconds < RUN_LIMIT_S {
            results.seconds += 1;
            self.announce_targets();
            self.decide(&mut results);
            self.measure(&mut results);
            if self
                .world
                .waves()
                .values()
                .all(cleat_world::Wave::has_ended)
            {
                break;
            }
        }
        results
    }

    fn decide(&mut self, results: &mut Results) {
        let now = Duration::from_secs(results.seconds);
        let start = Instant::now();
        let effects = self.leader.handle(Event::Tick, &self.world, now);
        let took = start.elapsed();
        results.deciding += took;
        results.slowest = results.slowest.max(took);
        for effect in effects {
            let event = match effect {
                Effect::Propose(body) => {
                    self.apply(body);
                    results.commands += 1;
                    continue;
                }
                Effect::AwaitInForce { index } => Event::InForce { index },
                Effect::RunAction(token) => self.run_action(token, results.seconds),
            };
            self.leader.handle(event, &self.world, now);
        }
    }

    fn run_action(&mut self, token: ActionToken, second: u64) -> Event {
        let time = match token.action {
            Action::Drain => DRAIN_S,
            Action::Reboot => REBOOT_S,
        };
        let begun = *self.begun.entry(token.clone()).or_insert(second);
        let state = match second >= begun + time {
            true => ActionState::Done,
            false => ActionState::Running,
        };
        Event::Reported { token, state }
    }

    fn measure(&self, results: &mut Results) {
        let mut away = 0;
        let mut racks = Vec::new();
        for name in self.world.places().keys().filter(|n| self.world.is_away(n)) {
            away += 1;
            let instance = self.world.fleet().instances.by_name(name);
            racks.extend(instance.map(|instance| instance.rack.clone()));
        }
        racks.sort();
        racks.dedup();
        results.away_s += away;
        results.max_away = results.max_away.max(away);
        results.max_racks = results.max_racks.max(racks.len());
    }

    /// Announces a target for each machine that is up and has none.
    fn announce_targets(&mut self) {
        for (pool, size) in self.sizes.clone().into_iter().enumerate() {
            for i in 0..size {
                let name = instance(pool, i);
                if !self.world.has_target(&name) && !self.is_down(pool, &name) {
                    self.announce(pool, i, name);
                }
            }
        }
    }

    fn is_down(&self, pool: usize, name: &str) -> bool {
        let wave = self.world.waves().get(format!("p{pool}").as_str());
        wave.and_then(|wave| wave.step(name)) == Some(Step::Rebooting)
    }

    fn announce(&mut self, pool: usize, i: usize, name: String) {
        let [high, low] = u16::try_from(pool).unwrap_or(u16::MAX).to_be_bytes();
        let port = 1_000 + u16::try_from(i).unwrap_or(0);
        let announcement = Announcement {
            service: format!("s{pool}").into(),
            address: ([127, high, low, 1], port).into(),
            instance: name.as_str().into(),
            data_centre: centre(i).into(),
            slots: 8,
            connections: 64,
        };
        let name = name.into();
        self.apply(CommandBody::Announce(Announce { name, announcement }));
    }
}

fn instance(pool: usize, i: usize) -> String {
    format!("p{pool}i{i}")
}

fn centre(i: usize) -> String {
    format!("dc{}", i / INSTANCES_PER_RACK % DATA_CENTRES)
}

fn config(sizes: &[usize], budget: u64) -> Value {
    let mut centres = Map::new();
    for i in 0..DATA_CENTRES {
        centres.insert(format!("dc{i}"), json!({}));
    }
    let mut pools = Map::new();
    let mut services = Map::new();
    for (pool, size) in sizes.iter().enumerate() {
        let settings = |i: usize| json!({"data_centre": centre(i), "rack": format!("k{}", i / INSTANCES_PER_RACK)});
        let instances: Map<_, _> = (0..*size)
            .map(|i| (instance(pool, i), settings(i)))
            .collect();
        let maintenance = json!({"probation_s": PROBATION_S});
        pools.insert(
            format!("p{pool}"),
            json!({"instances": instances, "availability_budget": budget, "maintenance": maintenance}),
        );
        services.insert(
            format!("s{pool}"),
            json!({"pool": format!("p{pool}"), "deadline_ms": DEADLINE_S * 1_000}),
        );
    }
    json!({
        "data_centres": centres, "pools": pools, "services": services,
        "platform": {"address": "127.0.0.1:9"},
    })
}
