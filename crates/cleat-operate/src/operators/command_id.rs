//! Command ids, which make a repeated command idempotent.

use cleat_json::{FaultKind, Faults, Object};

use crate::http::{Answer, Problem, ProblemKind};

/// The maximum length of a command id, in bytes.
const MAX_COMMAND_ID_BYTES: usize = 128;

/// Reads the optional member `command_id`.
pub(super) fn read_command_id(root: &Object<'_>, faults: &mut Faults) -> Option<Box<str>> {
    let node = root.get("command_id")?;
    let text = node.text(faults)?;
    if text.len() > MAX_COMMAND_ID_BYTES {
        let kind = FaultKind::BadText {
            expected: format!("at most {MAX_COMMAND_ID_BYTES} bytes long").into(),
            found: text.clone(),
        };
        faults.add(&node.path, kind);
    }
    Some(text)
}

/// The answer to a command whose id was first used with another kind of command.
/// The stored answer belongs to that command, and nothing was changed.
pub(super) fn command_id_taken() -> Answer {
    let detail = "$.command_id was used with another kind of command; choose a new one";
    Problem::new(ProblemKind::CommandIdTaken, detail).into_answer()
}
