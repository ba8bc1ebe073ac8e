//! The state of one endpoint.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_policy::index::EndpointIndex;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{AdapterName, EndpointName, ModelName, PoolName, ZoneName};
use oatpier_types::software::SoftwareVersion;
use serde::{Deserialize, Serialize};

use super::REGISTRY_GRACE;
use super::capacity::CapacityState;
use super::rest::RestState;
use super::status::{LatestStatus, LoadEstimate};
use crate::engine::{AdapterKey, HeldModel, LocalCopies, StartTime};
use crate::health::{DurationEstimate, FailureShare};
use crate::message::EngineStatus;
use crate::notice::RequestRate;
use crate::pacing::StatusLifetime;
use crate::prefill::PrefillBacklog;
use crate::quota::turns::TurnEstimates;
use crate::site::EngineRule;

/// Minimum remaining time assumed for a load in progress. It applies to a load that exceeds its expected
/// duration, because engines report no progress.
const MIN_REMAINING_LOAD: Duration = Duration::from_millis(200);

/// Additional load time assumed while the engine waits for the streams of another model to end. They end
/// one by one, and a stream takes one to a few seconds.
const INITIAL_DRAIN_TIME: Duration = Duration::from_secs(1);

/// Initial estimate of the time to the first chunk, in milliseconds, not counting the prefill. It covers
/// one step of an engine under low load and the network latency.
const INITIAL_FIRST_CHUNK_MS: f64 = 15.0;

/// Initial estimate of how long a request holds a slot, in milliseconds. It corresponds to a few hundred
/// tokens at an engine under low load.
const INITIAL_HOLD_MS: f64 = 700.0;

/// Like [`INITIAL_HOLD_MS`], for a plain service.
const INITIAL_SERVICE_HOLD_MS: f64 = 30.0;

/// An endpoint is throttled if its rate limit keeps its running requests below this share of its slots: it
/// then holds its models for few requests.
const THROTTLED_SHARE: f64 = 0.25;

/// A rate limit or rest period that ends within this time does not justify loading the model elsewhere.
const THROTTLED_AFTER: Duration = Duration::from_secs(2);

/// An endpoint as listed in the registry.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Name of the endpoint, which it may keep across restarts.
    pub name: EndpointName,
    /// Start time of the incarnation that the entry describes, if known.
    pub start: Option<StartTime>,
    /// The version of this incarnation's software; `None` if it is not known.
    pub version: Option<SoftwareVersion>,
    /// The service that it provides.
    pub service: PoolName,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts no new work.
    pub draining: bool,
    /// Remaining time for which it is slow after its start.
    pub cold: Duration,
    /// Models that it held at its last heartbeat; empty for a plain service.
    pub models: Vec<HeldModel>,
    /// Models that it could load from local copies at its last heartbeat.
    pub copies: LocalCopies,
}

/// A rate limit, over the requests of all gateways, that an endpoint has reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLimit {
    /// The limit.
    pub rate: RequestRate,
    /// When the endpoint first reported a limit, with no response without one since.
    pub since: ClockTime,
    /// When it was last reported.
    pub(super) reported_at: ClockTime,
    /// When the latest request was sent whose response reported it.
    pub(super) sent_at: ClockTime,
    /// Estimates of when the endpoint may be sent the next requests.
    pub(super) turns: TurnEstimates,
}

/// A model that an engine is loading or about to load.
#[derive(Debug, Clone)]
pub(super) struct LoadingModel {
    model: ModelName,
    since: ClockTime,
}

