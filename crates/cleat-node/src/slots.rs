//! Exchanges messages about slots with other instances.

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

/// The maximum number of messages in one call.
const MAX_BATCH: usize = 256;
/// The time limit of one call, after which its messages count as lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);
/// The interval of the checks for idle borrowed slots.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The interval while no slots are borrowed. A message triggers a check at once.
const NO_LOANS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

type Queues = IndexMap<MemberId, mpsc::Sender<SlotMessage>>;

/// Spawns the tasks that exchange the slot messages of `entry`.
pub(crate) fn spawn(node: &Arc<Node>, entry: &Arc<Entry<Node>>) -> Vec<JoinHandle<()>> {
    let Some(messages) = entry.take_slot_messages() else {
        return Vec::new();
    };
    let mut tasks = vec![tokio::spawn(return_idle_slots(node.clone()))];
    let mut queues = Queues::new();
    let others = node.members.iter().map(|(id, _)| id);
    for id in others.filter(|id| *id != node.members.own_id()) {
        let (tx, rx) = mpsc::channel(MAX_BATCH);
        queues.insert(id, tx);
        tasks.push(tokio::spawn(send_to_instance(node.clone(), id, rx)));
    }
    tasks.push(tokio::spawn(dispatch(messages, queues)));
    tasks
}

/// Puts each message into the queue of its receiving instance.
async fn dispatch(mut messages: mpsc::Receiver<cleat_entry::SlotMessage>, queues: Queues) {
    while let Some(message) = messages.recv().await {
        let Some(queue) = queues.get(&member_id(&message.to)) else {
            continue;
        };
        let (service, message) = (message.service, message.message);
        // A slow instance loses messages. That only delays the exchange of slots.
        if queue.try_send(SlotMessage { service, message }).is_err() {
            debug!("a slot message was dropped because the receiver's queue is full");
        }
    }
}

/// Sends the messages for one instance in batches.
async fn send_to_instance(node: Arc<Node>, to: MemberId, mut rx: mpsc::Receiver<SlotMessage>) {
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let messages = std::mem::take(&mut batch);
        if let Some(link) = node.links.get(to) {
            link.slots(&node.name, messages, CALL_TIMEOUT).await;
        }
    }
}

/// Returns idle borrowed slots to their lenders.
async fn return_idle_slots(node: Arc<Node>) {
    while let Some(entry) = node.entry() {
        let has_borrowed_slots = entry.return_idle_slots();
        drop(entry);
        if has_borrowed_slots {
            sleep(IDLE_CHECK_INTERVAL).await;
        } else {
            // Woken by messages about slots.
            let _ = timeout(NO_LOANS_CHECK_INTERVAL, node.slots_changed.notified()).await;
        }
    }
}

impl Node {
    /// Handles slot messages from another instance.
    pub(crate) fn receive_slots(&self, from: &str, messages: Vec<SlotMessage>) {
        let Some(entry) = self.entry() else {
            return;
        };
        for SlotMessage { service, message } in messages {
            entry.handle_slot_message(from, &service, message);
        }
        self.slots_changed.notify_one();
    }

    fn entry(&self) -> Option<Arc<Entry<Node>>> {
        self.entry.get()?.upgrade()
    }
}
