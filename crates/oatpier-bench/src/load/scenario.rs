//! What the demand does and what goes wrong, by name.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use serde::{Deserialize, Serialize};

/// One scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
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
    /// Twice the demand that the fleet can serve.
    Overload,
}

/// How long a scenario runs.
pub const RUN_LENGTH: Duration = Duration::from_secs(120);
/// How long its start is left out of the figures, while placements settle.
pub const WARM_UP: Duration = Duration::from_secs(20);

impl BenchScenario {
    /// All scenarios, in the order of reports.
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::Burst,
        Self::Deaths,
        Self::Freeze,
        Self::Lagging,
        Self::RetryStorm,
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
            Self::Overload => "overload",
        }
    }

    /// What the steady demand is multiplied by.
    #[must_use]
    pub fn demand_factor(self) -> f64 {
        match self {
            Self::RetryStorm => 3.0,
            Self::Overload => 6.0,
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
                victim: 0,
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
        victim: usize::try_from(index).unwrap_or(0),
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
}

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultPlan {
    /// When it begins.
    pub at: ClockTime,
    /// When it ends.
    pub until: ClockTime,
    /// Which endpoint: the one at this rank by requests in flight when the fault begins.
    pub victim: usize,
    /// What goes wrong.
    pub kind: FaultKind,
}
