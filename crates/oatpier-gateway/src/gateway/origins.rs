//! Finds the software version at which the stream began that a request takes up, and sends records of new streams to the
//! gateways that hold them.

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use oatpier_serving::choice::VersionPin;
use oatpier_serving::message::{InnerMessage, OriginAnswer, OriginAsk};
use oatpier_serving::origins::{
    HolderLookup, HolderRecords, LookupStep, OriginAttestation, OriginRecord, OriginSource,
    ResumedStream, StreamKey, StreamStart, UnknownCause,
};
use oatpier_types::clock::ClockTime;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::software::SoftwareVersion;

use super::core::{CoreState, GatewayCore};
use super::local_responses::LocalResponse;
use super::placement::RequestContext;
use super::subscriptions::engine_services;

/// Timeout for a holder's answer: several times the network latency between availability zones plus the scheduling delay
/// of a busy processor.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// Number of times that a holder is asked.
const ASK_TRIES: u32 = 3;

/// The `Retry-After` sent when holders did not answer; the next attempt reaches another gateway.
const NO_ANSWER_RETRY_AFTER: Duration = Duration::from_millis(250);

/// How the version of a stream was found that a request takes up.
#[derive(Debug, Clone, Copy)]
pub struct OriginFinding {
    /// The source.
    pub source: OriginSource,
    /// The age of that knowledge.
    pub age: Duration,
}

/// Restricts a request that takes up a stream to the service and the version that began the stream.
///
/// # Errors
///
/// Returns the response to the caller if the stream can't go on.
pub(super) async fn take_up(
    core: &GatewayCore,
    context: &mut RequestContext,
) -> Result<(), LocalResponse> {
    let Some(resumption) = context.request.resumption.as_ref() else {
        return Ok(());
    };
    if !context.route.kind.is_resumable() {
        return Ok(());
    }
    let workspace = context.identity.workspace_name();
    // Without the first attempt there is no record to be found, but others still tell which versions they know.
    let attempt = resumption.first_attempt.as_ref();
    let attempt = attempt.unwrap_or(&context.request.id);
    let stream = ResumedStream {
        service: &context.service,
        key: StreamKey::new(workspace, attempt),
    };
    match core.find_origin(stream).await {
        LookupStep::Known(origin, source, age) => {
            context.finding = Some(OriginFinding { source, age });
            context.pin = VersionPin::Only(origin.version);
            let mut targets = context.route.targets.iter();
            if !targets.any(|target| target.service == origin.service) {
                return Err(refuse(RefusalCause::VersionMissing, None));
            }
            context.service = origin.service;
            Ok(())
        }
        LookupStep::Ask | LookupStep::Unknown(UnknownCause::NoAnswer) => Err(refuse(
            RefusalCause::StreamUnknown,
            Some(NO_ANSWER_RETRY_AFTER),
        )),
        LookupStep::Unknown(UnknownCause::NoRecord) => {
            Err(refuse(RefusalCause::StreamUnknown, None))
        }
    }
}

fn refuse(cause: RefusalCause, retry_after: Option<Duration>) -> LocalResponse {
    LocalResponse::Refused(Refusal { cause, retry_after })
}

impl GatewayCore {
    /// Records the versions of endpoints, if they have changed.
    pub(super) fn observe_versions(state: &mut CoreState, now: ClockTime) {
        for observed in state.directory.take_new_versions() {
            let origins = &mut state.origins;
            origins.observe(&observed.service, &observed.versions, now);
        }
    }

    /// Updates which sidecars hold records, after engines have changed.
    pub(super) fn update_record_sidecars(&self, state: &mut CoreState) {
        let Some(config) = state.config.clone() else {
            return;
        };
        let rows = engine_services(&config)
            .flat_map(|(service, _)| state.directory.service(service))
            .map(|row| SocketAddr::new(row.record.address.ip(), self.inner_port));
        let sidecars = rows.collect();
        state.origins.set_sidecars(sidecars);
    }

