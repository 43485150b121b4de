//! The interface to the replicated state for instance moves and maintenance waves.

use cleat_quorum::BootTime;

use cleat_maintain::{LeadershipLost, ReplicatedState};
use cleat_world::{CommandBody, World};

use crate::node::Node;

impl ReplicatedState for Node {
    fn leading_term(&self) -> Option<u64> {
        let status = self.replica.status();
        let leads = status.holds_leader_lease(BootTime::now());
        leads.then(|| status.term())
    }

    fn world<R>(&self, read: impl FnOnce(&World) -> R) -> R {
        self.world.read(read)
    }

    async fn propose(&self, body: CommandBody) -> Result<(), LeadershipLost> {
        let proposed = self.propose_local(body).await;
        proposed.map(|_| ()).map_err(|_| LeadershipLost)
    }

    async fn wait_in_force(&self, index: u64) -> Result<(), LeadershipLost> {
        let waited = self.wait_in_force_local(index).await;
        waited.map_err(|_| LeadershipLost)
    }
}
