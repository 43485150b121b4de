//! What this crate needs of the platform.

use std::future::Future;

use cleat_jobs::{
    MachineAnswer, MachineOrder, MachineView, OrderAnswer, RenewalAnswer, RenewalOrder, StepId,
    TaskOrder,
};

/// All that a control instance calls.
pub struct PlatformClients<W, M, A> {
    /// Workers.
    pub workers: W,
    /// Machines.
    pub machines: M,
    /// The adviser.
    pub adviser: A,
}

/// Why a renewal has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalError {
    /// Another life of a worker answers at the address.
    OtherLife,
    /// There was no answer, or none that can be read.
    NoAnswer,
}

/// Speaks to the platform about machines.
pub trait MachineClient: Send + Sync + 'static {
    /// All machines; none if there was no whole answer.
    fn list(&self) -> impl Future<Output = Option<Vec<MachineView>>> + Send;

    /// Orders something for a machine.
    fn send_order(
        &self,
        machine: &str,
        token: u64,
        order: &MachineOrder,
    ) -> impl Future<Output = MachineAnswer> + Send;
}

/// Speaks to the adviser, which knows the workers that may run a step.
pub trait AdviceClient: Send + Sync + 'static {
    /// The workers among `workers` that may run the step, each with a ticket;
    /// none if there was no answer.
    fn advise(
        &self,
        step: StepId,
        workers: &[Box<str>],
    ) -> impl Future<Output = Option<Vec<(Box<str>, Box<str>)>>> + Send;
}

/// Speaks to workers.
pub trait WorkerClient: Send + Sync + 'static {
    /// Asks a worker to go on and what it runs.
    fn renew(
        &self,
        worker: &str,
        address: &str,
        order: RenewalOrder,
    ) -> impl Future<Output = Result<RenewalAnswer, RenewalError>> + Send;

    /// Tells a worker something about a run.
    fn send_order(
        &self,
        worker: &str,
        address: &str,
        token: u64,
        order: &TaskOrder,
    ) -> impl Future<Output = OrderAnswer> + Send;
}

/// A platform without machines to move or maintain.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoMachines;

impl MachineClient for NoMachines {
    async fn list(&self) -> Option<Vec<MachineView>> {
        None
    }

    async fn send_order(&self, _: &str, _: u64, _: &MachineOrder) -> MachineAnswer {
        MachineAnswer::Refused
    }
}

/// A platform without an adviser: steps that need its permission wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoAdviser;

impl AdviceClient for NoAdviser {
    async fn advise(&self, _: StepId, _: &[Box<str>]) -> Option<Vec<(Box<str>, Box<str>)>> {
        None
    }
}
