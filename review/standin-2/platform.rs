//! The platform's machine API and the adviser.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, Server};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::runner::{Runner, RunnerConfig};

/// How long a machine is down for its upkeep (`maintenanceS`).
const UPKEEP: Duration = Duration::from_secs(2);

pub struct Machine {
    pub runner: Runner,
    lives: u32,
    /// Since when it is down for its upkeep.
    down: Option<Instant>,
    fence: u64,
    done: Vec<u64>,
}

/// An upkeep that began while others were down.
pub struct Begun {
    pub machine: String,
    pub holder: String,
    pub token: u64,
    pub down_beside: Vec<String>,
    pub late: bool,
}

#[derive(Default)]
pub struct Plan {
    /// Leave the first order for an upkeep without an answer and carry it out this much
    /// later.
    pub delay_first: Option<Duration>,
}

pub struct Platform {
    machines: Mutex<BTreeMap<String, Machine>>,
    pub waves: Mutex<BTreeMap<u64, (Vec<String>, usize)>>,
    plan: Mutex<Plan>,
    /// The machine whose first order was left without an answer.
    pub delayed: Mutex<Option<String>>,
    pub begun: Mutex<Vec<Begun>>,
    record: Record,
}

impl Platform {
    pub fn start(
        ip: IpAddr,
        plan: Plan,
        record: &Record,
    ) -> std::io::Result<(Arc<Platform>, SocketAddr)> {
        let platform = Arc::new(Platform {
            machines: Mutex::default(),
            waves: Mutex::default(),
            plan: Mutex::new(plan),
            delayed: Mutex::default(),
            begun: Mutex::default(),
            record: record.clone(),
        });
        let handler = platform.clone();
        let server = Server::start(
            SocketAddr::new(ip, 0),
            Arc::new(move |req| Platform::answer(&handler, &req)),
        )?;
        let address = server.address;
        std::mem::forget(server);
        Ok((platform, address))
    }

    pub fn add(&self, runner: Runner) {
        let name = runner.config().machine;
        let machine = Machine {
            runner,
            lives: 1,
            down: None,
            fence: 0,
            done: Vec::new(),
        };
        self.machines.lock().unwrap().insert(name, machine);
    }

    /// The machine whose runner runs a task whose name begins so.
    pub fn machine_running(&self, task: &str) -> Option<String> {
        let machines = self.machines.lock().unwrap();
        let mut machines = machines.iter();
        machines
            .find(|(_, machine)| machine.runner.runs(task))
            .map(|(name, _)| name.clone())
    }

    pub fn with<T>(&self, machine: &str, f: impl FnOnce(&Machine) -> T) -> Option<T> {
        self.machines.lock().unwrap().get(machine).map(f)
    }

    /// The runner of a machine crashes, and a new life of it starts after a while.
    pub fn crash(self: &Arc<Self>, machine: &str, away: Duration) {
        if let Some(machine) = self.machines.lock().unwrap().get(machine) {
            machine.runner.end("crashed");
        }
        thread::sleep(away);
        self.next_life(machine);
    }

    fn next_life(&self, name: &str) {
        let mut machines = self.machines.lock().unwrap();
        let Some(machine) = machines.get_mut(name) else {
            return;
        };
        machine.lives += 1;
        machine.down = None;
        let cfg = machine.runner.config();
        let cfg = RunnerConfig {
            id: format!("i-{name}-{}", machine.lives),
            ..cfg
        };
        match Runner::start(cfg, &self.record) {
            Ok(runner) => machine.runner = runner,
            Err(error) => self.record.note(&format!("no new life on {name}: {error}")),
        }
    }

    fn answer(self: &Arc<Self>, req: &Request) -> Option<Answer> {
        match (req.method.as_str(), req.path.split('?').next()?) {
            ("GET", "/-/machines") => Some((200, self.list())),
            ("POST", "/-/machine-upkeep") => self.upkeep(req),
            ("POST", "/-/machine-move") => Some((400, "{}".into())),
            _ => Some((404, "{}".into())),
        }
    }

    fn list(&self) -> String {
        let machines = self.machines.lock().unwrap();
        let rows = machines.iter().map(|(name, machine)| {
            let cfg = machine.runner.config();
            let labels: Vec<String> = cfg.labels.iter().map(|label| quote(label)).collect();
            let alive = machine.runner.is_alive();
            let (state, id) = match (machine.down.is_some(), alive) {
                (true, _) => ("upkeep", String::new()),
                (false, true) => ("up", cfg.id),
                (false, false) => ("down", String::new()),
            };
            format!(
                "{{\"machine\":{},\"pool\":{},\"state\":\"{state}\",\"zone\":{},\"labels\":[{}],\
                 \"capacity\":{{\"cpu\":32000,\"memMb\":131072,\"gpu\":0}},\"id\":{}}}",
                quote(name),
                quote(&cfg.service),
                quote(&cfg.zone),
                labels.join(","),
                quote(&id),
            )
        });
        let rows: Vec<String> = rows.collect();
        format!(
            "{{\"machines\":[{}],\"nextPageToken\":null}}",
            rows.join(",")
        )
    }

