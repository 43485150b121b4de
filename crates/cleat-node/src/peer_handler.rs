//! Handles messages and calls of other instances.

use cleat_link::{
    Handler, MemberReport, PeerError, Proposed, Renewal, RenewalOutcome, SlotMessage,
};
use cleat_quorum::Message;
use cleat_world::CommandBody;

use crate::node::Node;

impl Handler for Node {
    fn deliver(&self, messages: Vec<Message>) {
        for message in messages {
            self.replica.deliver(message);
        }
    }

    fn slots(&self, from: &str, messages: Vec<SlotMessage>) {
        self.receive_slots(from, messages);
    }

    async fn propose(&self, body: CommandBody) -> Result<Proposed, PeerError> {
        self.propose_local(body).await
    }

    async fn wait_in_force(&self, index: u64) -> Result<(), PeerError> {
        self.wait_in_force_local(index).await
    }

    async fn read_index(&self) -> Result<u64, PeerError> {
        self.read_index_local().await
    }

    fn renew(&self, renewals: &[Renewal]) -> Result<Vec<RenewalOutcome>, PeerError> {
        self.renew_local(renewals)
    }

    fn members(&self) -> Result<Vec<MemberReport>, PeerError> {
        self.members_local()
    }
}
