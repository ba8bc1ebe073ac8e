//! Speed of the engines relative to each other.
//!
//! Engines of one service may differ in speed, and streams on slow ones pause more often for longer than callers
//! accept. The figures are relative to the fleet, so that engines that are alike are planned for as equals.

use oatpier_types::clock::ClockTime;

use crate::capacity::EnginePace;
use crate::directory::EndpointRow;

/// Number of engines of known pace below which all engines count as equal.
const MIN_KNOWN_ENGINES: usize = 3;

/// Deviation from the usual speed, as a logarithm, up to which an engine counts as an engine of usual speed. Two
/// measurements of one engine at different fills differ by up to a seventh.
const SPEED_NOISE: f64 = 0.14;

/// Deviation from the usual speed, as a logarithm, from which it counts in full.
const SPEED_CERTAIN: f64 = 0.28;

/// Fleets of which fewer engines than this, and fewer than one in [`DIFFERING_DIVISOR`], differ from the usual ones are
/// planned for as if all were equal: a single measurement may be wrong.
const MIN_DIFFERING: usize = 2;
const DIFFERING_DIVISOR: usize = 16;

/// Bounds of the relative capacity. One wrong measurement must not move a large part of the fleet's demand.
const CAPACITY_RANGE: (f64, f64) = (0.4, 2.5);

/// Rate of late pauses above the fleet's base rate that counts as noise, per second of one stream: a tenth of the
/// streams of two seconds.
const PAUSE_NOISE_PER_S: f64 = 0.05;

/// Factor of the fleet's base rate of late pauses up to which a rate counts as noise.
const PAUSE_NOISE_FACTOR: f64 = 1.5;

/// Speed of one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct EngineSpeed {
    /// What the engine can serve, relative to an engine of usual speed.
    pub(super) capacity: f64,
    /// Rate of late pauses beyond the fleet's base rate, per second of one stream.
    pub(super) late_pauses_per_s: f64,
}

impl EngineSpeed {
    /// Speed of an engine that is as fast as most.
    const USUAL: Self = Self {
        capacity: 1.0,
        late_pauses_per_s: 0.0,
    };

    /// Returns the probability that a stream here is late by a pause, given the time that it takes on an engine of
    /// usual speed.
    pub(super) fn late_share(self, usual_time_s: f64) -> f64 {
        1.0 - (-self.late_pauses_per_s * usual_time_s / self.capacity).exp()
    }
}

/// Speeds of a service's engines.
#[derive(Debug, Clone, Copy)]
pub(super) struct FleetSpeeds {
    /// Median time between two chunks of a stream, in microseconds.
    usual_chunk_us: f64,
    /// Rate of late pauses below which a rate counts as none, per second of one stream.
    base_pauses_per_s: f64,
    /// Speed that is assumed for engines of unknown pace.
    typical: EngineSpeed,
    /// Whether several engines differ from the others. All count as equal otherwise.
    pub(super) is_uneven: bool,
}

impl FleetSpeeds {
    /// Compares the engines that report a pace.
    pub(super) fn of_rows(rows: &[&EndpointRow], now: ClockTime) -> Self {
        let paces = rows.iter().filter_map(|row| known_pace(row, now));
        let paces: Vec<EnginePace> = paces.collect();
        let mut speeds = Self {
            usual_chunk_us: 0.0,
            base_pauses_per_s: 0.0,
            typical: EngineSpeed::USUAL,
            is_uneven: false,
        };
        if paces.len() < MIN_KNOWN_ENGINES {
            return speeds;
        }
        let chunks = sorted(paces.iter().map(|pace| f64::from(pace.chunk_us)));
        let pauses = sorted(paces.iter().map(pauses_per_s));
        // The better quarter shows which rate is possible. A median would be that of slow engines if most are.
        let base = pauses[pauses.len() / 4];
        speeds.usual_chunk_us = chunks[chunks.len() / 2];
        speeds.base_pauses_per_s = (base + PAUSE_NOISE_PER_S).max(base * PAUSE_NOISE_FACTOR);
        speeds.typical.late_pauses_per_s = speeds.excess_pauses(pauses[pauses.len() / 2]);
        let differing = paces.iter().filter(|pace| speeds.differs(pace)).count();
        speeds.is_uneven = differing >= (paces.len() / DIFFERING_DIVISOR).max(MIN_DIFFERING);
        speeds
    }

    /// Returns whether an engine certainly differs from the usual ones.
    fn differs(&self, pace: &EnginePace) -> bool {
        self.speed_ratio(pace).abs() >= SPEED_CERTAIN
            || self.excess_pauses(pauses_per_s(pace)) >= PAUSE_NOISE_PER_S
    }

    /// Returns the speed relative to the usual one, as a logarithm.
    fn speed_ratio(&self, pace: &EnginePace) -> f64 {
        (self.usual_chunk_us / f64::from(pace.chunk_us)).ln()
    }

    /// Returns the speed of one engine; that of a typical engine if its pace is unknown.
    pub(super) fn of_row(&self, row: &EndpointRow, now: ClockTime) -> EngineSpeed {
        if !self.is_uneven {
            return EngineSpeed::USUAL;
        }
        known_pace(row, now).map_or(self.typical, |pace| self.of_pace(&pace))
    }

    /// Returns the speed that an unknown engine is expected to have.
    pub(super) fn typical(&self) -> EngineSpeed {
        self.typical
    }

    fn of_pace(&self, pace: &EnginePace) -> EngineSpeed {
        let ratio = self.speed_ratio(pace);
        // Between noise and certainty the deviation grows steadily, so that a measurement at the edge of the noise
        // does not move models.
        let certainty = (ratio.abs() - SPEED_NOISE) / (SPEED_CERTAIN - SPEED_NOISE);
        let capacity = (ratio * certainty.clamp(0.0, 1.0)).exp();
        EngineSpeed {
            capacity: capacity.clamp(CAPACITY_RANGE.0, CAPACITY_RANGE.1),
            late_pauses_per_s: self.excess_pauses(pauses_per_s(pace)),
        }
    }

    fn excess_pauses(&self, per_s: f64) -> f64 {
        (per_s - self.base_pauses_per_s).max(0.0)
    }
}

fn known_pace(row: &EndpointRow, now: ClockTime) -> Option<EnginePace> {
    row.pace(now).copied().filter(|pace| pace.chunk_us > 0)
}

fn pauses_per_s(pace: &EnginePace) -> f64 {
    f64::from(pace.late_pauses_per_ks) / 1_000.0
}

fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}
