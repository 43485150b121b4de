//! The test bed of one cell: applies the fault and checks the invariants.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use cleat_entry::{Entry, EntryConfig, Limits};
use cleat_world::{KeyAnswer, KeyTable};
use serde_json::json;
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::{
    BODY, Cell, Fault, Kind, Mode, PausingControl, Scenario, SendResult, Step, Target, exchange,
    own_answer,
};
use crate::support::{self, FakeControl, Fleet};

/// The deadline in cells whose fault is a target that stops responding. The
/// others use [`LONG_DEADLINE`].
const SHORT_DEADLINE: Duration = Duration::from_millis(700);
const LONG_DEADLINE: Duration = Duration::from_secs(20);
/// A response that takes longer than this missed the short deadline.
const SHORT_DEADLINE_TIMEOUT: Duration = Duration::from_secs(3);
/// A response that takes longer than this waited for the long deadline.
const LONG_DEADLINE_TIMEOUT: Duration = Duration::from_secs(7);
const DELAY: Duration = Duration::from_millis(100);

/// The result of a check, or the violated invariant.
pub type CheckResult<T = ()> = Result<T, String>;

/// The targets, entries and control of one cell.
pub struct TestBed {
    cell: Cell,
    pub scenario: Arc<Scenario>,
    control: Arc<PausingControl>,
    fleet: Fleet,
    targets: Vec<Target>,
    pub first: Entry<PausingControl>,
    /// The runtime of the first entry, separate so that the entry can be
    /// killed.
    runtime: Option<Runtime>,
    second: Entry<PausingControl>,
    reset_caller: watch::Sender<bool>,
}

async fn bind(name: &str, control: Arc<PausingControl>) -> Entry<PausingControl> {
    let cfg = EntryConfig {
        name: name.into(),
        data_centre: "dc1".into(),
        incarnation: 1,
        listen: ([127, 0, 0, 1], 0).into(),
        entries: ["e1", "e2"].map(Box::from).to_vec(),
        seed: 7,
        limits: Limits {
            connect_timeout: Duration::from_secs(3),
            // Not enough for two bodies.
            request_memory_bytes: BODY * 3 / 2,
            ..support::limits()
        },
    };
    Entry::bind(cfg, control).await.unwrap()
}

impl TestBed {
    pub async fn new(cell: Cell) -> TestBed {
        let scenario = Arc::new(Scenario::new(cell));
        let full = cell.step == Step::Connecting;
        let mode = if full { Mode::Full } else { Mode::Open };
        let deadline = if cell.hangs() {
            SHORT_DEADLINE
        } else {
            LONG_DEADLINE
        };
        let deadline = u64::try_from(deadline.as_millis()).unwrap();
        let mut fleet = Fleet::new(json!({"deadline_ms": deadline}));
        let mut targets = Vec::new();
        for number in 0..2 {
            let target = Target::spawn(number, &scenario, mode).await;
            // One slot for each entry.
            fleet.announce(&format!("t{number}"), target.address, 2);
            targets.push(target);
        }
        let inner = FakeControl::default();
        let control = Arc::new(PausingControl {
            inner,
            scenario: Arc::clone(&scenario),
        });
        let runtime = Runtime::new().unwrap();
        let first = runtime
            .spawn(bind("e1", Arc::clone(&control)))
            .await
            .unwrap();
        let second = bind("e2", Arc::clone(&control)).await;
        first.update_routes(&fleet.world);
        second.update_routes(&fleet.world);
        let (runtime, reset_caller) = (Some(runtime), watch::Sender::new(false));
        TestBed {
            cell,
            scenario,
            control,
            fleet,
            targets,
            first,
            runtime,
            second,
            reset_caller,
        }
    }

    /// Sends a request. The first probe is paused in the middle of its body if
    /// the fault applies there.
    pub fn send(&self, entry: &Entry<PausingControl>, id: &'static str) -> JoinHandle<SendResult> {
        let first = id == "probe" && entry.local_addr() == self.first.local_addr();
        let scenario = first.then(|| Arc::clone(&self.scenario));
        let mut reset = self.reset_caller.subscribe();
        let keyed = self.cell.kind == Kind::Keyed && id == "probe";
        let address = entry.local_addr();
        let silent = self.cell.hangs();
        let late = if silent {
            SHORT_DEADLINE_TIMEOUT
        } else {
            LONG_DEADLINE_TIMEOUT
        };
        tokio::spawn(async move {
            let mut stream = support::open(address).await;
            let reset = async { drop(reset.wait_for(|reset| *reset && first).await) };
            let ended = tokio::select! {
                ended = timeout(late, exchange(&mut stream, id, keyed, scenario)) => ended,
                () = reset => Ok(Err("gone")),
            };
            stream.set_zero_linger().unwrap();
            ended.unwrap_or(Err("hung"))
        })
    }

