//! The configuration in force in one process, whose generation never decreases.
//!
//! A process persists nothing across a restart, so the rule must also hold for the first
//! configuration after a start: see [`GenerationKeeper::offer`].

use std::collections::VecDeque;
use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Generation;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// How long a starting process collects configurations from several peers before it applies the
/// latest.
pub const START_SETTLE: Duration = Duration::from_secs(1);

/// The number of edits kept for processes that are behind. Those that are further behind get the
/// whole value.
pub const KEPT_STEPS: usize = 64;

/// A configuration that this package distributes.
pub trait ConfigPayload: Clone + Debug + PartialEq + Serialize + DeserializeOwned {
    /// The difference between two configurations.
    type Edit: Clone + Debug + PartialEq + Serialize + DeserializeOwned;

    /// Returns the edit that changes this configuration into `next`.
    fn edit_to(&self, next: &Self) -> Self::Edit;

    /// Applies an edit; returns `None` if it conflicts with this configuration.
    fn apply(&self, edit: &Self::Edit) -> Option<Self>;

    /// Returns a hash of the content that is the same in every process.
    fn digest(&self) -> u64;
}

/// An edit that leads from one generation to another.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(bound = "")]
pub struct ConfigStep<P: ConfigPayload> {
    /// The generation to which the edit applies.
    pub from: Generation,
    /// The generation that results from it.
    pub to: Generation,
    /// The hash of the resulting content.
    pub digest: u64,
    /// The edit.
    pub edit: P::Edit,
}

/// A configuration in a message: the whole value, or edits.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(bound = "")]
pub enum ConfigContent<P: ConfigPayload> {
    /// The whole value.
    Full {
        /// Its generation.
        generation: Generation,
        /// The value.
        value: Arc<P>,
    },
    /// Consecutive edits: each starts at the generation at which the one before ends.
    Steps(Vec<ConfigStep<P>>),
}

impl<P: ConfigPayload> ConfigContent<P> {
    /// Returns the generation that this content leads to.
    #[must_use]
    pub fn generation(&self) -> Generation {
        match self {
            Self::Full { generation, .. } => *generation,
            Self::Steps(steps) => steps.last().map(|step| step.to).unwrap_or_default(),
        }
    }
}

/// A configuration with its generation.
#[derive(Debug, Clone, PartialEq)]
pub struct HeldConfig<P> {
    /// The generation.
    pub generation: Generation,
    /// The content.
    pub value: Arc<P>,
}

/// The source of an offered configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigSource {
    /// The store itself: nothing later was accepted before the read.
    Store,
    /// Another process, which may be behind.
    Peer,
}

/// The result of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force now.
    InForce,
    /// It is kept until the start-up period has ended.
    Waiting,
    /// The configuration held here is the same or a later one.
    Older,
    /// The edits start after the generation held here, or no configuration is held yet: pull the
    /// missing ones.
    Behind,
    /// The edits don't apply to the content held here: pull the whole value.
    NeedFull,
}

/// Holds the configuration in force.
#[derive(Debug, Clone)]
pub struct GenerationKeeper<P: ConfigPayload> {
    in_force: Option<HeldConfig<P>>,
    candidate: Option<HeldConfig<P>>,
    settles_at: ClockTime,
    floor: Generation,
    steps: VecDeque<ConfigStep<P>>,
    needs_full: bool,
    settled: bool,
}

impl<P: ConfigPayload> Default for GenerationKeeper<P> {
    fn default() -> Self {
        Self {
            in_force: None,
            candidate: None,
            settles_at: ClockTime::NEVER,
            floor: Generation(0),
            steps: VecDeque::new(),
            needs_full: false,
            settled: false,
        }
    }
}

