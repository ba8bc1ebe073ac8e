//! Injects the faults of a plan.

use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::fleet::SoakProcess;
use crate::history::{CallKind, FaultScope, ObservedEvent};
use crate::plan::{FaultStep, SoakFault};
use crate::proxy::{FaultLink, LinkMode};
use crate::run::SoakFleet;
use crate::standin::caller;
use crate::standin::endpoint::EndpointStandin;
use crate::standin::faults::{EndpointFaults, RunFailure};
use crate::standin::settings;
use crate::standin::store::StoreMode;

/// The interval between two sends of a crashing request.
const CRASH_SEND_INTERVAL: Duration = Duration::from_millis(230);

/// The share of requests that fail at an endpoint whose runs fail.
const FAILED_RUN_SHARE: f64 = 0.3;

/// Injects one fault at its start time, and records its end if it exempts gateways from checks.
pub(crate) async fn run_step(fleet: &SoakFleet, step: &FaultStep, started: Instant) {
    sleep_until(started + step.at).await;
    let since = fleet.history.now();
    inject_fault(fleet, step).await;
    if let Some(scope) = exempt_scope(&step.fault) {
        fleet
            .history
            .record(ObservedEvent::FaultEnded { scope, since });
    }
}

/// Returns the part that a fault affects, if the fault exempts gateways from checks.
fn exempt_scope(fault: &SoakFault) -> Option<FaultScope> {
    match fault {
        SoakFault::KillGateway(number)
        | SoakFault::StopGateway(number)
        | SoakFault::PauseGateway(number) => Some(FaultScope::Gateway(*number)),
        SoakFault::StoreLink(number, _) | SoakFault::RefuseGateway(number, _) => {
            Some(FaultScope::StoreLink(*number))
        }
        SoakFault::Link(number, _) => Some(FaultScope::Endpoint(*number)),
        SoakFault::KillAll => Some(FaultScope::AllGateways),
        SoakFault::Store(_) => Some(FaultScope::Store),
        SoakFault::StoreReturns(_) => Some(FaultScope::StoreCopy),
        _ => None,
    }
}

