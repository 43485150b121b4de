//! The log: where lines go and how they look.

use cleat_settings::{LogFormat, LogSettings};
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use snafu::ResultExt;

use crate::TelemetryError;
use crate::error::{AlreadyStartedSnafu, LogConfigSnafu, LogFileSnafu};

/// The log target of finished spans.
pub(crate) const SPAN_TARGET: &str = "span";
const LINES: &str = "lines";
const PLAIN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f%:z)} {l} {t} - {m}{n}";

/// Installs the process's logger.
pub(crate) fn install(settings: &LogSettings) -> Result<(), TelemetryError> {
    let config = config(settings)?;
    let installed = log4rs::init_config(config);
    installed.map(drop).or_else(|_| AlreadyStartedSnafu.fail())
}

fn config(settings: &LogSettings) -> Result<Config, TelemetryError> {
    let lines = Appender::builder().build(LINES, appender(settings)?);
    let root = Root::builder().appender(LINES).build(settings.level);
    let config = Config::builder().appender(lines).build(root);
    config.context(LogConfigSnafu)
}

/// Never standard output, which carries the ready line.
fn appender(settings: &LogSettings) -> Result<Box<dyn Append>, TelemetryError> {
    let encoder: Box<dyn Encode> = match settings.format {
        LogFormat::Json => Box::new(JsonEncoder::new()),
        LogFormat::Plain => Box::new(PatternEncoder::new(PLAIN)),
    };
    let Some(path) = &settings.file else {
        let stderr = ConsoleAppender::builder().target(Target::Stderr);
        return Ok(Box::new(stderr.encoder(encoder).build()));
    };
    let file = FileAppender::builder().encoder(encoder).build(path);
    Ok(Box::new(file.context(LogFileSnafu { path })?))
}
