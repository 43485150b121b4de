//! The replicated log's entries, applied to the local replica.

use std::sync::Arc;

use cleat_quorum::StateMachine;
use cleat_world::{Answer, Command, World};
use log::error;

use crate::world::SharedWorld;

/// Applies commands in the order of the log.
pub(crate) struct FleetMachine {
    pub(crate) world: Arc<SharedWorld>,
}

impl StateMachine for FleetMachine {
    fn apply(&mut self, index: u64, command: &[u8]) -> Box<[u8]> {
        let answer = match Command::decode(command) {
            Ok(command) => self.world.write(|world| world.apply(index, command)),
            Err(error) => {
                error!("log entry {index}: {error}");
                Answer::Unreadable
            }
        };
        answer.encode()
    }

    fn snapshot(&self) -> Box<[u8]> {
        self.world.read(World::snapshot)
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), cleat_quorum::RestoreError> {
        let restored = World::restore(data).map_err(cleat_quorum::RestoreError::new)?;
        self.world.write(|world| *world = restored);
        Ok(())
    }
}
