//! Running one instance until it is told to stop.

use std::path::Path;
use std::process::ExitCode;

use cleat_node::Instance;
use cleat_settings::{AnySettings, Settings};
use cleat_telemetry::Telemetry;
use serde_json::json;
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};

use crate::error::{DaemonError, NothingToRunSnafu, ProcessSnafu, SettingsSnafu};
use crate::error::{StartSnafu, TelemetrySnafu};
use crate::{Args, check, dev, roles};

/// Does what the command line says and gives the exit code.
pub fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(args) => args,
        Err(code) => return code,
    };
    match dispatch(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report(&error);
            error.exit_code()
        }
    }
}

/// Reads the command line; help and errors are printed here.
fn parse_args() -> Result<Args, ExitCode> {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let (command, rest) = words.split_first().unwrap_or((&"celerycleatd", &[]));
    <Args as argh::FromArgs>::from_args(&[command], rest).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            ExitCode::from(crate::EXIT_INVALID)
        }
    })
}

fn dispatch(args: &Args) -> Result<(), DaemonError> {
    match &args.settings {
        Some(path) if args.check => check::check(path),
        Some(path) => run(path),
        None if args.dev => dev::run(),
        None => NothingToRunSnafu.fail(),
    }
}

fn run(path: &Path) -> Result<(), DaemonError> {
    match AnySettings::read(path).context(SettingsSnafu)? {
        AnySettings::Instance(settings) => block_on(async {
            let running = start(&settings).await?;
            print_ready(&settings, &running.instance);
            running.until_signal().await
        }),
        AnySettings::Control(settings) => {
            block_on_cores(settings.cores, roles::run_control(settings, path))
        }
        AnySettings::Gateway(settings) => {
            block_on_cores(settings.cores, roles::run_gateway(settings, path))
        }
    }
}

/// Runs `future` on one thread where there is one core: others would only
/// wait for it, and each hand-over between threads costs a wake-up.
fn block_on_cores<F>(cores: usize, future: F) -> Result<(), DaemonError>
where
    F: Future<Output = Result<(), DaemonError>>,
{
    if cores > 1 {
        return block_on(future);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(ProcessSnafu)?;
    runtime.block_on(future)
}

/// Runs `future` on several threads.
pub(crate) fn block_on<F>(future: F) -> Result<(), DaemonError>
where
    F: Future<Output = Result<(), DaemonError>>,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context(ProcessSnafu)?;
    runtime.block_on(future)
}

/// A started instance with its telemetry.
pub(crate) struct Running {
    pub(crate) instance: Instance,
    telemetry: Telemetry,
}

pub(crate) async fn start(settings: &Settings) -> Result<Running, DaemonError> {
    let telemetry = Telemetry::start(settings).context(TelemetrySnafu)?;
    let instance = Instance::start(settings, telemetry.counters().clone()).await;
    let instance = instance.context(StartSnafu)?;
    Ok(Running {
        instance,
        telemetry,
    })
}

impl Running {
    /// Waits for SIGTERM or SIGINT and stops gracefully.
    pub(crate) async fn until_signal(self) -> Result<(), DaemonError> {
        let mut terminate = signal(SignalKind::terminate()).context(ProcessSnafu)?;
        let mut interrupt = signal(SignalKind::interrupt()).context(ProcessSnafu)?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        self.instance.stop().await;
        self.telemetry.shutdown().await;
        Ok(())
    }
}

/// Tells whoever started the process where the instance listens.
pub(crate) fn print_ready(settings: &Settings, instance: &Instance) {
    let addresses = instance.addresses();
    let line = json!({
        "ready": true,
        "name": settings.name,
        "callers": addresses.callers,
        "targets": addresses.targets,
        "operators": addresses.operators,
        "peers": addresses.peers,
    });
    println!("{line}");
}

/// Prints the error with everything that led to it.
fn report(error: &DaemonError) {
    eprintln!("celerycleatd: {error}");
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        eprintln!("  because: {cause}");
        source = cause.source();
    }
}
