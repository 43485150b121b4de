//! The interfaces to the platform that this crate calls.

use std::future::Future;

use cleat_jobs::{
    MachineAnswer, MachineOrder, MachineView, OrderAnswer, RenewalAnswer, RenewalOrder, StepId,
    TaskOrder,
};

/// The clients through which a control instance calls the platform.
pub struct PlatformClients<W, M, A> {
    /// Calls workers.
    pub workers: W,
    /// Lists machines and sends orders for them.
    pub machines: M,
    /// Calls the adviser.
    pub adviser: A,
}

/// Why the renewal of a worker's lease failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RenewalError {
    /// Another life of a worker answered at the address.
    OtherLife,
    /// A later life with the same worker id answered.
    Restarted {
        /// The name of that life.
        life: Box<str>,
    },
    /// There was no answer, or it could not be decoded.
    NoAnswer,
}

/// Calls the platform's machine API.
pub trait MachineClient: Send + Sync + 'static {
    /// Lists all machines; `None` if the list could not be read completely.
    fn list(&self) -> impl Future<Output = Option<Vec<MachineView>>> + Send;

    /// Sends an order for a machine, fenced by the owner's token.
    fn send_order(
        &self,
        machine: &str,
        token: u64,
        order: &MachineOrder,
    ) -> impl Future<Output = MachineAnswer> + Send;
}

/// Calls the adviser, which decides which workers may run a step.
pub trait AdviceClient: Send + Sync + 'static {
    /// The workers among `workers` that are permitted to run the step, each with
    /// its ticket; `None` if there was no answer.
    fn advise(
        &self,
        step: StepId,
        workers: &[Box<str>],
    ) -> impl Future<Output = Option<Vec<(Box<str>, Box<str>)>>> + Send;
}

/// Calls workers.
pub trait WorkerClient: Send + Sync + 'static {
    /// Renews the lease of a worker, which answers with its running and ended
    /// runs.
    fn renew(
        &self,
        worker: &str,
        address: &str,
        order: RenewalOrder,
    ) -> impl Future<Output = Result<RenewalAnswer, RenewalError>> + Send;

    /// Sends an order about one run to a worker, fenced by the owner's token.
    fn send_order(
        &self,
        worker: &str,
        address: &str,
        token: u64,
        order: &TaskOrder,
    ) -> impl Future<Output = OrderAnswer> + Send;
}

/// A [`MachineClient`] for platforms without machine management.
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

/// An [`AdviceClient`] for platforms without an adviser: steps that need its
/// permission wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoAdviser;

impl AdviceClient for NoAdviser {
    async fn advise(&self, _: StepId, _: &[Box<str>]) -> Option<Vec<(Box<str>, Box<str>)>> {
        None
    }
}
