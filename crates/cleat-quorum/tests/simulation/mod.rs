//! A seeded schedule over pure cores: fake network, disks and clocks, faults,
//! and the invariants that are checked after every step.

mod check;
mod fault;
mod node;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use cleat_quorum::{
    Body, Core, CoreConfig, Effect, Event, Limits, MemberConfig, Message, Payload, Protections,
    Role, Ticket, Write,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use check::Checker;
pub(crate) use check::Violation;
pub(crate) use fault::{Fault, Step};
use node::Node;

/// Microseconds of real time.
type Micros = u64;

pub(crate) const SECOND: Micros = 1_000_000;
const MILLI: Micros = 1_000;

/// What a schedule is made of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) voters: u16,
    pub(crate) learners: u16,
    /// How many faults strike at random times.
    pub(crate) random_faults: u32,
    /// The faults to choose from.
    pub(crate) faults: &'static [Fault],
    /// How often a sync is slow, and how long it then takes at most.
    pub(crate) slow_sync: (f64, Micros),
    /// One fault at the first occurrence of a step after a random time.
    pub(crate) cell: Option<(Step, Fault)>,
    /// A lost disk and a graceful stop, so that their steps occur.
    pub(crate) upkeep: bool,
    /// The longest pause between two proposals.
    pub(crate) client_pause: Micros,
    /// Kills the leader four seconds after the start, until the heal.
    pub(crate) kill_leader: bool,
    /// When all faults end.
    pub(crate) heal: Micros,
    /// Whether the group must recover after that.
    pub(crate) liveness: bool,
    pub(crate) protections: Protections,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            voters: 3,
            learners: 2,
            random_faults: 6,
            faults: &Fault::ALL,
            slow_sync: (0.02, 400 * MILLI),
            cell: None,
            upkeep: false,
            client_pause: 120 * MILLI,
            kill_leader: false,
            heal: 7 * SECOND,
            liveness: true,
            protections: Protections::default(),
        }
    }
}

enum Happening {
    Deliver(Message),
    SyncDone {
        node: usize,
        life: u64,
        ticket: Ticket,
    },
    Timer {
        node: usize,
        generation: u64,
    },
    Strike {
        node: usize,
        fault: Fault,
    },
    StrikeCell {
        node: usize,
        fault: Fault,
    },
    Restart {
        node: usize,
    },
    Thaw {
        node: usize,
    },
    Uncut {
        node: usize,
    },
    Calm,
    KillLeader,
    Client,
    Upkeep(u8),
    Heal,
}

#[derive(Clone, Copy)]
struct Weather {
    drop: f64,
    duplicate: f64,
    delay: f64,
    reorder: f64,
}

const CALM: Weather = Weather {
    drop: 0.0,
    duplicate: 0.0,
    delay: 0.0,
    reorder: 0.0,
};

pub(crate) struct World {
    plan: Plan,
    rng: StdRng,
    now: Micros,
    order: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    nodes: Vec<Node>,
    weather: Weather,
    cell_armed: Micros,
    /// The members that served when the leader was killed and lapsed later.
    pub(crate) lapsed: BTreeSet<usize>,
    watched: Vec<usize>,
    /// How often the cell's fault struck at its step.
    pub(crate) hits: u32,
    checker: Checker,
}

/// Runs one schedule to its end.
pub(crate) fn run(seed: u64, plan: Plan) -> Result<World, Violation> {
    let mut world = World::new(seed, plan);
    world.run()?;
    Ok(world)
}

