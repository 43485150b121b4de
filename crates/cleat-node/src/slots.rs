//! Carries what the instances say to each other about slots.

use std::sync::Arc;
use std::time::Duration;

use cleat_entry::Entry;
use cleat_link::SlotMessage;
use cleat_quorum::MemberId;
use indexmap::IndexMap;
use log::debug;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::member::member_id;
use crate::node::Node;

/// The most messages in one call.
const BATCH: usize = 256;
/// How long one call may take before its messages count as lost.
const CALL_LIMIT: Duration = Duration::from_millis(200);
/// How often idle slots on loan are looked for.
const TICK: Duration = Duration::from_millis(20);
/// The same while nothing is on loan here. A message ends the pause.
const REST: Duration = Duration::from_secs(1);

type Queues = IndexMap<MemberId, mpsc::Sender<SlotMessage>>;

/// Starts to carry the messages of `entry`.
pub(crate) fn spawn(node: &Arc<Node>, entry: &Arc<Entry<Node>>) -> Vec<JoinHandle<()>> {
    let Some(messages) = entry.take_slot_messages() else {
        return Vec::new();
    };
    let mut tasks = vec![tokio::spawn(tick(node.clone()))];
    let mut queues = Queues::new();
    let others = node.members.iter().map(|(id, _)| id);
    for id in others.filter(|id| *id != node.members.own()) {
        let (tx, rx) = mpsc::channel(BATCH);
        queues.insert(id, tx);
        tasks.push(tokio::spawn(send(node.clone(), id, rx)));
    }
    tasks.push(tokio::spawn(sort(messages, queues)));
    tasks
}

/// Hands each message to the queue of the instance it is for.
async fn sort(mut messages: mpsc::Receiver<cleat_entry::SlotMessage>, queues: Queues) {
    while let Some(message) = messages.recv().await {
        let Some(queue) = queues.get(&member_id(&message.to)) else {
            continue;
        };
        let (service, message) = (message.service, message.message);
        // Slow instances lose messages, which only costs time.
        if queue.try_send(SlotMessage { service, message }).is_err() {
            debug!("a message on slots was dropped");
        }
    }
}

/// Sends one instance its messages, batch by batch.
async fn send(node: Arc<Node>, to: MemberId, mut rx: mpsc::Receiver<SlotMessage>) {
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, BATCH).await > 0 {
        let messages = std::mem::take(&mut batch);
        if let Some(link) = node.links.get(to) {
            link.slots(&node.name, messages, CALL_LIMIT).await;
        }
    }
}

/// Gives back idle slots on loan.
async fn tick(node: Arc<Node>) {
    while let Some(entry) = node.entry() {
        let borrowed = entry.return_idle_slots();
        drop(entry);
        if borrowed {
            sleep(TICK).await;
        } else {
            // Woken when slots were lent.
            let _ = timeout(REST, node.slots_moved.notified()).await;
        }
    }
}

impl Node {
    /// Handles messages of the instance `from`.
    pub(crate) fn receive_slots(&self, from: &str, messages: Vec<SlotMessage>) {
        let Some(entry) = self.entry() else {
            return;
        };
        for SlotMessage { service, message } in messages {
            entry.handle_slot_message(from, &service, message);
        }
        self.slots_moved.notify_one();
    }

    fn entry(&self) -> Option<Arc<Entry<Node>>> {
        self.entry.get()?.upgrade()
    }
}
