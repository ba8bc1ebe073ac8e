//! Helpers that build events and logs.

use oatpier_checker::{LogChecker, PromiseName, RuleBounds};
use oatpier_types::clock::ClockTime;
use oatpier_types::event::{AnswerEnd, FleetEvent, LoggedEvent};
use oatpier_types::ids::{AttemptId, Generation, RequestId};
use oatpier_types::names::{DaemonName, EndpointName, ModelName};
use oatpier_types::verdict::{Repeat, RunVerdict};

pub(crate) fn at(seconds: u64, event: FleetEvent) -> LoggedEvent {
    LoggedEvent {
        at: ClockTime::from_millis(seconds * 1_000),
        event,
    }
}

pub(crate) fn broken(log: &[LoggedEvent]) -> Vec<PromiseName> {
    LogChecker::new(RuleBounds::default())
        .check(log)
        .into_iter()
        .map(|breach| breach.promise)
        .collect()
}

pub(crate) fn daemon(name: &str) -> DaemonName {
    DaemonName::try_from(name).expect("a valid name")
}

pub(crate) fn endpoint(name: &str) -> EndpointName {
    EndpointName::try_from(name).expect("a valid name")
}

pub(crate) fn sent(request: u128, repeat: Repeat, key: Option<u64>) -> FleetEvent {
    FleetEvent::RequestSent {
        request: RequestId(request),
        repeat,
        key,
    }
}

pub(crate) fn run(request: u128, attempt: u128, key: Option<u64>) -> FleetEvent {
    FleetEvent::RunStarted {
        request: RequestId(request),
        attempt: AttemptId(attempt),
        endpoint: endpoint("engine-1"),
        key,
    }
}

pub(crate) fn complete(request: u128, content_of: u128) -> FleetEvent {
    FleetEvent::AnswerEnded {
        request: RequestId(request),
        content_of: Some(RequestId(content_of)),
        end: AnswerEnd::Whole,
        verdict: RunVerdict::Ran,
        in_time: true,
    }
}

pub(crate) fn failed(request: u128, end: AnswerEnd, verdict: RunVerdict) -> FleetEvent {
    FleetEvent::AnswerEnded {
        request: RequestId(request),
        content_of: None,
        end,
        verdict,
        in_time: false,
    }
}

pub(crate) fn replicas(count: u32) -> FleetEvent {
    FleetEvent::ReplicasReady {
        model: ModelName::try_from("seating").expect("a valid name"),
        count,
    }
}

pub(crate) fn ended(name: &str, killed: bool, cut_off: u32) -> FleetEvent {
    FleetEvent::Ended {
        name: daemon(name),
        killed,
        cut_off,
    }
}

pub(crate) fn accepted(generation: u64) -> FleetEvent {
    FleetEvent::ConfigAccepted {
        generation: Generation(generation),
    }
}

pub(crate) fn in_force(name: &str, generation: u64, content: u64) -> FleetEvent {
    FleetEvent::ConfigInForce {
        daemon: daemon(name),
        generation: Generation(generation),
        content,
    }
}
