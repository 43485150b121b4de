//! Leaders, operators and machines that run on one seeded schedule.

use std::time::Duration;

use cleat_maintain::{ActionToken, Effect, Event, Reconciler};
use cleat_world::{
    Announce, Announcement, ApplyConfig, Command, CommandBody, MoveInstance, PauseWave,
    ProposedConfig, ResumeWave, StartWave, Withdraw, WithdrawCause, World,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::checks::{Before, Checks};
use super::fleet::{INSTANCES_PER_POOL, POOLS, RACKS, config, name, rack, without_b};
use super::platform::FakePlatform;

/// A fault that may be injected in a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The leader is killed before its command is committed.
    KilledBeforeCommit,
    /// The leader is killed once its command is committed.
    KilledAfterCommit,
    /// The leader is killed before it calls the platform.
    KilledBeforeEffect,
    /// The leader is killed once the platform has begun an action.
    KilledAfterEffect,
    /// The platform's response is lost.
    AnswerLost,
    /// A command or an action is sent twice.
    Duplicate,
    /// A command or an action arrives again seconds later.
    Delayed,
    /// An instance fails for a while.
    InstanceFails,
    /// Every instance of a rack fails at once, for a while.
    RackFails,
    /// An instance fails as soon as it is back from its reboot.
    FailsAfterRepair,
    /// An instance does not come back from its reboot.
    RebootFails,
    /// Operators move, pause, resume, start and configure at the same time.
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

const INSTANCES: usize = 2 * INSTANCES_PER_POOL;
/// The probability, in percent, that an enabled fault is injected when it can be.
const FAULT_PERCENT: u32 = 10;
/// The probability, in percent, that a machine fails in a second.
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
    /// Until when each instance is down because of a failure.
    down_until: [Duration; INSTANCES],
    /// Effects that arrive a second time, with the time at which they do.
    delayed: Vec<(Duration, Effect)>,
    pool_of: Vec<usize>,
    budgets: [u64; 2],
}

impl Sim {
    pub(crate) fn new(seed: u64) -> Sim {
        let mut sim = Sim::new_idle(seed);
        sim.configure();
        sim.update_targets();
        for pool in POOLS {
            sim.start_wave(pool);
        }
        sim
    }

    fn new_idle(seed: u64) -> Sim {
        Sim {
            world: World::default(),
            rng: StdRng::seed_from_u64(seed),
            index: 0,
            now: Duration::ZERO,
            leader: Reconciler::default(),
            faults: Vec::new(),
            platform: FakePlatform::default(),
            checks: Checks::default(),
            down_until: [Duration::ZERO; INSTANCES],
            delayed: Vec::new(),
            pool_of: (0..INSTANCES).map(|i| i / INSTANCES_PER_POOL).collect(),
            budgets: [1 + seed % 3, 2],
        }
    }

    /// A simulation without waves, and without faults except those that the test
    /// injects.
    pub(crate) fn without_faults(budgets: [u64; 2]) -> Sim {
        let mut sim = Sim::new_idle(0);
        sim.budgets = budgets;
        sim.configure();
        sim.update_targets();
        sim
    }

    /// Runs for a number of seconds with these faults enabled.
    pub(crate) fn run(&mut self, seconds: u64, faults: &[Fault]) {
        self.faults = faults.to_vec();
        for _ in 0..seconds {
            self.run_second();
        }
    }