async fn inject_fault(fleet: &SoakFleet, step: &FaultStep) {
    match &step.fault {
        SoakFault::KillGateway(number) => fleet.gateways[*number].kill(),
        SoakFault::KillSidecar(number) => fleet.sidecars[*number].kill(),
        SoakFault::KillAll => {
            let all = fleet.gateways.iter().chain(&fleet.sidecars);
            all.for_each(SoakProcess::kill);
        }
        SoakFault::StopGateway(number) => fleet.gateways[*number].stop().await,
        SoakFault::ReloadGateway(number) => fleet.gateways[*number].reload(),
        SoakFault::PauseGateway(number) => fleet.gateways[*number].pause(step.lasts).await,
        SoakFault::PauseSidecar(number) => fleet.sidecars[*number].pause(step.lasts).await,
        SoakFault::Link(number, mode) => hold_mode(&fleet.links[*number], *mode, step.lasts).await,
        SoakFault::StoreLink(number, mode) => {
            hold_mode(&fleet.store_links[*number], *mode, step.lasts).await;
        }
        SoakFault::RefuseGateway(number, status) => {
            let entrance = &fleet.store_entrances[*number];
            entrance.set_refusal(StatusCode::from_u16(*status).ok());
            sleep(step.lasts).await;
            entrance.set_refusal(None);
        }
        SoakFault::Store(mode) => {
            fleet.store.set_mode(*mode);
            sleep(step.lasts).await;
            fleet.store.set_mode(StoreMode::Up);
        }
        SoakFault::Crash(number) => fleet.record_restart(fleet.endpoints[*number].crash().await),
        SoakFault::Drain(number) => fleet.record_restart(fleet.endpoints[*number].drain().await),
        SoakFault::LoseAnswers(number) => {
            let faults = EndpointFaults {
                lost_share: 0.3,
                ..EndpointFaults::default()
            };
            hold_faults(&fleet.endpoints[*number], faults, step.lasts).await;
        }
        SoakFault::Garble(number) => {
            let faults = EndpointFaults {
                cut_share: 0.3,
                ..EndpointFaults::default()
            };
            hold_faults(&fleet.endpoints[*number], faults, step.lasts).await;
        }
        SoakFault::LateOrders(number) => {
            let faults = EndpointFaults {
                late_order_share: 0.5,
                ..EndpointFaults::default()
            };
            hold_faults(&fleet.endpoints[*number], faults, step.lasts).await;
        }
        SoakFault::Configure => {
            let version = fleet.version.fetch_add(1, Ordering::Relaxed) + 1;
            fleet
                .store
                .configure(&settings::config(version, &fleet.models));
        }
        SoakFault::StoreReturns(age) => fleet.store.restore_copy(*age),
        SoakFault::Leave(number) => {
            fleet.record_restart(fleet.endpoints[*number].leave(step.lasts).await);
        }
        SoakFault::Retire(number, notice) => {
            fleet.record_restart(fleet.endpoints[*number].retire(*notice, step.lasts).await);
        }
        SoakFault::Rest(number, rest) => {
            let endpoint = &fleet.endpoints[*number];
            endpoint.change_notices(|notices| notices.rest = Some(*rest));
            sleep(step.lasts).await;
            endpoint.change_notices(|notices| notices.rest = None);
        }
        SoakFault::Limit(number, per_mille) => {
            let endpoint = &fleet.endpoints[*number];
            endpoint.change_notices(|notices| notices.limit_per_mille = Some(*per_mille));
            sleep(step.lasts).await;
            endpoint.change_notices(|notices| notices.limit_per_mille = None);
        }
        SoakFault::RepeatRefusals(number) => {
            let faults = EndpointFaults {
                refused_share: 0.3,
                ..EndpointFaults::default()
            };
            let link = &fleet.links[*number];
            let repeating = hold_mode(link, LinkMode::RepeatRefusals, step.lasts);
            let refusing = hold_faults(&fleet.endpoints[*number], faults, step.lasts);
            futures::future::join(repeating, refusing).await;
        }
        SoakFault::FailRuns(number, status) => {
            hold_run_failure(&fleet.endpoints[*number], *status, step.lasts).await;
        }
        SoakFault::Crowd(number) => {
            fleet.crowd.send_replace(Some(*number));
            sleep(step.lasts).await;
            let is_present = |crowd: &mut Option<usize>| crowd.take_if(|at| at == number).is_some();
            fleet.crowd.send_if_modified(is_present);
        }
        SoakFault::CrashingRequest(kind) => send_crashing_requests(fleet, *kind, step.lasts).await,
    }
}

/// Sends one request, each time under a new id, to the gateways in turn without waiting for responses.
async fn send_crashing_requests(fleet: &SoakFleet, kind: CallKind, span: Duration) {
    let deadline = Instant::now() + span;
    let mut sent = JoinSet::new();
    for number in 0.. {
        if Instant::now() >= deadline {
            break;
        }
        let index = usize::try_from(number).unwrap_or_default() % fleet.gateway_addresses.len();
        let gateway = fleet.gateway_addresses[index];
        let call = caller::crashing_call(kind, index, number, &fleet.models[0]);
        let history = fleet.history.clone();
        sent.spawn(async move {
            caller::send(&caller::new_client(), gateway, &call, None, &history).await;
        });
        sleep(CRASH_SEND_INTERVAL).await;
    }
    while sent.join_next().await.is_some() {}
}

async fn hold_mode(link: &FaultLink, mode: LinkMode, span: Duration) {
    link.set(mode);
    sleep(span).await;
    link.set(LinkMode::Open);
}

async fn hold_faults(endpoint: &EndpointStandin, faults: EndpointFaults, span: Duration) {
    endpoint.set_faults(faults);
    sleep(span).await;
    endpoint.set_faults(EndpointFaults::default());
}

async fn hold_run_failure(endpoint: &EndpointStandin, status: u16, span: Duration) {
    let status = StatusCode::from_u16(status).ok();
    let share = FAILED_RUN_SHARE;
    endpoint.set_run_failure(status.map(|status| RunFailure { share, status }));
    sleep(span).await;
    endpoint.set_run_failure(None);
}
