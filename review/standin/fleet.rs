//! Starts the project's programs by the commands of the deploy file, and the stand-ins
//! beside them; keeps what requesters and runners see.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, call, field, serve};

/// The longest time that a case may take.
const LONGEST: Duration = Duration::from_secs(112);
/// The processes that were started and are to be ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and this one, once a case takes too long.
fn watch_time() {
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        println!("the case took too long");
        let started = STARTED.lock().unwrap();
        let ids: Vec<String> = started.iter().map(ToString::to_string).collect();
        let kill = format!("kill -9 {}", ids.join(" "));
        let _ = Command::new("sh").args(["-c", &kill]).status();
        std::process::exit(2);
    });
}

/// A process that has ended needs no end any more.
fn forget(child: &Child) {
    STARTED.lock().unwrap().retain(|known| *known != child.id());
}

/// The name of the host of all queues, and the only service.
pub const HOST: &str = "jobs.example";
pub const SERVICE: &str = "svc-a";
const SETTINGS_PATH: &str = "/etc/celerycleat/settings.conf";

/// Writes what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    origin: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn open(path: &str) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record {
            origin: Instant::now(),
            file,
        })
    }

    pub fn add(&self, text: &str) {
        let at = self.origin.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    /// Adds a line and prints it.
    pub fn tell(&self, text: &str) {
        self.add(text);
        println!("{text}");
    }
}

/// One run that a runner has begun.
#[derive(Clone, Debug)]
pub struct Begun {
    pub at: Instant,
    pub task: String,
    pub run: u64,
    pub runner: String,
    pub spec: String,
    /// When and how it ended; `crashed` with its runner.
    pub ended: Option<(Instant, String)>,
}

/// What the runners have seen.
#[derive(Default)]
pub struct Seen {
    pub runs: Vec<Begun>,
    /// Where each live runner takes word from the driver.
    inputs: HashMap<String, ChildStdin>,
}

impl Seen {
    /// How many runs of a job go on.
    pub fn running(&self, job: &str) -> usize {
        let of_job = self.runs.iter().filter(|begun| begun.task.starts_with(job));
        of_job.filter(|begun| begun.ended.is_none()).count()
    }

    /// The runs of a job that ended like this.
    pub fn ended(&self, job: &str, how: &str) -> Vec<&Begun> {
        let of_job = self.runs.iter().filter(|begun| begun.task.starts_with(job));
        let like = |begun: &&Begun| begun.ended.as_ref().is_some_and(|(_, known)| known == how);
        of_job.filter(like).collect()
    }

    /// How many runs of a job have begun.
    pub fn begun(&self, job: &str) -> usize {
        let of_job = self.runs.iter().filter(|begun| begun.task.starts_with(job));
        of_job.count()
    }

    fn take(&mut self, runner: &str, line: &str) {
        let words: Vec<&str> = line.splitn(4, ' ').collect();
        match words.as_slice() {
            ["start", task, run, spec] => {
                self.runs.push(Begun {
                    at: Instant::now(),
                    task: task.to_string(),
                    run: run.parse().unwrap_or(0),
                    runner: runner.into(),
                    spec: spec.to_string(),
                    ended: None,
                });
                self.begin_gang(task, run, spec);
            }
            ["end", task, run, how] => {
                let run = run.parse().unwrap_or(0);
                self.end(runner, task, run, how);
            }
            _ => {}
        }
    }

    fn end(&mut self, runner: &str, task: &str, run: u64, how: &str) {
        let now = Instant::now();
        let mut broken = false;
        for begun in &mut self.runs {
            if begun.task == task && begun.run == run && begun.runner == runner {
                begun.ended = Some((now, how.into()));
                broken = begun.spec.contains("gang=") && how != "done" && how != "broken";
            }
        }
        if broken {
            self.break_gang(task, run);
        }
    }

