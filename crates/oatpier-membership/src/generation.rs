//! The configuration in force in one process. Its generation only rises.
//!
//! A process keeps nothing over a restart, so the rule must also hold for the first
//! configuration after a start: see [`GenerationKeeper::offer`].

use std::collections::VecDeque;
use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Generation;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// How long a started process compares what several peers have before it acts on the latest.
pub const START_SETTLE: Duration = Duration::from_secs(1);

/// Edits that are kept for processes which are behind. More: they get the whole value.
pub const KEPT_STEPS: usize = 64;

/// A configuration as this package moves it about.
pub trait ConfigPayload: Clone + Debug + PartialEq + Serialize + DeserializeOwned {
    /// What changes one into another.
    type Edit: Clone + Debug + PartialEq + Serialize + DeserializeOwned;

    /// The edit that changes this one into `next`.
    fn edit_to(&self, next: &Self) -> Self::Edit;

    /// Carries an edit out; none if it doesn't fit.
    fn apply(&self, edit: &Self::Edit) -> Option<Self>;

    /// A hash of the content, the same in every process.
    fn digest(&self) -> u64;
}

/// An edit between two generations.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(bound = "")]
pub struct ConfigStep<P: ConfigPayload> {
    /// What it applies to.
    pub from: Generation,
    /// What it makes.
    pub to: Generation,
    /// The hash of what it makes.
    pub digest: u64,
    /// The edit.
    pub edit: P::Edit,
}

/// A configuration on its way: whole, or as edits.
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
    /// Edits, each from where the last one ended.
    Steps(Vec<ConfigStep<P>>),
}

impl<P: ConfigPayload> ConfigContent<P> {
    /// The generation that it leads to.
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

/// Who offers a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigSource {
    /// The store itself: nothing later was accepted before the read.
    Store,
    /// Another process, which may be behind.
    Peer,
}

/// What became of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force now.
    InForce,
    /// It is kept until the start has settled.
    Waiting,
    /// What is there is as late or later.
    Older,
    /// The edits begin after what is here, or before there is anything: ask for the rest.
    Behind,
    /// The edits don't fit what is there: ask for the whole value.
    NeedFull,
}

/// Keeps the configuration in force.
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
    /// What is in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&HeldConfig<P>> {
        self.in_force.as_ref()
    }

    /// The generation in force; 0: none yet.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.in_force
            .as_ref()
            .map(|held| held.generation)
            .unwrap_or_default()
    }

    /// The latest generation that is here, in force or waiting for the start to settle.
    #[must_use]
    pub fn latest(&self) -> Generation {
        self.newest()
            .map(|held| held.generation)
            .unwrap_or_default()
    }

    /// What to say in a pull: 0 after edits that did not fit, so that the whole value comes.
    #[must_use]
    pub fn have(&self) -> Generation {
        if self.needs_full {
            return Generation(0);
        }
        self.latest()
    }

    /// When [`Self::settle`] has something to do.
    #[must_use]
    pub fn settles_at(&self) -> ClockTime {
        self.settles_at
    }

    /// A former start of this process had this generation in force: nothing below it will be.
    pub fn raise_floor(&mut self, generation: Generation) {
        self.floor = self.floor.max(generation);
    }

    /// Takes a configuration in.
    ///
    /// Once one is in force, a later one is at once, and an older one never. Before that, a
    /// peer's waits for [`START_SETTLE`], while more peers are asked: the first peer to answer
    /// may be behind what this process's former start had in force, and callers would see a
    /// change undone. What peers remember of the former start is a floor besides. The store's
    /// word needs no wait, as nothing later can have been in force.
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

    /// Puts the latest configuration of the start in force once enough peers had time to answer.
    pub fn settle(&mut self, now: ClockTime) -> bool {
        if now < self.settles_at {
            return false;
        }
        self.settles_at = ClockTime::NEVER;
        self.settled = true;
        self.promote()
    }

    /// What brings a process that has `have` up to what is in force here.
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

    /// The edit that made what is in force: what nearly every other process lacks.
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
            ConfigContent::Steps(steps) => self.walk(steps),
        }
    }

    /// Carries out the edits that are still to come; each result is checked by its hash, as an
    /// edit on the wrong base would give this process a content that no other has.
    fn walk(&self, steps: &[ConfigStep<P>]) -> Result<HeldConfig<P>, OfferOutcome> {
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
