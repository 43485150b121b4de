//! Scheduled actions other than faults, and the client.

use std::sync::Arc;

use cleat_quorum::{Core, CoreConfig, Event, Limits, MemberConfig, Role};
use rand::RngExt;

use super::node::Node;
use super::{FAULT_FREE, Fault, MILLI, Occurrence, SECOND, Violation, World};

impl World {
    pub(super) fn client(&mut self) -> Result<(), Violation> {
        let pause = self
            .rng
            .random_range(10 * MILLI..self.plan.max_client_pause);
        self.after(pause, Occurrence::Client);
        let at = self.rng.random_range(0..self.nodes.len());
        let count = self.rng.random_range(1..4);
        let commands = (0..count).map(|_| self.rng.random::<u64>().to_le_bytes());
        let commands = commands.map(|bytes| Arc::from(bytes.as_slice())).collect();
        self.step(at, Event::Propose(commands))?;
        let id = self.checker.start_read();
        self.step(at, Event::Read(id))
    }

    /// Stage 0: the last voter loses its disk. Stage 1: the last member releases its
    /// lease and stops.
    pub(super) fn disk_loss_and_stop(&mut self, stage: u8) -> Result<(), Violation> {
        let last_voter = self.plan.voters as usize - 1;
        let last = self.nodes.len() - 1;
        match stage {
            0 => {
                self.inject(last_voter, Fault::LoseDisk);
            }
            1 => {
                self.after(100 * MILLI, Occurrence::Inject(last, Fault::Crash));
                return self.step(last, Event::ReleaseLease);
            }
            _ => {}
        }
        Ok(())
    }

    pub(super) fn crash_leader(&mut self) {
        let now = self.now;
        let serves = |node: &Node| {
            node.core
                .as_ref()
                .is_some_and(|c| c.in_service(node.local_time(now)))
        };
        let leads = |node: &Node| node.core.as_ref().is_some_and(|c| c.role() == Role::Leader);
        let Some(leader) = self.nodes.iter().position(leads) else {
            return;
        };
        self.nodes[leader].crash(&mut self.rng);
        self.serving_at_crash = (0..self.nodes.len())
            .filter(|at| serves(&self.nodes[*at]))
            .collect();
    }

    pub(super) fn transfer_leadership(&mut self) -> Result<(), Violation> {
        let Some(leader) = self.confirmed_leader() else {
            return Ok(());
        };
        self.transfer_started = Some((self.now, leader));
        self.step(leader, Event::TransferLeadership)
    }

    /// The leader that holds the leader lease and knows all committed entries.
    fn confirmed_leader(&self) -> Option<usize> {
        self.nodes.iter().position(|node| {
            let until = node
                .core
                .as_ref()
                .and_then(|c| c.status().leader_lease_until);
            !node.paused && until.is_some_and(|until| node.local_time(self.now) < until)
        })
    }

    pub(super) fn record_transfer(&mut self) {
        if let Some((since, old)) = self.transfer_started
            && self.confirmed_leader().is_some_and(|leader| leader != old)
        {
            self.leaderless_periods.push(self.now - since);
            self.transfer_started = None;
        }
    }

    pub(super) fn record_expired_leases(&mut self) {
        for at in &self.serving_at_crash {
            let node = &self.nodes[*at];
            let core = node.core.as_ref();
            if core.is_some_and(|core| !core.in_service(node.local_time(self.now))) {
                self.expired.insert(*at);
            }
        }
    }

    pub(super) fn restart(&mut self, at: usize) -> Result<(), Violation> {
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
            compact_after_entries: 30,
            retained_entries: 10,
            max_batch_bytes: 80,
            ..Limits::default()
        };
        let identity = self.rng.random();
        let now = self.now;
        let node = &mut self.nodes[at];
        let recovery = node.start(identity);
        node.core = Some(Core::new(config, recovery, node.local_time(now)));
        self.step(at, Event::Tick)
    }

    pub(super) fn resume(&mut self, at: usize) -> Result<(), Violation> {
        self.nodes[at].paused = false;
        let backlog = std::mem::take(&mut self.nodes[at].backlog);
        for event in backlog {
            self.step(at, event)?;
        }
        self.step(at, Event::Tick)
    }

    pub(super) fn end_faults(&mut self) -> Result<(), Violation> {
        self.conditions = FAULT_FREE;
        self.plan.slow_sync = (0.0, SECOND);
        self.checker.committed_at_faults_end = Some(self.checker.committed());
        for at in 0..self.nodes.len() {
            self.nodes[at].blocked_inbound.clear();
            self.nodes[at].blocked_outbound.clear();
            self.resume(at)?;
            self.restart(at)?;
        }
        Ok(())
    }
}
