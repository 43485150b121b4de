//! What was sent, answered and run, with milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One run of a subtask on a runner.
#[derive(Clone, Debug)]
pub struct Interval {
    pub task: String,
    pub run: u64,
    pub runner: String,
    pub from_ms: u64,
    /// `None` while it runs.
    pub to_ms: Option<u64>,
    pub how: String,
}

/// A record that all threads write.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
    runs: Arc<Mutex<Vec<Interval>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
            runs: Arc::default(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn run_began(&self, task: &str, run: u64, runner: &str) {
        self.note(&format!("runner {runner} begins {task} run {run}"));
        self.runs.lock().unwrap().push(Interval {
            task: task.into(),
            run,
            runner: runner.into(),
            from_ms: self.now_ms(),
            to_ms: None,
            how: String::new(),
        });
    }

    pub fn run_ended(&self, task: &str, run: u64, runner: &str, how: &str) {
        self.note(&format!("runner {runner} ends {task} run {run}: {how}"));
        let now = self.now_ms();
        let mut runs = self.runs.lock().unwrap();
        let known = runs.iter_mut().find(|known| {
            known.to_ms.is_none()
                && known.task == task
                && known.run == run
                && known.runner == runner
        });
        if let Some(known) = known {
            known.to_ms = Some(now);
            known.how = how.into();
        }
    }

    pub fn runs(&self) -> Vec<Interval> {
        self.runs.lock().unwrap().clone()
    }
}
