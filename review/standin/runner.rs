//! A runner, as PROTOCOL.md describes it, in a process of its own.
//!
//! The specification of a job says what its subtasks do: words `ms=N` (how long one
//! works), `gang=N` (the number of members). A runner that is told `grey N` fails each
//! run N ms after its start, with its status check good, until it is told `sound`.

use std::collections::HashMap;
use std::io::BufRead;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, call, field, number, serve};

/// One run in progress.
struct Run {
    run: u64,
    started: Instant,
    /// When it ends by itself, and how; `None` while a gang waits for its members.
    ends: Option<(Instant, &'static str)>,
    /// Whether it belongs to a gang that does not work yet.
    waits: bool,
}

#[derive(Default)]
struct State {
    token: u64,
    deadline_ms: u64,
    runs: HashMap<String, Run>,
    closed: HashMap<String, u64>,
    /// Number, task, run, how.
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    /// How long after its start each run fails, while the runner fails all.
    grey_ms: Option<u64>,
}

struct Runner {
    id: String,
    gang_timeout: Duration,
    origin: Instant,
    state: Mutex<State>,
}

fn say(text: &str) {
    println!("{text}");
}

pub fn run(args: &[&str]) -> i32 {
    let get = |name: &str| {
        let at = args.iter().position(|word| *word == name)?;
        args.get(at + 1).copied()
    };
    let need = |name: &str| get(name).unwrap_or_default().to_string();
    let listener = TcpListener::bind(need("--listen")).expect("listen");
    let runner = Arc::new(Runner {
        id: need("--id"),
        gang_timeout: Duration::from_millis(3_000),
        origin: Instant::now(),
        state: Mutex::default(),
    });
    let own = runner.clone();
    serve(listener, Arc::new(move |req| own.answer(&req)));
    let own = runner.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(Duration::from_millis(5));
            own.advance();
        }
    });
    let own = runner.clone();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            own.told(&line);
        }
        // The driver is gone.
        std::process::exit(0);
    });
    let control: Vec<SocketAddr> = need("--control")
        .split(',')
        .filter_map(|text| text.parse().ok())
        .collect();
    let body = |sequence: u64| {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpu\":0}},\"labels\":[\"a\",\"{}\"],\"machine\":\"{}\",\"clockMs\":{},\"sequence\":{sequence}}}",
            need("--service"),
            need("--listen"),
            need("--zone"),
            need("--cpu"),
            need("--mem"),
            need("--rack"),
            need("--machine"),
            runner.clock_ms()
        )
    };
    let path = format!("/-/Instances.Heartbeat/{}", runner.id);
    let mut at = runner.id.bytes().map(usize::from).sum::<usize>() % control.len();
    for sequence in 1.. {
        let text = body(sequence);
        for _ in 0..control.len() {
            let told = call(
                control[at],
                "POST",
                &path,
                &[],
                &text,
                Duration::from_secs(1),
            );
            if told.is_some_and(|(status, _)| (200..300).contains(&status)) {
                break;
            }
            at = (at + 1) % control.len();
        }
        std::thread::sleep(Duration::from_millis(1_500));
    }
    0
}

impl Runner {
    fn clock_ms(&self) -> u64 {
        10_000 + self.origin.elapsed().as_millis() as u64
    }

    /// Ends what is due, and all once the lease has expired.
    fn advance(&self) {
        let mut state = self.state.lock().unwrap();
        self.advance_state(&mut state);
    }

