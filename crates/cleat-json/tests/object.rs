//! Reading typed fields and collecting faults.

use cleat_json::{Fault, Faults, Node};
use serde_json::json;

fn read(doc: &serde_json::Value) -> Box<[Fault]> {
    let mut faults = Faults::default();
    let root = Node::root(doc).object(&mut faults).expect("an object");
    root.only(&["name", "port", "on"], &mut faults);
    root.text("name", &mut faults);
    root.number_or("port", 1, 1..=9, &mut faults);
    root.boolean_or("on", false, &mut faults);
    faults.into_result(()).err().unwrap_or_default()
}

fn lines(faults: &[Fault]) -> Vec<String> {
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn read_valid_document() {
    assert!(read(&json!({"name": "e1", "port": 3, "on": true})).is_empty());
}

#[test]
fn read_every_fault_at_once() {
    let found = lines(&read(&json!({"port": 10, "on": "yes", "a b": 1})));
    let wanted = [
        "$[\"a b\"] is not a known key; remove or correct it",
        "$.name is missing; add it",
        "$.port is 10; it must be from 1 to 9",
        "$.on must be true or false",
    ];
    assert_eq!(found, wanted);
}
