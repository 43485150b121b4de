//! Every command's usage and examples, and the commands that need no server.

#[allow(dead_code)]
mod support;

use argh::FromArgs;
use celerycleat::{Arguments, command_table};
use insta::assert_snapshot;
use support::run;

#[test]
fn example_arguments_parse() {
    for entry in command_table() {
        assert!(entry.usage.starts_with(entry.name), "{}", entry.name);
        assert!(!entry.examples.is_empty(), "{} has no example", entry.name);
        for example in &entry.examples {
            let words: Vec<&str> = example.words.split_whitespace().collect();
            assert!(example.words.contains(entry.name), "{}", example.words);
            let parsed = Arguments::from_args(&["celerycleat"], &words);
            assert!(parsed.is_ok(), "{}: {parsed:?}", example.words);
        }
    }
}

#[test]
fn example_gives_stated_result() {
    let mut tested = 0;
    for example in command_table().iter().flat_map(|entry| &entry.examples) {
        let Some(result) = &example.result else {
            continue;
        };
        let done = run(example.words);
        assert_eq!(
            done.stdout.trim_end(),
            result.trim_end(),
            "{}",
            example.words
        );
        assert_eq!((done.code, done.stderr.as_str()), (Some(0), ""));
        tested += 1;
    }
    assert_eq!(tested, 7);
}

#[test]
fn settings_default_is_a_valid_configuration() {
    let text = run("settings default").stdout;
    let config = serde_json::from_str(&text).unwrap();
    assert!(cleat_world::FleetConfig::parse(&config).is_ok());
    let as_json = run("--json settings default").stdout;
    assert_eq!(
        serde_json::from_str::<serde_json::Value>(&as_json).unwrap(),
        config
    );
}

#[test]
fn check_reports_every_fault_with_its_file() {
    let done = run("config check base.json faulty-overlay.json");
    assert_snapshot!("check_faulty_overlay", done.text(&[]));
    // The overlay's faults are the base's where it is the base.
    let done = run("config check faulty-overlay.json base.json");
    assert_snapshot!("check_faulty_base", done.text(&[]));
}

#[test]
fn check_names_file_and_place_of_what_is_no_json() {
    assert_snapshot!("check_no_json", run("config check broken.json").text(&[]));
    assert_snapshot!("check_no_file", run("config check absent.json").text(&[]));
}

#[test]
fn exit_code_of_usage_is_2_and_of_help_0() {
    for words in [
        "",
        "config",
        "nonsense",
        "config apply base.json",
        "config show --x",
    ] {
        let done = run(words);
        assert_eq!(
            (done.code, done.stdout.as_str()),
            (Some(2), ""),
            "{words:?}"
        );
        assert!(!done.stderr.is_empty(), "{words:?}");
    }
    for words in ["--help", "config apply --help"] {
        let done = run(words);
        assert_eq!(
            (done.code, done.stderr.as_str()),
            (Some(0), ""),
            "{words:?}"
        );
    }
    assert_eq!(run("status").code, Some(2));
    assert_eq!(run("config apply base.json --expect 0").code, Some(2));
}
