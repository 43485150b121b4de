//! Pure decisions of the request path and of control: (state, event, now) to effects.
