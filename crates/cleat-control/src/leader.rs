//! Finding the leader and asking it.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use cleat_link::{
    AskError, CallError, ControlCall, ControlError, ControlReply, LinkTraffic, ShownKey,
};
use cleat_quorum::MemberId;
use cleat_telemetry::EventLog;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::PeerAddressing;
use crate::clock::boot_time;
use crate::events::{CallLabel, ControlEvent, KeyRefusal};
use crate::keys::{KeyGuard, Refusals, Verdict};
use crate::links::Links;
use crate::metrics::{Metrics, call_kind};

/// How long one instance may take before another is asked. Far above the time
/// of a commit (a sync of 6 to 9 ms and a round trip), as long as the longest
/// wait before an election.
const TRY_LIMIT: Duration = Duration::from_millis(600);
/// The pause after an instance that knows no leader: a fraction of an election.
const NO_LEADER_PAUSE: Duration = Duration::from_millis(40);
/// No leader is known.
const NOBODY: u32 = 0;

/// What a gateway is told.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Control instances to begin with.
    pub seeds: Vec<MemberId>,
    /// How they are reached.
    pub address: PeerAddressing,
    /// Where calls are counted.
    pub metrics: Metrics,
    /// Where calls that fail are logged.
    pub events: EventLog,
}

/// Asks the leader, whoever it is.
#[derive(Debug)]
pub struct Gateway {
    seeds: ArcSwap<Vec<MemberId>>,
    links: Arc<Links>,
    /// The key of the leader as last heard of. Calls that wait for an earlier one
    /// turn to the new one at once: else one that a frozen leader holds would be
    /// answered 0.6 s after others that came later, and by a newer configuration
    /// than theirs.
    leader: watch::Sender<u32>,
    /// What it remembers of its callers' keys.
    keys: Mutex<KeyGuard>,
    /// Refusals that are not logged yet.
    refusals: Mutex<Refusals>,
    metrics: Metrics,
    events: EventLog,
}

/// What one try came to.
enum Try {
    Answered(ControlReply),
    /// Ask this instance.
    Elsewhere(MemberId),
    /// Another leads by now; the instance asked may have taken the call.
    Replaced(MemberId),
    /// Ask any other.
    NoLeader {
        may_be_done: bool,
    },
    Refused(ControlError),
}

impl Gateway {
    /// Opens links to the seeds. Needs a tokio runtime.
    pub fn open(cfg: GatewayConfig) -> Gateway {
        let links = Arc::new(Links::new(cfg.address, Arc::new(LinkTraffic::default())));
        let gateway = Gateway::over(links, cfg.seeds, cfg.metrics, cfg.events);
        for seed in gateway.seeds.load().iter() {
            gateway.links.to(*seed);
        }
        gateway
    }

    pub(crate) fn over(
        links: Arc<Links>,
        seeds: Vec<MemberId>,
        metrics: Metrics,
        events: EventLog,
    ) -> Gateway {
        Gateway {
            seeds: ArcSwap::from_pointee(seeds),
            links,
            leader: watch::Sender::new(NOBODY),
            keys: Mutex::new(KeyGuard::new(boot_time())),
            refusals: Mutex::default(),
            metrics,
            events,
        }
    }

    /// Replaces the instances to begin with.
    pub fn set_seeds(&self, seeds: Vec<MemberId>) {
        self.seeds.store(Arc::new(seeds));
    }

    /// Sets who leads, if that is known from elsewhere.
    pub(crate) fn expect_leader(&self, leader: Option<MemberId>) {
        if let Some(MemberId(key)) = leader {
            // A belief: calls under way are not turned away for it.
            self.leader.send_if_modified(|leader| {
                *leader = key;
                false
            });
        }
    }

    /// Whether a leader answers now.
    pub async fn reaches_leader(&self, limit: Duration) -> bool {
        self.ask(ControlCall::Leader, limit).await.is_ok()
    }

    /// Asks the leader, and again whoever leads next, until the limit.
    ///
    /// # Errors
    /// See [`AskError`].
    pub async fn ask(&self, call: ControlCall, limit: Duration) -> Result<ControlReply, AskError> {
        let (kind, label, began) = (call_kind(&call), CallLabel::of(&call), Instant::now());
        let shown = call.shown_key();
        let answer = match &shown {
            Some(shown) => self.ask_with_key(call, shown, limit).await,
            None => self.ask_in_turn(call, limit).await,
        };
        if matches!(answer, Ok(ControlReply::UnknownKey)) {
            self.note_refusal(KeyRefusal::Unknown, shown.as_ref(), label.path());
        }
        let took = began.elapsed();
        self.metrics.call(kind, took, &answer);
        if let Some(event) = label.outcome(&answer, took) {
            self.events.emit(&event);
        }
        answer
    }

