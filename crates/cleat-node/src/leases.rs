//! The leader's watch over the leases of targets.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cleat_link::{PeerError, Renewal, RenewalOutcome};
use cleat_operate::{Lapsed, LeaseTable};
use cleat_world::{CommandBody, Withdraw, WithdrawCause};
use log::{info, warn};

use crate::node::Node;

/// How often lapsed leases are looked for.
const TICK: Duration = Duration::from_millis(200);

/// The lease table of a leader, empty elsewhere.
#[derive(Default)]
pub(crate) struct LeaseWatch {
    state: Mutex<WatchState>,
}

#[derive(Default)]
struct WatchState {
    table: LeaseTable,
    /// The generation the table was filled from; unset while not leading.
    generation: Option<u64>,
}

impl LeaseWatch {
    fn state(&self) -> MutexGuard<'_, WatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Node {
    /// Renews leases, if this instance leads.
    pub(crate) fn renew_here(
        &self,
        renewals: &[Renewal],
    ) -> Result<Vec<RenewalOutcome>, PeerError> {
        if !self.leads() {
            let leader = self.leader_name(&self.replica.status());
            return Err(PeerError::NotLeader { leader });
        }
        let now = self.started.elapsed();
        let mut state = self.leases.state();
        self.fill(&mut state, now);
        let mut renew =
            |renewal: &Renewal| match state.table.renew(&renewal.name, renewal.incarnation, now) {
                true => RenewalOutcome::Renewed,
                false => RenewalOutcome::NotKnown,
            };
        Ok(renewals.iter().map(&mut renew).collect())
    }

    fn fill(&self, state: &mut WatchState, now: Duration) {
        self.world.read(|world| {
            if state.generation != Some(world.generation()) {
                state.table.sync(world, now);
                state.generation = Some(world.generation());
            }
        });
    }

    fn lapsed(&self) -> Vec<Lapsed> {
        let mut state = self.leases.state();
        if !self.leads() {
            state.table.clear();
            state.generation = None;
            return Vec::new();
        }
        let now = self.started.elapsed();
        self.fill(&mut state, now);
        state.table.lapsed(now)
    }
}

/// Withdraws targets whose lease has lapsed, for as long as the node lives.
pub(crate) async fn watch(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last_tick = Instant::now();
    loop {
        ticks.tick().await;
        // After a pause of the process itself, renewals that waited outside
        // are let in before anything is judged.
        let paused = last_tick.elapsed() > 4 * TICK;
        last_tick = Instant::now();
        if paused {
            continue;
        }
        for lapsed in node.lapsed() {
            withdraw(&node, lapsed).await;
        }
    }
}

async fn withdraw(node: &Node, lapsed: Lapsed) {
    let name = lapsed.name.clone();
    let cause = WithdrawCause::LeaseLapsed {
        incarnation: lapsed.incarnation,
    };
    let body = CommandBody::Withdraw(Withdraw {
        name: lapsed.name,
        cause,
    });
    match node.propose_here(body).await {
        Ok(_) => info!("the lease of target {name} lapsed"),
        Err(error) => warn!("target {name} could not be withdrawn: {error}"),
    }
}
