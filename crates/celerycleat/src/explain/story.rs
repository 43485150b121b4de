//! Lines in order, and the one that decided.

use serde_json::{Value, json};

use super::line::Line;
use crate::Report;

/// Events that explain a failure or a delay, the weightiest first.
const DECISIVE: [&str; 5] = ["lost", "start_failed", "stop", "job_over", "worker"];
/// Ends of tasks that are no success.
const BAD_END: &str = "ended";
/// What the logs of a whole job begin and end with.
const WHOLE: [&str; 2] = ["accepted", "job_over"];

/// What logs say of one name.
#[derive(Debug)]
pub(crate) struct Story {
    id: Box<str>,
    lines: Vec<Line>,
}

impl Story {
    /// The story of `id`, empty so far.
    pub(crate) fn of(id: &str) -> Story {
        Story {
            id: id.into(),
            lines: Vec::new(),
        }
    }

    /// Adds the lines of one log.
    pub(crate) fn read(&mut self, file: &str, log: &str) {
        let lines = log.lines();
        let found = lines.filter_map(|text| Line::read(file, text, &self.id));
        self.lines.extend(found);
    }

    /// The lines by time, and the decisive one.
    pub(crate) fn report(mut self) -> Report {
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
