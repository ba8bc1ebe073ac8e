//! Pairs of faults, at the steps where a single fault is most dangerous.

use super::cell::{MatrixCell, ScenarioKind, run_seeds};
use super::table::related_promise;
use crate::fault::FaultKind;
use crate::step::StepName;

/// Two faults injected in one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultPair {
    /// The scenario that runs the pair.
    pub scenario: ScenarioKind,
    /// The first fault and its step.
    pub first: (FaultKind, StepName),
    /// The second fault and its step.
    pub second: (FaultKind, StepName),
}

/// Returns all pairs.
#[must_use]
pub fn fault_pairs() -> Vec<FaultPair> {
    use FaultKind::{
        AnswerLost, CutBoth, CutFrom, CutTo, Doubled, Kill, Late, LeaseLapsed, Lost, Pause,
        Restart, StoreDown, StoreSlow,
    };
    use StepName::{
        Cancel, Claim, ConfigSpread, ConfigWatch, Delta, Heartbeat, Intake, LeaseRenew, MoveDrain,
        MoveLoad, MoveRelease, MoveUnload, OrderIntent, OrderSend, PlanWrite, Relay, Run, Send,
        SettleClaim, StartConfig, StartEpoch, StopDrain, StopTold, VersionChange,
    };
    let pair = |scenario, first, second| FaultPair {
        scenario,
        first,
        second,
    };
    let requests = [
        ((Doubled, Intake), (Kill, Claim)),
        ((Doubled, Intake), (AnswerLost, Claim)),
        ((AnswerLost, Claim), (Kill, Claim)),
        ((AnswerLost, Claim), (StoreDown, SettleClaim)),
        ((StoreSlow, Claim), (LeaseLapsed, Claim)),
        ((LeaseLapsed, Claim), (AnswerLost, Claim)),
        ((Late, Send), (Restart, Cancel)),
        ((Late, Cancel), (Restart, Send)),
        ((Doubled, Send), (Restart, Run)),
        ((CutFrom, Send), (Kill, Run)),
        ((Kill, Relay), (Pause, Send)),
        ((Lost, Run), (Kill, SettleClaim)),
        ((Kill, StopDrain), (CutBoth, StopTold)),
        ((Pause, StopDrain), (Lost, StopTold)),
    ];
    let orders = [
        ((Lost, OrderSend), (Restart, OrderSend)),
        ((Late, OrderSend), (Restart, OrderSend)),
        ((Late, MoveLoad), (Kill, MoveUnload)),
        ((Late, MoveUnload), (Restart, MoveLoad)),
        ((Pause, OrderIntent), (StoreSlow, OrderIntent)),
        ((AnswerLost, OrderIntent), (Restart, OrderSend)),
        ((StoreDown, OrderIntent), (Restart, MoveLoad)),
        ((Late, MoveRelease), (Pause, MoveDrain)),
        ((Doubled, MoveRelease), (Restart, MoveRelease)),
        ((Restart, VersionChange), (Lost, OrderSend)),
        ((AnswerLost, StartEpoch), (Restart, StartEpoch)),
    ];
    let members = [
        ((Kill, Heartbeat), (CutBoth, Delta)),
        ((CutTo, Heartbeat), (CutTo, Delta)),
        ((CutBoth, Heartbeat), (CutBoth, Delta)),
        ((Kill, Delta), (CutTo, Heartbeat)),
        ((StoreDown, ConfigWatch), (Restart, StartConfig)),
        ((Lost, ConfigSpread), (Kill, ConfigSpread)),
        ((CutBoth, ConfigSpread), (StoreDown, ConfigWatch)),
    ];
    let leases = [
        ((LeaseLapsed, LeaseRenew), (StoreSlow, PlanWrite)),
        ((LeaseLapsed, PlanWrite), (AnswerLost, PlanWrite)),
        ((AnswerLost, LeaseRenew), (Restart, LeaseRenew)),
        ((StoreDown, LeaseRenew), (Pause, PlanWrite)),
    ];
    let of = |scenario| move |(first, second)| pair(scenario, first, second);
    let requests = requests.into_iter().map(of(ScenarioKind::Request));
    let orders = orders.into_iter().map(of(ScenarioKind::Orders));
    let members = members.into_iter().map(of(ScenarioKind::Membership));
    let leases = leases.into_iter().map(of(ScenarioKind::Lease));
    requests
        .chain(orders)
        .chain(members)
        .chain(leases)
        .collect()
}

/// Runs one pair once for each seed below `seeds`.
#[must_use]
pub fn run_pair(pair: &FaultPair, seeds: u64) -> MatrixCell {
    let (first, second) = (pair.first, pair.second);
    let findings = run_seeds(pair.scenario, &[first, second], seeds);
    MatrixCell {
        fault: format!("{} + {}", first.0, second.0),
        step: format!("{} + {}", first.1, second.1),
        promise: related_promise(first.1),
        outcome: super::cell::CellOutcome::Passed,
        test: pair.scenario.test_name().to_owned(),
        runs: seeds,
        findings,
    }
    .with_outcome()
}
