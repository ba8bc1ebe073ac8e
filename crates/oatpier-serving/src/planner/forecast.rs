//! How many slots each model's requests will take once a load that begins now is done.
//!
//! The load: demand leaves the busiest models and rises at others over 4 to 6 s, and a load takes
//! from half a second to more than four, an engine's wait for running streams not counted. Requests
//! at engines show the rise late, and no further than the slots of the present holders. So the
//! rate at which requests come in is taken, its rise is continued for as long as a load takes, and
//! multiplied by the time that a request holds a slot.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::names::ModelName;

use crate::demand::{FAST_LIFE, SLOW_LIFE};
use crate::peers::TotalDemand;

/// How much of a rise is believed: part of it is chance, and no rise goes on for ever.
const RISE_TRUST: f64 = 0.7;

/// A rise is continued this far at the most: the longest load, and the time until it begins.
const LONGEST_LEAD: Duration = Duration::from_millis(4_500);

/// The time that a request holds a slot where none was seen yet, in seconds: between the means of
/// short and long streams.
const HOLD_GUESS_S: f64 = 0.9;

/// Requests a second that the mean of all models weighs in a model's own hold time, so that a model
/// with few requests is not judged by one long stream.
const HOLD_PRIOR_PER_S: f64 = 2.0;

/// The hold times of all models.
#[derive(Debug, Clone, Copy)]
pub struct HoldTimes {
    mean_s: f64,
}

impl HoldTimes {
    /// The mean hold time over all models: requests at engines divided by requests sent a second.
    #[must_use]
    pub fn of_fleet(demand: &HashMap<ModelName, TotalDemand>) -> Self {
        let running: f64 = demand.values().map(|total| total.running).sum();
        let sent: f64 = demand.values().map(|total| total.sent).sum();
        Self {
            mean_s: (running + HOLD_GUESS_S) / (sent + 1.0),
        }
    }

    /// The hold time of one model's requests, in seconds.
    pub(super) fn of_model(self, total: &TotalDemand) -> f64 {
        let held = total.running + self.mean_s * HOLD_PRIOR_PER_S;
        held / (total.sent + HOLD_PRIOR_PER_S)
    }
}

/// Requests of a model that will hold slots at the same time after `lead`.
#[must_use]
pub fn slots_wanted(total: &TotalDemand, holds: HoldTimes, lead: Duration) -> f64 {
    total
        .running
        .max(rate_after(total, lead) * holds.of_model(total))
}

/// The rate at which requests of a model will come in after `lead`, a second.
fn rate_after(total: &TotalDemand, lead: Duration) -> f64 {
    // A mean that forgets within T follows a steady rise T late, so the difference of two such means
    // tells how steep it is.
    let apart = SLOW_LIFE.saturating_sub(FAST_LIFE).as_secs_f64();
    let rise = ((total.asked_fast - total.asked_slow) / apart).max(0.0);
    let ahead = (FAST_LIFE + lead.min(LONGEST_LEAD)).as_secs_f64();
    total.asked_fast + rise * ahead * RISE_TRUST
}