    /// Waits until the probe has reached the step of the cell.
    pub async fn wait_for_step(&self) -> CheckResult {
        let count = |name: &str| self.first.counters()[name];
        let is_paused = || self.scenario.fault_count.load(SeqCst) == 1;
        wait_until("the probe is at its step", || match self.cell.step {
            Step::Queued => count("entry.waited") == 1,
            Step::Connecting => count("entry.tries") == 1,
            Step::Received => is_paused() && count("entry.requests") == 1,
            _ => is_paused(),
        })
        .await
    }

    fn set_targets(&self, mode: Mode) {
        for target in &self.targets {
            target.mode.send_replace(mode);
        }
    }

    /// Applies the fault and resumes everything that it does not affect.
    /// Returns the duplicate request if that is the fault.
    pub async fn apply_fault(&mut self) -> CheckResult<Option<JoinHandle<SendResult>>> {
        let (is_at_target, step) = (self.cell.is_at_target(), self.cell.step);
        let connecting = step == Step::Connecting;
        let mut duplicate = None;
        match self.cell.fault {
            _ if self.cell.kills_instance() => self.kill_first_entry().await?,
            Fault::Delay => sleep(DELAY).await,
            Fault::Duplicate => duplicate = Some(self.send_duplicate().await?),
            Fault::Second if self.cell.kills_all_targets() => self.kill_targets().await?,
            // The target applies this fault by itself.
            Fault::Freeze if is_at_target => return Ok(None),
            _ if is_at_target => {}
            Fault::KillTarget => self.kill_targets().await?,
            Fault::Reset if step >= Step::Connecting => self.set_targets(Mode::Resets),
            Fault::Reset => drop(self.reset_caller.send_replace(true)),
            Fault::Freeze if !connecting => self.set_targets(Mode::Frozen),
            Fault::BlackHole if !connecting => self.set_targets(Mode::BlackHole),
            _ => {}
        }
        let opens = matches!(self.cell.fault, Fault::Delay | Fault::Duplicate);
        if connecting && (opens || self.cell.kills_instance()) {
            self.set_targets(Mode::Open);
        }
        self.scenario.resume.send_replace(true);
        Ok(duplicate)
    }

    /// Kills all targets, the one with the probe last, so that its retry finds
    /// no target alive.
    async fn kill_targets(&self) -> CheckResult {
        let last = *self.scenario.probe_target.lock().unwrap();
        for target in [&self.targets[1 - last], &self.targets[last]] {
            target.mode.send_replace(Mode::Dead);
            wait_until_refused(target.address).await?;
        }
        Ok(())
    }

    async fn kill_first_entry(&mut self) -> CheckResult {
        self.runtime.take().unwrap().shutdown_background();
        wait_until_refused(self.first.local_addr()).await?;
        // The replicated state registers the end of the incarnation.
        let mut table = self.control.inner.table.lock().unwrap();
        table.end_other_incarnations("e1", 2);
        Ok(())
    }

    async fn send_duplicate(&self) -> CheckResult<JoinHandle<SendResult>> {
        let keyed = self.cell.kind == Kind::Keyed;
        let duplicate = self.send(&self.second, if keyed { "probe" } else { "twin" });
        let came = || self.second.counters()["entry.requests"] == 1;
        wait_until("the duplicate arrived", came).await?;
        // Long enough for the duplicate to run if nothing prevented it.
        sleep(DELAY).await;
        Ok(duplicate)
    }

    /// Checks the invariants of one response. If targets had already seen the
    /// body `before` times, those do not count for this request.
    pub fn check(&self, ended: &SendResult, id: &str, before: usize) -> CheckResult<String> {
        let reply = match ended {
            Ok(reply) => reply,
            Err("hung") => return Err("no final response in time".into()),
            Err(broken) => return Ok((*broken).into()),
        };
        ensure(reply.is_complete(), "more bytes than one response")?;
        let saw = self.scenario.count("saw", id);
        match reply.outcome() {
            "answered" => {
                ensure(
                    reply.text() == own_answer(id),
                    "not the complete response to this request",
                )?;
                ensure(self.scenario.count("ran", id) > 0, "answered, but not run")?;
            }
            "not-run" => {
                ensure(reply.header("retry-after").is_some(), "no Retry-After")?;
                ensure(
                    saw == before,
                    &format!("not-run, but a target saw it: {}", reply.summary()),
                )?;
            }
            outcome => ensure(outcome == "unknown", outcome)?,
        }
        Ok(reply.outcome().into())
    }

