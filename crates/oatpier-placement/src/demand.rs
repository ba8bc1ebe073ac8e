//! Demand rates per model and adapter, for one entry and summed over all entries.
//!
//! Each rate is an exponentially weighted average over two windows. The short window follows a
//! burst within seconds; the long window gives the typical rate. The peak of the short window
//! decays over several minutes, so that a pause between two bursts does not unload the replicas
//! that the next burst needs.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{AdapterName, DaemonName, ModelName};
use serde::{Deserialize, Serialize};

/// Averaging windows and peak retention of demand rates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandSettings {
    /// Short averaging window. Determines how fast a burst is detected.
    pub short_window: Duration,
    /// Long averaging window. Gives the typical rate.
    pub long_window: Duration,
    /// Decay time of a peak.
    pub peak_window: Duration,
    /// Fraction of the decayed peak below which the planned rate does not fall.
    pub peak_share: f64,
}

impl Default for DemandSettings {
    fn default() -> Self {
        Self {
            short_window: Duration::from_secs(8),
            long_window: Duration::from_mins(1),
            peak_window: Duration::from_mins(10),
            peak_share: 0.45,
        }
    }
}

/// Age at which an entry's summary expires: the entry is then assumed to have stopped.
const SUMMARY_EXPIRY: Duration = Duration::from_mins(1);
/// Minimum rate of a summary row, in requests per second. Rows with a lower rate are omitted.
const MIN_RATE: f64 = 1e-4;

/// A base model, or an adapter on one, that requests name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct DemandKey {
    /// The base model.
    pub model: ModelName,
    /// The adapter; `None` for the base model itself.
    pub adapter: Option<AdapterName>,
}

/// Request and token rates.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct DemandRate {
    /// Requests per second.
    pub requests: f64,
    /// Prompt tokens per second.
    pub prompt_tokens: f64,
    /// Generated tokens per second.
    pub output_tokens: f64,
}

impl DemandRate {
    fn scaled(self, factor: f64) -> Self {
        Self {
            requests: self.requests * factor,
            prompt_tokens: self.prompt_tokens * factor,
            output_tokens: self.output_tokens * factor,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            prompt_tokens: self.prompt_tokens + other.prompt_tokens,
            output_tokens: self.output_tokens + other.output_tokens,
        }
    }

    fn at_least(self, other: Self) -> Self {
        Self {
            requests: self.requests.max(other.requests),
            prompt_tokens: self.prompt_tokens.max(other.prompt_tokens),
            output_tokens: self.output_tokens.max(other.output_tokens),
        }
    }
}

/// One row of a summary.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DemandRow {
    /// The base model or adapter.
    pub key: DemandKey,
    /// The rate to plan for.
    pub rate: DemandRate,
}

/// Demand reported by one entry, or of the whole fleet. Rows are sorted by key.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct DemandSummary {
    /// One row for each key with demand.
    pub rows: Vec<DemandRow>,
}

impl DemandSummary {
    /// Returns the rate for a key; zero if there is no row.
    #[must_use]
    pub fn rate_of(&self, key: &DemandKey) -> DemandRate {
        self.rows
            .binary_search_by(|row| row.key.cmp(key))
            .map(|index| self.rows[index].rate)
            .unwrap_or_default()
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct RateWindows {
    short: DemandRate,
    long: DemandRate,
    peak: DemandRate,
    at: ClockTime,
}

impl RateWindows {
    fn advance(&mut self, settings: &DemandSettings, now: ClockTime) {
        let elapsed = now.since(self.at);
        self.at = self.at.max(now);
        self.short = self.short.scaled(decay(elapsed, settings.short_window));
        self.long = self.long.scaled(decay(elapsed, settings.long_window));
        self.peak = self.peak.scaled(decay(elapsed, settings.peak_window));
    }

    fn add(&mut self, settings: &DemandSettings, amount: DemandRate) {
        let short = amount.scaled(1.0 / settings.short_window.as_secs_f64());
        let long = amount.scaled(1.0 / settings.long_window.as_secs_f64());
        self.short = self.short.plus(short);
        self.long = self.long.plus(long);
        self.peak = self.peak.at_least(self.short);
    }

    fn planned(&self, settings: &DemandSettings) -> DemandRate {
        self.long
            .at_least(self.short)
            .at_least(self.peak.scaled(settings.peak_share))
    }
}

fn decay(elapsed: Duration, window: Duration) -> f64 {
    (-elapsed.as_secs_f64() / window.as_secs_f64()).exp()
}

/// Demand counters of one entry.
#[derive(Debug, Clone, Default)]
pub struct DemandLedger {
    settings: DemandSettings,
    windows: IndexMap<DemandKey, RateWindows>,
}

impl DemandLedger {
    /// Creates a ledger without demand and with the default windows.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a ledger without demand that uses the given windows.
    #[must_use]
    pub fn with_settings(settings: DemandSettings) -> Self {
        Self {
            settings,
            windows: IndexMap::new(),
        }
    }

    /// Adds one request and its tokens to the rates of a key.
    pub fn record(&mut self, key: &DemandKey, prompt: u32, output: u32, now: ClockTime) {
        let amount = DemandRate {
            requests: 1.0,
            prompt_tokens: f64::from(prompt),
            output_tokens: f64::from(output),
        };
        if !self.windows.contains_key(key) {
            let new_windows = RateWindows {
                at: now,
                ..RateWindows::default()
            };
            self.windows.insert(key.clone(), new_windows);
        }
        if let Some(windows) = self.windows.get_mut(key) {
            windows.advance(&self.settings, now);
            windows.add(&self.settings, amount);
        }
    }

    /// Returns the rates to plan for, and removes the keys whose rate is too low to report.
    #[must_use]
    pub fn summary(&mut self, now: ClockTime) -> DemandSummary {
        for windows in self.windows.values_mut() {
            windows.advance(&self.settings, now);
        }
        self.windows
            .retain(|_, windows| windows.planned(&self.settings).requests >= MIN_RATE);
        let mut rows: Vec<DemandRow> = self
            .windows
            .iter()
            .map(|(key, windows)| DemandRow {
                key: key.clone(),
                rate: windows.planned(&self.settings),
            })
            .collect();
        rows.sort_by(|left, right| left.key.cmp(&right.key));
        DemandSummary { rows }
    }
}

/// Latest demand summary of each entry, kept by the planner.
#[derive(Debug, Clone, Default)]
pub struct DemandTotals {
    entries: IndexMap<DaemonName, (DemandSummary, ClockTime)>,
}

impl DemandTotals {
    /// Creates totals without entries.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces an entry's summary with its latest one.
    pub fn update(&mut self, entry: DaemonName, summary: DemandSummary, now: ClockTime) {
        self.entries.insert(entry, (summary, now));
    }

    /// Returns the demand of the whole fleet, and removes entries whose summary has expired.
    #[must_use]
    pub fn total(&mut self, now: ClockTime) -> DemandSummary {
        self.entries
            .retain(|_, (_, received_at)| now.since(*received_at) < SUMMARY_EXPIRY);
        let mut sums: IndexMap<DemandKey, DemandRate> = IndexMap::new();
        // Sorted by entry name, because floating-point sums depend on the order of addition.
        self.entries.sort_keys();
        for (summary, _) in self.entries.values() {
            for row in &summary.rows {
                let sum = sums.entry(row.key.clone()).or_default();
                *sum = sum.plus(row.rate);
            }
        }
        sums.sort_keys();
        let rows = sums
            .into_iter()
            .map(|(key, rate)| DemandRow { key, rate })
            .collect();
        DemandSummary { rows }
    }
}
