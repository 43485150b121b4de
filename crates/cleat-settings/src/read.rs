//! From text to settings.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use cleat_json::{FaultKind, Faults, Node, Object};
use log::LevelFilter;
use serde_json::Value;
use snafu::{IntoError, ResultExt};

use crate::error::{InvalidSnafu, SyntaxSnafu, UnreadableSnafu};
use crate::{
    Listen, LogFormat, LogSettings, MetricsSettings, Peer, Settings, SettingsError, TraceSettings,
    check, defaults, inbound,
};

const KEYS: [&str; 10] = [
    "name",
    "data_centre",
    "listen",
    "peers",
    "data_folder",
    "log",
    "trace",
    "metrics",
    "memory_mb",
    "inbound",
];
const LISTEN_KEYS: [&str; 4] = ["callers", "targets", "operators", "peers"];
const PEER_KEYS: [&str; 4] = ["name", "data_centre", "address", "votes"];
const LOG_KEYS: [&str; 3] = ["level", "format", "file"];
const LEVELS: &str = "off, error, warn, info, debug or trace";
const FORMATS: &str = "json or plain";
const ADDRESS: &str = "IP:PORT";

pub(crate) fn file(path: &Path) -> Result<Settings, SettingsError> {
    let found = fs::read_to_string(path).context(UnreadableSnafu { file: path })?;
    text(&found, path)
}

pub(crate) fn text(text: &str, file: &Path) -> Result<Settings, SettingsError> {
    let document: Value = serde_json::from_str(text).map_err(|error| {
        let (line, column) = (error.line(), error.column());
        SyntaxSnafu { file, line, column }.into_error(error)
    })?;
    let mut faults = Faults::default();
    let settings = document_to_settings(&document, &mut faults);
    let checked = faults.into_result(settings);
    checked.or_else(|faults| InvalidSnafu { file, faults }.fail())
}

/// Values at fault are replaced by defaults, so that the walk goes on.
fn document_to_settings(document: &Value, faults: &mut Faults) -> Settings {
    let mut settings = defaults::settings();
    let Some(root) = Node::root(document).object(faults) else {
        return settings;
    };
    root.only(&KEYS, faults);
    let name = root.text("name", faults);
    let data_centre = root.text("data_centre", faults);
    if let Some(node) = root.require("listen", faults) {
        settings.listen = listen(&node, faults);
    }
    let peers = peers(&root, faults);
    let data_folder = optional_text(&root, "data_folder", faults);
    settings.data_folder = data_folder.map(|text| text.as_ref().into());
    settings.log = log(&root, faults);
    settings.trace = trace(&root, faults);
    settings.metrics = metrics(&root, faults);
    settings.memory_mb = inbound::read_memory_mb(&root, faults);
    settings.inbound = inbound::read(&root, faults);
    let own = check::Own {
        name: name.as_deref(),
        data_centre: data_centre.as_deref(),
        has_folder: root.get("data_folder").is_some(),
    };
    check::peers(&own, &peers, faults);
    settings.peers = peers.into_iter().filter_map(PeerDraft::finish).collect();
    settings.name = name.unwrap_or(settings.name);
    settings.data_centre = data_centre.unwrap_or(settings.data_centre);
    settings
}

fn listen(node: &Node<'_>, faults: &mut Faults) -> Listen {
    let Some(object) = node.object(faults) else {
        return defaults::listen();
    };
    object.only(&LISTEN_KEYS, faults);
    let found = LISTEN_KEYS.map(|key| {
        let node = object.require(key, faults)?;
        let address = address(&node, faults)?;
        Some((node.path, address))
    });
    check::listen(&found, faults);
    let [callers, targets, operators, peers] =
        found.map(|found| found.map_or(defaults::ANY_PORT, |(_, address)| address));
    Listen {
        callers,
        targets,
        operators,
        peers,
    }
}

/// A peer with its place; values at fault are absent.
#[derive(Debug)]
pub(crate) struct PeerDraft<'a> {
    pub(crate) object: Object<'a>,
    pub(crate) name: Option<Box<str>>,
    pub(crate) data_centre: Option<Box<str>>,
    pub(crate) address: Option<SocketAddr>,
    pub(crate) votes: bool,
}