impl<P: ConfigPayload> GenerationKeeper<P> {
    /// Returns the configuration in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&HeldConfig<P>> {
        self.in_force.as_ref()
    }

    /// Returns the generation in force, or 0 if there is none yet.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.in_force
            .as_ref()
            .map(|held| held.generation)
            .unwrap_or_default()
    }

    /// Returns the latest generation held, in force or waiting for the start-up period to end.
    #[must_use]
    pub fn latest(&self) -> Generation {
        self.newest()
            .map(|held| held.generation)
            .unwrap_or_default()
    }

    /// Returns the generation to send in a pull. It is 0 after edits that did not apply, so that
    /// the answer is the whole value.
    #[must_use]
    pub fn pull_generation(&self) -> Generation {
        if self.needs_full {
            return Generation(0);
        }
        self.latest()
    }

    /// Returns when [`Self::settle`] has something to do.
    #[must_use]
    pub fn settles_at(&self) -> ClockTime {
        self.settles_at
    }

    /// Sets a lower bound: an earlier boot of this process had `generation` in force, and nothing
    /// older may follow.
    pub fn raise_floor(&mut self, generation: Generation) {
        self.floor = self.floor.max(generation);
    }

    /// Takes in a configuration.
    ///
    /// Once a configuration is in force, a later one replaces it at once and an older one never
    /// does. Before that, a configuration from a peer waits for [`START_SETTLE`] while more peers
    /// are asked. The first peer to answer may be behind what the earlier boot of this process had
    /// in force, and callers would see a change undone. In addition, the generations that peers
    /// remember of the earlier boot are a lower bound. A configuration from the store needs no
    /// wait, as nothing later can have been in force.
    pub fn offer(
        &mut self,
        content: &ConfigContent<P>,
        source: ConfigSource,
        now: ClockTime,
    ) -> OfferOutcome {
        if content.generation() <= self.latest() {
            return self.offer_known(source);
        }
        let held = match self.resolve(content) {
            Ok(held) => held,
            Err(outcome) => {
                self.needs_full |= outcome == OfferOutcome::NeedFull;
                return outcome;
            }
        };
        self.needs_full = false;
        let settled = self.settled || source == ConfigSource::Store;
        if settled && held.generation >= self.floor {
            self.put_in_force(held);
            return OfferOutcome::InForce;
        }
        if self.candidate.is_none() {
            self.settles_at = now + START_SETTLE;
        }
        self.candidate = Some(held);
        OfferOutcome::Waiting
    }

    /// Puts the latest candidate in force once the start-up period is over. Returns whether it did.
    pub fn settle(&mut self, now: ClockTime) -> bool {
        if now < self.settles_at {
            return false;
        }
        self.settles_at = ClockTime::NEVER;
        self.settled = true;
        self.promote()
    }

    /// Returns the content that brings a process at generation `have` up to the configuration in
    /// force here.
    #[must_use]
    pub fn content_since(&self, have: Generation) -> Option<ConfigContent<P>> {
        let held = self.in_force.as_ref()?;
        if have >= held.generation {
            return None;
        }
        let start = self.steps.iter().position(|step| step.from == have);
        Some(match start {
            Some(first) => ConfigContent::Steps(self.steps.iter().skip(first).cloned().collect()),
            None => ConfigContent::Full {
                generation: held.generation,
                value: Arc::clone(&held.value),
            },
        })
    }

    /// Returns the edit that produced the configuration in force, which is what nearly every other
    /// process lacks.
    #[must_use]
    pub fn last_step(&self) -> Option<ConfigContent<P>> {
        let step = self.steps.back()?.clone();
        Some(ConfigContent::Steps(vec![step]))
    }

    fn offer_known(&mut self, source: ConfigSource) -> OfferOutcome {
        if source == ConfigSource::Store && self.promote() {
            return OfferOutcome::InForce;
        }
        OfferOutcome::Older
    }

    fn promote(&mut self) -> bool {
        let floor = self.floor;
        let Some(held) = self.candidate.take_if(|held| held.generation >= floor) else {
            return false;
        };
        self.put_in_force(held);
        true
    }

    fn newest(&self) -> Option<&HeldConfig<P>> {
        self.candidate.as_ref().or(self.in_force.as_ref())
    }

    fn resolve(&self, content: &ConfigContent<P>) -> Result<HeldConfig<P>, OfferOutcome> {
        match content {
            ConfigContent::Full { generation, value } => Ok(HeldConfig {
                generation: *generation,
                value: Arc::clone(value),
            }),
            ConfigContent::Steps(steps) => self.apply_steps(steps),
        }
    }

    /// Applies the edits that are still missing. Each result is checked against its hash, as an
    /// edit on the wrong base would give this process a content that no other process has.
    fn apply_steps(&self, steps: &[ConfigStep<P>]) -> Result<HeldConfig<P>, OfferOutcome> {
        let mut held = self.newest().ok_or(OfferOutcome::Behind)?.clone();
        for step in steps.iter().filter(|step| step.to > self.latest()) {
            if step.from != held.generation {
                return Err(OfferOutcome::Behind);
            }
            let value = held.value.apply(&step.edit);
            let value = value.filter(|value| value.digest() == step.digest);
            held = HeldConfig {
                generation: step.to,
                value: Arc::new(value.ok_or(OfferOutcome::NeedFull)?),
            };
        }
        Ok(held)
    }

    fn put_in_force(&mut self, held: HeldConfig<P>) {
        if let Some(before) = &self.in_force {
            self.steps.push_back(ConfigStep {
                from: before.generation,
                to: held.generation,
                digest: held.value.digest(),
                edit: before.value.edit_to(&held.value),
            });
            if self.steps.len() > KEPT_STEPS {
                self.steps.pop_front();
            }
        }
        self.in_force = Some(held);
        self.candidate = None;
        self.settled = true;
        self.settles_at = ClockTime::NEVER;
    }
}