/// An endpoint in the directory.
#[derive(Debug)]
pub struct EndpointRow {
    /// Its registry entry.
    pub record: EndpointRecord,
    /// Its index in the health and prefix tables.
    pub index: EndpointIndex,
    /// Number of this gateway's requests in progress at the endpoint.
    pub own_requests: u32,
    /// Time to the first chunk after the prefill.
    pub first_chunk: DurationEstimate,
    /// Prefill of this gateway's prompts at the endpoint.
    pub prefill: PrefillBacklog,
    /// Time for which a request holds a slot.
    pub slot_time: DurationEstimate,
    pub(super) load: LoadEstimate,
    pub(super) status: Option<LatestStatus>,
    pub(super) failures: FailureShare,
    /// This gateway's requests in progress by adapter; 0 for an adapter that was used since the last
    /// subscription.
    pub(super) adapters: HashMap<AdapterKey, u32>,
    /// This gateway's requests in progress by model.
    pub(super) models: HashMap<ModelName, u32>,
    /// The model that is being loaded according to the sidecar, and since when.
    pub(super) loading: Option<LoadingModel>,
    pub(super) is_gone: bool,
    /// When it replaced its predecessor, until the registry lists it.
    pub(super) adopted_at: Option<ClockTime>,
    /// The latest incarnation that its registry entry has reported as draining. The entry may precede the
    /// incarnation's first status update.
    pub(super) listed_draining: Option<StartTime>,
    /// When its address last refused a connection, which means that nothing listens there.
    pub(super) refused_at: Option<ClockTime>,
    /// When the latest request was sent that it answered completely.
    pub(super) served_at: Option<ClockTime>,
    /// The rate limit that it currently reports, if any.
    pub(super) limit: Option<ReportedLimit>,
    /// Whether it has reported in a response that it is leaving.
    pub(super) is_leaving: bool,
    /// The rest period that it asked this gateway for, until the ramp-up afterwards is complete.
    pub(super) rest: Option<RestState>,
    pub(super) capacity: CapacityState,
}

impl EndpointRow {
    pub(super) fn new(record: EndpointRecord, index: EndpointIndex) -> Self {
        let is_engine = !record.models.is_empty();
        let hold = if is_engine {
            INITIAL_HOLD_MS
        } else {
            INITIAL_SERVICE_HOLD_MS
        };
        let listed_draining = record.start.filter(|_| record.draining);
        Self {
            record,
            index,
            own_requests: 0,
            first_chunk: DurationEstimate::starting_at(INITIAL_FIRST_CHUNK_MS),
            prefill: PrefillBacklog::default(),
            slot_time: DurationEstimate::starting_at(hold),
            load: LoadEstimate::default(),
            status: None,
            failures: FailureShare::default(),
            adapters: HashMap::new(),
            models: HashMap::new(),
            loading: None,
            is_gone: false,
            adopted_at: None,
            listed_draining,
            refused_at: None,
            served_at: None,
            limit: None,
            is_leaving: false,
            rest: None,
            capacity: CapacityState::default(),
        }
    }

    /// Returns whether it has reported in a response that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the time until the end of the rest period that it asked this gateway for.
    #[must_use]
    pub fn rest_left(&self, now: ClockTime) -> Duration {
        self.rest.map_or(Duration::ZERO, |rest| rest.remaining(now))
    }

    /// Returns whether its rest period and the ramp-up afterwards allow this gateway to send a request.
    #[must_use]
    pub fn allows_request(&self, now: ClockTime) -> bool {
        self.rest.is_none_or(|rest| rest.allows_request(now))
    }

    /// Returns the rate limit over all gateways that it reports, if any.
    #[must_use]
    pub fn limit(&self) -> Option<ReportedLimit> {
        self.limit
    }

    /// Returns the minimum wait until its rate limit allows a request.
    #[must_use]
    pub fn min_turn_wait(&self, now: ClockTime) -> Duration {
        self.limit
            .map_or(Duration::ZERO, |limit| limit.turns.wait(now))
    }

    /// Returns whether its rate limit or rest period has restricted it so much and for so long that its
    /// models need other holders.
    #[must_use]
    pub fn is_throttled(&self, now: ClockTime) -> bool {
        let is_limited = self.limit.is_some_and(|limit| {
            let running = limit.rate.per_second() * self.slot_time.mean_ms() / 1e3;
            let is_small = running < f64::from(self.record.slots) * THROTTLED_SHARE;
            is_small && now.since(limit.since) >= THROTTLED_AFTER
        });
        let rests = |rest: RestState| now.since(rest.since) >= THROTTLED_AFTER;
        is_limited || self.rest.is_some_and(rests)
    }

    /// Returns whether this gateway's requests use its adapters or have used them since the last subscription.
    #[must_use]
    pub fn uses_adapters(&self) -> bool {
        !self.adapters.is_empty()
    }

    /// Resets the state for a new incarnation. Nothing known about the previous incarnation applies to the
    /// new one, even under the same name. The registry may already have reported the new one as draining.
    pub(super) fn restart(&mut self, record: EndpointRecord, index: EndpointIndex) {
        *self = Self {
            listed_draining: self.listed_draining,
            ..Self::new(record, index)
        };
    }

    /// Records that a registry entry lists it, and which incarnation the entry reports as draining.
    pub(super) fn note_listed(&mut self, record: &EndpointRecord) {
        self.adopted_at = None;
        if record.draining {
            self.listed_draining = record.start;
        }
    }

