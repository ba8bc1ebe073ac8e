//! Cancellation results that arrive after a request's final answer.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method};
use oatpier_claims::message::KeyHash;
use oatpier_duty::duty::{RingReceiver, RingRule, RuntimeClock, ring};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::{HopTracer, extract_parent};
use oatpier_entry::claims::ClaimCommand;
use oatpier_entry::core::{CoreRings, EntryCore};
use oatpier_entry::errors::RequestIdentity;
use oatpier_entry::intake::{CallIntake, CallParts};
use oatpier_entry::policy::RequestPolicy;
use oatpier_entry::run::RequestRun;
use oatpier_entry::sink::CallerSink;
use oatpier_entry::updates::CallersStatus;
use oatpier_policy::action::{CancelMode, EntryAction, EntryActions};
use oatpier_policy::event::{EntryEvent, RequestIntake};
use oatpier_policy::health::HealthTransition;
use oatpier_policy::outcome::{FinalAnswer, FinalCause};
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::names::{CallerName, ClassName, EndpointName, PoolName};
use oatpier_types::request::{PrefixChain, RequestGoal, TokenDemand};
use oatpier_types::status::{EndpointStatus, QueueReport};
use oatpier_types::verdict::{Repeat, RunVerdict};
use oatpier_wire::client::ClientLimits;
use oatpier_wire::peer::PeerClient;

use crate::support::daemon;

const REQUEST: RequestId = RequestId(7);
const ATTEMPT: AttemptId = AttemptId(8);
const KEY: KeyHash = KeyHash(9);
/// Timeout on the paused clock.
const SETTLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// Policy that answers "may have run" while a seal is pending, and releases the key when the seal
/// is answered.
struct PendingSealPolicy;

fn settle(verdict: RunVerdict) -> EntryAction {
    EntryAction::SettleClaim { key: 9, verdict }
}

impl RequestPolicy for PendingSealPolicy {
    fn apply_config(&mut self, _: &FleetConfig) {}
    fn on_status(&mut self, _: &EndpointStatus, _: ClockTime) {}
    fn on_queue_report(&mut self, _: &EndpointName, _: &QueueReport, _: ClockTime) {}
    fn mark_leaving(&mut self, _: &EndpointName, _: ClockTime) {}
    fn clear_leaving(&mut self, _: &EndpointName) {}
    fn forget(&mut self, _: &EndpointName, _: ClockTime) {}

    fn start(&mut self, _: RequestIntake, _: ClockTime) -> EntryActions {
        let answer = FinalAnswer {
            status: 504,
            cause: FinalCause::DeadlinePassed,
            verdict: RunVerdict::MayHaveRun,
            retry_after: None,
            has_begun: false,
            in_time: false,
        };
        EntryActions::from_iter([
            EntryAction::Cancel {
                endpoint: EndpointName::try_from("engine-1").unwrap(),
                attempt: ATTEMPT,
                mode: CancelMode::SealOnly,
            },
            settle(RunVerdict::MayHaveRun),
            EntryAction::Answer(answer),
        ])
    }

    fn handle(&mut self, _: RequestId, event: &EntryEvent, _: ClockTime) -> EntryActions {
        let is_cancel_answer = matches!(event, EntryEvent::CancelAnswered { .. });
        let late = is_cancel_answer.then(|| settle(RunVerdict::NotRun));
        late.into_iter().collect()
    }

    fn next_timer(&self) -> Option<ClockTime> {
        None
    }
    fn fire_timers(&mut self, _: ClockTime, _: &mut Vec<(RequestId, EntryActions)>) {}
    fn take_health_transitions(&mut self) -> Vec<HealthTransition> {
        Vec::new()
    }
    fn begin_stop(&mut self) {}
    fn in_flight(&self) -> usize {
        0
    }
    fn callers_status(&self, _: &FleetConfig, _: ClockTime) -> CallersStatus {
        CallersStatus::default()
    }
}

fn core() -> (Arc<EntryCore>, RingReceiver<ClaimCommand>) {
    let metrics = MetricSet::default();
    let (claims, received) = ring(16, RingRule::Wait, metrics.ring("claims"));
    let (paths, _) = ring(16, RingRule::Drop, metrics.ring("paths"));
    let (spans, _) = ring(16, RingRule::Drop, metrics.ring("spans"));
    let core = EntryCore::new(
        Box::new(PendingSealPolicy),
        RuntimeClock::start(),
        metrics,
        HopTracer::new(&daemon(0), spans),
        PeerClient::new(ClientLimits::default()),
        CoreRings { paths, claims },
    );
    (Arc::new(core), received)
}

fn keyed_request() -> CallIntake {
    CallIntake {
        goal: RequestGoal::Service {
            pool: PoolName::try_from("orders").unwrap(),
        },
        class: ClassName::try_from("interactive").unwrap(),
        caller: CallerName::try_from("shop").unwrap(),
        repeat: Repeat::AtMostOnce,
        key: Some(KEY),
        tokens: TokenDemand::default(),
        prefixes: PrefixChain::new(),
        stream: false,
        call: CallParts {
            method: Method::POST,
            path: "/orders".to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        },
    }
}

async fn next_verdict(claims: &RingReceiver<ClaimCommand>) -> Option<RunVerdict> {
    let next = tokio::time::timeout(SETTLE_TIMEOUT, claims.receive()).await;
    match next.ok()?? {
        ClaimCommand::Settle {
            key,
            request,
            verdict,
        } => {
            assert_eq!((key, request), (KEY, REQUEST));
            Some(verdict)
        }
        other => panic!("expected only settlements: {other:?}"),
    }
}

/// A non-idempotent request gets no response until its deadline and ends as "may have run" while
/// its seal is pending. Then the seal is answered: the request never ran. Its key has to be
/// released although the caller has its answer already; otherwise the caller could never submit the
/// request under this key.
#[tokio::test(start_paused = true)]
async fn a_seal_answered_after_the_final_answer_releases_the_key() {
    let (core, claims) = core();
    let identity = RequestIdentity {
        request: REQUEST,
        trace: 1,
    };
    let (sink, reply) = CallerSink::new(identity);
    let parent = extract_parent(&HeaderMap::new());
    let kind = opentelemetry::trace::SpanKind::Server;
    let span = core.tracer.start("entry.request", kind, &parent);
    let run = RequestRun::new(Arc::clone(&core), identity, keyed_request(), sink, span);
    run.run().await;
    assert_eq!(reply.await.unwrap().status().as_u16(), 504);
    assert_eq!(next_verdict(&claims).await, Some(RunVerdict::MayHaveRun));
    assert_eq!(next_verdict(&claims).await, Some(RunVerdict::NotRun));
}
