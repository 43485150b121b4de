//! The configuration under test.

use serde_json::{Value, json};

pub(crate) const DEADLINE_S: u64 = 12;
pub(crate) const POOLS: [&str; 2] = ["a", "b"];
pub(crate) const EACH: usize = 8;
/// Instances a rack.
pub(crate) const RACK: usize = 2;
pub(crate) const RACKS: usize = 2 * EACH / RACK;

/// Instance `i` of all.
pub(crate) fn name(i: usize) -> Box<str> {
    format!("i{i}").into()
}

pub(crate) fn rack(i: usize) -> usize {
    i / RACK
}

/// As [`config`], with pool `b` withdrawn.
pub(crate) fn without_b(budgets: [u64; 2]) -> Value {
    let mut config = config(&[0; 2 * EACH], budgets);
    for (group, name) in [("pools", "b"), ("services", "serve-b")] {
        let group = config[group].as_object_mut().expect("an object");
        group.shift_remove(name);
    }
    config
}

/// Pools `a` and `b`; `homes[i]` is the pool of instance `i`.
pub(crate) fn config(homes: &[usize], budgets: [u64; 2]) -> Value {
    let instances = |pool: usize| -> Value {
        let here = (0..homes.len()).filter(|i| homes[*i] == pool);
        let stated = here.map(|i| {
            let centre = format!("dc{}", rack(i) % 3);
            let instance = json!({"data_centre": centre, "rack": format!("k{}", rack(i))});
            (name(i).into_string(), instance)
        });
        Value::Object(stated.collect())
    };
    let pool = |i: usize| {
        json!({
            "instances": instances(i), "availability_budget": budgets[i],
            "maintenance": {"probation_s": 5, "drain_s": 10, "reboot_s": 20},
        })
    };
    json!({
        "data_centres": {"dc0": {}, "dc1": {}, "dc2": {}},
        "pools": {"a": pool(0), "b": pool(1)},
        "services": {
            "serve-a": {"pool": "a", "deadline_ms": DEADLINE_S * 1_000},
            "serve-b": {"pool": "b", "deadline_ms": DEADLINE_S * 1_000},
        },
        "platform": {"address": "127.0.0.1:9"},
    })
}