    /// Returns whether a registry entry has reported the incarnation as draining.
    pub(super) fn is_listed_draining(&self, start: Option<StartTime>) -> bool {
        start.is_some() && self.listed_draining == start
    }

    /// Returns whether a start time belongs to another incarnation than the known one.
    pub(super) fn is_other_incarnation(&self, start: Option<StartTime>) -> bool {
        let known = self.record.start;
        known.is_some() && start.is_some() && known != start
    }

    /// Returns whether a registry entry states another software version than the known one, which an incarnation keeps
    /// for life. Endpoints without start times may restart unnoticed otherwise.
    pub(super) fn is_other_version(&self, record: &EndpointRecord) -> bool {
        let known = &self.record.version;
        known.is_some() && record.version.is_some() && *known != record.version
    }

    /// Returns whether a registry entry states another service. Nothing known about the endpoint applies there.
    pub(super) fn is_of_other_service(&self, record: &EndpointRecord) -> bool {
        self.record.service != record.service
    }

    /// Records that a request for a model has ended.
    pub(super) fn release_model(&mut self, model: &ModelName) {
        let Some(requests) = self.models.get_mut(model) else {
            return;
        };
        *requests = requests.saturating_sub(1);
        if *requests == 0 {
            self.models.remove(model);
        }
    }

    /// Returns the latest status update, unless it has expired.
    #[must_use]
    pub fn status(&self, now: ClockTime) -> Option<&EngineStatus> {
        let kept = self.status.as_ref()?;
        (now.since(kept.at) <= kept.lifetime.expires_after).then_some(&kept.status)
    }

    /// Returns the age of the latest status update, unless it has expired.
    #[must_use]
    pub fn status_age(&self, now: ClockTime) -> Option<Duration> {
        let kept = self.status.as_ref()?;
        let age = now.since(kept.at);
        (age <= kept.lifetime.expires_after).then_some(age)
    }

    /// Returns the prefill time, in milliseconds, of the prompts known to be at the endpoint or to wait for
    /// a permit.
    #[must_use]
    pub fn pending_prefill_ms(&self, now: ClockTime) -> f64 {
        let queued_ms = self.status(now).map_or(0, |status| status.permit_wait_ms);
        self.prefill.total_ms().max(f64::from(queued_ms))
    }

    /// Returns whether its sidecar has sent updates before but is overdue with the next one.
    #[must_use]
    pub fn is_overdue(&self, now: ClockTime) -> bool {
        self.status
            .as_ref()
            .is_some_and(|kept| now.since(kept.at) > kept.lifetime.overdue_after)
    }

    /// Returns whether it replaced its predecessor so recently that a registry of the time `settled_at` need not have
    /// listed it yet. Without that time, entries of running endpoints may be missing.
    pub(super) fn may_be_unlisted(&self, settled_at: Option<ClockTime>) -> bool {
        let is_early = |adopted_at| settled_at.is_none_or(|at| at < adopted_at + REGISTRY_GRACE);
        self.adopted_at.is_some_and(is_early)
    }

    /// Returns whether it may be sent new requests.
    #[must_use]
    pub fn is_open(&self, now: ClockTime) -> bool {
        let leaving = self.record.draining || self.is_gone;
        !leaving && !self.status(now).is_some_and(|status| status.draining)
    }

    /// Returns the models that it holds according to the newest source.
    #[must_use]
    pub fn models(&self, now: ClockTime) -> &[HeldModel] {
        match self.status(now) {
            Some(status) => &status.models,
            None => &self.record.models,
        }
    }

    /// Returns whether it holds a model that is not about to be unloaded.
    #[must_use]
    pub fn holds(&self, model: &ModelName, now: ClockTime) -> bool {
        let retiring = self
            .status(now)
            .is_some_and(|status| status.retiring.contains(model));
        !retiring && self.models(now).iter().any(|held| held.model == *model)
    }

    /// Returns how long it takes to load a model, given its local copies.
    #[must_use]
    pub fn load_time(
        &self,
        model: &ModelName,
        rule: &EngineRule,
        now: ClockTime,
    ) -> Option<Duration> {
        let status = self.status(now)?;
        Some(rule.model(model)?.load_with(&status.copies))
    }

