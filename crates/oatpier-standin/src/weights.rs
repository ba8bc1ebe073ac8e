//! A stand-in for the weight store: sizes of weights, and durations of loads.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::engine::WeightsKey;

/// Sizes of the weights and limits of the weight store.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightsOptions {
    /// Sizes of weights, in MiB.
    pub sizes: BTreeMap<WeightsKey, u64>,
    /// Size of weights that `sizes` doesn't name, in MiB.
    pub default_mib: u64,
    /// Number of loads that may start in a second. Further loads start later.
    pub loads_per_second: f64,
    /// Number of concurrent loads that run at full speed. Beyond it, each load that starts is slower.
    pub full_speed_loads: u32,
    /// Speed of one load at full speed, in MiB per second.
    pub mib_per_second: u64,
}

impl Default for WeightsOptions {
    fn default() -> Self {
        Self {
            sizes: BTreeMap::new(),
            default_mib: 1_024,
            loads_per_second: 3.0,
            full_speed_loads: 4,
            mib_per_second: 8_192,
        }
    }
}

/// Weight store of a group of engines. Its limits apply to all of them together.
#[derive(Debug)]
pub struct WeightStore {
    options: WeightsOptions,
    next_start: ClockTime,
    /// When each load ends, for loads that may still run.
    running: Vec<ClockTime>,
}

/// Weight store that several engines share.
pub type SharedWeights = Arc<Mutex<WeightStore>>;

impl WeightStore {
    /// Creates a weight store that several engines may share.
    #[must_use]
    pub fn shared(options: WeightsOptions) -> SharedWeights {
        Arc::new(Mutex::new(Self {
            options,
            next_start: ClockTime::ZERO,
            running: Vec::new(),
        }))
    }

    /// Returns the size of weights, in MiB.
    #[must_use]
    pub fn size_mib(&self, weights: &WeightsKey) -> u64 {
        let size = self.options.sizes.get(weights).copied();
        size.unwrap_or(self.options.default_mib)
    }

    /// Sets the size of weights, in MiB, for later loads.
    pub fn set_size(&mut self, weights: WeightsKey, mib: u64) {
        self.options.sizes.insert(weights, mib);
    }

    /// Starts a load and returns when it ends. The speed is fixed at the start: a load doesn't
    /// become faster when another one ends.
    pub fn begin_load(&mut self, now: ClockTime, weights: &WeightsKey) -> ClockTime {
        let start = now.max(self.next_start);
        self.next_start = start + Duration::from_secs_f64(1.0 / self.options.loads_per_second);
        self.running.retain(|done| *done > start);
        let full_speed = usize::try_from(self.options.full_speed_loads.max(1)).unwrap_or(1);
        let share = (self.running.len() + 1).div_ceil(full_speed) as u64;
        let micros = self.size_mib(weights) * 1_000_000 / self.options.mib_per_second.max(1);
        let done = start + Duration::from_micros(micros * share);
        self.running.push(done);
        done
    }
}
