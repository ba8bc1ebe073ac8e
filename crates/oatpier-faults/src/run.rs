//! The input and the result of one run of a scenario.

use oatpier_checker::{LogChecker, RuleBounds};
use oatpier_types::event::LoggedEvent;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::injection::{FaultInjection, InjectionPlan};

/// A safeguard that a run disables, to verify that the checks detect its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Bypass {
    /// Requests are sent without claiming their idempotency key.
    Claim,
    /// A cancel that arrives before its attempt leaves no record.
    Tombstone,
    /// An entry relays an answer to a request without comparing the attempt's id.
    AttemptMatch,
    /// An agent ignores the order to leave.
    Leave,
    /// A stopping process exits before its last request ends.
    Drain,
    /// Orders of unknown outcome are treated as never sent.
    UnknownOrders,
    /// A replica is unloaded without asking the other agent to keep its own.
    Release,
    /// A process applies a configuration of an older generation.
    Generation,
    /// A planner writes its plan without comparing the term of the stored plan.
    Term,
}

/// The parameters of one run of a scenario.
#[derive(Debug, Clone)]
pub struct RunSpec {
    /// The faults to inject.
    pub injections: Vec<FaultInjection>,
    /// The seed of all timings and of the choice of affected processes.
    pub seed: u64,
    /// The safeguard that is disabled.
    pub bypass: Option<Bypass>,
}

impl RunSpec {
    /// Creates a run with these faults and every safeguard.
    #[must_use]
    pub fn new(injections: Vec<FaultInjection>, seed: u64) -> Self {
        Self {
            injections,
            seed,
            bypass: None,
        }
    }

    /// Returns the injection plan of this run.
    #[must_use]
    pub fn plan(&self) -> InjectionPlan {
        InjectionPlan::new(&self.injections)
    }

    /// Returns the run's random number generator.
    #[must_use]
    pub fn generator(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.seed)
    }

    /// Returns whether a safeguard is disabled.
    #[must_use]
    pub fn bypasses(&self, bypass: Bypass) -> bool {
        self.bypass == Some(bypass)
    }
}

/// The result of a run.
#[derive(Debug, Clone, Default)]
pub struct RunReport {
    /// The externally visible events.
    pub log: Vec<LoggedEvent>,
    /// Broken promises and missing progress that the scenario itself detected.
    pub findings: Vec<String>,
    /// Whether every fault was injected.
    pub all_injected: bool,
}

impl RunReport {
    /// Returns everything that went wrong: the checker's breaches, then the scenario's findings.
    #[must_use]
    pub fn all_findings(&self) -> Vec<String> {
        let checker = LogChecker::new(RuleBounds::default());
        let breaches = checker.check(&self.log);
        let breaches = breaches.iter().map(ToString::to_string);
        breaches.chain(self.findings.iter().cloned()).collect()
    }
}
