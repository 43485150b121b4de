//! The identity of a command when it is sent again.

/// `given`, or a new one.
pub(super) fn command_id(given: Option<&str>) -> Box<str> {
    match given {
        Some(id) => id.into(),
        None => announce_id(random_id()),
    }
}

fn random_id() -> Box<str> {
    format!("{:032x}", rand::random::<u128>()).into()
}

/// Printed before anything is sent, so that the change can be repeated safely
/// whatever happens to this process.
fn announce_id(id: Box<str>) -> Box<str> {
    eprintln!("command id: {id}");
    id
}
