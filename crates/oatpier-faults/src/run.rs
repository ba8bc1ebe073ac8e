//! What a runner is asked for, and what it tells.

use oatpier_checker::{LogChecker, RuleBounds};
use oatpier_types::event::LoggedEvent;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::strike::{FaultStrike, StrikePlan};

/// A safeguard that a run leaves out, to see that its absence is caught.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Bypass {
    /// Requests are sent without their claim.
    Claim,
    /// A cancel that comes before its attempt leaves no record.
    Tombstone,
    /// An entry hands an answer to a request without looking whose it is.
    AttemptMatch,
    /// An agent that is told to leave is not.
    Leave,
    /// A stopping process exits before its last request is over.
    Drain,
    /// Orders of unknown outcome are taken as never sent.
    UnknownOrders,
    /// The last replica is unloaded without asking the other.
    Release,
    /// A process takes over an older generation.
    Generation,
    /// A planner writes its plan without looking at the term that is there.
    Term,
}

/// One run of a scenario.
#[derive(Debug, Clone)]
pub struct RunOrder {
    /// The faults.
    pub strikes: Vec<FaultStrike>,
    /// Decides timings, and who is struck.
    pub seed: u64,
    /// What is left out.
    pub bypass: Option<Bypass>,
}

impl RunOrder {
    /// A run with these faults and every safeguard.
    #[must_use]
    pub fn new(strikes: Vec<FaultStrike>, seed: u64) -> Self {
        Self {
            strikes,
            seed,
            bypass: None,
        }
    }

    /// The strikes of this run.
    #[must_use]
    pub fn plan(&self) -> StrikePlan {
        StrikePlan::new(&self.strikes)
    }

    /// The run's randomness.
    #[must_use]
    pub fn generator(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.seed)
    }

    /// Whether a safeguard is left out.
    #[must_use]
    pub fn omits(&self, bypass: Bypass) -> bool {
        self.bypass == Some(bypass)
    }
}

/// What a run showed.
#[derive(Debug, Clone, Default)]
pub struct RunReport {
    /// What was seen from outside.
    pub log: Vec<LoggedEvent>,
    /// Broken promises and missing progress that the runner itself saw.
    pub findings: Vec<String>,
    /// Whether every fault struck.
    pub struck: bool,
}

impl RunReport {
    /// All that went wrong: the checker's breaches, then the runner's findings.
    #[must_use]
    pub fn faults_found(&self) -> Vec<String> {
        let checker = LogChecker::new(RuleBounds::default());
        let breaches = checker.check(&self.log);
        let breaches = breaches.iter().map(ToString::to_string);
        breaches.chain(self.findings.iter().cloned()).collect()
    }
}
