//! How each cell of the matrix is run, or why it is excluded.

use oatpier_checker::PromiseName;

use super::cell::{CellPlan, ScenarioKind};
use crate::fault::FaultKind;
use crate::step::{StepName, StepPath};

const NO_MESSAGE: &str = "the step is a decision inside one process: no message is sent";
const NO_STORE: &str = "the step makes no call to the store";
const NO_WRITE: &str = "the step writes nothing to the store";
const NO_LEASE: &str = "the step depends on no lease or ownership";
const NO_WATCH: &str = "the step waits for no watch";
const NO_VM_LIST: &str = "the step does not read the list of VMs";
const NO_REPORT: &str = "only the choice of an endpoint reads load reports";
const NO_CACHE: &str = "only the choice of an endpoint reads cache events";
const NO_OPERATOR: &str = "the step changes nothing that operators write";
const NO_WALL_CLOCK: &str = "decisions read the runtime's monotonic clock only, which a step of the wall clock does not change";
const ONE_CONNECTION: &str = "the bytes of one call arrive over one connection, each once";
const OWN_CONNECTION: &str = "an answer returns over the connection of its request";

const NO_STOP_DELIVERY: &str = "no scenario yet covers how a stop order passes through the store, its watch and the list of VMs: the scenario begins when the registrars announce the stop";

/// Returns how a cell is run, or why it is not.
#[must_use]
pub fn cell_plan(fault: FaultKind, step: StepName) -> CellPlan {
    if step == StepName::StopTold && involves_store(fault) {
        return CellPlan::NotRun(NO_STOP_DELIVERY);
    }
    let reason = match fault {
        FaultKind::Kill | FaultKind::Restart | FaultKind::Pause => None,
        FaultKind::CutTo | FaultKind::CutFrom | FaultKind::CutBoth | FaultKind::SlowPeer => {
            (!has_peer(step)).then_some(NO_MESSAGE)
        }
        FaultKind::Lost | FaultKind::Late => (!has_message(step)).then_some(NO_MESSAGE),
        FaultKind::Doubled => duplication_exclusion(step),
        FaultKind::Crossed => misrouting_exclusion(step),
        FaultKind::StoreDown | FaultKind::StoreSlow => (!calls_store(step)).then_some(NO_STORE),
        FaultKind::AnswerLost => (!writes_store(step)).then_some(NO_WRITE),
        FaultKind::LeaseLapsed => (!depends_on_lease(step)).then_some(NO_LEASE),
        FaultKind::WatchBroken => (!waits_for_watch(step)).then_some(NO_WATCH),
        FaultKind::VmListWrong => (!reads_vm_list(step)).then_some(NO_VM_LIST),
        FaultKind::ReportStale => (step != StepName::Choose).then_some(NO_REPORT),
        FaultKind::CacheGap => (step != StepName::Choose).then_some(NO_CACHE),
        FaultKind::RacingOperators => (!has_operators(step)).then_some(NO_OPERATOR),
        FaultKind::ClockStep => (!records_wall_clock(step)).then_some(NO_WALL_CLOCK),
    };
    match reason {
        Some(reason) => CellPlan::CannotHappen(reason),
        None => CellPlan::Run(scenario_of(step)),
    }
}

fn scenario_of(step: StepName) -> ScenarioKind {
    match step {
        StepName::ConfigMerge | StepName::ConfigWrite => ScenarioKind::Configuration,
        StepName::StartEpoch => ScenarioKind::Orders,
        _ => match step.path() {
            StepPath::Request | StepPath::Stop => ScenarioKind::Request,
            StepPath::Order | StepPath::Move | StepPath::Version => ScenarioKind::Orders,
            StepPath::Lease => ScenarioKind::Lease,
            StepPath::Config | StepPath::Registration | StepPath::Start => ScenarioKind::Membership,
        },
    }
}

