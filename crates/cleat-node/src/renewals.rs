//! RenewalQueue of targets' leases, sent to the leader in batches.

use std::sync::Arc;
use std::time::Duration;

use cleat_link::{Renewal, RenewalOutcome};
use cleat_operate::ControlError;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::leader_calls::{Leader, LeaderCallError, classify};
use crate::node::Node;

/// How long renewals are gathered before they are sent together.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// The most renewals in one call.
const MAX_BATCH: usize = 1_024;
/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

type Outcome = Result<RenewalOutcome, ControlError>;

pub(crate) struct PendingRenewal {
    renewal: Renewal,
    reply: oneshot::Sender<Outcome>,
}

/// Takes renewals of all targets that renew here.
pub(crate) struct RenewalQueue {
    tx: mpsc::Sender<PendingRenewal>,
}

impl RenewalQueue {
    /// The intake, and the queue that [`send`] empties.
    pub(crate) fn new() -> (RenewalQueue, mpsc::Receiver<PendingRenewal>) {
        let (tx, rx) = mpsc::channel(MAX_BATCH);
        (RenewalQueue { tx }, rx)
    }

    /// Renews at the leader with the next batch.
    pub(crate) async fn renew(&self, renewal: Renewal) -> Outcome {
        let (reply, outcome) = oneshot::channel();
        let pending = PendingRenewal { renewal, reply };
        let sent = self.tx.send(pending).await;
        sent.map_err(|_| ControlError::NoQuorum)?;
        outcome.await.unwrap_or(Err(ControlError::NoQuorum))
    }
}

/// Sends batches for as long as the node lives.
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
                // A receiver that is gone has no target pending any more.
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
