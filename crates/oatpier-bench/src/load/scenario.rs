//! Named scenarios of demand and faults.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use serde::{Deserialize, Serialize};

use super::deployment::BenchDeployment;

/// Scenario of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BenchScenario {
    /// Constant demand.
    Steady,
    /// Demand for some models rises and falls tenfold. The run compresses one hour.
    Burst,
    /// Engines and their agents fail and restart without weights.
    Deaths,
    /// One engine hangs for a while and its agent continues to run.
    Freeze,
    /// Load reports and cache events arrive seconds late.
    Lagging,
    /// Three times the demand, and callers retry up to three times, without backoff, after each refusal or error.
    RetryStorm,
    /// Demand equal to the capacity of the fleet. At about this rate, 95% of the requests are within target with the
    /// static placement.
    Full,
    /// Twice the demand of [`Self::Full`].
    Overload,
}

/// Duration of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunSpan {
    /// Time at the start that is excluded from the figures because placements are still settling.
    pub warm_up: Duration,
    /// Time during which callers send requests, including the warm-up.
    pub length: Duration,
}

impl RunSpan {
    /// Duration of the runs in reports.
    pub const WHOLE: Self = Self {
        warm_up: Duration::from_secs(20),
        length: Duration::from_mins(2),
    };

    /// Returns the time from which requests are counted.
    #[must_use]
    pub fn counted_from(self) -> ClockTime {
        ClockTime::from_start(self.warm_up)
    }

    /// Returns the time at which callers stop sending requests.
    #[must_use]
    pub fn ends_at(self) -> ClockTime {
        ClockTime::from_start(self.length)
    }

    /// Returns the length in seconds of the period in which requests are counted.
    #[must_use]
    pub fn counted_seconds(self) -> f64 {
        self.length.saturating_sub(self.warm_up).as_secs_f64()
    }
}

/// Input of a run.
#[derive(Debug, Clone, Copy)]
pub struct BenchCase<'a> {
    /// Deployment that is simulated.
    pub deployment: &'a BenchDeployment,
    /// Scenario of demand and faults.
    pub scenario: BenchScenario,
    /// Duration of the run.
    pub span: RunSpan,
}

/// Factor by which changes of demand are accelerated: a run of two minutes stands for an hour.
///
/// Planner settings in minutes are divided by it. The times of loads, engine steps and messages are not.
pub const COMPRESSION: u32 = 30;

impl BenchScenario {
    /// All scenarios, in the order in which reports list them.
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

    /// Returns the name that reports use.
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

    /// Returns the factor on the steady demand. `capacity_factor` is the capacity of the deployment as such a factor.
    #[must_use]
    pub fn demand_factor(self, capacity_factor: f64) -> f64 {
        match self {
            Self::RetryStorm => 3.0,
            Self::Full => capacity_factor,
            Self::Overload => 2.0 * capacity_factor,
            _ => 1.0,
        }
    }

    /// Returns how many times a caller retries after a refusal or an error.
    #[must_use]
    pub fn caller_retries(self) -> u32 {
        match self {
            Self::RetryStorm => 3,
            _ => 0,
        }
    }

    /// Returns the delay of load reports and cache events.
    #[must_use]
    pub fn report_lag(self) -> Duration {
        match self {
            Self::Lagging => Duration::from_secs(5),
            _ => Duration::from_millis(500),
        }
    }

    /// Returns the faults of the scenario, ordered by time.
    #[must_use]
    pub fn faults(self) -> Vec<FaultPlan> {
        match self {
            Self::Deaths => (0..4).map(death).collect(),
            Self::Freeze => vec![FaultPlan {
                at: ClockTime::from_millis(50_000),
                until: ClockTime::from_millis(70_000),
                target: FaultTarget::Busiest(0),
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
        target: FaultTarget::Busiest(usize::try_from(index).unwrap_or(0)),
        kind: FaultKind::Death,
    }
}

/// Kind of a fault of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// The endpoint and its agent fail and restart without weights.
    Death,
    /// The engine makes no progress and its agent continues to run.
    Freeze,
    /// The endpoint runs, but entries and planner treat it as gone because its registration was lost.
    Unregistered,
}

/// Endpoint that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultTarget {
    /// The live endpoint at this rank by descending number of attempts when the fault begins.
    Busiest(usize),
    /// The first live endpoint that holds the only ready replica of a model.
    OnlyHolder,
    /// The endpoint at this index in the configuration.
    Index(usize),
}

/// Fault that a run injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultPlan {
    /// Start of the fault.
    pub at: ClockTime,
    /// End of the fault.
    pub until: ClockTime,
    /// Affected endpoint.
    pub target: FaultTarget,
    /// Kind of the fault.
    pub kind: FaultKind,
}
