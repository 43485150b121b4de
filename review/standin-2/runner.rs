//! A runner as the platform's pages describe it. A subtask's work is the number of
//! milliseconds that its specification names (`ms=8000`).

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, Server, call};
use crate::json::{Json, quote};
use crate::record::Record;

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const ACK_LIMIT: Duration = Duration::from_millis(1_000);
const TICK: Duration = Duration::from_millis(10);
/// The longest lease that a runner grants (`maxHoldMs`).
const MAX_HOLD_MS: u64 = 10_000;

#[derive(Clone)]
pub struct RunnerConfig {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub zone: String,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    pub address: SocketAddr,
    /// The control instances, as the platform lists them.
    pub control: Vec<SocketAddr>,
}

struct Run {
    run: u64,
    began: Instant,
    work_ms: u64,
}

struct State {
    draining: bool,
    /// Set once a heartbeat with `draining` was acknowledged.
    drain_acked: Option<Instant>,
    sequence: u64,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// The highest run of each task that was stopped or ended here.
    highest: BTreeMap<String, u64>,
    alive: bool,
    /// Whether it has sent its last word, after which it sends no heartbeats.
    has_left: bool,
}

struct Shared {
    cfg: RunnerConfig,
    address: SocketAddr,
    began: Instant,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

pub struct Runner {
    shared: Arc<Shared>,
    server: Server,
}

impl Runner {
    pub fn start(cfg: RunnerConfig, record: &Record) -> std::io::Result<Runner> {
        // The address is known only once the server listens.
        let slot: Arc<Mutex<Option<Arc<Shared>>>> = Arc::default();
        let of_handler = slot.clone();
        let server = Server::start(
            cfg.address,
            Arc::new(move |req| {
                let shared = of_handler.lock().unwrap().clone()?;
                answer(&shared, &req)
            }),
        )?;
        let shared = Arc::new(Shared {
            address: server.address,
            cfg,
            began: Instant::now(),
            state: Mutex::new(State {
                draining: false,
                drain_acked: None,
                sequence: 0,
                fence: 0,
                lease_until_ms: 0,
                running: BTreeMap::new(),
                ended: Vec::new(),
                next_end: 1,
                highest: BTreeMap::new(),
                alive: true,
                has_left: false,
            }),
            changed: Condvar::new(),
            record: record.clone(),
        });
        *slot.lock().unwrap() = Some(shared.clone());
        record.note(&format!(
            "runner {} starts on {} ({}) at {}",
            shared.cfg.id, shared.cfg.machine, shared.cfg.service, shared.address
        ));
        let (ticking, beating) = (shared.clone(), shared.clone());
        thread::spawn(move || tick(&ticking));
        thread::spawn(move || beat(&beating));
        Ok(Runner { shared, server })
    }

    pub fn id(&self) -> &str {
        &self.shared.cfg.id
    }

    pub fn config(&self) -> RunnerConfig {
        RunnerConfig {
            address: self.shared.address,
            ..self.shared.cfg.clone()
        }
    }

    /// Whether it runs a task whose name begins so.
    pub fn runs(&self, task: &str) -> bool {
        let state = self.shared.state.lock().unwrap();
        state.running.keys().any(|name| name.starts_with(task))
    }

    pub fn is_alive(&self) -> bool {
        self.shared.state.lock().unwrap().alive
    }

    /// Announces that it is about to leave.
    pub fn drain(&self) {
        self.shared
            .record
            .note(&format!("runner {} begins to drain", self.id()));
        self.shared.state.lock().unwrap().draining = true;
    }

    pub fn drain_acked(&self) -> Option<Instant> {
        self.shared.state.lock().unwrap().drain_acked
    }

    /// It sends its last word next.
    pub fn leave(&self) {
        self.shared.state.lock().unwrap().has_left = true;
    }

    /// Ends its life; everything that runs on it ends with it.
    pub fn end(&self, how: &str) {
        self.shared
            .record
            .note(&format!("runner {} ends its life: {how}", self.id()));
        let running: Vec<(String, u64)> = {
            let mut state = self.shared.state.lock().unwrap();
            state.alive = false;
            let running = std::mem::take(&mut state.running);
            running
                .into_iter()
                .map(|(task, run)| (task, run.run))
                .collect()
        };
        for (task, run) in running {
            self.shared
                .record
                .run_ended(&task, run, self.id(), "gone with its runner");
        }
        self.server.kill();
        self.shared.changed.notify_all();
    }

