//! Leaders, operators and machines on one seeded schedule.

use std::time::Duration;

use cleat_maintain::{ActionToken, Effect, Event, Reconciler};
use cleat_world::{
    Announce, Announcement, ApplyConfig, Command, CommandBody, MoveInstance, PauseWave,
    ProposedConfig, ResumeWave, StartWave, Withdraw, WithdrawCause, World,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::checks::{Before, Checks};
use super::fleet::{EACH, POOLS, RACKS, config, name, rack, without_b};
use super::platform::FakePlatform;

/// What may go wrong in a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The leader is killed before its command is committed.
    KilledBeforeCommit,
    /// The leader is killed once its command is committed.
    KilledAfterCommit,
    /// The leader is killed before the platform hears of an effect.
    KilledBeforeEffect,
    /// The leader is killed once the platform has begun an effect.
    KilledAfterEffect,
    /// The platform's answer is lost.
    AnswerLost,
    /// A command and an effect are sent twice.
    Duplicate,
    /// A command and an effect arrive again seconds later.
    Delayed,
    /// An instance fails for a while.
    InstanceFails,
    /// Every instance of a rack fails at once, for a while.
    RackFails,
    /// An instance fails as soon as it is back from its reboot.
    FailsAfterRepair,
    /// An instance does not come back from its reboot.
    RebootFails,
    /// Operators move, pause, resume, start and configure at once.
    Operators,
}

impl Fault {
    pub(crate) const ALL: &'static [Fault] = &[
        Fault::KilledBeforeCommit,
        Fault::KilledAfterCommit,
        Fault::KilledBeforeEffect,
        Fault::KilledAfterEffect,
        Fault::AnswerLost,
        Fault::Duplicate,
        Fault::Delayed,
        Fault::InstanceFails,
        Fault::RackFails,
        Fault::FailsAfterRepair,
        Fault::RebootFails,
        Fault::Operators,
    ];
}

const COUNT: usize = 2 * EACH;
/// How often, in percent, a fault that is on strikes where it can.
const PERCENT: u32 = 10;
/// How often, in percent, a machine fails in a second.
const FAILURE_PERCENT: u32 = 3;
const SETTLE_SECONDS: u64 = 3_000;

pub(crate) struct Sim {
    pub(crate) world: World,
    rng: StdRng,
    index: u64,
    now: Duration,
    leader: Reconciler,
    faults: Vec<Fault>,
    platform: FakePlatform,
    checks: Checks,
    /// Until when each instance is down by itself.
    down_until: [Duration; COUNT],
    /// What arrives once more, and when.
    late: Vec<(Duration, Effect)>,
    homes: Vec<usize>,
    budgets: [u64; 2],
}

impl Sim {
    pub(crate) fn new(seed: u64) -> Sim {
        let mut sim = Sim::idle(seed);
        sim.configure();
        sim.machines();
        for pool in POOLS {
            sim.start_wave(pool);
        }
        sim
    }

    fn idle(seed: u64) -> Sim {
        Sim {
            world: World::default(),
            rng: StdRng::seed_from_u64(seed),
            index: 0,
            now: Duration::ZERO,
            leader: Reconciler::default(),
            faults: Vec::new(),
            platform: FakePlatform::default(),
            checks: Checks::default(),
            down_until: [Duration::ZERO; COUNT],
            late: Vec::new(),
            homes: (0..COUNT).map(|i| i / EACH).collect(),
            budgets: [1 + seed % 3, 2],
        }
    }

    /// Without waves, and without faults but those that are asked for.
    pub(crate) fn calm(budgets: [u64; 2]) -> Sim {
        let mut sim = Sim::idle(0);
        sim.budgets = budgets;
        sim.configure();
        sim.machines();
        sim
    }

    /// Goes on for a while with these faults.
    pub(crate) fn run(&mut self, seconds: u64, faults: &[Fault]) {
        self.faults = faults.to_vec();
        for _ in 0..seconds {
            self.second();
        }
    }

