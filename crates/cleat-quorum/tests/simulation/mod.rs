//! A seeded schedule over pure cores: fake network, disks and clocks, faults,
//! and the invariants that are checked after every step.

mod check;
mod effects;
mod fault;
mod node;
mod upkeep;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use cleat_quorum::{Body, Event, Message, Protections, SyncId};
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
    pub(crate) voters: u32,
    pub(crate) learners: u32,
    /// How many faults inject at random times.
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
    /// How often the leader hands its lead over, at random times.
    pub(crate) leadership_transfers: u32,
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
            leadership_transfers: 2,
            heal: 7 * SECOND,
            liveness: true,
            protections: Protections::default(),
        }
    }
}

enum Occurrence {
    Deliver(Message),
    SyncDone(usize, u64, SyncId),
    Timer(usize, u64),
    Inject(usize, Fault),
    InjectCell(usize, Fault),
    Restart(usize),
    Thaw(usize),
    Uncut(usize),
    Normal,
    KillLeader,
    TransferLeadership,
    Client,
    Upkeep(u8),
    Heal,
}

#[derive(Clone, Copy)]
struct Conditions {
    drop: f64,
    duplicate: f64,
    delay: f64,
    reorder: f64,
}

const NORMAL: Conditions = Conditions {
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
    occurrences: BTreeMap<u64, Occurrence>,
    nodes: Vec<Node>,
    conditions: Conditions,
    cell_armed: Micros,
    /// The members that served when the leader was killed and lapsed later.
    pub(crate) lapsed: BTreeSet<usize>,
    /// When a lead was last handed over, by whom, and how long until another
    /// member led.
    handed_over: Option<(Micros, usize)>,
    pub(crate) without_leader: Vec<Micros>,
    watched: Vec<usize>,
    voter_disks_lost: u32,
    /// How often the cell's fault was injected at its step.
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
        // Half of the schedules inject while the group is being formed.
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
            occurrences: BTreeMap::new(),
            nodes,
            conditions: NORMAL,
            cell_armed,
            lapsed: BTreeSet::new(),
            handed_over: None,
            without_leader: Vec::new(),
            watched: Vec::new(),
            voter_disks_lost: 0,
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
            self.after(at, Occurrence::Inject(node, fault));
        }
        if self.plan.upkeep {
            self.after(3 * SECOND, Occurrence::Upkeep(0));
            self.after(5 * SECOND, Occurrence::Upkeep(1));
        }
        if self.plan.kill_leader {
            self.after(4 * SECOND, Occurrence::KillLeader);
        }
        for _ in 0..self.plan.leadership_transfers {
            let at = self.rng.random_range(2 * SECOND..6 * SECOND);
            self.after(at, Occurrence::TransferLeadership);
        }
        for node in 0..self.nodes.len() {
            let at = self.rng.random_range(0..100 * MILLI);
            self.after(at, Occurrence::Restart(node));
        }
        self.after(0, Occurrence::Client);
        self.after(self.plan.heal, Occurrence::Heal);
    }

    fn after(&mut self, delay: Micros, occurrence: Occurrence) {
        self.order += 1;
        self.queue.push(Reverse((self.now + delay, self.order)));
        self.occurrences.insert(self.order, occurrence);
    }

    fn run(&mut self) -> Result<(), Violation> {
        let recovery = 10 * SECOND;
        let end = self.now + self.plan.heal + recovery;
        while let Some(Reverse((at, order))) = self.queue.pop() {
            self.now = at;
            if at > end {
                break;
            }
            if let Some(occurrence) = self.occurrences.remove(&order) {
                self.handle(occurrence)?;
                self.checker.check_leases(&self.nodes, self.now)?;
                self.watch_leases();
                self.watch_lead();
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
                    && voters == self.plan.voters as usize
            })
        };
        serving && self.nodes.iter().any(|node| leads(&node))
    }

    fn handle(&mut self, occurrence: Occurrence) -> Result<(), Violation> {
        match occurrence {
            Occurrence::Deliver(message) => self.deliver(message)?,
            Occurrence::SyncDone(node, incarnation, sync_id) => {
                self.sync_done(node, incarnation, sync_id)?;
            }
            Occurrence::Timer(node, generation) if self.nodes[node].timer == generation => {
                self.step(node, Event::Tick)?;
            }
            Occurrence::Timer(..) => {}
            Occurrence::Inject(node, fault) => drop(self.inject(node, fault)),
            Occurrence::InjectCell(node, fault) => {
                self.hits += u32::from(self.hits == 0 && self.inject(node, fault));
            }
            Occurrence::Restart(node) => self.restart(node)?,
            Occurrence::Thaw(node) => self.thaw(node)?,
            Occurrence::Uncut(node) => {
                self.nodes[node].cut_in.clear();
                self.nodes[node].cut_out.clear();
            }
            Occurrence::Normal => self.conditions = NORMAL,
            Occurrence::KillLeader => self.kill_leader(),
            Occurrence::TransferLeadership => self.transfer_leadership()?,
            Occurrence::Client => self.client()?,
            Occurrence::Upkeep(stage) => self.upkeep(stage)?,
            Occurrence::Heal => self.heal()?,
        }
        Ok(())
    }

    fn deliver(&mut self, message: Message) -> Result<(), Violation> {
        let to = message.to.0 as usize;
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
        self.after(due - self.now, Occurrence::Timer(at, generation));
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