    /// Returns the time until a model is ready, if it is being loaded or about to be loaded.
    #[must_use]
    pub fn ready_in(
        &self,
        model: &ModelName,
        rule: &EngineRule,
        now: ClockTime,
    ) -> Option<Duration> {
        let status = self.status(now)?;
        let loading = self.loading.as_ref()?;
        if loading.model != *model {
            return None;
        }
        let load = self.load_time(model, rule, now)?;
        if status.retiring.is_empty() {
            Some(
                load.saturating_sub(now.since(loading.since))
                    .max(MIN_REMAINING_LOAD),
            )
        } else {
            Some(load + INITIAL_DRAIN_TIME)
        }
    }

    /// Stores a status update. Status updates and load updates arrive through different relays, so a newer
    /// load update may already have been applied.
    pub(super) fn store_status(
        &mut self,
        status: EngineStatus,
        lifetime: StatusLifetime,
        now: ClockTime,
    ) {
        let newer = self.status.as_ref().map(LatestStatus::load);
        let mut kept = LatestStatus {
            load_number: status.number,
            status,
            at: now,
            lifetime,
        };
        if !newer.is_some_and(|load| kept.take_load(&load)) {
            self.load.reset(kept.status.load);
        }
        self.status = Some(kept);
        self.update_loading(now);
    }

    /// Updates which model is being loaded from the latest status update.
    pub(super) fn update_loading(&mut self, now: ClockTime) {
        let loading = self.status(now).and_then(|status| status.loading.clone());
        let draining = self
            .status(now)
            .is_some_and(|status| !status.retiring.is_empty());
        let known = self.loading.take();
        let known = known.filter(|known| !draining && loading.as_ref() == Some(&known.model));
        let fresh = || loading.map(|model| LoadingModel { model, since: now });
        self.loading = known.or_else(fresh);
    }

    /// Returns whether it is loading a model or about to load one, including the time to unload others
    /// first.
    #[must_use]
    pub fn is_changing(&self, now: ClockTime) -> bool {
        self.status(now)
            .is_some_and(|status| status.loading.is_some())
    }

    /// Returns the state of an adapter.
    #[must_use]
    pub fn adapter(
        &self,
        model: &ModelName,
        adapter: &AdapterName,
        now: ClockTime,
    ) -> AdapterState {
        let held = self.models(now).iter().find(|held| held.model == *model);
        if held.is_some_and(|held| held.adapters.contains(adapter)) {
            return AdapterState::Ready;
        }
        let coming = self.status(now).is_some_and(|status| {
            let is_it = |key: &AdapterKey| key.model == *model && key.adapter == *adapter;
            status.coming.iter().any(is_it)
        });
        if coming {
            AdapterState::Coming
        } else {
            AdapterState::Absent
        }
    }

    /// Returns the number of adapters that can be loaded without waiting for requests that use others.
    #[must_use]
    pub fn adapter_room(&self, now: ClockTime) -> u32 {
        self.status(now).map_or(0, |status| status.adapter_room)
    }

    /// Returns the number of requests known to be at the endpoint or queued at its sidecar.
    #[must_use]
    pub fn request_count(&self) -> u32 {
        let kept = self.status.as_ref();
        let asking = kept.map_or(0, |kept| kept.status.permits_waiting);
        self.load.present().max(self.own_requests) + asking
    }

    /// Returns the number of requests queued at the endpoint according to its latest report.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.load.waiting()
    }

    /// Returns the share of its memory taken by requests and `more` additional tokens, as a fraction; 0 if
    /// unknown.
    #[must_use]
    pub fn memory_share(&self, more: u64, now: ClockTime) -> f64 {
        let Some(status) = self.status(now).filter(|status| status.memory_total > 0) else {
            return 0.0;
        };
        #[expect(
            clippy::cast_precision_loss,
            reason = "token counts are far below 2^52"
        )]
        let share = (status.memory_used + more) as f64 / status.memory_total as f64;
        share
    }

    /// Returns the share of all gateways' requests that have failed there recently, as reported by its
    /// sidecar.
    #[must_use]
    pub fn fleet_failure_share(&self, now: ClockTime) -> f64 {
        let percent = self.status(now).map_or(0, |status| status.failing_percent);
        f64::from(percent) / 100.0
    }

    /// Returns the share of this gateway's requests that have failed there recently.
    #[must_use]
    pub fn failure_share(&self, now: ClockTime) -> f64 {
        self.failures.at(now)
    }
}

/// The state of an adapter at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdapterState {
    /// The adapter is loaded and can be used.
    Ready,
    /// The adapter is being loaded.
    Coming,
    /// The adapter is not loaded.
    Absent,
}