    fn advance_state(&self, state: &mut State) {
        let now = Instant::now();
        let lapsed = self.clock_ms() > state.deadline_ms;
        let due = |run: &Run| match run.ends {
            Some((at, how)) if at <= now => Some(how),
            _ if lapsed => Some("lapsed"),
            _ if run.waits && now >= run.started + self.gang_timeout => Some("alone"),
            _ => None,
        };
        let due: Vec<(String, &'static str)> = state
            .runs
            .iter()
            .filter_map(|(task, run)| Some((task.clone(), due(run)?)))
            .collect();
        for (task, how) in due {
            self.end(state, &task, how);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.ends += 1;
        state
            .ended
            .push((state.ends, task.to_string(), run.run, how));
        let closed = state.closed.entry(task.to_string()).or_default();
        *closed = (*closed).max(run.run);
        say(&format!("end {task} {} {how}", run.run));
    }

    /// What the driver says: of the members of a gang `works TASK RUN MS` or
    /// `broken TASK RUN`; of the runner `grey MS` or `sound`.
    fn told(&self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let mut state = self.state.lock().unwrap();
        let known = |state: &State, task: &str, run: &str| {
            let known = state.runs.get(task);
            known.is_some_and(|known| run.parse() == Ok(known.run))
        };
        match words.as_slice() {
            ["works", task, run, ms] if known(&state, task, run) => {
                let ms = ms.parse().unwrap_or(0);
                let Some(run) = state.runs.get_mut(*task) else {
                    return;
                };
                run.waits = false;
                // A run that is going to fail does so.
                let done = (Instant::now() + Duration::from_millis(ms), "done");
                run.ends = run.ends.or(Some(done));
            }
            ["broken", task, run] if known(&state, task, run) => {
                self.end(&mut state, task, "broken");
            }
            ["grey", ms] => state.grey_ms = ms.parse().ok(),
            ["sound"] => state.grey_ms = None,
            _ => {}
        }
    }

    fn answer(&self, req: &Request) -> Response {
        if req
            .header("x-expected-instance")
            .is_some_and(|id| id != self.id)
        {
            return (421, "{}".into());
        }
        let refused = |reason: &str| {
            let clock = self.clock_ms();
            (
                409,
                format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"),
            )
        };
        match req.path.as_str() {
            "/-/run-start" => self.start(&req.body).unwrap_or_else(refused),
            "/-/run-stop" => self.stop(&req.body).unwrap_or_else(refused),
            "/-/hold" => self.hold(&req.body).unwrap_or_else(refused),
            "/-/pace" => (200, format!("{{\"clockMs\":{}}}", self.clock_ms())),
            "/health" => (200, "{}".into()),
            _ => (404, "{}".into()),
        }
    }

    fn take_token(&self, state: &mut State, body: &str) -> Result<(), &'static str> {
        let token = number(body, "fencingToken").unwrap_or(0);
        if token < state.token {
            return Err("fence");
        }
        state.token = token;
        Ok(())
    }

    fn start(&self, body: &str) -> Result<Response, &'static str> {
        let mut state = self.state.lock().unwrap();
        self.advance_state(&mut state);
        self.take_token(&mut state, body)?;
        let task = field(body, "task").unwrap_or_default().to_string();
        let run = number(body, "runId").unwrap_or(0);
        let deadline = number(body, "deadlineMs").unwrap_or(0);
        let spec = field(body, "specification").unwrap_or_default();
        if self.clock_ms() > deadline {
            return Err("late");
        }
        state.deadline_ms = state.deadline_ms.max(deadline);
        let done = (200, format!("{{\"clockMs\":{}}}", self.clock_ms()));
        if let Some(known) = state.runs.get(&task) {
            return if known.run == run {
                Ok(done)
            } else {
                Err("old")
            };
        }
        if state.closed.get(&task).is_some_and(|closed| run <= *closed) {
            return Err("old");
        }
        let word = |name: &str| {
            let mut words = spec.split_whitespace();
            let value = words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))?;
            value.parse::<u64>().ok()
        };
        let now = Instant::now();
        let in_gang = word("gang").is_some();
        let ends = match (state.grey_ms, in_gang) {
            (Some(ms), _) => Some((now + Duration::from_millis(ms), "failed")),
            (None, true) => None,
            (None, false) => {
                let ms = word("ms").unwrap_or(100);
                Some((now + Duration::from_millis(ms), "done"))
            }
        };
        let waits = in_gang;
        state.runs.insert(
            task.clone(),
            Run {
                run,
                started: now,
                ends,
                waits,
            },
        );
        say(&format!("start {task} {run} {spec}"));
        Ok(done)
    }

    fn stop(&self, body: &str) -> Result<Response, &'static str> {
        let mut state = self.state.lock().unwrap();
        self.advance_state(&mut state);
        self.take_token(&mut state, body)?;
        let task = field(body, "task").unwrap_or_default().to_string();
        let run = number(body, "runId").unwrap_or(0);
        if state.runs.get(&task).is_some_and(|known| known.run == run) {
            self.end(&mut state, &task, "stopped");
        }
        let closed = state.closed.entry(task).or_default();
        *closed = (*closed).max(run);
        Ok((200, format!("{{\"clockMs\":{}}}", self.clock_ms())))
    }

    fn hold(&self, body: &str) -> Result<Response, &'static str> {
        let wait = number(body, "waitMs").unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        {
            let mut state = self.state.lock().unwrap();
            self.advance_state(&mut state);
            self.take_token(&mut state, body)?;
            let acked = number(body, "ackedUpto").unwrap_or(0);
            state.ended.retain(|(number, ..)| *number > acked);
            if let Some(deadline) = number(body, "deadlineMs") {
                let longest = self.clock_ms() + 10_000;
                state.deadline_ms = state.deadline_ms.max(deadline.min(longest));
            }
        }
        loop {
            let mut state = self.state.lock().unwrap();
            self.advance_state(&mut state);
            if !state.ended.is_empty() || Instant::now() >= until {
                let running = state.runs.iter().map(|(task, run)| {
                    let percent = if run.waits { 0 } else { 100 };
                    format!("[\"{task}\",{},\"\",{percent},0]", run.run)
                });
                let running: Vec<String> = running.collect();
                let ended = state.ended.iter().take(500);
                let ended: Vec<String> = ended
                    .map(|(number, task, run, how)| {
                        format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")
                    })
                    .collect();
                let text = format!(
                    "{{\"clockMs\":{},\"running\":[{}],\"ended\":[{}]}}",
                    self.clock_ms(),
                    running.join(","),
                    ended.join(",")
                );
                return Ok((200, text));
            }
            drop(state);
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