    /// The members of a gang begin to work once all of one run are there.
    fn begin_gang(&mut self, task: &str, run: &str, spec: &str) {
        let word = |name: &str| {
            let mut words = spec.split_whitespace();
            words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
        };
        let Some(count) = word("gang").and_then(|text| text.parse::<usize>().ok()) else {
            return;
        };
        let ms = word("ms").unwrap_or("100").to_string();
        let members = self.members(task, run.parse().unwrap_or(0));
        if members.len() == count {
            for (runner, task) in members {
                self.say(&runner, &format!("works {task} {run} {ms}"));
            }
        }
    }

    /// The other members of a gang end `broken` once one has ended.
    fn break_gang(&mut self, task: &str, run: u64) {
        for (runner, task) in self.members(task, run) {
            self.say(&runner, &format!("broken {task} {run}"));
        }
    }

    /// The members of a task's gang that are there, in this run.
    fn members(&self, task: &str, run: u64) -> Vec<(String, String)> {
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
        let same = |begun: &&Begun| {
            let known = begun.task.rsplit_once('.').map(|(step, _)| step);
            known == Some(step) && begun.run == run && begun.ended.is_none()
        };
        let members = self.runs.iter().filter(same);
        members
            .map(|begun| (begun.runner.clone(), begun.task.clone()))
            .collect()
    }

    /// Tells a runner something.
    pub fn say(&mut self, runner: &str, text: &str) {
        if let Some(input) = self.inputs.get_mut(runner) {
            let _ = writeln!(input, "{text}");
        }
    }

    fn crashed(&mut self, runner: &str) {
        self.inputs.remove(runner);
        let lost: Vec<(String, u64)> = self
            .runs
            .iter()
            .filter(|begun| begun.runner == runner && begun.ended.is_none())
            .map(|begun| (begun.task.clone(), begun.run))
            .collect();
        for (task, run) in lost {
            self.end(runner, &task, run, "crashed");
        }
    }
}

/// A machine and the runner on it.
struct Place {
    machine: String,
    zone: String,
    rack: String,
    address: SocketAddr,
    lives: usize,
    /// The current life, if it is up.
    life: Option<(String, Child)>,
}

/// Sizes of a fleet.
pub struct Plan {
    pub control: usize,
    pub gateways: usize,
    pub runners: usize,
    pub cpu: u64,
    pub mem: u64,
}

pub struct Fleet {
    pub record: Record,
    pub seen: Arc<Mutex<Seen>>,
    folder: PathBuf,
    processes: Vec<(String, Child)>,
    places: Vec<Place>,
    /// What the platform lists: machine, state, id of its runner.
    listed: Arc<Mutex<Vec<(String, &'static str, String)>>>,
    operators: Vec<SocketAddr>,
    callers: Vec<SocketAddr>,
    plan: Plan,
}

fn random() -> u64 {
    let mut bytes = [0; 8];
    if let Ok(mut file) = File::open("/dev/urandom") {
        let _ = std::io::Read::read_exact(&mut file, &mut bytes);
    }
    u64::from_le_bytes(bytes)
}

/// A new job's id.
pub fn job_id() -> String {
    format!("{:016x}", random())
}

/// Fills a template of the deploy file.
fn render(template: &str, values: &[(&str, String)]) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let Some((name, after)) = after.split_once("}}") else {
            break;
        };
        let (key, json) = match name.split_once('|') {
            Some((key, _)) => (key, true),
            None => (name, false),
        };
        let value = values.iter().find(|(known, _)| *known == key);
        let value = value.map_or("null", |(_, value)| value.as_str());
        text += before;
        text += if json { value } else { value.trim_matches('"') };
        rest = after;
    }
    text + rest
}

/// The command of a role in the deploy file.
fn command_of(root: &Path, role: &str) -> Option<Vec<String>> {
    let text = std::fs::read_to_string(root.join("deploy/system.toml")).ok()?;
    let section = text.split(&format!("[roles.{role}]")).nth(1)?;
    let line = section.lines().find(|line| line.starts_with("run"))?;
    let words = line.split('"').nth(1)?.split(' ');
    Some(words.map(str::to_string).collect())
}