    /// The address of its first control instance.
    pub fn control(&self) -> SocketAddr {
        self.shared.cfg.control[0]
    }
}

fn clock_ms(shared: &Shared) -> u64 {
    100_000 + shared.began.elapsed().as_millis() as u64
}

fn tick(shared: &Arc<Shared>) {
    loop {
        thread::sleep(TICK);
        let clock = clock_ms(shared);
        let mut state = shared.state.lock().unwrap();
        if !state.alive {
            return;
        }
        let lapsed = clock > state.lease_until_ms;
        let over: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, run)| {
                let done = run.began.elapsed().as_millis() as u64 >= run.work_ms;
                match (done, lapsed) {
                    (true, _) => Some((task.clone(), "done")),
                    (false, true) => Some((task.clone(), "lapsed")),
                    (false, false) => None,
                }
            })
            .collect();
        for (task, how) in over {
            end_run(shared, &mut state, &task, how);
        }
    }
}

fn end_run(shared: &Shared, state: &mut State, task: &str, how: &'static str) {
    let Some(run) = state.running.remove(task) else {
        return;
    };
    let number = state.next_end;
    state.next_end += 1;
    state.ended.push((number, task.into(), run.run, how));
    let highest = state.highest.entry(task.into()).or_default();
    *highest = run.run.max(*highest);
    shared.record.run_ended(task, run.run, &shared.cfg.id, how);
    shared.changed.notify_all();
}

fn answer(shared: &Arc<Shared>, req: &Request) -> Option<Answer> {
    if !shared.state.lock().unwrap().alive {
        return None;
    }
    if req
        .header("X-Expected-Instance")
        .is_some_and(|id| id != shared.cfg.id)
    {
        return Some((421, "{}".into()));
    }
    let body = Json::parse(&req.body)?;
    match (req.method.as_str(), req.path.as_str()) {
        ("POST", "/-/run-start") => Some(start(shared, &body)),
        ("POST", "/-/run-stop") => Some(stop(shared, &body)),
        ("POST", "/-/hold") => hold(shared, &body),
        ("POST", "/-/pace") => Some(ok(shared)),
        _ => Some((404, "{}".into())),
    }
}

fn ok(shared: &Shared) -> Answer {
    (200, format!("{{\"clockMs\":{}}}", clock_ms(shared)))
}

fn refused(shared: &Shared, reason: &str) -> Answer {
    let clock = clock_ms(shared);
    (
        409,
        format!("{{\"clockMs\":{clock},\"reason\":{}}}", quote(reason)),
    )
}

/// Whether the fence number is at least the highest seen, which it then is.
fn passes_fence(state: &mut State, body: &Json) -> bool {
    let token = body.number("fencingToken").unwrap_or(0);
    if token < state.fence {
        return false;
    }
    state.fence = token;
    true
}

fn extend_lease(shared: &Shared, state: &mut State, body: &Json) {
    if let Some(deadline) = body.number("deadlineMs") {
        let most = clock_ms(shared) + MAX_HOLD_MS;
        state.lease_until_ms = state.lease_until_ms.max(deadline.min(most));
    }
}

fn start(shared: &Arc<Shared>, body: &Json) -> Answer {
    let mut state = shared.state.lock().unwrap();
    let (Some(task), Some(run)) = (body.text("task"), body.number("runId")) else {
        return (400, "{}".into());
    };
    if !passes_fence(&mut state, body) {
        return refused(shared, "fence");
    }
    extend_lease(shared, &mut state, body);
    if state
        .running
        .get(task)
        .is_some_and(|known| known.run == run)
    {
        return ok(shared);
    }
    let ended = state.highest.get(task).copied().unwrap_or(0);
    if run <= ended || state.running.contains_key(task) {
        return refused(shared, "old");
    }
    if body
        .number("deadlineMs")
        .is_some_and(|deadline| deadline <= clock_ms(shared))
    {
        return refused(shared, "late");
    }
    let work_ms = body
        .text("specification")
        .and_then(work_ms)
        .unwrap_or(1_000);
    state.running.insert(
        task.into(),
        Run {
            run,
            began: Instant::now(),
            work_ms,
        },
    );
    shared.record.run_began(task, run, &shared.cfg.id);
    ok(shared)
}

fn work_ms(specification: &str) -> Option<u64> {
    let words = specification.split_whitespace();
    words
        .filter_map(|word| word.strip_prefix("ms=")?.parse().ok())
        .next()
}

fn stop(shared: &Arc<Shared>, body: &Json) -> Answer {
    let mut state = shared.state.lock().unwrap();
    let (Some(task), Some(run)) = (body.text("task"), body.number("runId")) else {
        return (400, "{}".into());
    };
    if !passes_fence(&mut state, body) {
        return refused(shared, "fence");
    }
    let highest = state.highest.entry(task.into()).or_default();
    *highest = run.max(*highest);
    if state
        .running
        .get(task)
        .is_some_and(|known| known.run == run)
    {
        end_run(shared, &mut state, task, "stopped");
    }
    ok(shared)
}

