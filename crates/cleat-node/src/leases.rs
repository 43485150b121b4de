//! The leader's monitoring of target leases.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cleat_link::{PeerError, Renewal, RenewalOutcome};
use cleat_operate::{LapsedLease, LeaseTable};
use cleat_world::{CommandBody, Withdraw, WithdrawCause};
use log::{info, warn};

use crate::node::Node;

/// The interval of the checks for lapsed leases.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The lease table of the leader; empty on other instances.
#[derive(Default)]
pub(crate) struct LeaseMonitor {
    state: Mutex<MonitorState>,
}

#[derive(Default)]
struct MonitorState {
    table: LeaseTable,
    /// The generation of the replicated state that the table was last synchronized with;
    /// `None` while this instance does not lead.
    generation: Option<u64>,
}

impl LeaseMonitor {
    fn state(&self) -> MutexGuard<'_, MonitorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Node {
    /// Renews leases; fails unless this instance leads.
    pub(crate) fn renew_local(
        &self,
        renewals: &[Renewal],
    ) -> Result<Vec<RenewalOutcome>, PeerError> {
        if !self.leads() {
            let leader = self.leader_name(&self.replica.status());
            return Err(PeerError::NotLeader { leader });
        }
        let now = self.started_at.elapsed();
        let mut state = self.leases.state();
        self.sync_table(&mut state, now);
        let mut renew =
            |renewal: &Renewal| match state.table.renew(&renewal.name, renewal.incarnation, now) {
                true => RenewalOutcome::Renewed,
                false => RenewalOutcome::NotKnown,
            };
        Ok(renewals.iter().map(&mut renew).collect())
    }

    fn sync_table(&self, state: &mut MonitorState, now: Duration) {
        self.world.read(|world| {
            if state.generation != Some(world.generation()) {
                state.table.sync(world, now);
                state.generation = Some(world.generation());
            }
        });
    }

    fn lapsed_leases(&self) -> Vec<LapsedLease> {
        let mut state = self.leases.state();
        if !self.leads() {
            state.table.clear();
            state.generation = None;
            return Vec::new();
        }
        let now = self.started_at.elapsed();
        self.sync_table(&mut state, now);
        state.table.lapsed(now)
    }
}

/// Withdraws targets whose lease has lapsed, until the task is aborted.
pub(crate) async fn withdraw_lapsed_targets(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last_tick = Instant::now();
    loop {
        ticks.tick().await;
        // If this process itself was paused, renewals may still be queued in its
        // sockets. They are handled before the next check.
        let was_paused = last_tick.elapsed() > 4 * CHECK_INTERVAL;
        last_tick = Instant::now();
        if was_paused {
            continue;
        }
        for lapsed in node.lapsed_leases() {
            withdraw_target(&node, lapsed).await;
        }
    }
}

async fn withdraw_target(node: &Node, lapsed: LapsedLease) {
    let name = lapsed.name.clone();
    let cause = WithdrawCause::LeaseLapsed {
        incarnation: lapsed.incarnation,
    };
    let body = CommandBody::Withdraw(Withdraw {
        name: lapsed.name,
        cause,
    });
    match node.propose_local(body).await {
        Ok(_) => info!("the lease of target {name} lapsed"),
        Err(error) => warn!("target {name} could not be withdrawn: {error}"),
    }
}
