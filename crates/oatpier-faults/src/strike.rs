//! When faults are injected.

use smallvec::SmallVec;

use crate::fault::FaultKind;
use crate::step::StepName;

/// One fault at one step, injected at the occurrence of the step after `skip` others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultStrike {
    /// The fault.
    pub fault: FaultKind,
    /// The step at which the fault is injected.
    pub step: StepName,
    /// Occurrences of the step before the fault is injected.
    pub skip: u32,
}

/// The faults of one run that are still to be injected.
#[derive(Debug, Clone)]
pub struct StrikePlan {
    waiting: SmallVec<[FaultStrike; 2]>,
    struck: u32,
}

impl StrikePlan {
    /// Creates a plan of these injections.
    #[must_use]
    pub fn new(strikes: &[FaultStrike]) -> Self {
        Self {
            waiting: SmallVec::from_slice(strikes),
            struck: 0,
        }
    }

    /// Returns the faults that are due now that the run reaches `step`.
    pub fn pass(&mut self, step: StepName) -> SmallVec<[FaultKind; 2]> {
        let mut now = SmallVec::new();
        self.waiting.retain(|strike| {
            let due = strike.step == step && strike.skip == 0;
            if due {
                now.push(strike.fault);
            } else if strike.step == step {
                strike.skip -= 1;
            }
            !due
        });
        self.struck += u32::try_from(now.len()).unwrap_or(u32::MAX);
        now
    }

    /// Returns whether every fault was injected. A run in which one was not proves nothing.
    #[must_use]
    pub fn is_spent(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of faults injected so far.
    #[must_use]
    pub fn struck(&self) -> u32 {
        self.struck
    }
}
