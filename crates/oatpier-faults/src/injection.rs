//! When faults are injected.

use smallvec::SmallVec;

use crate::fault::FaultKind;
use crate::step::StepName;

/// One fault at one step, injected at the occurrence of the step after `skip` others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultInjection {
    /// The fault.
    pub fault: FaultKind,
    /// The step at which the fault is injected.
    pub step: StepName,
    /// Occurrences of the step before the fault is injected.
    pub skip: u32,
}

/// The faults of one run that are still to be injected.
#[derive(Debug, Clone)]
pub struct InjectionPlan {
    pending: SmallVec<[FaultInjection; 2]>,
    injected: u32,
}

impl InjectionPlan {
    /// Creates a plan of these injections.
    #[must_use]
    pub fn new(injections: &[FaultInjection]) -> Self {
        Self {
            pending: SmallVec::from_slice(injections),
            injected: 0,
        }
    }

    /// Returns the faults that are due now that the run reaches `step`.
    pub fn take_due(&mut self, step: StepName) -> SmallVec<[FaultKind; 2]> {
        let mut faults = SmallVec::new();
        self.pending.retain(|injection| {
            let due = injection.step == step && injection.skip == 0;
            if due {
                faults.push(injection.fault);
            } else if injection.step == step {
                injection.skip -= 1;
            }
            !due
        });
        self.injected += u32::try_from(faults.len()).unwrap_or(u32::MAX);
        faults
    }

    /// Returns whether every fault was injected. A run in which one was not proves nothing.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the number of faults injected so far.
    #[must_use]
    pub fn injected_count(&self) -> u32 {
        self.injected
    }
}
