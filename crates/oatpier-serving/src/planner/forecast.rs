//! Forecasts how many slots the requests of each model will occupy when a load that begins now is done.
//!
//! Demand leaves the busiest models and rises at others over 4 to 6 s. A load takes from half a second to
//! more than four, not counting the time that an engine waits for running streams. The number of requests
//! at engines shows the rise late, and never exceeds the slots of the current holders. The forecast
//! therefore takes the arrival rate of requests, extrapolates its rise over the duration of a load, and
//! multiplies the result by the time that a request occupies a slot.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::names::ModelName;

use crate::demand::{FAST_DECAY, SLOW_DECAY};
use crate::peers::TotalDemand;

/// Share of a rise that is extrapolated. Part of each rise is noise, and no rise continues indefinitely.
const RISE_SHARE: f64 = 0.7;

/// Longest time over which a rise is extrapolated: the longest load, and the time until it begins.
const MAX_LEAD: Duration = Duration::from_millis(4_500);

/// Slot time that is assumed before any request was observed, in seconds. Lies between the means of short
/// and long streams.
const DEFAULT_SLOT_TIME_S: f64 = 0.9;

/// Weight of the fleet-wide mean in the slot time of one model, in requests per second. Keeps a single long
/// stream from dominating the estimate for a model with few requests.
const SLOT_TIME_PRIOR_PER_S: f64 = 2.0;

/// Mean time that requests occupy a slot, over all models.
#[derive(Debug, Clone, Copy)]
pub struct SlotTimes {
    mean_s: f64,
}

impl SlotTimes {
    /// Returns the mean slot time over all models: the requests at engines divided by the requests sent per
    /// second.
    #[must_use]
    pub fn of_fleet(demand: &HashMap<ModelName, TotalDemand>) -> Self {
        let running = ordered_sum(demand.values().map(|total| total.running));
        let sent = ordered_sum(demand.values().map(|total| total.sent));
        Self {
            mean_s: (running + DEFAULT_SLOT_TIME_S) / (sent + 1.0),
        }
    }

    /// Returns the slot time of one model's requests, in seconds.
    pub(super) fn of_model(self, total: &TotalDemand) -> f64 {
        let held = total.running + self.mean_s * SLOT_TIME_PRIOR_PER_S;
        held / (total.sent + SLOT_TIME_PRIOR_PER_S)
    }
}

/// Returns the sum of values in a fixed order. The rounding of a sum depends on the order, and so would plans.
fn ordered_sum(values: impl Iterator<Item = f64>) -> f64 {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    sorted.iter().sum()
}

/// Returns the number of slots that requests of a model will occupy at the same time after `lead`.
#[must_use]
pub fn slots_wanted(total: &TotalDemand, slot_times: SlotTimes, lead: Duration) -> f64 {
    total
        .running
        .max(rate_after(total, lead) * slot_times.of_model(total))
}

/// Returns the arrival rate of requests for a model after `lead`, in requests per second.
fn rate_after(total: &TotalDemand, lead: Duration) -> f64 {
    // An exponentially decaying mean with time constant T follows a steady rise with a lag of T. The
    // difference of two such means therefore gives the slope.
    let lag_difference_s = SLOW_DECAY.saturating_sub(FAST_DECAY).as_secs_f64();
    let rise = ((total.asked_fast - total.asked_slow) / lag_difference_s).max(0.0);
    let ahead_s = (FAST_DECAY + lead.min(MAX_LEAD)).as_secs_f64();
    total.asked_fast + rise * ahead_s * RISE_SHARE
}