    /// Records at which version a stream began, before an event of it goes to the caller. Returns whether it is recorded: no
    /// record is needed while a single version has served for longer than a stream lasts.
    pub(super) fn record_stream(
        &self,
        context: &RequestContext,
        version: Option<&SoftwareVersion>,
    ) -> bool {
        let resumption = context.request.resumption.as_ref();
        let first_attempt = resumption.and_then(|resumption| resumption.first_attempt.as_ref());
        let timeout = context.request.caller_timeout;
        let start = StreamStart {
            workspace: context.identity.workspace_name(),
            attempt: first_attempt.unwrap_or(&context.request.id),
            service: &context.service,
            version,
            timeout: timeout.unwrap_or(context.route.timeout),
        };
        let now = self.clock.now();
        let records = self.lock().origins.record(&start, now);
        let is_recorded = records.is_some();
        self.send_origin_records(records.unwrap_or_default());
        is_recorded
    }

    /// Sends the records of the last interval to their holders once more.
    pub(super) fn repeat_origin_records(&self) {
        let now = self.clock.now();
        let records = self.lock().origins.take_repeated(now);
        self.send_origin_records(records);
    }

    fn send_origin_records(&self, records: Vec<HolderRecords>) {
        for batch in records {
            self.outlet
                .send(batch.holder, &InnerMessage::StreamsBegun(batch.records));
        }
    }

    /// Keeps records of another gateway.
    pub fn keep_origin_records(&self, records: Vec<OriginRecord>) {
        let now = self.clock.now();
        self.lock().origins.keep(records, now);
    }

    /// Answers the question of another gateway about a stream.
    pub fn answer_origin_ask(&self, from: SocketAddr, ask: &OriginAsk) {
        let now = self.clock.now();
        let stream = ResumedStream {
            service: &ask.service,
            key: ask.key,
        };
        let state = self.lock();
        let attestation = state.origins.attest(stream, state.store_age.age(now), now);
        drop(state);
        let answer = OriginAnswer {
            id: ask.id,
            attestation,
        };
        self.outlet
            .send(from, &InnerMessage::OriginAnswer(Box::new(answer)));
    }

    /// Handles the answer of a holder to a question about a stream.
    pub fn complete_origin_ask(&self, answer: OriginAnswer) {
        self.origin_asks.complete(answer.id, answer.attestation);
    }

    /// Finds where a stream began.
    async fn find_origin(&self, stream: ResumedStream<'_>) -> LookupStep {
        let HolderLookup {
            mut lookup,
            holders,
            sidecars,
        } = self.begin_lookup(stream);
        let step = lookup.step(holders.is_empty() && sidecars.is_empty());
        if step != LookupStep::Ask {
            return step;
        }
        let gateways = holders.into_iter().map(|holder| (holder, false));
        let sidecars = sidecars.into_iter().map(|holder| (holder, true));
        let mut asks: FuturesUnordered<_> = gateways
            .chain(sidecars)
            .map(async |(holder, is_sidecar)| {
                let answer = self.ask_holder(holder, stream).await;
                (answer, is_sidecar)
            })
            .collect();
        while let Some((answer, is_sidecar)) = asks.next().await {
            match answer {
                Some(attestation) if is_sidecar => lookup.add_sidecar_answer(attestation),
                Some(attestation) => lookup.add_answer(attestation),
                None => {}
            }
            let step = lookup.step(asks.is_empty());
            if step != LookupStep::Ask {
                return step;
            }
        }
        lookup.step(true)
    }

    fn begin_lookup(&self, stream: ResumedStream<'_>) -> HolderLookup {
        let now = self.clock.now();
        let max_registry_age = self.settings.borrow().bounds.drain;
        let mut state = self.lock();
        let registry_age = state.store_age.age(now);
        state
            .origins
            .look_up(stream, registry_age, max_registry_age, now)
    }

    async fn ask_holder(
        &self,
        holder: SocketAddr,
        stream: ResumedStream<'_>,
    ) -> Option<OriginAttestation> {
        for _ in 0..ASK_TRIES {
            let send = |id| {
                let ask = OriginAsk {
                    id,
                    key: stream.key,
                    service: stream.service.clone(),
                };
                self.outlet.send(holder, &InnerMessage::OriginAsk(ask));
            };
            let answer = self.origin_asks.ask(ANSWER_TIMEOUT, send).await;
            if answer.is_some() {
                return answer;
            }
        }
        None
    }
}
