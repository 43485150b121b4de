//! Forwards calls to the leader.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use cleat_link::{
    AskError, CallError, ControlCall, ControlError, ControlReply, LinkTraffic, ShownKey,
};
use cleat_quorum::MemberId;
use cleat_telemetry::EventLog;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::PeerAddressing;
use crate::clock::boot_time;
use crate::events::{CallLabel, ControlEvent, KeyRefusal};
use crate::keys::{KeyFilter, RefusalLog, Verdict};
use crate::links::Links;
use crate::metrics::{Metrics, call_kind};

/// How long one attempt at one instance may take before the call is repeated. Far above the
/// time of a commit (a sync of 6 to 9 ms and a round trip), and equal to the longest
/// election timeout. An overloaded leader may take longer; see [`LateAttempts`].
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);
/// The delay before the next attempt if no leader is known: a fraction of the
/// time of an election.
const NO_LEADER_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Stands for an unknown leader. A member ID is an IPv4 address, and no member has the
/// address 0.0.0.0.
const LEADER_UNKNOWN: u32 = 0;

/// The configuration of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Control instances to call while the leader is unknown.
    pub seeds: Vec<MemberId>,
    /// How control instances are addressed.
    pub addressing: PeerAddressing,
    /// Receives the counts and latencies of calls.
    pub metrics: Metrics,
    /// Receives the events of failed calls.
    pub events: EventLog,
}

/// Forwards calls to the current leader and retries them when it changes.
#[derive(Debug)]
pub struct Gateway {
    seeds: ArcSwap<Vec<MemberId>>,
    links: Arc<Links>,
    /// The ID of the last known leader. Calls that wait for an earlier leader are
    /// sent to the new one as soon as it is known. Otherwise a call to a frozen
    /// leader would be answered 0.6 s later than calls that arrived after it, and
    /// under a newer configuration than theirs.
    leader: watch::Sender<u32>,
    /// Limits the calls with unknown API keys that reach the leader.
    keys: Mutex<KeyFilter>,
    /// Aggregates the log events of refused API keys.
    refusals: Mutex<RefusalLog>,
    metrics: Metrics,
    events: EventLog,
}

/// The outcome of one attempt.
enum Attempt {
    /// The instance carried out the call, or rejected it with a reply.
    Answered(ControlReply),
    /// The instance named another one as the leader.
    Redirected(MemberId),
    /// Another leader became known during the attempt; the called instance may have
    /// carried out the call.
    LeaderChanged(MemberId),
    /// The instance did not answer within [`ATTEMPT_TIMEOUT`], and may do so later.
    Late,
    /// The instance did not answer, or neither leads nor knows a leader.
    NoLeader {
        /// Whether the instance may have carried out the call nevertheless.
        may_be_done: bool,
    },
    /// The call failed permanently.
    Rejected(ControlError),
}

/// The attempts of a call that had no answer within [`ATTEMPT_TIMEOUT`] and still wait for
/// one. If an overloaded leader takes longer than that for each answer, the answer to an
/// earlier attempt is the only one in time.
#[derive(Default)]
struct LateAttempts<'a> {
    /// The instance of the latest of them.
    at: Option<MemberId>,
    /// Invariant: empty once a leader other than `at` is known.
    pending: FuturesUnordered<BoxFuture<'a, Attempt>>,
}

impl<'a> LateAttempts<'a> {
    fn add(&mut self, at: MemberId, attempt: BoxFuture<'a, Attempt>) {
        self.at = Some(at);
        self.pending.push(attempt);
    }

    /// Drops the attempts if another instance than theirs leads now.
    fn record_leader(&mut self, leader: MemberId) {
        if self.at != Some(leader) {
            self.pending.clear();
        }
    }

    /// Waits until an attempt is answered with a reply that settles the call. Other outcomes
    /// say nothing about the attempts after it.
    async fn settling_reply(&mut self, call: &ControlCall) -> ControlReply {
        while let Some(outcome) = self.pending.next().await {
            match outcome {
                Attempt::Answered(reply) if call.is_settled_by(&reply) => return reply,
                _ => {}
            }
        }
        std::future::pending().await
    }
}

impl Gateway {
    /// Creates a gateway and connects to the seeds. Must be called within a tokio
    /// runtime.
    pub fn open(cfg: GatewayConfig) -> Gateway {
        let links = Arc::new(Links::new(cfg.addressing, Arc::new(LinkTraffic::default())));
        let gateway = Gateway::with_links(links, cfg.seeds, cfg.metrics, cfg.events);
        for seed in gateway.seeds.load().iter() {
            gateway.links.link_to(*seed);
        }
        gateway
    }

