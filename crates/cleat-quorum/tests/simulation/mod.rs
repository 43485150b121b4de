//! Simulation of a group of cores, driven by a seeded schedule. Network, disks
//! and clocks are simulated, faults are injected, and the invariants are
//! checked after every step.

mod actions;
mod check;
mod effects;
mod fault;
mod node;

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

/// Microseconds of simulated real time.
type Micros = u64;

pub(crate) const SECOND: Micros = 1_000_000;
const MILLI: Micros = 1_000;

/// Parameters of a schedule.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) voters: u32,
    pub(crate) learners: u32,
    /// Number of faults injected at random times.
    pub(crate) random_faults: u32,
    /// Faults to choose from.
    pub(crate) faults: &'static [Fault],
    /// Probability that a sync is slow, and the maximum duration of a slow
    /// sync.
    pub(crate) slow_sync: (f64, Micros),
    /// A fault that is injected once, when the step first occurs after a random
    /// time.
    pub(crate) targeted_fault: Option<(Step, Fault)>,
    /// Whether a voter loses its disk and another member stops gracefully, so
    /// that the steps of both occur.
    pub(crate) disk_loss_and_stop: bool,
    /// Maximum delay between two proposals.
    pub(crate) max_client_pause: Micros,
    /// Whether the leader crashes four seconds after the start, until all
    /// faults end.
    pub(crate) crash_leader: bool,
    /// Number of leadership transfers at random times.
    pub(crate) leadership_transfers: u32,
    /// When all faults end.
    pub(crate) faults_end: Micros,
    /// Whether the group must recover after the faults end.
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
            targeted_fault: None,
            disk_loss_and_stop: false,
            max_client_pause: 120 * MILLI,
            crash_leader: false,
            leadership_transfers: 2,
            faults_end: 7 * SECOND,
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
    InjectTargeted(usize, Fault),
    Restart(usize),
    Resume(usize),
    RestoreLinks(usize),
    RestoreNetwork,
    CrashLeader,
    TransferLeadership,
    Client,
    DiskLossAndStop(u8),
    EndFaults,
}

#[derive(Clone, Copy)]
struct NetworkConditions {
    drop: f64,
    duplicate: f64,
    delay: f64,
    reorder: f64,
}

