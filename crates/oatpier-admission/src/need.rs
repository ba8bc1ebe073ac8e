//! The share of each class that meets its target, as observed at this agent.
//!
//! A class below its target needs the next slot more than one with slack, which can afford a late
//! request. The share decays over time, so that an earlier good hour does not hide a current bad
//! minute.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::{ClassSpec, ClassTarget};
use oatpier_types::names::ClassName;

/// Maximum need: that of a class furthest below its target. A class with slack has need 0.
pub const MAX_NEED: u32 = 4;

/// Shortfall of the share that raises the need by one.
const NEED_STEP: f64 = 0.05;

/// Time after which the weight of an observation has halved.
const HALF_LIFE: Duration = Duration::from_mins(1);

/// Weight, in requests, of the prior assumption that a class is at its target.
const PRIOR_WEIGHT: f64 = 4.0;

#[derive(Debug, Clone, Copy, Default)]
struct ClassShare {
    good: f64,
    all: f64,
    at: ClockTime,
}

impl ClassShare {
    fn decay(&mut self, now: ClockTime) {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = (-half_lives).exp2();
        self.good *= factor;
        self.all *= factor;
        self.at = now;
    }

    fn shortfall(mut self, attain: f64, now: ClockTime) -> f64 {
        self.decay(now);
        let share = (self.good + PRIOR_WEIGHT * attain) / (self.all + PRIOR_WEIGHT);
        attain - share
    }
}

/// The share of each class that meets its target, as observed at this agent.
#[derive(Debug, Clone, Default)]
pub struct NeedTracker {
    classes: IndexMap<ClassName, (ClassSpec, ClassShare)>,
}

impl NeedTracker {
    /// Applies the classes of a configuration. Classes that stay keep their shares.
    pub fn configure(&mut self, classes: IndexMap<ClassName, ClassSpec>) {
        let mut previous = std::mem::take(&mut self.classes);
        self.classes = classes
            .into_iter()
            .map(|(name, spec)| {
                let share = previous.swap_remove(&name).map(|(_, share)| share);
                (name, (spec, share.unwrap_or_default()))
            })
            .collect();
    }

    /// Returns the target of a class, if it is configured.
    #[must_use]
    pub fn target(&self, class: &ClassName) -> Option<ClassTarget> {
        self.classes.get(class).map(|(spec, _)| spec.target)
    }

    /// Counts a request of a class.
    pub fn observe(&mut self, class: &ClassName, in_time: bool, now: ClockTime) {
        if let Some((_, share)) = self.classes.get_mut(class) {
            share.decay(now);
            share.all += 1.0;
            share.good += if in_time { 1.0 } else { 0.0 };
        }
    }

    /// Reverses one request that was counted as in time: its later tokens came too slowly.
    pub fn retract_in_time(&mut self, class: &ClassName, now: ClockTime) {
        if let Some((_, share)) = self.classes.get_mut(class) {
            share.decay(now);
            share.good = (share.good - 1.0).max(0.0);
        }
    }

    /// Returns the need of a class, from 0 (it has slack) to [`MAX_NEED`].
    ///
    /// Uses steps instead of the plain shortfall: within a step the earlier deadline decides, so
    /// noise does not reorder classes of similar need.
    #[must_use]
    pub fn need(&self, class: &ClassName, now: ClockTime) -> u32 {
        let Some((spec, share)) = self.classes.get(class) else {
            return 0;
        };
        let shortfall = share.shortfall(spec.attain, now);
        let passed_steps = (1..MAX_NEED).filter(|step| shortfall > NEED_STEP * f64::from(*step));
        u32::from(shortfall > f64::EPSILON) + u32::try_from(passed_steps.count()).unwrap_or(0)
    }
}