impl PeerDraft<'_> {
    fn finish(self) -> Option<Peer> {
        Some(Peer {
            name: self.name?,
            data_centre: self.data_centre?,
            address: self.address?,
            votes: self.votes,
        })
    }
}

fn peers<'a>(root: &Object<'a>, faults: &mut Faults) -> Vec<PeerDraft<'a>> {
    let list = root.get("peers").map(|node| node.array(faults));
    let mut found = Vec::new();
    for node in list.unwrap_or_default() {
        let Some(object) = node.object(faults) else {
            continue;
        };
        object.only(&PEER_KEYS, faults);
        let name = object.text("name", faults);
        let data_centre = object.text("data_centre", faults);
        let address = object.require("address", faults);
        let address = address.and_then(|node| self::address(&node, faults));
        let votes = object.boolean_or("votes", false, faults);
        found.push(PeerDraft {
            object,
            name,
            data_centre,
            address,
            votes,
        });
    }
    found
}

fn log(root: &Object<'_>, faults: &mut Faults) -> LogSettings {
    let mut log = defaults::log();
    let Some(object) = section(root, "log", &LOG_KEYS, faults) else {
        return log;
    };
    if let Some(level) = choice(&object, "level", LEVELS, level, faults) {
        log.level = level;
    }
    if let Some(format) = choice(&object, "format", FORMATS, format, faults) {
        log.format = format;
    }
    log.file = optional_text(&object, "file", faults).map(|text| text.as_ref().into());
    log
}

fn level(text: &str) -> Option<LevelFilter> {
    let level = text.parse().ok()?;
    // The library also takes other cases.
    text.bytes()
        .all(|b| b.is_ascii_lowercase())
        .then_some(level)
}

fn format(text: &str) -> Option<LogFormat> {
    match text {
        "json" => Some(LogFormat::Json),
        "plain" => Some(LogFormat::Plain),
        _ => None,
    }
}

fn trace(root: &Object<'_>, faults: &mut Faults) -> TraceSettings {
    let default = defaults::trace();
    let Some(object) = section(root, "trace", &["ratio_percent"], faults) else {
        return default;
    };
    let ratio = u64::from(default.ratio_percent);
    let ratio = object.number_or("ratio_percent", ratio, 0..=100, faults);
    let ratio_percent = u8::try_from(ratio).unwrap_or(default.ratio_percent);
    TraceSettings { ratio_percent }
}

fn metrics(root: &Object<'_>, faults: &mut Faults) -> MetricsSettings {
    let Some(object) = section(root, "metrics", &["statsd"], faults) else {
        return defaults::metrics();
    };
    let node = object.get("statsd");
    let statsd = node.and_then(|node| address(&node, faults));
    MetricsSettings { statsd }
}

/// The optional member object `key`, with no other keys than `keys`.
fn section<'a>(
    root: &Object<'a>,
    key: &str,
    keys: &[&str],
    faults: &mut Faults,
) -> Option<Object<'a>> {
    let object = root.get(key)?.object(faults)?;
    object.only(keys, faults);
    Some(object)
}

fn optional_text(object: &Object<'_>, key: &str, faults: &mut Faults) -> Option<Box<str>> {
    object.get(key)?.text(faults)
}

fn choice<T>(
    object: &Object<'_>,
    key: &str,
    expected: &str,
    read: impl FnOnce(&str) -> Option<T>,
    faults: &mut Faults,
) -> Option<T> {
    let node = object.get(key)?;
    let text = node.text(faults)?;
    let found = read(&text);
    if found.is_none() {
        bad_text(&node, expected, &text, faults);
    }
    found
}

fn address(node: &Node<'_>, faults: &mut Faults) -> Option<SocketAddr> {
    let text = node.text(faults)?;
    let found = text.parse().ok();
    if found.is_none() {
        bad_text(node, ADDRESS, &text, faults);
    }
    found
}

fn bad_text(node: &Node<'_>, expected: &str, found: &str, faults: &mut Faults) {
    let kind = FaultKind::BadText {
        expected: expected.into(),
        found: found.into(),
    };
    faults.add(&node.path, kind);
}