const FAULT_FREE: NetworkConditions = NetworkConditions {
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
    conditions: NetworkConditions,
    targeted_fault_after: Micros,
    /// Members that were in service when the leader crashed and whose lease
    /// expired later.
    pub(crate) expired: BTreeSet<usize>,
    /// Start time of the current leadership transfer and the leader that
    /// started it.
    transfer_started: Option<(Micros, usize)>,
    pub(crate) leaderless_periods: Vec<Micros>,
    serving_at_crash: Vec<usize>,
    voter_disks_lost: u32,
    /// How often the targeted fault was injected at its step.
    pub(crate) targeted_injections: u32,
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
        // Half of the schedules inject the fault while the group is being
        // bootstrapped.
        let latest = if rng.random_bool(0.5) {
            SECOND
        } else {
            6 * SECOND
        };
        let targeted_fault_after = rng.random_range(0..latest);
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
            conditions: FAULT_FREE,
            targeted_fault_after,
            expired: BTreeSet::new(),
            transfer_started: None,
            leaderless_periods: Vec::new(),
            serving_at_crash: Vec::new(),
            voter_disks_lost: 0,
            targeted_injections: 0,
            checker: Checker::default(),
        };
        world.prepare();
        world
    }

    fn prepare(&mut self) {
        let margin = 2 * SECOND;
        for _ in 0..self.plan.random_faults {
            let at = self
                .rng
                .random_range(0..self.plan.faults_end.saturating_sub(margin).max(1));
            let node = self.rng.random_range(0..self.nodes.len());
            let fault = self.plan.faults[self.rng.random_range(0..self.plan.faults.len())];
            self.after(at, Occurrence::Inject(node, fault));
        }
        if self.plan.disk_loss_and_stop {
            self.after(3 * SECOND, Occurrence::DiskLossAndStop(0));
            self.after(5 * SECOND, Occurrence::DiskLossAndStop(1));
        }
        if self.plan.crash_leader {
            self.after(4 * SECOND, Occurrence::CrashLeader);
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
        self.after(self.plan.faults_end, Occurrence::EndFaults);
    }

    fn after(&mut self, delay: Micros, occurrence: Occurrence) {
        self.order += 1;
        self.queue.push(Reverse((self.now + delay, self.order)));
        self.occurrences.insert(self.order, occurrence);
    }

    fn run(&mut self) -> Result<(), Violation> {
        let recovery = 10 * SECOND;
        let end = self.now + self.plan.faults_end + recovery;
        while let Some(Reverse((at, order))) = self.queue.pop() {
            self.now = at;
            if at > end {
                break;
            }
            if let Some(occurrence) = self.occurrences.remove(&order) {
                self.handle(occurrence)?;
                self.checker.check_leases(&self.nodes, self.now)?;
                self.record_expired_leases();
                self.record_transfer();
            }
            let settled = self.now > self.plan.faults_end + SECOND;
            if settled && (!self.plan.liveness || self.recovered()) {
                return Ok(());
            }
        }
        if self.plan.liveness {
            Err(Violation::NoRecovery)
        } else {
            Ok(())
        }
    }

    /// Whether all members serve, every voter votes, and all committed entries
    /// are in force.
    fn recovered(&self) -> bool {
        let Some(goal) = self.checker.committed_at_faults_end else {
            return false;
        };
        let now = self.now;
        let serving = self.nodes.iter().all(|node| {
            node.core
                .as_ref()
                .is_some_and(|core| core.in_service(node.local_time(now)))
        });
        let leads = |node: &&Node| {
            let core = node.core.as_ref();
            core.is_some_and(|core| {
                let status = core.status();
                let voters = core.membership().voters().count();
                status.commit > goal
                    && core.in_force(status.commit, node.local_time(now))
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
            Occurrence::InjectTargeted(node, fault) => {
                self.targeted_injections +=
                    u32::from(self.targeted_injections == 0 && self.inject(node, fault));
            }
            Occurrence::Restart(node) => self.restart(node)?,
            Occurrence::Resume(node) => self.resume(node)?,
            Occurrence::RestoreLinks(node) => {
                self.nodes[node].blocked_inbound.clear();
                self.nodes[node].blocked_outbound.clear();
            }
            Occurrence::RestoreNetwork => self.conditions = FAULT_FREE,
            Occurrence::CrashLeader => self.crash_leader(),
            Occurrence::TransferLeadership => self.transfer_leadership()?,
            Occurrence::Client => self.client()?,
            Occurrence::DiskLossAndStop(stage) => self.disk_loss_and_stop(stage)?,
            Occurrence::EndFaults => self.end_faults()?,
        }
        Ok(())
    }

    fn deliver(&mut self, message: Message) -> Result<(), Violation> {
        let to = message.to.0 as usize;
        if self.nodes[to].blocked_inbound.contains(&message.from) {
            return Ok(());
        }
        self.step(to, Event::Receive(message))
    }

    /// Steps a core. A paused node queues the event instead.
    fn step(&mut self, at: usize, event: Event) -> Result<(), Violation> {
        let now = self.now;
        let node = &mut self.nodes[at];
        if node.paused {
            node.backlog.push(event);
            return Ok(());
        }
        let local = node.local_time(now);
        let Some(core) = &mut node.core else {
            return Ok(());
        };
        let effects = core.step(event, local);
        self.checker.check_node(&mut self.nodes[at])?;
        self.execute(at, effects)?;
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
        let due = node.real_time(core.deadline()).max(self.now + 1);
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