    /// Without faults, every wave ends and every move arrives.
    pub(crate) fn settle(&mut self) {
        self.faults.clear();
        self.late.clear();
        self.down_until = [Duration::ZERO; COUNT];
        self.platform.broken.clear();
        for pool in POOLS {
            self.resume_wave(pool);
        }
        for _ in 0..SETTLE_SECONDS {
            self.second();
            if self.is_settled() {
                return;
            }
        }
        let waiting = POOLS.map(|pool| cleat_maintain::wait_reason(&self.world, pool));
        panic!("not settled: {waiting:?}, {:?}", self.world.places());
    }

    pub(crate) fn reboots(&self) -> u64 {
        self.platform.reboot_count()
    }

    fn is_settled(&self) -> bool {
        let mut waves = self.world.waves().values();
        let mut places = self.world.places().values();
        let moving = places.any(|place| place.phase.destination().is_some());
        waves.all(cleat_world::Wave::has_ended) && !moving
    }

    pub(crate) fn second(&mut self) {
        self.now += Duration::from_secs(1);
        self.break_machines();
        self.machines();
        if self.strikes(Fault::Operators) {
            self.operate();
        }
        self.arrive_late();
        self.lead(Event::Tick);
    }

    fn strikes(&mut self, fault: Fault) -> bool {
        self.faults.contains(&fault) && self.rng.random_ratio(PERCENT, 100)
    }

    pub(crate) fn apply(&mut self, body: CommandBody) {
        self.index += 1;
        let before = Before::of(&self.world);
        let told = body.clone();
        self.world.apply(self.index, Command { at_ms: 0, body });
        self.checks.command(&told, &before, &self.world, self.now);
    }

    /// Another instance leads; it knows only the replicated state.
    pub(crate) fn change_leader(&mut self) {
        self.leader = Reconciler::default();
    }

    fn lead(&mut self, event: Event) {
        let effects = self.leader.handle(event, &self.world, self.now);
        for effect in effects {
            if self.strikes(Fault::Delayed) {
                let arrives = self.now + Duration::from_secs(self.rng.random_range(1..8));
                self.late.push((arrives, effect.clone()));
            }
            match effect {
                Effect::Propose(body) => self.propose(body),
                // In force at once, or only after the lease of a silent
                // instance has run out.
                Effect::AwaitInForce { index } => {
                    if self.rng.random_ratio(1, 2) {
                        let event = Event::InForce { index };
                        self.leader.handle(event, &self.world, self.now);
                    }
                }
                Effect::RunAction(token) => self.run_action(token),
            }
        }
    }

    fn propose(&mut self, body: CommandBody) {
        if self.strikes(Fault::KilledBeforeCommit) {
            return self.change_leader();
        }
        self.apply(body.clone());
        if self.strikes(Fault::Duplicate) {
            self.apply(body);
        }
        if self.strikes(Fault::KilledAfterCommit) {
            self.change_leader();
        }
    }

    fn run_action(&mut self, token: ActionToken) {
        if self.strikes(Fault::KilledBeforeEffect) {
            return self.change_leader();
        }
        if self.strikes(Fault::Duplicate) {
            self.reach_platform(&token);
        }
        let state = self.reach_platform(&token);
        if self.strikes(Fault::KilledAfterEffect) {
            return self.change_leader();
        }
        if !self.strikes(Fault::AnswerLost) {
            let event = Event::Reported { token, state };
            self.leader.handle(event, &self.world, self.now);
        }
    }

    fn reach_platform(&mut self, token: &ActionToken) -> cleat_maintain::ActionState {
        let (state, began) = self.platform.run_action(token, self.now);
        if began {
            self.checks.effect(token, &self.world, self.now);
        }
        state
    }

    fn arrive_late(&mut self) {
        let now = self.now;
        let late = std::mem::take(&mut self.late);
        let (arrived, later) = late.into_iter().partition(|(at, _)| *at <= now);
        self.late = later;
        let arrived: Vec<(Duration, Effect)> = arrived;
        for (_, effect) in arrived {
            match effect {
                Effect::Propose(body) => self.apply(body),
                Effect::RunAction(token) => {
                    self.reach_platform(&token);
                }
                Effect::AwaitInForce { .. } => {}
            }
        }
    }

