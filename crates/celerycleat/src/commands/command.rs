//! What every command has.

use std::future::Future;

use crate::{CliError, Report};

/// A command: its signature, its examples, and what it does.
pub trait Command {
    /// Its words, such as `config apply`.
    const NAME: &'static str;
    /// Its words with their arguments on one line.
    const USAGE: &'static str;

    /// Examples, at least one; each is tested.
    fn examples() -> Vec<Example>;

    /// Does it.
    ///
    /// # Errors
    /// Why it was not done, or is not known to be.
    fn run(&self, cx: &Context<'_>) -> impl Future<Output = Result<Report, CliError>>;
}

/// An example of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Example {
    /// What it shows.
    pub description: &'static str,
    /// What is typed after the program's name.
    pub words: &'static str,
    /// What it prints, if it needs no server. Files named in it are those of
    /// `tests/examples`.
    pub result: Option<Box<str>>,
}

/// What a command knows beside its own arguments.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// The servers to try in turn.
    pub servers: &'a [Box<str>],
}

/// A command in the table of all commands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandEntry {
    /// Its words.
    pub name: &'static str,
    /// Its words with their arguments.
    pub usage: &'static str,
    /// Its examples.
    pub examples: Vec<Example>,
}

impl CommandEntry {
    pub(super) fn of<C: Command>() -> CommandEntry {
        CommandEntry {
            name: C::NAME,
            usage: C::USAGE,
            examples: C::examples(),
        }
    }
}
