//! Which calls are redirected.

use cleat_link::ControlError;

use super::*;

/// Guards against a call that is carried out on both sides of a partition.
#[test]
fn call_with_an_unknown_outcome_is_not_redirected() {
    let source = ControlError::TooLarge;
    assert!(may_redirect(&AskError::NotDone));
    assert!(!may_redirect(&AskError::Unknown));
    assert!(!may_redirect(&AskError::TooManyKeys));
    assert!(!may_redirect(&AskError::Refused { source }));
}