/// Returns the promise most closely related to a step.
pub(super) fn related_promise(step: StepName) -> PromiseName {
    match step {
        StepName::Claim | StepName::SettleClaim | StepName::Run => PromiseName::AtMostOnce,
        StepName::Intake | StepName::Choose | StepName::Relay => PromiseName::OwnAnswer,
        StepName::Send | StepName::Admit | StepName::Queue | StepName::Cancel => {
            PromiseName::TrueRefusal
        }
        StepName::MoveRelease | StepName::MoveDrain | StepName::VersionChange => {
            PromiseName::Reachability
        }
        StepName::StopTold | StepName::StopRefuse => PromiseName::Leaving,
        StepName::StopDrain | StepName::StopExit => PromiseName::GracefulStop,
        StepName::StartEpoch => PromiseName::Memory,
        _ => match step.path() {
            StepPath::Order | StepPath::Move => PromiseName::Memory,
            StepPath::Lease | StepPath::Registration => PromiseName::Reachability,
            StepPath::Start if step == StepName::StartRegister => PromiseName::Reachability,
            _ => PromiseName::Configuration,
        },
    }
}

/// Returns whether a fault affects the store, its watches, its operators or the list of VMs.
fn involves_store(fault: FaultKind) -> bool {
    matches!(
        fault,
        FaultKind::StoreDown
            | FaultKind::StoreSlow
            | FaultKind::AnswerLost
            | FaultKind::WatchBroken
            | FaultKind::VmListWrong
            | FaultKind::RacingOperators
    )
}

/// Returns whether the step sends a message; the listed steps stay within one process.
fn has_message(step: StepName) -> bool {
    !matches!(
        step,
        StepName::Choose
            | StepName::Queue
            | StepName::MoveDrain
            | StepName::ConfigMerge
            | StepName::StopRefuse
            | StepName::StopDrain
            | StepName::StopExit
    )
}

/// Returns whether a process communicates with another during the step, or waits for it.
fn has_peer(step: StepName) -> bool {
    has_message(step) || matches!(step, StepName::Queue | StepName::StopDrain)
}

fn duplication_exclusion(step: StepName) -> Option<&'static str> {
    match step {
        StepName::Run | StepName::Relay => Some(ONE_CONNECTION),
        _ => (!has_message(step)).then_some(NO_MESSAGE),
    }
}

fn misrouting_exclusion(step: StepName) -> Option<&'static str> {
    match step {
        StepName::Intake | StepName::ConfigWrite | StepName::ConfigWatch => Some(OWN_CONNECTION),
        _ if is_store_step(step) => Some(OWN_CONNECTION),
        _ => (!has_message(step)).then_some(NO_MESSAGE),
    }
}

/// Returns whether the step communicates with the store only.
fn is_store_step(step: StepName) -> bool {
    matches!(
        step,
        StepName::OrderIntent
            | StepName::LeaseTake
            | StepName::LeaseRenew
            | StepName::PlanWrite
            | StepName::StartEpoch
    )
}

fn calls_store(step: StepName) -> bool {
    let others = matches!(
        step,
        StepName::Claim
            | StepName::SettleClaim
            | StepName::ConfigMerge
            | StepName::ConfigWrite
            | StepName::ConfigWatch
            | StepName::ConfigSpread
            | StepName::ConfigInForce
            | StepName::StartConfig
            | StepName::OrderSend
            | StepName::MoveRelease
            | StepName::MoveLoad
            | StepName::MoveUnload
            | StepName::VersionChange
    );
    others || is_store_step(step)
}

fn writes_store(step: StepName) -> bool {
    let others = matches!(
        step,
        StepName::Claim
            | StepName::SettleClaim
            | StepName::ConfigWrite
            | StepName::OrderSend
            | StepName::MoveLoad
            | StepName::MoveUnload
            | StepName::VersionChange
    );
    others || is_store_step(step)
}

fn depends_on_lease(step: StepName) -> bool {
    let claims = matches!(step, StepName::Claim | StepName::SettleClaim);
    let orders = matches!(
        step.path(),
        StepPath::Lease | StepPath::Order | StepPath::Move | StepPath::Version
    );
    claims || orders || step == StepName::StartEpoch
}

fn waits_for_watch(step: StepName) -> bool {
    matches!(
        step,
        StepName::ConfigWatch
            | StepName::ConfigSpread
            | StepName::ConfigInForce
            | StepName::StartConfig
    )
}

fn reads_vm_list(step: StepName) -> bool {
    step == StepName::Choose
        || step.path() == StepPath::Registration
        || step == StepName::StartRegister
}

fn has_operators(step: StepName) -> bool {
    step.path() == StepPath::Config || step == StepName::StartConfig
}

/// Returns whether the step records a wall-clock time: only the operator's timestamp on a change is stored.
fn records_wall_clock(step: StepName) -> bool {
    matches!(step, StepName::ConfigMerge | StepName::ConfigWrite)
}