impl World {
    fn new(seed: u64, plan: Plan) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        // Half of the schedules strike while the group is being formed.
        let latest = if rng.random_bool(0.5) {
            SECOND
        } else {
            6 * SECOND
        };
        let cell_armed = rng.random_range(0..latest);
        let count = plan.voters + plan.learners;
        let nodes = (0..count)
            .map(|id| Node::new(id, id < plan.voters, &mut rng))
            .collect();
        let mut world = World {
            plan,
            rng,
            now: SECOND,
            order: 0,
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            nodes,
            weather: CALM,
            cell_armed,
            lapsed: BTreeSet::new(),
            watched: Vec::new(),
            hits: 0,
            checker: Checker::default(),
        };
        world.prepare();
        world
    }

    fn prepare(&mut self) {
        let ease = 2 * SECOND;
        for _ in 0..self.plan.random_faults {
            let at = self
                .rng
                .random_range(0..self.plan.heal.saturating_sub(ease).max(1));
            let node = self.rng.random_range(0..self.nodes.len());
            let fault = self.plan.faults[self.rng.random_range(0..self.plan.faults.len())];
            self.after(at, Happening::Strike { node, fault });
        }
        if self.plan.upkeep {
            self.after(3 * SECOND, Happening::Upkeep(0));
            self.after(5 * SECOND, Happening::Upkeep(1));
        }
        if self.plan.kill_leader {
            self.after(4 * SECOND, Happening::KillLeader);
        }
        for node in 0..self.nodes.len() {
            let at = self.rng.random_range(0..100 * MILLI);
            self.after(at, Happening::Restart { node });
        }
        self.after(0, Happening::Client);
        self.after(self.plan.heal, Happening::Heal);
    }

    fn after(&mut self, delay: Micros, happening: Happening) {
        self.order += 1;
        self.queue.push(Reverse((self.now + delay, self.order)));
        self.happenings.insert(self.order, happening);
    }

    fn run(&mut self) -> Result<(), Violation> {
        let recovery = 10 * SECOND;
        let end = self.now + self.plan.heal + recovery;
        while let Some(Reverse((at, order))) = self.queue.pop() {
            self.now = at;
            if at > end {
                break;
            }
            if let Some(happening) = self.happenings.remove(&order) {
                self.happen(happening)?;
                self.checker.check_leases(&self.nodes, self.now)?;
                self.watch_leases();
            }
            let healed = self.now > self.plan.heal + SECOND;
            if healed && (!self.plan.liveness || self.recovered()) {
                return Ok(());
            }
        }
        if self.plan.liveness {
            Err(Violation::NoRecovery)
        } else {
            Ok(())
        }
    }

    /// Whether everyone serves, every voter votes, and all state is in force.
    fn recovered(&self) -> bool {
        let Some(goal) = self.checker.healed_at else {
            return false;
        };
        let now = self.now;
        let serving = self.nodes.iter().all(|node| {
            node.core
                .as_ref()
                .is_some_and(|core| core.in_service(node.local(now)))
        });
        let leads = |node: &&Node| {
            let core = node.core.as_ref();
            core.is_some_and(|core| {
                let status = core.status();
                let voters = core.membership().voters().count();
                status.commit > goal
                    && core.in_force(status.commit, node.local(now))
                    && voters == usize::from(self.plan.voters)
            })
        };
        serving && self.nodes.iter().any(|node| leads(&node))
    }

    fn happen(&mut self, happening: Happening) -> Result<(), Violation> {
        match happening {
            Happening::Deliver(message) => self.deliver(message),
            Happening::SyncDone { node, life, ticket } => self.sync_done(node, life, ticket),
            Happening::Timer { node, generation } => {
                let due = self.nodes[node].timer == generation;
                if due {
                    self.step(node, Event::Tick)
                } else {
                    Ok(())
                }
            }
            Happening::Strike { node, fault } => {
                self.strike(node, fault);
                Ok(())
            }
            Happening::StrikeCell { node, fault } => {
                if self.hits == 0 && self.strike(node, fault) {
                    self.hits += 1;
                }
                Ok(())
            }
            Happening::Restart { node } => self.restart(node),
            Happening::Thaw { node } => self.thaw(node),
            Happening::Uncut { node } => {
                self.nodes[node].cut_in.clear();
                self.nodes[node].cut_out.clear();
                Ok(())
            }
            Happening::Calm => {
                self.weather = CALM;
                Ok(())
            }
            Happening::KillLeader => {
                self.kill_leader();
                Ok(())
            }
            Happening::Client => self.client(),
            Happening::Upkeep(stage) => self.upkeep(stage),
            Happening::Heal => self.heal(),
        }
    }

    fn deliver(&mut self, message: Message) -> Result<(), Violation> {
        let to = usize::from(message.to.0);
        if self.nodes[to].cut_in.contains(&message.from) {
            return Ok(());
        }
        self.step(to, Event::Receive(message))
    }

    /// Steps a core, or keeps the event for a frozen one.
    fn step(&mut self, at: usize, event: Event) -> Result<(), Violation> {
        let now = self.now;
        let node = &mut self.nodes[at];
        if node.frozen {
            node.backlog.push(event);
            return Ok(());
        }
        let local = node.local(now);
        let Some(core) = &mut node.core else {
            return Ok(());
        };
        let effects = core.step(event, local);
        self.checker.check_node(&mut self.nodes[at])?;
        self.carry_out(at, effects)?;
        self.set_timer(at);
        Ok(())
    }

    fn set_timer(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Some(core) = &node.core else {
            return;
        };
        node.timer += 1;
        let generation = node.timer;
        let due = node.real(core.deadline()).max(self.now + 1);
        self.after(
            due - self.now,
            Happening::Timer {
                node: at,
                generation,
            },
        );
    }

    fn carry_out(&mut self, at: usize, effects: Vec<Effect>) -> Result<(), Violation> {
        for effect in effects {
            match effect {
                Effect::Write(write) => {
                    self.checker.check_write(&self.nodes[at], &write)?;
                    let membership = matches!(&write, Write::Append(entries)
                        if entries.iter().any(|e| matches!(e.payload, Payload::Membership(_))));
                    self.nodes[at].disk.pending.push_back(write);
                    if membership {
                        self.reach(Step::Membership, at, at);
                    }
                }
                Effect::Sync(ticket) => self.start_sync(at, ticket),
                Effect::Send(message) => self.send(at, &message)?,
                Effect::Apply {
                    index,
                    term,
                    command,
                } => {
                    self.checker
                        .check_apply(&mut self.nodes[at], index, term, &command)?;
                }
                Effect::Restore(image) => self.nodes[at].restore(&image.data),
                Effect::TakeSnapshot(index) => {
                    let data = self.nodes[at].snapshot();
                    self.step(at, Event::SnapshotTaken { index, data })?;
                }
                Effect::ReadReady { id, index } => self.checker.check_read(id, index)?,
                Effect::Accepted { .. }
                | Effect::Refused(_)
                | Effect::ReadRefused { .. }
                | Effect::LostLeadership => {}
            }
        }
        Ok(())
    }

    fn start_sync(&mut self, at: usize, ticket: Ticket) {
        let (often, slowest) = self.plan.slow_sync;
        let longest = if self.rng.random_bool(often) {
            slowest
        } else {
            4 * MILLI
        };
        let took = self.rng.random_range(100..longest);
        let node = &mut self.nodes[at];
        node.disk.mark_sync(ticket);
        // Syncs of one disk end in their order.
        node.disk.busy_until = node.disk.busy_until.max(self.now) + took;
        let delay = node.disk.busy_until - self.now;
        let life = node.life;
        self.after(
            delay,
            Happening::SyncDone {
                node: at,
                life,
                ticket,
            },
        );
    }

    fn sync_done(&mut self, at: usize, life: u64, ticket: Ticket) -> Result<(), Violation> {
        let node = &mut self.nodes[at];
        if node.life != life || node.core.is_none() {
            return Ok(());
        }
        node.disk.finish_sync(ticket);
        self.reach(Step::Sync, at, at);
        self.step(at, Event::Synced(ticket))
    }

    fn send(&mut self, at: usize, message: &Message) -> Result<(), Violation> {
        self.checker.check_send(&self.nodes[at], message)?;
        let to = usize::from(message.to.0);
        let step = Step::of(message);
        let weather = self.weather;
        let lost = self.rng.random_bool(0.005 + weather.drop);
        if !self.nodes[at].cut_out.contains(&message.to) && !lost {
            let copies = 1 + u32::from(self.rng.random_bool(0.01 + weather.duplicate));
            for _ in 0..copies {
                let delay = self.travel_time();
                self.after(delay, Happening::Deliver(message.clone()));
            }
        }
        self.reach(step, at, to);
        Ok(())
    }

    fn travel_time(&mut self) -> Micros {
        if self.rng.random_bool(0.003 + self.weather.delay) {
            return self.rng.random_range(MILLI..3 * SECOND);
        }
        if self.rng.random_bool(self.weather.reorder) {
            return self.rng.random_range(MILLI..300 * MILLI);
        }
        self.rng.random_range(300..3 * MILLI)
    }

    /// Strikes the cell's fault when its step is reached, on either side.
    fn reach(&mut self, step: Step, from: usize, to: usize) {
        let Some((cell, fault)) = self.plan.cell else {
            return;
        };
        let due = self.hits == 0 && cell == step && self.now >= SECOND + self.cell_armed;
        if due && self.now < self.plan.heal {
            let node = if self.rng.random_bool(0.5) { from } else { to };
            let soon = self.rng.random_range(0..4 * MILLI);
            self.after(soon, Happening::StrikeCell { node, fault });
        }
    }

    fn client(&mut self) -> Result<(), Violation> {
        let pause = self.rng.random_range(10 * MILLI..self.plan.client_pause);
        self.after(pause, Happening::Client);
        let at = self.rng.random_range(0..self.nodes.len());
        let count = self.rng.random_range(1..4);
        let commands = (0..count).map(|_| self.rng.random::<u64>().to_le_bytes());
        let commands = commands.map(|bytes| Arc::from(bytes.as_slice())).collect();
        self.step(at, Event::Propose(commands))?;
        let id = self.checker.start_read();
        self.step(at, Event::Read(id))
    }

    fn kill_leader(&mut self) {
        let now = self.now;
        let serves = |node: &Node| {
            node.core
                .as_ref()
                .is_some_and(|c| c.in_service(node.local(now)))
        };
        let leads = |node: &Node| node.core.as_ref().is_some_and(|c| c.role() == Role::Leader);
        let Some(leader) = self.nodes.iter().position(leads) else {
            return;
        };
        self.nodes[leader].kill(&mut self.rng);
        self.watched = (0..self.nodes.len())
            .filter(|at| serves(&self.nodes[*at]))
            .collect();
    }

    fn watch_leases(&mut self) {
        for at in &self.watched {
            let node = &self.nodes[*at];
            let core = node.core.as_ref();
            if core.is_some_and(|core| !core.in_service(node.local(self.now))) {
                self.lapsed.insert(*at);
            }
        }
    }

    fn upkeep(&mut self, stage: u8) -> Result<(), Violation> {
        let last_voter = usize::from(self.plan.voters) - 1;
        let last = self.nodes.len() - 1;
        match stage {
            0 => {
                self.strike(last_voter, Fault::LostDisk);
            }
            1 => {
                self.after(
                    100 * MILLI,
                    Happening::Strike {
                        node: last,
                        fault: Fault::Kill,
                    },
                );
                return self.step(last, Event::Release);
            }
            _ => {}
        }
        Ok(())
    }

    fn restart(&mut self, at: usize) -> Result<(), Violation> {
        if self.nodes[at].core.is_some() {
            return Ok(());
        }
        let seed = self.rng.random();
        let members = self.nodes.iter().map(|node| MemberConfig {
            id: node.id,
            votes: node.votes,
        });
        let mut config = CoreConfig::new(self.nodes[at].id, members.collect(), seed);
        config.protections = self.plan.protections;
        config.limits = Limits {
            compact_after: 30,
            keep_entries: 10,
            max_batch: 80,
            ..Limits::default()
        };
        let identity = self.rng.random();
        let now = self.now;
        let node = &mut self.nodes[at];
        let recovery = node.start(identity);
        node.core = Some(Core::new(config, recovery, node.local(now)));
        self.step(at, Event::Tick)
    }

    fn thaw(&mut self, at: usize) -> Result<(), Violation> {
        self.nodes[at].frozen = false;
        let backlog = std::mem::take(&mut self.nodes[at].backlog);
        for event in backlog {
            self.step(at, event)?;
        }
        self.step(at, Event::Tick)
    }

    fn heal(&mut self) -> Result<(), Violation> {
        self.weather = CALM;
        self.checker.healed_at = Some(self.checker.committed());
        for at in 0..self.nodes.len() {
            self.nodes[at].cut_in.clear();
            self.nodes[at].cut_out.clear();
            self.thaw(at)?;
            self.restart(at)?;
        }
        Ok(())
    }
}

fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros)
}

fn is_vote(body: &Body) -> bool {
    match body {
        Body::VoteReply(reply) => reply.granted,
        Body::VoteRequest(_) => true,
        _ => false,
    }
}
