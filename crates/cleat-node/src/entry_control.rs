//! The control interface of the request path.

use std::time::Duration;

use cleat_entry::{ClaimError, Control};
use cleat_operate::ControlError;
use cleat_world::{Answer, ClaimKey, CommandBody, KeyAnswer, SettleKey};
use tokio::time::timeout;

use crate::node::Node;

/// How long a look-up may wait until the local replica has caught up with the
/// leader.
const LOOK_UP_TIMEOUT: Duration = Duration::from_millis(500);

impl Control for Node {
    fn in_service(&self) -> bool {
        Node::in_service(self)
    }

    fn incarnation_start_index(&self) -> Option<u64> {
        self.life_began.get().copied()
    }

    async fn claim(&self, claim: ClaimKey) -> Result<KeyAnswer, ClaimError> {
        self.propose_key_command(CommandBody::ClaimKey(claim)).await
    }

    async fn settle(&self, settle: SettleKey) -> Result<KeyAnswer, ClaimError> {
        self.propose_key_command(CommandBody::SettleKey(settle))
            .await
    }

    async fn look_up(&self, key: &str, digest: u64) -> Result<Option<KeyAnswer>, ClaimError> {
        let caught_up = timeout(LOOK_UP_TIMEOUT, self.catch_up_with_leader()).await;
        match caught_up {
            Ok(Ok(())) => Ok(self.world.read(|world| world.keys().look_up(key, digest))),
            Ok(Err(_)) | Err(_) => Err(ClaimError::OutcomeUnknown),
        }
    }
}

impl Node {
    async fn propose_key_command(&self, body: CommandBody) -> Result<KeyAnswer, ClaimError> {
        match self.propose_to_leader(body).await {
            Ok(proposed) => match proposed.answer {
                Answer::Key(answer) => Ok(answer),
                _ => Err(ClaimError::OutcomeUnknown),
            },
            Err(ControlError::OutcomeUnknown) => Err(ClaimError::OutcomeUnknown),
            Err(ControlError::NoQuorum | ControlError::TooLarge) => Err(ClaimError::NotClaimed),
        }
    }
}
