//! Renewals of targets' leases, sent to the leader in batches.

use std::sync::Arc;
use std::time::Duration;

use cleat_link::{Renewal, RenewalOutcome};
use cleat_operate::ControlError;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::node::Node;
use crate::propose::{Failure, Leader, judge};

/// How long renewals are gathered before they are sent together.
const GATHER: Duration = Duration::from_millis(50);
/// The most renewals in one call.
const BATCH: usize = 1_024;
/// How long one call may take.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);

type Outcome = Result<RenewalOutcome, ControlError>;

pub(crate) struct Waiting {
    renewal: Renewal,
    reply: oneshot::Sender<Outcome>,
}

/// Takes renewals of all targets that renew here.
pub(crate) struct Renewals {
    tx: mpsc::Sender<Waiting>,
}

impl Renewals {
    /// The intake, and the queue that [`send`] empties.
    pub(crate) fn new() -> (Renewals, mpsc::Receiver<Waiting>) {
        let (tx, rx) = mpsc::channel(BATCH);
        (Renewals { tx }, rx)
    }

    /// Renews at the leader with the next batch.
    pub(crate) async fn renew(&self, renewal: Renewal) -> Outcome {
        let (reply, outcome) = oneshot::channel();
        let waiting = Waiting { renewal, reply };
        let sent = self.tx.send(waiting).await;
        sent.map_err(|_| ControlError::NoQuorum)?;
        outcome.await.unwrap_or(Err(ControlError::NoQuorum))
    }
}

/// Sends batches for as long as the node lives.
pub(crate) async fn send(node: Arc<Node>, mut rx: mpsc::Receiver<Waiting>) {
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, BATCH).await > 0 {
        sleep(GATHER).await;
        while batch.len() < BATCH
            && let Ok(waiting) = rx.try_recv()
        {
            batch.push(waiting);
        }
        send_batch(&node, std::mem::take(&mut batch)).await;
    }
}

async fn send_batch(node: &Node, batch: Vec<Waiting>) {
    let renewals: Vec<_> = batch
        .iter()
        .map(|waiting| waiting.renewal.clone())
        .collect();
    let outcomes = node
        .ask_leader(|leader| {
            let renewals = renewals.clone();
            async move {
                let result = match leader {
                    Leader::Here => node.renew_here(&renewals).map_err(Failure::Peer),
                    Leader::At(link) => {
                        let result = link.renew(renewals, CALL_LIMIT).await;
                        result.map_err(Failure::from)
                    }
                };
                judge(result, true)
            }
        })
        .await;
    match outcomes {
        Ok(outcomes) => reply_each(batch, outcomes),
        Err(error) => {
            for waiting in batch {
                // A receiver that is gone has no target waiting any more.
                let _ = waiting.reply.send(Err(error.clone()));
            }
        }
    }
}

fn reply_each(batch: Vec<Waiting>, outcomes: Vec<RenewalOutcome>) {
    for (waiting, outcome) in batch.into_iter().zip(outcomes) {
        let _ = waiting.reply.send(Ok(outcome));
    }
}