    pub(crate) fn with_links(
        links: Arc<Links>,
        seeds: Vec<MemberId>,
        metrics: Metrics,
        events: EventLog,
    ) -> Gateway {
        Gateway {
            seeds: ArcSwap::from_pointee(seeds),
            links,
            leader: watch::Sender::new(LEADER_UNKNOWN),
            keys: Mutex::new(KeyFilter::new(boot_time())),
            refusals: Mutex::default(),
            metrics,
            events,
        }
    }

    /// Replaces the control instances to call while the leader is unknown.
    pub fn set_seeds(&self, seeds: Vec<MemberId>) {
        self.seeds.store(Arc::new(seeds));
    }

    /// The control instances to call while the leader is unknown.
    pub(crate) fn seeds(&self) -> Arc<Vec<MemberId>> {
        self.seeds.load_full()
    }

    /// Sets the leader that the local replica knows; `None` has no effect.
    pub(crate) fn set_leader_hint(&self, leader: Option<MemberId>) {
        if let Some(MemberId(id)) = leader {
            // Only a hint, so pending calls are not redirected.
            self.leader.send_if_modified(|leader| {
                *leader = id;
                false
            });
        }
    }

    /// Whether a leader answers within the time limit.
    pub async fn reaches_leader(&self, timeout: Duration) -> bool {
        self.ask(ControlCall::Leader, timeout).await.is_ok()
    }

    /// Sends a call to the leader, and retries it at the next leader until the time
    /// limit.
    ///
    /// # Errors
    /// See [`AskError`].
    pub async fn ask(
        &self,
        call: ControlCall,
        timeout: Duration,
    ) -> Result<ControlReply, AskError> {
        let (kind, label, started_at) = (call_kind(&call), CallLabel::of(&call), Instant::now());
        let shown = call.shown_key();
        let answer = match &shown {
            Some(shown) => self.ask_with_key(call, shown, timeout).await,
            None => self.ask_with_retries(call, timeout).await,
        };
        if matches!(answer, Ok(ControlReply::UnknownKey)) {
            self.record_refusal(KeyRefusal::Unknown, shown.as_ref(), label.path());
        }
        let took = started_at.elapsed();
        self.metrics.record_call(kind, took, &answer);
        if let Some(event) = label.failure_event(&answer, took) {
            self.events.emit(&event);
        }
        answer
    }

    /// Forwards a call with an API key, unless the leader recently did not know the key
    /// or the rate limit for new keys is exceeded.
    async fn ask_with_key(
        &self,
        call: ControlCall,
        shown: &ShownKey,
        timeout: Duration,
    ) -> Result<ControlReply, AskError> {
        let asked_at = boot_time();
        match self.keys().check(shown, asked_at) {
            Verdict::Forward => {}
            Verdict::Unknown => return Ok(ControlReply::UnknownKey),
            Verdict::TooMany => {
                self.record_refusal(KeyRefusal::TooMany, Some(shown), Some(&shown.prefix));
                return Err(AskError::TooManyKeys);
            }
        }
        let answer = self.ask_with_retries(call, timeout).await;
        if let Ok(reply) = &answer {
            self.keys().record_reply(shown, reply, asked_at);
        }
        answer
    }

    /// Counts a call that was refused because of its API key, and logs an aggregated
    /// event at most once a second.
    fn record_refusal(&self, reason: KeyRefusal, shown: Option<&ShownKey>, path: Option<&str>) {
        let key = shown.map(|shown| shown.key.to_string().into());
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        let line = refusals.record(reason, key, path.unwrap_or_default(), boot_time());
        drop(refusals);
        self.metrics.count("calls.key_refused");
        if let Some(line) = line {
            self.events.emit(&ControlEvent::KeysRefused(line));
        }
    }

    /// Records that a call is refused though an earlier attempt may have had an effect.
    fn record_unsettled(&self, call: &ControlCall, reply: &ControlReply, took: Duration) {
        self.metrics.count("calls.unsettled");
        let event = CallLabel::of(call).unsettled_event(reply, took);
        self.events.emit(&event);
    }

