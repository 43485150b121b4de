//! Traces: one JSON object per line, each an event with its time.

use std::path::{Path, PathBuf};
use std::{fs, io};

use cleat_world::{FleetConfig, Service};
use serde::Deserialize;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, Snafu};

/// Why a trace could not be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum TraceError {
    /// A file is missing or unreadable.
    #[snafu(display("reading {}: {source}", path.display()))]
    Read { path: PathBuf, source: io::Error },
    /// A line of a trace or an outcome file is invalid.
    #[snafu(display("{} line {line}: {source}", path.display()))]
    Parse {
        path: PathBuf,
        line: usize,
        source: serde_json::Error,
    },
    /// The settings of the service are invalid.
    #[snafu(display("{}: the service settings are invalid: {faults}", path.display()))]
    InvalidService { path: PathBuf, faults: Box<str> },
    /// The first event is not `setup`.
    #[snafu(display("{}: the first event is not 'setup'", path.display()))]
    NoSetup { path: PathBuf },
}

/// One line of a trace.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Line {
    pub(crate) at_ms: u64,
    #[serde(flatten)]
    pub(crate) event: Event,
}

/// An event of a trace.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum Event {
    /// First line: the settings of the service and how many entries share the
    /// targets.
    Setup {
        entries: usize,
        seed: u64,
        service: Value,
    },
    /// A target announces itself or changes its behaviour.
    Target {
        name: Box<str>,
        slots: u32,
        service_ms: f64,
        mode: Mode,
    },
    /// A target is withdrawn: it gets no new requests.
    Remove { name: Box<str> },
    /// Requests of a caller at random times (a Poisson process).
    Load(Load),
}

/// The requests of one caller.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Load {
    pub(crate) caller: Box<str>,
    pub(crate) per_second: f64,
    pub(crate) for_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) idempotent: bool,
    /// The factor by which the service time of these requests is longer than usual.
    #[serde(default = "one")]
    pub(crate) work: f64,
}

fn one() -> f64 {
    1.0
}

/// How a target behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Mode {
    /// Responds after its service time.
    Up,
    /// Killed: the connections of requests in progress are lost, new ones are
    /// refused.
    Killed,
    /// Responds with status 503 at once.
    Failing,
    /// Closes the connection halfway through the service time.
    Cutting,
    /// Accepts requests and never responds.
    Hanging,
}

/// A trace in memory.
pub(crate) struct Trace {
    pub(crate) entries: usize,
    pub(crate) seed: u64,
    pub(crate) service: Service,
    pub(crate) lines: Vec<Line>,
}

/// The paths of all traces in the crate's `traces` folder, sorted.
pub(crate) fn all_paths() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let files = fs::read_dir(folder).into_iter().flatten().flatten();
    let mut paths: Vec<PathBuf> = files.map(|file| file.path()).collect();
    paths.retain(|path| path.extension().is_some_and(|ext| ext == "jsonl"));
    paths.sort();
    paths
}

impl Trace {
    pub(crate) fn read(path: &Path) -> Result<Trace, TraceError> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        let mut lines = Vec::new();
        for (index, line_text) in text.lines().enumerate() {
            let line = index + 1;
            let parsed: Line =
                serde_json::from_str(line_text).context(ParseSnafu { path, line })?;
            lines.push(parsed);
        }
        let first = lines.first().map(|line| line.event.clone());
        let Some(Event::Setup {
            entries,
            seed,
            service,
        }) = first
        else {
            return NoSetupSnafu { path }.fail();
        };
        let service = read_service(&service, path)?;
        lines.remove(0);
        Ok(Trace {
            entries,
            seed,
            service,
            lines,
        })
    }
}

/// Parses the settings of the service like those of a configuration.
fn read_service(service: &Value, path: &Path) -> Result<Service, TraceError> {
    let mut service = service.clone();
    service["pool"] = json!("runners");
    let fleet = json!({
        "data_centres": {"dc1": {}},
        "pools": {"runners": {"instances": {"r1": {"data_centre": "dc1", "rack": "k1"}}}},
        "services": {"dock": service},
    });
    let fleet = FleetConfig::parse(&fleet).map_err(|faults| TraceError::InvalidService {
        path: path.into(),
        faults: format!("{faults:?}").into(),
    })?;
    fleet
        .services
        .by_name("dock")
        .cloned()
        .context(NoSetupSnafu { path })
}