    fn break_machines(&mut self) {
        let until = self.now + Duration::from_secs(self.rng.random_range(2..60));
        let chance = |sim: &mut Sim| sim.rng.random_ratio(FAILURE_PERCENT, 100);
        if self.faults.contains(&Fault::InstanceFails) && chance(self) {
            let i = self.rng.random_range(0..COUNT);
            self.down_until[i] = until;
        }
        if self.faults.contains(&Fault::RackFails) && chance(self) {
            let broken = self.rng.random_range(0..RACKS);
            self.fail_rack(broken, until);
        }
        if self.faults.contains(&Fault::RebootFails) && chance(self) {
            let i = self.rng.random_range(0..COUNT);
            self.platform.broken.push(name(i));
        }
    }

    /// Machines that are up run a target for the pool they are in.
    fn machines(&mut self) {
        for i in 0..COUNT {
            let instance = name(i);
            if self.platform.reboots(&instance, self.now) {
                if self.strikes(Fault::FailsAfterRepair) {
                    self.down_until[i] = self.now + Duration::from_secs(8);
                }
                continue;
            }
            let up = self.down_until[i] <= self.now;
            let announced = self.world.targets().contains_key(&instance);
            match (up, announced) {
                (false, true) => self.apply(CommandBody::Withdraw(Withdraw {
                    name: instance,
                    cause: WithdrawCause::Left,
                })),
                (true, false) => self.announce(i),
                _ => {}
            }
        }
    }

    fn announce(&mut self, i: usize) {
        let instance = name(i);
        let place = &self.world.places()[&instance];
        let announcement = Announcement {
            service: format!("serve-{}", place.pool).into(),
            address: ([127, 0, 0, 1], 1_000 + u16::try_from(i).expect("few")).into(),
            instance: instance.clone(),
            data_centre: format!("dc{}", rack(i) % 3).into(),
            slots: 8,
            connections: 64,
        };
        let name = instance;
        self.apply(CommandBody::Announce(Announce { name, announcement }));
    }

    fn operate(&mut self) {
        let pool = POOLS[self.rng.random_range(0..2)];
        let i = self.rng.random_range(0..COUNT);
        match self.rng.random_range(0..6) {
            0 => self.apply(CommandBody::MoveInstance(MoveInstance {
                instance: name(i),
                to: pool.into(),
                command_id: None,
            })),
            1 => self.start_wave(pool),
            2 => self.apply(CommandBody::PauseWave(PauseWave {
                pool: pool.into(),
                command_id: None,
            })),
            3 => self.resume_wave(pool),
            4 => {
                self.homes[i] = self.rng.random_range(0..2);
                self.configure();
            }
            _ => {
                let budget = self.rng.random_range(1..4);
                self.budgets[self.rng.random_range(0..2)] = budget;
                self.configure();
            }
        }
    }

    fn configure(&mut self) {
        self.apply_config(&config(&self.homes, self.budgets));
    }

    /// Pool `b` is gone; its instances are declared in `a`.
    pub(crate) fn withdraw_b(&mut self) {
        self.apply_config(&without_b(self.budgets));
    }

    /// The instances of a rack are down until then.
    pub(crate) fn fail_rack(&mut self, broken: usize, until: Duration) {
        for i in (0..COUNT).filter(|i| rack(*i) == broken) {
            self.down_until[i] = until;
        }
    }

    fn apply_config(&mut self, config: &serde_json::Value) {
        let version = self.world.version();
        self.apply(CommandBody::ApplyConfig(ApplyConfig {
            expect: version,
            command_id: None,
            config: ProposedConfig::Whole(config.to_string().into()),
        }));
        if self.world.version() == version {
            // Refused: the next change starts from what is in force.
            let fleet = self.world.fleet().clone();
            for (i, pool) in POOLS.iter().enumerate() {
                let pool = fleet.pools.by_name(pool).expect("a pool");
                self.budgets[i] = pool.availability_budget;
            }
        }
    }

    pub(crate) fn start_wave(&mut self, pool: &str) {
        let (pool, command_id) = (pool.into(), None);
        self.apply(CommandBody::StartWave(StartWave { pool, command_id }));
    }

    pub(crate) fn resume_wave(&mut self, pool: &str) {
        let (pool, command_id) = (pool.into(), None);
        self.apply(CommandBody::ResumeWave(ResumeWave { pool, command_id }));
    }
}
