//! One base file for all sites, with an overlay for each site.

use serde_json::Value;

/// `base` with `overlay` merged in as a JSON Merge Patch (RFC 7396): a member
/// of the overlay replaces that of the base, `null` removes it, objects are
/// merged member by member.
pub fn merge(mut base: Value, overlay: &Value) -> Value {
    json_patch::merge(&mut base, overlay);
    base
}
