//! Calls of workers and operators that are redirected while no leader is reached.

#[cfg(test)]
mod tests;

use std::net::Ipv4Addr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cleat_link::{AskError, ControlCall, ControlReply};
use cleat_quorum::Message;
use cleat_telemetry::Condition;
use snafu::Snafu;

use super::group_contact::{GroupContact, Route};
use super::{ControlConfig, ControlNode};
use crate::PeerAddressing;
use crate::clock::boot_time;
use crate::events::ControlEvent;

/// Why a call was not answered.
#[derive(Debug, Snafu)]
pub enum ForwardError {
    /// The call had no effect, and another instance may reach a leader.
    #[snafu(display("no leader is reached here; {to} may reach one"))]
    Redirect {
        /// The address of the other instance.
        to: Ipv4Addr,
    },
    /// The call failed.
    #[snafu(display("the call failed"))]
    Failed {
        /// The cause.
        source: AskError,
    },
}

/// The contact with the group, and whether a leader is reached.
#[derive(Debug)]
pub(super) struct Redirector {
    contact: Mutex<GroupContact>,
    /// Fails while calls of workers and operators find no leader.
    leader: Condition,
}

impl Redirector {
    pub(super) fn new(cfg: &ControlConfig) -> Redirector {
        let contact = GroupContact::new(cfg.id, cfg.voters, cfg.timing, boot_time());
        Redirector {
            contact: Mutex::new(contact),
            leader: Condition::default(),
        }
    }

    pub(super) fn record_messages(&self, messages: &[Message]) {
        let now = boot_time();
        let mut contact = self.contact();
        for message in messages {
            contact.record_message(message, now);
        }
    }

    fn contact(&self) -> MutexGuard<'_, GroupContact> {
        self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a call that failed may be redirected: only if it had no effect and has none
/// later, as another instance could carry it out a second time.
fn may_redirect(error: &AskError) -> bool {
    matches!(error, AskError::NotDone)
}

impl ControlNode {
    /// Handles a call like [`ask`](ControlNode::ask). If redirects are enabled and no
    /// leader is reached, the caller is redirected to another instance, unless the call
    /// `was_redirected` already. A call that may have had an effect is not redirected.
    ///
    /// # Errors
    /// See [`ForwardError`].
    pub async fn ask_or_redirect(
        &self,
        call: ControlCall,
        timeout: Duration,
        was_redirected: bool,
    ) -> Result<ControlReply, ForwardError> {
        let failed = |source| ForwardError::Failed { source };
        let Some(redirector) = &self.shared.redirector else {
            return self.ask(call, timeout).await.map_err(failed);
        };
        let is_heartbeat = matches!(call, ControlCall::Heartbeat(_));
        let route = self.route(redirector);
        if route == Route::Forward {
            let answer = self.ask(call, timeout).await;
            self.record_answer(redirector, &answer);
            match answer {
                Ok(reply) => return Ok(reply),
                Err(source) if may_redirect(&source) => {}
                Err(source) => return Err(failed(source)),
            }
        }
        // The call had no effect up to here.
        self.record_no_leader(redirector);
        let elsewhere = match self.route(redirector) {
            Route::NoLeader { elsewhere } if !was_redirected => elsewhere,
            _ => None,
        };
        let Some(to) = elsewhere else {
            return Err(failed(AskError::NotDone));
        };
        redirector.contact().record_redirect();
        if is_heartbeat {
            self.shared.metrics.count("heartbeats.redirected");
        }
        let to = PeerAddressing::ip(to);
        Err(ForwardError::Redirect { to })
    }

    /// Decides where a call goes. A stopping instance hears nothing of the group, but
    /// still forwards calls.
    fn route(&self, redirector: &Redirector) -> Route {
        if self.shared.leads() || self.shared.is_stopping() {
            return Route::Forward;
        }
        let members = self.gateway.seeds();
        let has_lost_lease = self.shared.replica().status().is_leader();
        redirector
            .contact()
            .route(&members, has_lost_lease, boot_time())
    }

    fn record_answer(&self, redirector: &Redirector, answer: &Result<ControlReply, AskError>) {
        let now = boot_time();
        match answer {
            Err(AskError::NotDone) => redirector.contact().record_failure(now),
            // The outcome says nothing about a leader.
            Err(AskError::Unknown | AskError::TooManyKeys) => {}
            Ok(_) | Err(AskError::Refused { .. }) => {
                redirector.contact().record_leader(now);
                if let Some(outage) = redirector.leader.end(now) {
                    self.shared.events.emit(&ControlEvent::LeaderReached {
                        calls: outage.failures,
                        lasted_ms: outage.lasted.as_millis(),
                    });
                }
            }
        }
    }

    fn record_no_leader(&self, redirector: &Redirector) {
        self.shared.metrics.count("calls.no_leader");
        if redirector.leader.fail(boot_time()) {
            self.shared.events.emit(&ControlEvent::NoLeader);
        }
    }
}