    fn keys(&self) -> std::sync::MutexGuard<'_, KeyFilter> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn ask_with_retries(
        &self,
        mut call: ControlCall,
        timeout: Duration,
    ) -> Result<ControlReply, AskError> {
        let started_at = Instant::now();
        let deadline = started_at + timeout;
        let mut may_be_done = false;
        let mut late = LateAttempts::default();
        let mut next_seed = 0;
        let mut next_target = self.known_leader();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(timeout_error(may_be_done));
            }
            let target = next_target.take().unwrap_or_else(|| {
                next_seed += 1;
                self.seed(next_seed)
            });
            call.note_wait(started_at.elapsed());
            // The first attempt ends after its time, so that its link tests the connection.
            let limit = if may_be_done {
                remaining
            } else {
                remaining.min(ATTEMPT_TIMEOUT)
            };
            let mut attempt = self.attempt(target, call.clone(), limit).boxed();
            let outcome = tokio::select! {
                outcome = &mut attempt => outcome,
                leader = self.leader_other_than(target) => Attempt::LeaderChanged(leader),
                reply = late.settling_reply(&call) => {
                    self.metrics.count("calls.answered_late");
                    return Ok(reply);
                }
                () = sleep(ATTEMPT_TIMEOUT), if may_be_done => Attempt::Late,
            };
            match outcome {
                Attempt::Answered(reply) => {
                    self.set_leader(target);
                    if may_be_done && !call.is_settled_by(&reply) {
                        self.record_unsettled(&call, &reply, started_at.elapsed());
                        return Err(AskError::Unknown);
                    }
                    return Ok(reply);
                }
                Attempt::Late => {
                    late.add(target, attempt);
                    self.forget_leader(target);
                }
                Attempt::LeaderChanged(leader) => {
                    may_be_done = true;
                    late.record_leader(leader);
                    next_target = Some(leader);
                }
                Attempt::Rejected(source) => return Err(AskError::Refused { source }),
                Attempt::Redirected(leader) if leader != target => {
                    late.record_leader(leader);
                    next_target = Some(leader);
                }
                Attempt::Redirected(_) => sleep(NO_LEADER_RETRY_DELAY).await,
                Attempt::NoLeader {
                    may_be_done: uncertain,
                } => {
                    may_be_done |= uncertain;
                    self.forget_leader(target);
                    sleep(NO_LEADER_RETRY_DELAY.min(remaining)).await;
                }
            }
        }
    }

    async fn attempt(&self, target: MemberId, call: ControlCall, timeout: Duration) -> Attempt {
        match self.links.link_to(target).ask(call, timeout).await {
            Ok(reply) => Attempt::Answered(reply),
            Err(CallError::NotSent { .. }) => Attempt::NoLeader { may_be_done: false },
            Err(CallError::NoAnswer { .. }) => Attempt::NoLeader { may_be_done: true },
            Err(CallError::Refused { source, .. }) => match source {
                ControlError::NotLeader { leader: Some(id) } => Attempt::Redirected(MemberId(id)),
                ControlError::NotLeader { leader: None }
                | ControlError::NoQuorum
                | ControlError::Stopping => Attempt::NoLeader { may_be_done: false },
                ControlError::OutcomeUnknown => Attempt::NoLeader { may_be_done: true },
                ControlError::TooLarge => Attempt::Rejected(source),
            },
        }
    }

    fn known_leader(&self) -> Option<MemberId> {
        match *self.leader.borrow() {
            LEADER_UNKNOWN => None,
            id => Some(MemberId(id)),
        }
    }

    /// Records the leader, and redirects pending calls to it if it changed.
    fn set_leader(&self, MemberId(id): MemberId) {
        self.leader
            .send_if_modified(|leader| std::mem::replace(leader, id) != id);
    }

    /// Forgets this leader, unless another call has already found a new one.
    fn forget_leader(&self, MemberId(id): MemberId) {
        self.leader.send_if_modified(|leader| {
            let was_current = *leader == id;
            if was_current {
                *leader = LEADER_UNKNOWN;
            }
            was_current
        });
    }

    /// Waits until a leader other than `target` is known.
    async fn leader_other_than(&self, target: MemberId) -> MemberId {
        let mut changes = self.leader.subscribe();
        loop {
            // Does not happen: the sender belongs to this gateway and outlives the wait.
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
            let id = *changes.borrow_and_update();
            if id != LEADER_UNKNOWN && id != target.0 {
                return MemberId(id);
            }
        }
    }

    fn seed(&self, index: usize) -> MemberId {
        // The settings do not allow an empty list.
        let seeds = self.seeds.load();
        let seed = seeds.get(index % seeds.len().max(1));
        seed.copied().unwrap_or(MemberId(LEADER_UNKNOWN))
    }
}

fn timeout_error(may_be_done: bool) -> AskError {
    if may_be_done {
        AskError::Unknown
    } else {
        AskError::NotDone
    }
}