    /// Disables all faults and runs until every wave and every move has ended.
    pub(crate) fn settle(&mut self) {
        self.faults.clear();
        self.delayed.clear();
        self.down_until = [Duration::ZERO; INSTANCES];
        self.platform.broken.clear();
        for pool in POOLS {
            self.resume_wave(pool);
        }
        for _ in 0..SETTLE_SECONDS {
            self.run_second();
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

    pub(crate) fn run_second(&mut self) {
        self.now += Duration::from_secs(1);
        self.fail_machines();
        self.update_targets();
        if self.is_injected(Fault::Operators) {
            self.run_operators();
        }
        self.deliver_delayed();
        self.run_leader(Event::Tick);
    }

    fn is_injected(&mut self, fault: Fault) -> bool {
        self.faults.contains(&fault) && self.rng.random_ratio(FAULT_PERCENT, 100)
    }

    pub(crate) fn apply(&mut self, body: CommandBody) {
        self.index += 1;
        let before = Before::of(&self.world);
        let applied = body.clone();
        self.world.apply(self.index, Command { at_ms: 0, body });
        self.checks
            .check_command(&applied, &before, &self.world, self.now);
    }

    /// Another instance becomes the leader. It knows only the replicated state.
    pub(crate) fn change_leader(&mut self) {
        self.leader = Reconciler::default();
    }

    fn run_leader(&mut self, event: Event) {
        let effects = self.leader.handle(event, &self.world, self.now);
        for effect in effects {
            if self.is_injected(Fault::Delayed) {
                let arrives = self.now + Duration::from_secs(self.rng.random_range(1..8));
                self.delayed.push((arrives, effect.clone()));
            }
            match effect {
                Effect::Propose(body) => self.propose(body),
                // In force at once, or only once the lease of an unreachable instance
                // has expired.
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
        if self.is_injected(Fault::KilledBeforeCommit) {
            return self.change_leader();
        }
        self.apply(body.clone());
        if self.is_injected(Fault::Duplicate) {
            self.apply(body);
        }
        if self.is_injected(Fault::KilledAfterCommit) {
            self.change_leader();
        }
    }

    fn run_action(&mut self, token: ActionToken) {
        if self.is_injected(Fault::KilledBeforeEffect) {
            return self.change_leader();
        }
        if self.is_injected(Fault::Duplicate) {
            self.call_platform(&token);
        }
        let state = self.call_platform(&token);
        if self.is_injected(Fault::KilledAfterEffect) {
            return self.change_leader();
        }
        if !self.is_injected(Fault::AnswerLost) {
            let event = Event::Reported { token, state };
            self.leader.handle(event, &self.world, self.now);
        }
    }

    fn call_platform(&mut self, token: &ActionToken) -> cleat_maintain::ActionState {
        let (state, began) = self.platform.run_action(token, self.now);
        if began {
            self.checks.check_action(token, &self.world, self.now);
        }
        state
    }

    fn deliver_delayed(&mut self) {
        let now = self.now;
        let delayed = std::mem::take(&mut self.delayed);
        let (arrived, later) = delayed.into_iter().partition(|(at, _)| *at <= now);
        self.delayed = later;
        let arrived: Vec<(Duration, Effect)> = arrived;
        for (_, effect) in arrived {
            match effect {
                Effect::Propose(body) => self.apply(body),
                Effect::RunAction(token) => {
                    self.call_platform(&token);
                }
                Effect::AwaitInForce { .. } => {}
            }
        }
    }

    fn fail_machines(&mut self) {
        let until = self.now + Duration::from_secs(self.rng.random_range(2..60));
        let chance = |sim: &mut Sim| sim.rng.random_ratio(FAILURE_PERCENT, 100);
        if self.faults.contains(&Fault::InstanceFails) && chance(self) {
            let i = self.rng.random_range(0..INSTANCES);
            self.down_until[i] = until;
        }
        if self.faults.contains(&Fault::RackFails) && chance(self) {
            let failed = self.rng.random_range(0..RACKS);
            self.fail_rack(failed, until);
        }
        if self.faults.contains(&Fault::RebootFails) && chance(self) {
            let i = self.rng.random_range(0..INSTANCES);
            self.platform.broken.push(name(i));
        }
    }

    /// Announces a target for each machine that is up, and withdraws those of
    /// machines that are down.
    fn update_targets(&mut self) {
        for i in 0..INSTANCES {
            let instance = name(i);
            if self.platform.is_rebooting(&instance, self.now) {
                if self.is_injected(Fault::FailsAfterRepair) {
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
            address: (
                [127, 0, 0, 1],
                1_000 + u16::try_from(i).expect("there are few instances"),
            )
                .into(),
            instance: instance.clone(),
            data_centre: format!("dc{}", rack(i) % 3).into(),
            slots: 8,
            connections: 64,
        };
        let name = instance;
        self.apply(CommandBody::Announce(Announce { name, announcement }));
    }

    fn run_operators(&mut self) {
        let pool = POOLS[self.rng.random_range(0..2)];
        let i = self.rng.random_range(0..INSTANCES);
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
                self.pool_of[i] = self.rng.random_range(0..2);
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
        self.apply_config(&config(&self.pool_of, self.budgets));
    }

    /// Removes pool `b` from the configuration and moves its instances to `a`.
    pub(crate) fn remove_pool_b(&mut self) {
        self.apply_config(&without_b(self.budgets));
    }

    /// Takes the instances of a rack down until a time.
    pub(crate) fn fail_rack(&mut self, failed: usize, until: Duration) {
        for i in (0..INSTANCES).filter(|i| rack(*i) == failed) {
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
            // The change was refused; the next one starts from the current
            // configuration.
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
