//! Names of tasks for the log.

use std::io::{Cursor, Write};

use crate::TaskId;

/// The maximum length of a task's name: 16 digits, and three numbers of up to 10 digits, with
/// a point before each.
const MAX_LENGTH: usize = 16 + 3 * 11;

/// The name of a task, as it is displayed. Two are logged for each run, so this allocates only
/// once.
pub(super) fn task_name(task: TaskId) -> Box<str> {
    let mut buffer = Cursor::new([0; MAX_LENGTH]);
    let written = write!(buffer, "{task}");
    debug_assert!(written.is_ok(), "the name of {task} is too long");
    let length = usize::try_from(buffer.position()).unwrap_or(MAX_LENGTH);
    let name = std::str::from_utf8(&buffer.get_ref()[..length]);
    name.unwrap_or_default().into()
}
