//! The story of one name in structured logs.

mod line;
mod story;

pub(crate) use story::Story;
