//! One base file for all sites, with an overlay for each site.

use serde_json::{Map, Value};

/// `base` with `overlay` merged in as a JSON Merge Patch (RFC 7396): a member
/// of the overlay replaces that of the base, `null` removes it, objects are
/// merged member by member.
pub fn merge(mut base: Value, overlay: &Value) -> Value {
    json_patch::merge(&mut base, overlay);
    base
}

/// The JSON Merge Patch that makes `wanted` out of `base`; `None` if no patch
/// can, since `wanted` holds a `null`, which a patch takes for a removal.
pub fn diff(base: &Value, wanted: &Value) -> Option<Value> {
    let patch = difference(base, wanted);
    let made = merge(base.clone(), &patch);
    (made == *wanted).then_some(patch)
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
