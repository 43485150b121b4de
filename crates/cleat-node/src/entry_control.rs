//! What the request path asks of control.

use cleat_entry::{ClaimError, Control};
use cleat_operate::ControlError;
use cleat_world::{Answer, ClaimKey, CommandBody, KeyAnswer, SettleKey};

use crate::node::Node;

impl Control for Node {
    fn in_service(&self) -> bool {
        Node::in_service(self)
    }

    async fn claim(&self, claim: ClaimKey) -> Result<KeyAnswer, ClaimError> {
        self.key_command(CommandBody::ClaimKey(claim)).await
    }

    async fn settle(&self, settle: SettleKey) -> Result<KeyAnswer, ClaimError> {
        self.key_command(CommandBody::SettleKey(settle)).await
    }
}

impl Node {
    async fn key_command(&self, body: CommandBody) -> Result<KeyAnswer, ClaimError> {
        match self.propose_anywhere(body).await {
            Ok(proposed) => match proposed.answer {
                Answer::Key(answer) => Ok(answer),
                _ => Err(ClaimError::OutcomeUnknown),
            },
            Err(ControlError::OutcomeUnknown) => Err(ClaimError::OutcomeUnknown),
            Err(ControlError::NoQuorum | ControlError::TooLarge) => Err(ClaimError::NotClaimed),
        }
    }
}
