//! The configuration of the simulated fleet.

use serde_json::{Value, json};

pub(crate) const DEADLINE_S: u64 = 12;
pub(crate) const POOLS: [&str; 2] = ["a", "b"];
pub(crate) const INSTANCES_PER_POOL: usize = 8;
/// The number of instances per rack.
pub(crate) const INSTANCES_PER_RACK: usize = 2;
pub(crate) const RACKS: usize = 2 * INSTANCES_PER_POOL / INSTANCES_PER_RACK;

/// The name of instance `i`.
pub(crate) fn name(i: usize) -> Box<str> {
    format!("i{i}").into()
}

pub(crate) fn rack(i: usize) -> usize {
    i / INSTANCES_PER_RACK
}

/// The same as [`config`], without pool `b`.
pub(crate) fn without_b(budgets: [u64; 2]) -> Value {
    let mut config = config(&[0; 2 * INSTANCES_PER_POOL], budgets);
    for (group, name) in [("pools", "b"), ("services", "serve-b")] {
        let group = config[group].as_object_mut().expect("an object");
        group.shift_remove(name);
    }
    config
}

/// A configuration with pools `a` and `b`; `pool_of[i]` is the pool of instance `i`.
pub(crate) fn config(pool_of: &[usize], budgets: [u64; 2]) -> Value {
    let instances = |pool: usize| -> Value {
        let in_pool = (0..pool_of.len()).filter(|i| pool_of[*i] == pool);
        let settings = in_pool.map(|i| {
            let centre = format!("dc{}", rack(i) % 3);
            let instance = json!({"data_centre": centre, "rack": format!("k{}", rack(i))});
            (name(i).into_string(), instance)
        });
        Value::Object(settings.collect())
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