    /// Asks unless nobody can have the key, as far as is known.
    async fn ask_with_key(
        &self,
        call: ControlCall,
        shown: &ShownKey,
        limit: Duration,
    ) -> Result<ControlReply, AskError> {
        let asked_at = boot_time();
        match self.keys().judge(shown, asked_at) {
            Verdict::Ask => {}
            Verdict::Unknown => return Ok(ControlReply::UnknownKey),
            Verdict::TooMany => {
                self.note_refusal(KeyRefusal::TooMany, Some(shown), Some(&shown.prefix));
                return Err(AskError::TooManyKeys);
            }
        }
        let answer = self.ask_in_turn(call, limit).await;
        if let Ok(reply) = &answer {
            self.keys().learn(shown, reply, asked_at);
        }
        answer
    }

    /// Counts a call that was refused for its key, and logs so once a second.
    fn note_refusal(&self, reason: KeyRefusal, shown: Option<&ShownKey>, path: Option<&str>) {
        let key = shown.map(|shown| shown.key.to_string().into());
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        let line = refusals.note(reason, key, path.unwrap_or_default(), boot_time());
        drop(refusals);
        self.metrics.count("calls.key_refused");
        if let Some(line) = line {
            self.events.emit(&ControlEvent::KeysRefused(line));
        }
    }

    fn keys(&self) -> std::sync::MutexGuard<'_, KeyGuard> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn ask_in_turn(
        &self,
        mut call: ControlCall,
        limit: Duration,
    ) -> Result<ControlReply, AskError> {
        let began = Instant::now();
        let deadline = began + limit;
        let mut may_be_done = false;
        let mut next_seed = 0;
        let mut at = self.known_leader();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(unanswered(may_be_done));
            }
            let target = at.take().unwrap_or_else(|| {
                next_seed += 1;
                self.seed(next_seed)
            });
            call.note_wait(began.elapsed());
            let tried = tokio::select! {
                tried = self.try_at(target, call.clone(), left.min(TRY_LIMIT)) => tried,
                leader = self.another_leader(target) => Try::Replaced(leader),
            };
            match tried {
                Try::Answered(reply) => {
                    self.note_leader(target);
                    return Ok(reply);
                }
                Try::Replaced(leader) => {
                    may_be_done = true;
                    at = Some(leader);
                }
                Try::Refused(source) => return Err(AskError::Refused { source }),
                Try::Elsewhere(leader) if leader != target => at = Some(leader),
                Try::Elsewhere(_) => sleep(NO_LEADER_PAUSE).await,
                Try::NoLeader { may_be_done: maybe } => {
                    may_be_done |= maybe;
                    // The others may already know a better one.
                    self.leader.send_if_modified(|leader| {
                        let believed = *leader == target.0;
                        if believed {
                            *leader = NOBODY;
                        }
                        believed
                    });
                    sleep(NO_LEADER_PAUSE.min(left)).await;
                }
            }
        }
    }

    async fn try_at(&self, target: MemberId, call: ControlCall, limit: Duration) -> Try {
        match self.links.to(target).ask(call, limit).await {
            Ok(reply) => Try::Answered(reply),
            Err(CallError::NotSent { .. }) => Try::NoLeader { may_be_done: false },
            Err(CallError::NoAnswer { .. }) => Try::NoLeader { may_be_done: true },
            Err(CallError::Refused { source, .. }) => match source {
                ControlError::NotLeader { leader: Some(key) } => Try::Elsewhere(MemberId(key)),
                ControlError::NotLeader { leader: None }
                | ControlError::NoQuorum
                | ControlError::Stopping => Try::NoLeader { may_be_done: false },
                ControlError::OutcomeUnknown => Try::NoLeader { may_be_done: true },
                ControlError::TooLarge => Try::Refused(source),
            },
        }
    }

    fn known_leader(&self) -> Option<MemberId> {
        match *self.leader.borrow() {
            NOBODY => None,
            key => Some(MemberId(key)),
        }
    }

    /// Notes who answered as the leader, and turns calls under way to it.
    fn note_leader(&self, MemberId(key): MemberId) {
        self.leader
            .send_if_modified(|leader| std::mem::replace(leader, key) != key);
    }

    /// Waits until another leader than `target` is heard of.
    async fn another_leader(&self, target: MemberId) -> MemberId {
        let mut changes = self.leader.subscribe();
        loop {
            // The sender is this gateway's own and lives as long as the wait.
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
            let key = *changes.borrow_and_update();
            if key != NOBODY && key != target.0 {
                return MemberId(key);
            }
        }
    }

    fn seed(&self, turn: usize) -> MemberId {
        // The settings refuse an empty list.
        let seeds = self.seeds.load();
        let seed = seeds.get(turn % seeds.len().max(1));
        seed.copied().unwrap_or(MemberId(NOBODY))
    }
}

fn unanswered(may_be_done: bool) -> AskError {
    if may_be_done {
        AskError::Unknown
    } else {
        AskError::NotDone
    }
}