    /// Sends the request again through the other entry, twice if the second
    /// fault applies to its claim.
    pub async fn resend(&self, outcomes: &mut Vec<String>) -> CheckResult {
        let second = self.cell.fault == Fault::Second;
        let keyed = self.cell.kind == Kind::Keyed;
        let claims = &self.control.inner.claim_behaviour;
        if second && keyed {
            *claims.lock().unwrap() = support::Behaviour::LosesReply;
            outcomes.push(self.resend_once().await?);
            ensure(
                self.second.counters()["entry.claims"] == 1,
                "the second fault was not applied",
            )?;
            *claims.lock().unwrap() = support::Behaviour::Works;
        } else if second {
            self.scenario.plan_fault(Step::BodySent);
        }
        let fault_count = self.scenario.fault_count.load(SeqCst);
        outcomes.push(self.resend_once().await?);
        let again = self.scenario.fault_count.load(SeqCst) - fault_count;
        ensure(
            again == u32::from(second && !keyed),
            "the second fault was not applied",
        )
    }

    async fn resend_once(&self) -> CheckResult<String> {
        let saw = self.scenario.count("saw", "probe");
        let ended = self.send(&self.second, "probe").await.unwrap();
        // With a key that a target has seen, "not run" would be wrong.
        let before = if self.cell.kind == Kind::Keyed {
            0
        } else {
            saw
        };
        self.check(&ended, "probe", before)
    }

    /// Checks that all slots, memory and keys were released.
    pub async fn check_resources_released(&mut self) -> CheckResult {
        let probe_target = *self.scenario.probe_target.lock().unwrap();
        let alive = [probe_target, 1 - probe_target]
            .into_iter()
            .find(|t| !self.targets[*t].is_dead());
        for target in [0, 1].into_iter().filter(|t| Some(*t) != alive) {
            self.fleet.withdraw(&format!("t{target}"));
        }
        if alive.is_none() {
            let fresh = Target::spawn(2, &self.scenario, Mode::Open).await;
            self.fleet.announce("t2", fresh.address, 2);
            self.targets.push(fresh);
        }
        for target in self.targets.iter().filter(|t| !t.is_dead()) {
            target.mode.send_replace(Mode::Open);
        }
        wait_until("no exchange is in progress at a target", || {
            Arc::strong_count(&self.scenario.busy) == 1
        })
        .await?;
        let entries = [&self.first, &self.second];
        for entry in entries
            .into_iter()
            .skip(usize::from(self.cell.kills_instance()))
        {
            entry.update_routes(&self.fleet.world);
            self.check_next_request(entry).await?;
            let drained = timeout(LONG_DEADLINE_TIMEOUT, entry.drain()).await;
            drained.map_err(|_| "the entry did not drain in time")?;
            ensure(
                entry.counters()["entry.answer_bytes_held"] == 0,
                "response memory is still in use",
            )?;
        }
        wait_until("the key is settled", || !self.is_key_pending()).await
    }

    /// Checks that the next request is served by the remaining target with its
    /// only slot.
    async fn check_next_request(&self, entry: &Entry<PausingControl>) -> CheckResult {
        for _ in 0..20 {
            let before = self.scenario.count("saw", "next");
            let next = self.send(entry, "next").await.unwrap();
            if self.check(&next, "next", before)? == "answered" {
                return Ok(());
            }
            sleep(DELAY).await;
        }
        Err("the next request was not served".into())
    }

    fn is_key_pending(&self) -> bool {
        let digest = *self.control.inner.last_digest.lock().unwrap();
        let key = KeyTable::scoped("dock", "school", "k");
        let table = self.control.inner.table.lock().unwrap();
        let found = digest.and_then(|digest| table.look_up(&key, digest));
        matches!(found, Some(KeyAnswer::InProgress { .. }))
    }
}

impl Drop for TestBed {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        self.set_targets(Mode::Dead);
    }
}

pub fn ensure(holds: bool, what: &str) -> CheckResult {
    if holds { Ok(()) } else { Err(what.into()) }
}

/// Waits until connections to `address` are refused, so that the kill is
/// complete.
async fn wait_until_refused(address: SocketAddr) -> CheckResult {
    for _ in 0..100 {
        let connect = tokio::net::TcpStream::connect(address);
        if matches!(timeout(DELAY, connect).await, Ok(Err(_))) {
            return Ok(());
        }
        sleep(Duration::from_millis(5)).await;
    }
    Err("connections are still accepted".into())
}

/// Polls until `check` holds.
pub async fn wait_until(what: &str, mut check: impl FnMut() -> bool) -> CheckResult {
    for _ in 0..2_000 {
        if check() {
            return Ok(());
        }
        sleep(Duration::from_millis(5)).await;
    }
    Err(format!("never: {what}"))
}
