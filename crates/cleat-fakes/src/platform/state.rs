//! The effects of a stand-in platform.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use super::PlatformOptions;

/// What was done to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EffectKind {
    /// It was drained.
    Drain,
    /// It was rebooted.
    Reboot,
}

/// One effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RecordedEffect {
    /// Its token.
    pub token: Box<str>,
    /// The instance.
    pub instance: Box<str>,
    /// What was done.
    pub kind: EffectKind,
    /// The term of the leader whose request began it.
    pub term: u64,
    /// How many requests came with its token.
    pub requests: u64,
}

/// How far an effect is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Progress {
    Running,
    Done,
    Failed,
}

/// Why a request has no effect: a later leader has spoken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StaleTerm;

pub(super) struct State {
    options: PlatformOptions,
    /// By token; invariant: one effect each.
    effects: IndexMap<Box<str>, (RecordedEffect, Instant)>,
    /// The highest term that was seen.
    term: u64,
    answers_to_lose: usize,
    broken: IndexSet<Box<str>>,
}

impl State {
    pub(super) fn new(options: PlatformOptions) -> State {
        State {
            options,
            effects: IndexMap::new(),
            term: 0,
            answers_to_lose: 0,
            broken: IndexSet::new(),
        }
    }

    /// Begins the effect of a token, or says how far it is.
    pub(super) fn act(
        &mut self,
        kind: EffectKind,
        instance: &str,
        token: &str,
        term: u64,
    ) -> Result<Progress, StaleTerm> {
        if term < self.term {
            return Err(StaleTerm);
        }
        self.term = term;
        let new = || {
            let effect = RecordedEffect {
                token: token.into(),
                instance: instance.into(),
                kind,
                term,
                requests: 0,
            };
            (effect, Instant::now())
        };
        let (effect, begun) = self.effects.entry(token.into()).or_insert_with(new);
        effect.requests += 1;
        let ended = begun.elapsed() >= duration(&self.options, kind);
        Ok(match (ended, self.broken.contains(instance)) {
            (false, _) => Progress::Running,
            (true, true) if kind == EffectKind::Reboot => Progress::Failed,
            (true, _) => Progress::Done,
        })
    }

    /// Whether the answer that is due now is to be lost.
    pub(super) fn loses_answer(&mut self) -> bool {
        let loses = self.answers_to_lose > 0;
        self.answers_to_lose -= usize::from(loses);
        loses
    }

    pub(super) fn lose_answers(&mut self, count: usize) {
        self.answers_to_lose = count;
    }

    pub(super) fn break_reboots(&mut self, instance: &str, broken: bool) {
        match broken {
            true => self.broken.insert(instance.into()),
            false => self.broken.swap_remove(instance),
        };
    }

    pub(super) fn effects(&self) -> Vec<RecordedEffect> {
        let effects = self.effects.values();
        effects.map(|(effect, _)| effect.clone()).collect()
    }

    pub(super) fn is_down(&self, instance: &str) -> bool {
        self.effects.values().any(|(effect, begun)| {
            let reboots = effect.kind == EffectKind::Reboot && &*effect.instance == instance;
            reboots && begun.elapsed() < self.options.reboot
        })
    }
}

fn duration(options: &PlatformOptions, kind: EffectKind) -> Duration {
    match kind {
        EffectKind::Drain => options.drain,
        EffectKind::Reboot => options.reboot,
    }
}
