//! Test group of cores. Syncs complete at once, and messages arrive in order.

pub(crate) mod recovery;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use cleat_quorum::{
    Core, CoreConfig, Effect, Event, HardState, MemberConfig, MemberId, Message, Recovery,
    Rejection, Role,
};

use recovery::identity;

const TICK: Duration = Duration::from_millis(10);

/// Cores that are stepped in turn, with their queued messages.
pub(crate) struct Group {
    pub(crate) cores: Vec<Core>,
    pub(crate) now: Duration,
    pub(crate) queue: VecDeque<Message>,
    /// Decides whether a message is delivered; may modify it.
    pub(crate) filter_message: fn(&mut Message) -> bool,
    pub(crate) effects: Vec<Effect>,
}

impl Group {
    pub(crate) fn new(
        voters: u32,
        learners: u32,
        adjust: impl Fn(u32, &mut CoreConfig, &mut Recovery),
    ) -> Group {
        let member = |id| MemberConfig {
            id: MemberId(id),
            votes: id < voters,
        };
        let members: Vec<_> = (0..voters + learners).map(member).collect();
        let start = |id: u32| {
            let mut config = CoreConfig::new(MemberId(id), members.clone(), u64::from(id) + 1);
            let mut recovery = Recovery {
                identity: identity(id),
                hard_state: HardState::default(),
                snapshot: None,
                entries: Vec::new(),
            };
            adjust(id, &mut config, &mut recovery);
            Core::new(config, recovery, Duration::ZERO)
        };
        Group {
            cores: (0..voters + learners).map(start).collect(),
            now: Duration::ZERO,
            queue: VecDeque::new(),
            filter_message: |_| true,
            effects: Vec::new(),
        }
    }

    pub(crate) fn with_defaults(voters: u32, learners: u32) -> Group {
        Group::new(voters, learners, |_, _, _| {})
    }

    pub(crate) fn step(&mut self, at: u32, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for effect in self.cores[at as usize].step(event, self.now) {
                match effect {
                    Effect::Sync(sync_id) => events.push_back(Event::Synced(sync_id)),
                    Effect::Send(message) => self.queue.push_back(message),
                    other => self.effects.push(other),
                }
            }
        }
    }

    pub(crate) fn deliver_all(&mut self) {
        // An append whose entries were filtered out is answered and resent
        // endlessly, so the number of messages per call is limited.
        const MAX_MESSAGES_PER_CALL: usize = 100;
        for _ in 0..MAX_MESSAGES_PER_CALL {
            let Some(mut message) = self.queue.pop_front() else {
                return;
            };
            if (self.filter_message)(&mut message) {
                self.step(message.to.0, Event::Receive(message));
            }
        }
    }

    pub(crate) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for at in 0..self.cores.len() {
                if self.cores[at].deadline() <= self.now {
                    self.step(u32::try_from(at).expect("small"), Event::Tick);
                }
                self.deliver_all();
            }
        }
    }

    pub(crate) fn leader(&self) -> u32 {
        let leads = |core: &Core| core.role() == Role::Leader;
        let at = self.cores.iter().position(leads).expect("a leader");
        u32::try_from(at).expect("small")
    }

    pub(crate) fn core(&self, at: u32) -> &Core {
        &self.cores[at as usize]
    }

    pub(crate) fn propose(&mut self, at: u32, command: &[u8]) {
        self.step(at, Event::Propose(vec![Arc::from(command)]));
        self.deliver_all();
    }

    pub(crate) fn rejections(&self) -> Vec<Rejection> {
        let rejection = |effect: &Effect| match effect {
            Effect::Rejected(rejection) => Some(*rejection),
            _ => None,
        };
        self.effects.iter().filter_map(rejection).collect()
    }
}

pub(crate) fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}
