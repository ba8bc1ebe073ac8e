//! What the demand does and what goes wrong, by name.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use serde::{Deserialize, Serialize};

use super::deployment::BenchDeployment;

/// One scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BenchScenario {
    /// The demand stays as it is.
    Steady,
    /// The demand for some models moves tenfold, up and down (an hour, compressed).
    Burst,
    /// Engines die, with their agents, and come back empty.
    Deaths,
    /// One engine freezes for a while; its agent lives.
    Freeze,
    /// Load reports and cache events are seconds late.
    Lagging,
    /// Callers ask again at once, up to three times, after each refusal or error.
    RetryStorm,
    /// As much demand as the fleet can serve: at about this rate the static placement is within
    /// target for 95 in 100.
    Full,
    /// Twice that.
    Overload,
}

/// How long a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunSpan {
    /// How long its start is left out of the figures, while placements settle.
    pub warm_up: Duration,
    /// How long callers send requests, the warm-up included.
    pub length: Duration,
}

impl RunSpan {
    /// Of the runs of reports.
    pub const WHOLE: Self = Self {
        warm_up: Duration::from_secs(20),
        length: Duration::from_mins(2),
    };

    /// From when on requests count.
    #[must_use]
    pub fn counted_from(self) -> ClockTime {
        ClockTime::from_start(self.warm_up)
    }

    /// When callers stop sending requests.
    #[must_use]
    pub fn ends_at(self) -> ClockTime {
        ClockTime::from_start(self.length)
    }

    /// The time in which requests count, in seconds.
    #[must_use]
    pub fn counted_seconds(self) -> f64 {
        self.length.saturating_sub(self.warm_up).as_secs_f64()
    }
}

/// What a run is about.
#[derive(Debug, Clone, Copy)]
pub struct BenchCase<'a> {
    /// The deployment.
    pub deployment: &'a BenchDeployment,
    /// What the demand does and what goes wrong.
    pub scenario: BenchScenario,
    /// How long.
    pub span: RunSpan,
}

/// How much faster the demand moves than in the brief: an hour takes two minutes. What the planner
/// measures in minutes is divided by this; the times of loads, steps and messages are not.
pub const COMPRESSION: u32 = 30;

impl BenchScenario {
    /// All scenarios, in the order of reports.
    pub const ALL: [Self; 8] = [
        Self::Steady,
        Self::Burst,
        Self::Deaths,
        Self::Freeze,
        Self::Lagging,
        Self::RetryStorm,
        Self::Full,
        Self::Overload,
    ];

    /// The word that reports use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Burst => "burst",
            Self::Deaths => "deaths",
            Self::Freeze => "freeze",
            Self::Lagging => "lagging",
            Self::RetryStorm => "retry-storm",
            Self::Full => "full",
            Self::Overload => "overload",
        }
    }

    /// What the steady demand is multiplied by, where `full` is what the deployment can serve.
    #[must_use]
    pub fn demand_factor(self, full: f64) -> f64 {
        match self {
            Self::RetryStorm => 3.0,
            Self::Full => full,
            Self::Overload => 2.0 * full,
            _ => 1.0,
        }
    }

    /// How often a caller asks again after a refusal or an error.
    #[must_use]
    pub fn caller_retries(self) -> u32 {
        match self {
            Self::RetryStorm => 3,
            _ => 0,
        }
    }

    /// How late load reports and cache events are.
    #[must_use]
    pub fn report_lag(self) -> Duration {
        match self {
            Self::Lagging => Duration::from_secs(5),
            _ => Duration::from_millis(500),
        }
    }

    /// The faults, by time.
    #[must_use]
    pub fn faults(self) -> Vec<FaultPlan> {
        match self {
            Self::Deaths => (0..4).map(death).collect(),
            Self::Freeze => vec![FaultPlan {
                at: ClockTime::from_millis(50_000),
                until: ClockTime::from_millis(70_000),
                victim: FaultVictim::Busiest(0),
                kind: FaultKind::Freeze,
            }],
            _ => Vec::new(),
        }
    }
}

fn death(index: u64) -> FaultPlan {
    let at = ClockTime::from_millis(30_000 + index * 20_000);
    FaultPlan {
        at,
        until: at + Duration::from_secs(15),
        victim: FaultVictim::Busiest(usize::try_from(index).unwrap_or(0)),
        kind: FaultKind::Death,
    }
}

/// What goes wrong with an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// It dies with its agent and comes back empty.
    Death,
    /// It makes no step; its agent lives.
    Freeze,
    /// Entries and planner take it for gone, since its registration was lost; it lives.
    Unregistered,
}

/// Whom a fault befalls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultVictim {
    /// The live endpoint at this rank by attempts on it when the fault begins.
    Busiest(usize),
    /// The first live endpoint that holds the only ready replica of a model.
    OnlyHolder,
    /// The endpoint at this place in the configuration.
    Place(usize),
}

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultPlan {
    /// When it begins.
    pub at: ClockTime,
    /// When it ends.
    pub until: ClockTime,
    /// Whom it befalls.
    pub victim: FaultVictim,
    /// What goes wrong.
    pub kind: FaultKind,
}
