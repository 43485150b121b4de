//! Reading settings, and the text of every fault.

use std::fs;
use std::path::PathBuf;

use cleat_settings::{LogFormat, Settings, SettingsError, default_text};
use insta::assert_snapshot;
use log::LevelFilter;

/// The interface's own example.
const EXAMPLE: &str = r#"{
  "name": "e1", "data_centre": "dc1",
  "listen": {"callers": "127.0.0.1:0", "targets": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
  "peers": [{"name": "e1", "data_centre": "dc1", "address": "127.0.0.1:7001", "votes": true}],
  "data_folder": "data/e1",
  "log": {"level": "info", "format": "json", "file": null}
}"#;

/// A file with these listeners and the rest of the members.
fn document(listen: [&str; 4], rest: &str) -> String {
    let [callers, targets, operators, peers] = listen;
    format!(
        r#"{{"listen": {{"callers": "{callers}", "targets": "{targets}", "operators": "{operators}", "peers": "{peers}"}}, {rest}}}"#
    )
}

fn fault_text(text: &str) -> String {
    match Settings::parse(text) {
        Ok(_) => "no fault".into(),
        Err(error) => error.to_string(),
    }
}

const ANY: [&str; 4] = ["127.0.0.1:0"; 4];

#[test]
fn parse_example() {
    let settings = Settings::parse(EXAMPLE).unwrap();
    assert_eq!(&*settings.name, "e1");
    assert_eq!(settings.data_folder, Some(PathBuf::from("data/e1")));
    let own = settings.own_peer().unwrap();
    assert!(own.votes);
    assert_eq!(own.address.port(), 7001);
}

#[test]
fn parse_defaults() {
    assert_eq!(Settings::parse(default_text()).unwrap(), Settings::dev());
    assert_eq!(Settings::dev().own_peer(), None);
    // Only these keys have no default.
    let least = document(ANY, r#""name": "dev", "data_centre": "dc1""#);
    assert_eq!(Settings::parse(&least).unwrap(), Settings::dev());
}

#[test]
fn parse_every_option() {
    let rest = r#""name": "e2", "data_centre": "dc2", "peers": [
        {"name": "e2", "data_centre": "dc2", "address": "127.0.0.1:0"},
        {"name": "e1", "data_centre": "dc1", "address": "[::1]:7001", "votes": true}],
        "log": {"level": "debug", "format": "plain", "file": "e2.log"},
        "trace": {"ratio_percent": 100}, "metrics": {"statsd": "127.0.0.1:8125"}"#;
    let ports = ["127.0.0.1:7", "127.0.0.2:7", "127.0.0.1:8", "127.0.0.1:9"];
    let settings = Settings::parse(&document(ports, rest)).unwrap();
    assert_eq!(settings.listen.targets.port(), 7);
    assert_eq!(settings.log.level, LevelFilter::Debug);
    assert_eq!(settings.log.format, LogFormat::Plain);
    assert_eq!(settings.log.file, Some(PathBuf::from("e2.log")));
    assert_eq!(settings.trace.ratio_percent, 100);
    assert_eq!(settings.metrics.statsd.map(|a| a.port()), Some(8125));
    assert_eq!(settings.data_folder, None);
}

#[test]
fn parse_faults_of_form() {
    assert_snapshot!("empty", fault_text("{}"));
    assert_snapshot!("no_object", fault_text("[1]"));
    let text = r#"{"name": "", "data_centre": 3, "data-folder": "d", "data_folder": 1,
        "listen": {"callers": "localhost:80", "targets": "127.0.0.1", "operator": "127.0.0.1:0", "peers": null},
        "peers": [7, {"name": "e1", "data_centre": "dc1", "address": "127.0.0.1:99999", "votes": "yes", "vote": true}],
        "log": {"level": "INFO", "format": "xml", "file": "", "color": 1},
        "trace": {"ratio_percent": 101}, "metrics": {"statsd": "x"}}"#;
    assert_snapshot!("form", fault_text(text));
}

#[test]
fn parse_faults_between_values() {
    let twice = [
        "127.0.0.1:7001",
        "0.0.0.0:7001",
        "127.0.0.1:0",
        "127.0.0.1:7001",
    ];
    let rest = r#""name": "e1", "data_centre": "dc2", "peers": [
        {"name": "e1", "data_centre": "dc1", "address": "127.0.0.1:7001", "votes": true},
        {"name": "e2", "data_centre": "dc1", "address": "127.0.0.1:7001", "votes": true},
        {"name": "e2", "data_centre": "dc1", "address": "127.0.0.1:0", "votes": true}]"#;
    assert_snapshot!("between", fault_text(&document(twice, rest)));
    let rest = r#""name": "e1", "data_centre": "dc1", "peers": [
        {"name": "e3", "data_centre": "dc1", "address": "127.0.0.1:7001"}]"#;
    assert_snapshot!("not_a_peer", fault_text(&document(ANY, rest)));
}

#[test]
fn parse_syntax() {
    let error = Settings::parse("{\n  \"name\": e1\n}").err();
    let place = match &error {
        Some(SettingsError::Syntax { line, column, .. }) => Some((*line, *column)),
        _ => None,
    };
    assert_eq!(place, Some((2, 11)));
    assert_snapshot!("syntax", error.unwrap());
}

#[test]
fn read_names_the_file() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("e1.json");
    let absent = Settings::read(&path).err();
    assert!(matches!(absent, Some(SettingsError::Unreadable { .. })));
    fs::write(&path, "{}").unwrap();
    let text = Settings::read(&path).err().unwrap().to_string();
    let lines = text.lines().count();
    let named = text
        .lines()
        .filter(|l| l.starts_with(&*path.to_string_lossy()));
    assert_eq!((lines, named.count()), (3, 3));
    fs::write(&path, EXAMPLE).unwrap();
    assert_eq!(&*Settings::read(&path).unwrap().name, "e1");
}
