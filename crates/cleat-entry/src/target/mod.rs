//! A target as this entry uses it.

mod idle;
mod slots;
#[expect(clippy::module_inception)]
mod target;

pub(crate) use slots::Slots;
pub(crate) use target::Target;
