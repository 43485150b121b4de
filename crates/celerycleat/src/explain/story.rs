//! Lines in order, and the one that decided.

use serde_json::{Value, json};

use super::line::Line;
use crate::Report;

/// Events that explain a failure or a delay, the weightiest first.
const DECISIVE: [&str; 8] = [
    "lost",
    "start_failed",
    "stop",
    CAP_REACHED,
    KEYS_REFUSED,
    "step_waits",
    "job_over",
    "worker",
];
/// A customer has all that it may have running. It holds back each of its jobs,
/// of which a line names one.
const CAP_REACHED: &str = "cap_reached";
/// Calls were refused for their key.
const KEYS_REFUSED: &str = "keys_refused";
/// What a job's story begins with.
const ACCEPTED: &str = "accepted";
/// What it ends with.
const JOB_OVER: &str = "job_over";
/// Ends of tasks that are no success.
const BAD_END: &str = "ended";
/// What the logs of a whole job begin and end with.
const WHOLE: [&str; 2] = [ACCEPTED, JOB_OVER];

/// What logs say of one name.
#[derive(Debug)]
pub(crate) struct Story {
    id: Box<str>,
    lines: Vec<Line>,
    /// What holds all jobs of a customer back.
    of_customers: Vec<Line>,
}

impl Story {
    /// The story of `id`, empty so far.
    pub(crate) fn of(id: &str) -> Story {
        Story {
            id: id.into(),
            lines: Vec::new(),
            of_customers: Vec::new(),
        }
    }

    /// Adds the lines of one log.
    pub(crate) fn read(&mut self, file: &str, log: &str) {
        for line in log.lines().filter_map(|text| Line::read(file, text)) {
            if line.is_of(&self.id) {
                self.lines.push(line);
            } else if *line.event == *CAP_REACHED {
                self.of_customers.push(line);
            }
        }
    }

    /// Adds what held the job's customer back while the job was not over.
    fn add_customer(&mut self) {
        let time_of = |event: &str| {
            let mut lines = self.lines.iter();
            lines.find(|line| *line.event == *event)
        };
        let Some(accepted) = time_of(ACCEPTED) else {
            return;
        };
        let from = accepted.time_ms;
        let to = time_of(JOB_OVER).map_or(u64::MAX, |line| line.time_ms);
        let customer = accepted.customer().map(Box::<str>::from);
        let held_back = std::mem::take(&mut self.of_customers).into_iter();
        let held_back = held_back.filter(|line| {
            let own = customer.is_some() && line.customer() == customer.as_deref();
            own && (from..=to).contains(&line.time_ms)
        });
        self.lines.extend(held_back);
    }

    /// The lines by time, and the decisive one.
    pub(crate) fn report(mut self) -> Report {
        self.add_customer();
        self.lines.sort_by_key(|line| line.time_ms);
        let Some(first) = self.lines.first() else {
            let text = format!("the logs say nothing of {}", self.id);
            return Report::new(json!({"lines": []}), text);
        };
        let origin = first.time_ms;
        let mut text = String::new();
        for line in &self.lines {
            let at = line.time_ms - origin;
            let (source, event) = (&line.source, &line.event);
            let fields = line.describe(&self.id);
            text.push_str(&format!("{at:>7} ms  {source}  {event}  {fields}\n"));
        }
        if let Some(line) = self.decisive() {
            let (event, at) = (&line.event, line.time_ms - origin);
            let fields = line.describe(&self.id);
            text.push_str(&format!("decisive: {event} at {at} ms: {fields}\n"));
        }
        for missing in self.missing() {
            text.push_str(&format!("missing: the logs have no {missing:?} line\n"));
        }
        Report::new(self.json(origin), text)
    }

    fn decisive(&self) -> Option<&Line> {
        let weight = |line: &Line| {
            let failed = |line: &Line| line.fields.get("kind") != Some(&Value::from("Done"));
            match &*line.event {
                BAD_END if failed(line) => Some(0),
                event => DECISIVE
                    .iter()
                    .position(|known| *known == event)
                    .map(|at| at + 1),
            }
        };
        let weighed = self
            .lines
            .iter()
            .filter_map(|line| Some((weight(line)?, line)));
        weighed
            .min_by_key(|(weight, _)| *weight)
            .map(|(_, line)| line)
    }

    /// What a whole job has and the logs lack.
    fn missing(&self) -> Vec<&'static str> {
        let has = |event: &str| self.lines.iter().any(|line| *line.event == *event);
        if !WHOLE.iter().any(|event| has(event)) {
            return Vec::new();
        }
        WHOLE.into_iter().filter(|event| !has(event)).collect()
    }

    fn json(&self, origin: u64) -> Value {
        let line = |line: &Line| {
            json!({
                "at_ms": line.time_ms - origin,
                "source": line.source,
                "event": line.event,
                "fields": line.fields,
            })
        };
        let lines: Vec<Value> = self.lines.iter().map(line).collect();
        json!({ "lines": lines, "missing": self.missing() })
    }
}
