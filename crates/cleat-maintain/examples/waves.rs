//! What a wave costs: how long it takes, how long its instances are away, and
//! what a pass over all pools of the size planned for asks of the leader.
//!
//! The very core that runs decides, on a clock of its own, against machines
//! that take a fixed time.

use std::time::{Duration, Instant};

use cleat_maintain::{Action, ActionState, ActionToken, Effect, Event, Reconciler};
use cleat_world::{
    Announce, Announcement, ApplyConfig, Command, CommandBody, ProposedConfig, StartWave, Step,
    World,
};
use indexmap::IndexMap;
use serde_json::{Map, Value, json};

/// Seconds that a machine takes, as far as nothing can shorten them.
const DRAIN_S: u64 = 30;
const REBOOT_S: u64 = 180;
const PROBATION_S: u64 = 60;
const DEADLINE_S: u64 = 2;
const UNAVOIDABLE_S: u64 = DEADLINE_S + DRAIN_S + REBOOT_S + PROBATION_S;
/// Instances a rack, and data centres.
const RACK: usize = 4;
const CENTRES: usize = 3;
const SEVEN_WEEKS_S: u64 = 7 * 7 * 24 * 60 * 60;
const POOLS: usize = 89;
const WORKERS: usize = 1_100;
const NEVER_S: u64 = 10_000_000;

fn main() {
    println!("pool budget wave_s bound_s one_at_a_time_s away_s/instance bound most_away racks");
    for instances in [6, 12, 48] {
        let one = Run::of(&[instances], 1).finish();
        for budget in [1, 2, 6] {
            let found = Run::of(&[instances], budget).finish();
            let bound = (instances as u64).div_ceil(budget) * UNAVOIDABLE_S;
            let each = found.away_s as f64 / instances as f64;
            println!(
                "{instances:4} {budget:6} {:6} {bound:7} {:15} {each:15.1} {UNAVOIDABLE_S:5} {:9} {:5}",
                found.seconds, one.seconds, found.most_away, found.most_racks
            );
        }
    }
    whole_fleet();
}

/// Every pool at once, and one after the other.
fn whole_fleet() {
    let sizes: Vec<usize> = (0..POOLS).map(|i| (WORKERS + i) / POOLS).collect();
    let total: usize = sizes.iter().sum();
    for budget in [1, 2] {
        let found = Run::of(&sizes, budget).finish();
        let largest = sizes.iter().copied().max().unwrap_or(0);
        let one = Run::of(&[largest], budget).finish();
        let in_turn = one.seconds * POOLS as u64;
        println!(
            "{POOLS} pools, {total} instances, budget {budget}: all at once {} s; in turn {in_turn} s, \
             {:.1} % of 7 weeks; {} commands; decision at most {:?}, mean {:?}",
            found.seconds,
            100.0 * in_turn as f64 / SEVEN_WEEKS_S as f64,
            found.commands,
            found.slowest,
            found.deciding / u32::try_from(found.seconds).unwrap_or(u32::MAX),
        );
    }
    let idle = Run::idle(&sizes);
    println!("no wave: decision mean {idle:?}");
}

/// What a run came to.
#[derive(Default)]
struct Found {
    seconds: u64,
    /// Seconds away, summed over the instances.
    away_s: u64,
    most_away: u64,
    /// The most racks that lacked an instance at once.
    most_racks: usize,
    commands: u64,
    deciding: Duration,
    slowest: Duration,
}

struct Run {
    world: World,
    index: u64,
    leader: Reconciler,
    /// When each effect began.
    begun: IndexMap<ActionToken, u64>,
    sizes: Vec<usize>,
}

impl Run {
    fn of(sizes: &[usize], budget: u64) -> Run {
        let mut run = Run::serving(sizes, budget);
        for pool in 0..sizes.len() {
            let (pool, command_id) = (format!("p{pool}").into(), None);
            run.apply(CommandBody::StartWave(StartWave { pool, command_id }));
        }
        run
    }

    /// The mean time of a decision without anything to decide.
    fn idle(sizes: &[usize]) -> Duration {
        let mut run = Run::serving(sizes, 1);
        let start = Instant::now();
        for second in 0..1_000 {
            let now = Duration::from_secs(second);
            run.leader.handle(Event::Tick, &run.world, now);
        }
        start.elapsed() / 1_000
    }

    fn serving(sizes: &[usize], budget: u64) -> Run {
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
        run.announce_all();
        run
    }

    fn apply(&mut self, body: CommandBody) {
        self.index += 1;
        self.world.apply(self.index, Command { at_ms: 0, body });
    }

    fn finish(&mut self) -> Found {
        let mut found = Found::default();
        while found.seconds < NEVER_S {
            found.seconds += 1;
            self.announce_all();
            self.decide(&mut found);
            self.measure(&mut found);
            if self
                .world
                .waves()
                .values()
                .all(cleat_world::Wave::has_ended)
            {
                break;
            }
        }
        found
    }

    fn decide(&mut self, found: &mut Found) {
        let now = Duration::from_secs(found.seconds);
        let start = Instant::now();
        let effects = self.leader.handle(Event::Tick, &self.world, now);
        let took = start.elapsed();
        found.deciding += took;
        found.slowest = found.slowest.max(took);
        for effect in effects {
            let event = match effect {
                Effect::Propose(body) => {
                    self.apply(body);
                    found.commands += 1;
                    continue;
                }
                Effect::AwaitInForce { index } => Event::InForce { index },
                Effect::RunAction(token) => self.run_action(token, found.seconds),
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

    fn measure(&self, found: &mut Found) {
        let mut away = 0;
        let mut racks = Vec::new();
        for name in self.world.places().keys().filter(|n| self.world.is_away(n)) {
            away += 1;
            let instance = self.world.fleet().instances.by_name(name);
            racks.extend(instance.map(|instance| instance.rack.clone()));
        }
        racks.sort();
        racks.dedup();
        found.away_s += away;
        found.most_away = found.most_away.max(away);
        found.most_racks = found.most_racks.max(racks.len());
    }

    /// Machines that are up and have no target announce one.
    fn announce_all(&mut self) {
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
    format!("dc{}", i / RACK % CENTRES)
}

fn config(sizes: &[usize], budget: u64) -> Value {
    let mut centres = Map::new();
    for i in 0..CENTRES {
        centres.insert(format!("dc{i}"), json!({}));
    }
    let mut pools = Map::new();
    let mut services = Map::new();
    for (pool, size) in sizes.iter().enumerate() {
        let stated = |i: usize| json!({"data_centre": centre(i), "rack": format!("k{}", i / RACK)});
        let instances: Map<_, _> = (0..*size).map(|i| (instance(pool, i), stated(i))).collect();
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
