//! Merges a base configuration with the overlay of a site, and computes the
//! difference between two configurations.

use serde_json::{Map, Value};

/// Applies `overlay` to `base` as a JSON Merge Patch (RFC 7396): a member of the
/// overlay replaces that of the base, `null` removes it, and objects are merged
/// member by member.
pub fn merge(mut base: Value, overlay: &Value) -> Value {
    json_patch::merge(&mut base, overlay);
    base
}

/// Returns the JSON Merge Patch that turns `base` into `wanted`, or `None` if no patch
/// can: a `null` in `wanted` would be applied as a removal.
pub fn diff(base: &Value, wanted: &Value) -> Option<Value> {
    let patch = difference(base, wanted);
    let patched = merge(base.clone(), &patch);
    (patched == *wanted).then_some(patch)
}

fn difference(base: &Value, wanted: &Value) -> Value {
    let (Value::Object(base), Value::Object(wanted)) = (base, wanted) else {
        return wanted.clone();
    };
    let mut patch = Map::new();
    for key in base.keys().filter(|key| !wanted.contains_key(*key)) {
        patch.insert(key.clone(), Value::Null);
    }
    for (key, value) in wanted {
        match base.get(key) {
            Some(old) if old == value => {}
            Some(old) => {
                patch.insert(key.clone(), difference(old, value));
            }
            None => {
                patch.insert(key.clone(), value.clone());
            }
        }
    }
    Value::Object(patch)
}
