//! When faults strike.

use smallvec::SmallVec;

use crate::fault::FaultKind;
use crate::step::StepName;

/// One fault at one step: it strikes at the passage after `skip` others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultStrike {
    /// What.
    pub fault: FaultKind,
    /// Where.
    pub step: StepName,
    /// Passages of the step before it.
    pub skip: u32,
}

/// The faults of one run.
#[derive(Debug, Clone)]
pub struct StrikePlan {
    waiting: SmallVec<[FaultStrike; 2]>,
    struck: u32,
}

impl StrikePlan {
    /// A plan of these strikes.
    #[must_use]
    pub fn new(strikes: &[FaultStrike]) -> Self {
        Self {
            waiting: SmallVec::from_slice(strikes),
            struck: 0,
        }
    }

    /// The run passes a step: the faults that strike now.
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

    /// Whether every fault has struck: a run where one did not proves nothing.
    #[must_use]
    pub fn is_spent(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Faults that struck.
    #[must_use]
    pub fn struck(&self) -> u32 {
        self.struck
    }
}