impl Fleet {
    /// Starts everything and puts the first configuration into force.
    pub fn start(plan: Plan, record: Record, root: &Path, config: &str) -> Option<Fleet> {
        watch_time();
        let net = random();
        let (a, b) = (16 + net % 200, (net >> 8) % 250);
        let ip = |last: usize| format!("127.{a}.{b}.{last}");
        let ports = 20_000 + ((net >> 16) % 9_000) as usize;
        let (control_port, front_port, ready_port) = (ports, ports + 1, ports + 2);
        let folder = std::env::temp_dir().join(format!("review-{}-{:x}", std::process::id(), net));
        std::fs::create_dir_all(&folder).ok()?;
        let address = |ip: String, port: usize| -> SocketAddr {
            format!("{ip}:{port}").parse().expect("an address")
        };
        let operators: Vec<SocketAddr> = (1..=plan.control)
            .map(|at| address(ip(at), control_port))
            .collect();
        let callers: Vec<SocketAddr> = (1..=plan.gateways)
            .map(|at| address(ip(50 + at), front_port))
            .collect();
        let listed = Arc::new(Mutex::new(Vec::new()));
        let platform = TcpListener::bind(format!("{}:0", ip(100))).ok()?;
        let platform_address = platform.local_addr().ok()?;
        let lists = listed.clone();
        let (cpu, mem) = (plan.cpu, plan.mem);
        serve(
            platform,
            Arc::new(move |req| list_machines(&req, &lists, cpu, mem)),
        );
        let seeds: Vec<String> = operators
            .iter()
            .take(3)
            .map(|address| format!("\"{address}\""))
            .collect();
        let seeds = format!("[{}]", seeds.join(","));
        let mut fleet = Fleet {
            record,
            seen: Arc::default(),
            folder: folder.clone(),
            processes: Vec::new(),
            places: Vec::new(),
            listed,
            operators,
            callers,
            plan,
        };
        let quoted = |text: &str| format!("\"{text}\"");
        let common = |name: &str, own: &str, zone: &str| {
            vec![
                ("nodeName", quoted(name)),
                ("zone", quoted(zone)),
                ("ipAddress", quoted(own)),
                (
                    "internalPortRange",
                    format!("[{},{}]", ports + 10, ports + 20),
                ),
                ("seedNodes", seeds.clone()),
                ("bootstrap", "true".into()),
                ("limits.cpuCores", "1".into()),
                ("limits.fileDescriptors", "4096".into()),
                ("faultTolerance.machines", "1".into()),
                ("cloudApi.address", quoted(&platform_address.to_string())),
                ("orders", quoted("call")),
            ]
        };
        for at in 1..=fleet.plan.control {
            let name = format!("core-{at}");
            let mut values = common(&name, &ip(at), &format!("zone-{at}"));
            let listen = format!("{}:{control_port}", ip(at));
            let data = folder.join(format!("data-{at}"));
            std::fs::create_dir_all(&data).ok()?;
            values.push(("listenAddresses.controlPlane", quoted(&listen)));
            values.push(("dataDirectory", quoted(&data.display().to_string())));
            fleet.start_program(root, "control", &name, &values)?;
        }
        for at in 1..=fleet.plan.gateways {
            let name = format!("frontend-{at}");
            let own = ip(50 + at);
            let mut values = common(&name, &own, &format!("zone-{at}"));
            values.push((
                "listenAddresses.frontend",
                quoted(&format!("{own}:{front_port}")),
            ));
            values.push((
                "listenAddresses.ready",
                quoted(&format!("{own}:{ready_port}")),
            ));
            fleet.start_program(root, "gateway", &name, &values)?;
        }
        let until = Instant::now() + Duration::from_secs(20);
        while !fleet.configure(config) {
            if Instant::now() > until {
                fleet
                    .record
                    .tell("the first configuration was never acknowledged");
                return None;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        for at in 0..fleet.plan.runners {
            let taken = TcpListener::bind(format!("{}:0", ip(101 + at))).ok()?;
            let address = taken.local_addr().ok()?;
            drop(taken);
            fleet.places.push(Place {
                machine: format!("m-{at}"),
                zone: format!("zone-{}", 1 + at % 3),
                rack: format!("r1-{}", 1 + at / 4),
                address,
                lives: 0,
                life: None,
            });
            fleet.start_runner(at)?;
        }
        // Runners report every 1.5 s.
        std::thread::sleep(Duration::from_millis(3_500));
        Some(fleet)
    }

    fn start_program(
        &mut self,
        root: &Path,
        role: &str,
        name: &str,
        values: &[(&str, String)],
    ) -> Option<()> {
        let template = root.join(format!("deploy/{role}.json.template"));
        let settings = render(&std::fs::read_to_string(template).ok()?, values);
        let path = self.folder.join(format!("{name}.conf"));
        std::fs::write(&path, settings).ok()?;
        let path = path.display().to_string();
        let words = command_of(root, role)?;
        let words: Vec<String> = words
            .iter()
            .map(|word| word.replace(SETTINGS_PATH, &path))
            .collect();
        let log = File::create(self.folder.join(format!("{name}.log"))).ok()?;
        let kept = ["PATH", "HOME", "LANG"].into_iter();
        let kept = kept.filter_map(|name| Some((name, std::env::var(name).ok()?)));
        let child = Command::new(root.join(&words[0]))
            .args(&words[1..])
            .current_dir(root)
            .env_clear()
            .envs(kept)
            .env("CELERYCLEAT_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        STARTED.lock().unwrap().push(child.id());
        self.record
            .add(&format!("started {name}, process {}", child.id()));
        self.processes.push((name.into(), child));
        Some(())
    }

    /// Starts the next life of the runner on a machine, under a new id.
    pub fn start_runner(&mut self, at: usize) -> Option<()> {
        let control: Vec<String> = self.operators.iter().map(ToString::to_string).collect();
        let (cpu, mem) = (self.plan.cpu.to_string(), self.plan.mem.to_string());
        let place = &mut self.places[at];
        place.lives += 1;
        let id = format!("i-{at}-{}-{:x}", place.lives, random() >> 40);
        let mut command = Command::new(std::env::current_exe().ok()?);
        command.args([
            "runner",
            "--id",
            &id,
            "--listen",
            &place.address.to_string(),
        ]);
        command.args([
            "--service",
            SERVICE,
            "--zone",
            &place.zone,
            "--rack",
            &place.rack,
        ]);
        command.args(["--machine", &place.machine, "--control", &control.join(",")]);
        command.args(["--cpu", &cpu, "--mem", &mem]);
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().ok()?;
        STARTED.lock().unwrap().push(child.id());
        let output = child.stdout.take()?;
        self.seen
            .lock()
            .unwrap()
            .inputs
            .insert(id.clone(), child.stdin.take()?);
        let (seen, record, name) = (self.seen.clone(), self.record.clone(), id.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.add(&format!("{name}: {line}"));
                seen.lock().unwrap().take(&name, &line);
            }
        });
        self.record.add(&format!(
            "runner {id} is up on {} at {}",
            place.machine, place.address
        ));
        place.life = Some((id, child));
        self.update_list();
        Some(())
    }

    /// Kills the runner on a machine with SIGKILL.
    pub fn crash_runner(&mut self, at: usize) {
        let Some((id, mut child)) = self.places[at].life.take() else {
            return;
        };
        let _ = child.kill();
        let _ = child.wait();
        forget(&child);
        self.record.add(&format!(
            "runner {id} on {} has crashed",
            self.places[at].machine
        ));
        self.seen.lock().unwrap().crashed(&id);
        self.update_list();
    }

    /// The machine on which a runner is up.
    pub fn machine_of(&self, runner: &str) -> Option<usize> {
        let on = |place: &Place| place.life.as_ref().is_some_and(|(id, _)| id == runner);
        self.places.iter().position(on)
    }

    fn update_list(&self) {
        let line = |place: &Place| match &place.life {
            Some((id, _)) => (place.machine.clone(), "up", id.clone()),
            None => (place.machine.clone(), "down", String::new()),
        };
        *self.listed.lock().unwrap() = self.places.iter().map(line).collect();
    }

    /// Sends a configuration; whether it was acknowledged.
    pub fn configure(&self, config: &str) -> bool {
        let path = "/-/Configuration.Replace";
        self.operators.iter().any(|address| {
            let answer = call(*address, "POST", path, &[], config, Duration::from_secs(1));
            let status = answer.as_ref().map(|(status, _)| *status);
            self.record
                .add(&format!("operator: {path} at {address}: {status:?}"));
            status == Some(200)
        })
    }

    /// Sends a call of a requester to a gateway, and again where it had no clear answer.
    pub fn ask(&self, method: &str, path: &str, body: &str) -> Option<Response> {
        let mut last = None;
        for attempt in 0..5 {
            let address = self.callers[attempt % self.callers.len()];
            let headers = [("Host", HOST), ("X-Deadline-Milliseconds", "3000")];
            last = call(
                address,
                method,
                path,
                &headers,
                body,
                Duration::from_secs(3),
            );
            let status = last.as_ref().map(|(status, _)| *status);
            let said = last.as_ref().map_or("", |(_, body)| body.as_str());
            self.record.add(&format!(
                "requester: {method} {path} {body}: {status:?} {said}"
            ));
            if !matches!(status, None | Some(429 | 502 | 503 | 504)) {
                break;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        last
    }

    /// Submits a job; whether it was accepted.
    pub fn submit(&self, prefix: &str, id: &str, body: &str) -> bool {
        let answer = self.ask("POST", &format!("{prefix}{id}"), body);
        answer.is_some_and(|(status, _)| (200..300).contains(&status))
    }

    /// What a job is shown as.
    pub fn state(&self, prefix: &str, id: &str) -> String {
        match self.ask("GET", &format!("{prefix}{id}"), "") {
            Some((200, body)) => field(&body, "state").unwrap_or("unreadable").to_string(),
            Some((status, _)) => format!("status {status}"),
            None => "no answer".into(),
        }
    }

    /// The resident memory of the control processes, in MB.
    pub fn control_memory_mb(&self) -> Vec<u64> {
        let control = self
            .processes
            .iter()
            .filter(|(name, _)| name.starts_with("core"));
        let memory = control.map(|(_, child)| {
            let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
            let status = status.unwrap_or_default();
            let line = status.lines().find(|line| line.starts_with("VmRSS"));
            let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
            kb.unwrap_or(0) / 1_024
        });
        memory.collect()
    }
}

impl Drop for Fleet {
    /// Ends all that was started.
    fn drop(&mut self) {
        let lives = self
            .places
            .iter_mut()
            .filter_map(|place| place.life.as_mut());
        let children = lives.map(|(_, child)| child);
        for child in children.chain(self.processes.iter_mut().map(|(_, child)| child)) {
            let _ = child.kill();
            let _ = child.wait();
            forget(child);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The platform: it lists the machines, and has no other pool to which one could move.
fn list_machines(
    req: &Request,
    listed: &Mutex<Vec<(String, &'static str, String)>>,
    cpu: u64,
    mem: u64,
) -> Response {
    if !(req.method == "GET" && req.path.starts_with("/-/machines")) {
        return (400, "{}".into());
    }
    let listed = listed.lock().unwrap();
    let machines = listed.iter().map(|(machine, state, id)| {
        let id = if id.is_empty() { String::new() } else { format!(",\"id\":\"{id}\"") };
        format!(
            "{{\"machine\":\"{machine}\",\"pool\":\"{SERVICE}\",\"state\":\"{state}\",\"zone\":\"zone-1\",\"labels\":[\"a\"],\"capacity\":{{\"cpu\":{cpu},\"memMb\":{mem},\"gpu\":0}}{id}}}"
        )
    });
    let machines: Vec<String> = machines.collect();
    (
        200,
        format!(
            "{{\"machines\":[{}],\"nextPageToken\":\"\"}}",
            machines.join(",")
        ),
    )
}
