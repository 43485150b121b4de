//! Batches the renewals of target leases on their way to the leader.

use std::sync::Arc;
use std::time::Duration;

use cleat_link::{Renewal, RenewalOutcome};
use cleat_operate::ControlError;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::leader_calls::{Leader, LeaderCallError, classify};
use crate::node::Node;

/// How long renewals are collected before a batch is sent.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// The maximum number of renewals in one call.
const MAX_BATCH: usize = 1_024;
/// The time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

type Outcome = Result<RenewalOutcome, ControlError>;

/// A renewal that has not been answered, and the channel for its outcome.
pub(crate) struct PendingRenewal {
    renewal: Renewal,
    reply: oneshot::Sender<Outcome>,
}

/// Queues the renewals of the targets that call this instance.
pub(crate) struct RenewalQueue {
    tx: mpsc::Sender<PendingRenewal>,
}

impl RenewalQueue {
    /// Creates the queue, and the receiver to pass to [`send_batches`].
    pub(crate) fn new() -> (RenewalQueue, mpsc::Receiver<PendingRenewal>) {
        let (tx, rx) = mpsc::channel(MAX_BATCH);
        (RenewalQueue { tx }, rx)
    }

    /// Renews a lease at the leader with the next batch.
    pub(crate) async fn renew(&self, renewal: Renewal) -> Outcome {
        let (reply, outcome) = oneshot::channel();
        let pending = PendingRenewal { renewal, reply };
        let sent = self.tx.send(pending).await;
        sent.map_err(|_| ControlError::NoQuorum)?;
        outcome.await.unwrap_or(Err(ControlError::NoQuorum))
    }
}

/// Sends batches until the queue is closed.
pub(crate) async fn send_batches(node: Arc<Node>, mut rx: mpsc::Receiver<PendingRenewal>) {
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, MAX_BATCH).await > 0 {
        sleep(BATCH_DELAY).await;
        while batch.len() < MAX_BATCH
            && let Ok(pending) = rx.try_recv()
        {
            batch.push(pending);
        }
        send_batch(&node, std::mem::take(&mut batch)).await;
    }
}

async fn send_batch(node: &Node, batch: Vec<PendingRenewal>) {
    let renewals: Vec<_> = batch
        .iter()
        .map(|pending| pending.renewal.clone())
        .collect();
    let outcomes = node
        .call_leader(|leader| {
            let renewals = renewals.clone();
            async move {
                let result = match leader {
                    Leader::Local => node.renew_local(&renewals).map_err(LeaderCallError::Peer),
                    Leader::Remote(link) => {
                        let result = link.renew(renewals, CALL_TIMEOUT).await;
                        result.map_err(LeaderCallError::from)
                    }
                };
                classify(result, true)
            }
        })
        .await;
    match outcomes {
        Ok(outcomes) => reply_each(batch, outcomes),
        Err(error) => {
            for pending in batch {
                // Fails only if the target's call was dropped in the meantime.
                let _ = pending.reply.send(Err(error.clone()));
            }
        }
    }
}

fn reply_each(batch: Vec<PendingRenewal>, outcomes: Vec<RenewalOutcome>) {
    for (pending, outcome) in batch.into_iter().zip(outcomes) {
        let _ = pending.reply.send(Ok(outcome));
    }
}