    fn upkeep(self: &Arc<Self>, req: &Request) -> Option<Answer> {
        let body = Json::parse(&req.body)?;
        let (name, wave) = (body.text("machine")?.to_string(), body.number("wave")?);
        let holder = req.header("X-Duty-Holder").unwrap_or("").to_string();
        let token: u64 = req
            .header("X-Fencing-Token")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let delay = self.plan.lock().unwrap().delay_first.take();
        if let Some(delay) = delay {
            self.record.note(&format!(
                "platform: upkeep of {name} for wave {wave} by {holder}, fence {token}: no answer, \
                 to be carried out {} ms later",
                delay.as_millis()
            ));
            *self.delayed.lock().unwrap() = Some(name.clone());
            let later = self.clone();
            thread::spawn(move || {
                thread::sleep(delay);
                later.carry_out(&name, wave, &holder, token, true);
            });
            // The caller hears nothing until it gives up.
            thread::sleep(Duration::from_secs(5));
            return None;
        }
        Some(self.carry_out(&name, wave, &holder, token, false))
    }

    fn carry_out(
        self: &Arc<Self>,
        name: &str,
        wave: u64,
        holder: &str,
        token: u64,
        late: bool,
    ) -> Answer {
        let answer = self.begin_upkeep(name, wave, holder, token, late);
        let when = if late { " (late)" } else { "" };
        self.record.note(&format!(
            "platform: upkeep of {name} for wave {wave} by {holder}, fence {token}{when}: {} {}",
            answer.0, answer.1
        ));
        answer
    }

    fn begin_upkeep(
        self: &Arc<Self>,
        name: &str,
        wave: u64,
        holder: &str,
        token: u64,
        late: bool,
    ) -> Answer {
        let waves = self.waves.lock().unwrap();
        let mut machines = self.machines.lock().unwrap();
        let Some((of_wave, _)) = waves
            .get(&wave)
            .filter(|(of_wave, _)| of_wave.iter().any(|m| m == name))
        else {
            return (409, "{\"reason\":\"wave\"}".into());
        };
        let down_beside: Vec<String> = of_wave
            .iter()
            .filter(|other| {
                *other != name && machines.get(*other).is_some_and(|m| m.down.is_some())
            })
            .cloned()
            .collect();
        let Some(machine) = machines.get_mut(name) else {
            return (400, "{}".into());
        };
        if token < machine.fence {
            return (409, "{\"reason\":\"fence\"}".into());
        }
        machine.fence = token;
        if machine.done.contains(&wave) {
            return (200, "{}".into());
        }
        if machine.down.is_some() || !machine.runner.is_alive() {
            return (409, "{\"reason\":\"busy\"}".into());
        }
        machine.done.push(wave);
        machine.down = Some(Instant::now());
        machine.runner.end("its machine goes down for upkeep");
        self.begun.lock().unwrap().push(Begun {
            machine: name.into(),
            holder: holder.into(),
            token,
            down_beside,
            late,
        });
        let (later, name) = (self.clone(), name.to_string());
        thread::spawn(move || {
            thread::sleep(UPKEEP);
            later.next_life(&name);
        });
        (200, "{}".into())
    }
}

/// An adviser that allows all workers. It handles one call at a time.
pub fn start_adviser(
    ip: IpAddr,
    decision: Duration,
    validity_ms: u64,
    record: &Record,
) -> std::io::Result<SocketAddr> {
    let (turn, record) = (Mutex::new(0_u64), record.clone());
    let server = Server::start(
        SocketAddr::new(ip, 0),
        Arc::new(move |req| {
            let body = Json::parse(&req.body)?;
            let mut calls = turn.lock().unwrap();
            thread::sleep(decision);
            *calls += 1;
            let (step, workers) = (body.text("step")?.to_string(), body.texts("workers"));
            record.note(&format!(
                "adviser: call {calls} about {step} on {} runners",
                workers.len()
            ));
            let rows: Vec<String> = workers
                .iter()
                .map(|id| format!("[{},{}]", quote(id), quote(&format!("t{calls}-{id}"))))
                .collect();
            Some((
                200,
                format!(
                    "{{\"good\":[{}],\"validityMs\":{validity_ms}}}",
                    rows.join(",")
                ),
            ))
        }),
    )?;
    let address = server.address;
    std::mem::forget(server);
    Ok(address)
}