fn hold(shared: &Arc<Shared>, body: &Json) -> Option<Answer> {
    let mut state = shared.state.lock().unwrap();
    if !passes_fence(&mut state, body) {
        return Some(refused(shared, "fence"));
    }
    extend_lease(shared, &mut state, body);
    let acked = body.number("ackedUpto").unwrap_or(0);
    state.ended.retain(|(number, ..)| *number > acked);
    let until = Instant::now() + Duration::from_millis(body.number("waitMs").unwrap_or(0));
    while state.ended.is_empty() && state.alive {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        state = shared.changed.wait_timeout(state, left).unwrap().0;
    }
    if !state.alive {
        return None;
    }
    let running = state.running.iter();
    let running = running.map(|(task, run)| format!("[{},{},\"\",100,0]", quote(task), run.run));
    let ended = state.ended.iter().take(500);
    let ended = ended.map(|(number, task, run, how)| {
        format!("[{number},{},{run},{},\"\"]", quote(task), quote(how))
    });
    let (running, ended): (Vec<_>, Vec<_>) = (running.collect(), ended.collect());
    Some((
        200,
        format!(
            "{{\"clockMs\":{},\"running\":[{}],\"ended\":[{}]}}",
            clock_ms(shared),
            running.join(","),
            ended.join(",")
        ),
    ))
}

/// Sends heartbeats until the life ends.
fn beat(shared: &Arc<Shared>) {
    let mut known: Option<SocketAddr> = None;
    let mut next = usize::from(shared.address.port()) % shared.cfg.control.len();
    loop {
        let (body, draining) = {
            let mut state = shared.state.lock().unwrap();
            if !state.alive || state.has_left {
                return;
            }
            state.sequence += 1;
            (heartbeat(shared, &state), state.draining)
        };
        let path = format!("/-/Instances.Heartbeat/{}", shared.cfg.id);
        for _ in 0..shared.cfg.control.len() {
            let address = known.unwrap_or(shared.cfg.control[next % shared.cfg.control.len()]);
            match post(address, &path, &body) {
                Some(answer) => {
                    let named = Json::parse(&answer);
                    let named = named
                        .as_ref()
                        .and_then(|body| body.text("heartbeatAddress"));
                    known = named.and_then(|text| text.parse().ok()).or(Some(address));
                    if draining {
                        let mut state = shared.state.lock().unwrap();
                        if state.drain_acked.is_none() {
                            state.drain_acked = Some(Instant::now());
                            let text = format!("runner {}: draining is acked", shared.cfg.id);
                            shared.record.note(&text);
                        }
                    }
                    break;
                }
                None => {
                    known = None;
                    next += 1;
                }
            }
        }
        thread::sleep(HEARTBEAT);
    }
}

/// A POST that follows two redirects; the body of a 2xx answer within a second.
pub fn post(address: SocketAddr, path: &str, body: &str) -> Option<String> {
    let (mut address, mut path) = (address, path.to_string());
    for _ in 0..3 {
        let reply = call(address, "POST", &path, &[], body, ACK_LIMIT)?;
        if reply.status / 100 == 2 {
            return Some(reply.body);
        }
        let location = reply.location.filter(|_| reply.status == 307)?;
        let rest = location.strip_prefix("http://")?;
        let slash = rest.find('/')?;
        address = rest[..slash].parse().ok()?;
        path = rest[slash..].into();
    }
    None
}

fn heartbeat(shared: &Shared, state: &State) -> String {
    let cfg = &shared.cfg;
    let labels: Vec<String> = cfg.labels.iter().map(|label| quote(label)).collect();
    let word = if state.draining { "draining" } else { "ready" };
    let drain = if state.draining {
        ",\"drainRemainingMs\":2000"
    } else {
        ""
    };
    format!(
        "{{\"service\":{},\"address\":{},\"zone\":{},\"version\":\"v1\",\"slots\":8,\
         \"state\":\"{word}\",\"coldRemainingMs\":0,\
         \"capacity\":{{\"cpu\":32000,\"memMb\":131072,\"gpu\":0}},\"labels\":[{}],\
         \"machine\":{},\"clockMs\":{},\"sequence\":{}{drain}}}",
        quote(&cfg.service),
        quote(&shared.address.to_string()),
        quote(&cfg.zone),
        labels.join(","),
        quote(&cfg.machine),
        clock_ms(shared),
        state.sequence,
    )
}

/// Any free port of an address.
pub fn any_port(ip: IpAddr) -> SocketAddr {
    SocketAddr::new(ip, 0)
}
