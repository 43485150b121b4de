//! Metrics of control instances and gateways.

use std::time::Duration;

use cleat_jobs::{Decision, EndKind};
use cleat_link::{ControlCall, ControlReply};
use cleat_telemetry::{Counter, Counters, Latencies};

/// The counters and latency histograms of one process.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Counters and gauges.
    pub counters: Counters,
    /// Latency histograms.
    pub latencies: Latencies,
}

impl Metrics {
    /// Counts a decision of the scheduler.
    pub(crate) fn count_decision(&self, decision: &Decision) {
        match decision {
            Decision::Accepted { .. } => self.count("jobs.taken"),
            Decision::Start { waited_ms, .. } => {
                self.count("tasks.started");
                let waited = Duration::from_millis(*waited_ms);
                self.latencies.latency("task.wait").record(waited);
            }
            // Each refusal is counted when its call is answered.
            Decision::Refused { .. } => {}
            Decision::StartFailed { answer, .. } => self.count_by("starts.failed", answer),
            Decision::Stop { reason, .. } => self.count_by("tasks.stopped", reason),
            Decision::Ended { kind, ran_ms, .. } => {
                self.count_by("runs.ended", kind);
                if *kind == EndKind::Done {
                    let ran = Duration::from_millis(*ran_ms);
                    self.latencies.latency("task.run").record(ran);
                }
            }
            Decision::Lost { reason, .. } => self.count_by("runs.lost", reason),
            Decision::RunMissing { .. } => self.count("runs.missing"),
            Decision::EndRenumbered { .. } => self.count("ends.renumbered"),
            Decision::Adopted { .. } => self.count("runs.adopted"),
            Decision::CopyStarted { .. } => self.count("speculation.started"),
            Decision::CopyEnded { won: true, .. } => self.count("speculation.won"),
            Decision::CopyEnded { won: false, .. } => self.count("speculation.wasted"),
            Decision::Resized { .. } => self.count("workers.resized"),
            Decision::JobOver { state, .. } => self.count_by("jobs.over", state),
            Decision::Machine { .. } => self.count("machines.ordered"),
            Decision::MachineAnswered { answer, .. } => self.count_by("machines.answered", answer),
            Decision::Advised { took_ms, .. } => {
                let took = Duration::from_millis(*took_ms);
                self.latencies.latency("advice").record(took);
            }
            Decision::CapReached { .. } => self.count("customers.at_cap"),
            Decision::PassLimited { .. } => self.count("passes.limited"),
            Decision::StepWaits { reason, .. } => self.count_by("steps.waiting", reason),
            Decision::Worker { state, over, .. } => {
                self.count_by("workers.became", state);
                if let Some(over) = over {
                    self.count_by("workers.over", over);
                }
            }
            Decision::WorkerLeaving { .. } => self.count("workers.leaving"),
            Decision::WorkerSpeed { slow_workers, .. } => {
                self.counters.gauge("workers.slow").set(*slow_workers);
            }
            Decision::LearnedCommitted { .. } => self.count("learned.committed"),
            Decision::LearnedRestored { .. } => self.count("learned.restored"),
            Decision::LearnedRejected { .. } => self.count("learned.rejected"),
            Decision::Pool {
                pool,
                waiting,
                isolated,
                waiting_isolated,
                ..
            } => {
                self.set_pool_gauge(pool, "waiting", *waiting);
                self.set_pool_gauge(pool, "isolated", *isolated as u64);
                self.set_pool_gauge(pool, "waiting_isolated", *waiting_isolated as u64);
            }
            Decision::Plan {
                paid, held_back, ..
            } => {
                self.counter("moves.paid").add(*paid);
                for (reason, count) in held_back {
                    let name = format!("moves.held_back.{}", reason.name());
                    self.counter(&name).add(*count);
                }
            }
            Decision::MachineJoined { took_ms, .. } => {
                let took = Duration::from_millis(*took_ms);
                self.latencies.latency("machine.join").record(took);
            }
        }
    }

    /// Records the latency of a call, and counts it if it failed.
    pub(crate) fn record_call<E: std::fmt::Debug>(
        &self,
        kind: &'static str,
        took: Duration,
        answer: &Result<ControlReply, E>,
    ) {
        self.latencies.latency(&format!("call.{kind}")).record(took);
        if let Err(error) = answer {
            self.count_by(&format!("call.{kind}.failed"), error);
        }
    }

    fn set_pool_gauge(&self, pool: &str, name: &str, value: u64) {
        let gauge = self.counters.gauge(&format!("pool.{pool}.{name}"));
        gauge.set(value);
    }

    /// Increments the counter with this name.
    pub(crate) fn count(&self, name: &str) {
        self.counter(name).incr();
    }

    fn count_by(&self, name: &str, kind: &impl std::fmt::Debug) {
        let kind = format!("{kind:?}").to_lowercase();
        // Only the variant's name, without its fields.
        let end = kind.find(|c: char| !c.is_ascii_alphanumeric());
        let kind = &kind[..end.unwrap_or(kind.len())];
        self.count(&format!("{name}.{kind}"));
    }

    fn counter(&self, name: &str) -> Counter {
        self.counters.counter(name)
    }
}

/// The kind of a call as it appears in the names of metrics and in the log.
pub(crate) fn call_kind(call: &ControlCall) -> &'static str {
    match call {
        ControlCall::Leader => "leader",
        ControlCall::Submit { .. } | ControlCall::SubmitTo { .. } => "submit",
        ControlCall::Look { .. } | ControlCall::LookAt { .. } => "look",
        ControlCall::Cancel { .. } | ControlCall::CancelJob { .. } => "cancel",
        ControlCall::Overview => "overview",
        ControlCall::Heartbeat(_) => "beat",
        ControlCall::Left { .. } => "left",
        ControlCall::Configure(_) => "configure",
        ControlCall::Configuration => "configuration",
        ControlCall::StartWave { .. } => "start_wave",
        ControlCall::Wave { .. } => "wave",
    }
}
