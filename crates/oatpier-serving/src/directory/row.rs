//! What is known of one endpoint.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_policy::index::EndpointIndex;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{AdapterName, EndpointName, ModelName, PoolName, ZoneName};
use serde::{Deserialize, Serialize};

use super::REGISTRY_SETTLE;
use super::pulse::{KeptPulse, LoadView};
use super::rest::RestState;
use crate::engine::{AdapterKey, HeldModel, LocalCopies, StartTime};
use crate::health::{FailureShare, PaceEstimate};
use crate::message::EnginePulse;
use crate::notice::RequestRate;
use crate::quota::turns::TurnEstimates;
use crate::reading::ReadingLoad;
use crate::site::EngineRule;

/// A pulse older than this no longer says what the engine holds; the registry does. Six periods
/// of an idle sidecar.
pub const PULSE_LIFE: Duration = Duration::from_millis(1_500);

/// A sidecar that was heard and then not for this long is overdue: it tells something at least every
/// 0.8 s, and every tenth of a second while its engine works.
const PULSE_DUE: Duration = Duration::from_secs(1);

/// How much longer a load takes that should be done: nobody tells how far it is.
const READY_LEAST: Duration = Duration::from_millis(200);

/// How much longer a load takes whose engine waits for the streams of another model to end. They end one
/// by one; a stream takes one to a few seconds.
const DRAIN_GUESS: Duration = Duration::from_secs(1);

/// The time to the first piece that is assumed of an endpoint before it has answered, in
/// milliseconds, the reading of the prompt not counted: a step of a calm engine and the way there.
const FIRST_GUESS_MS: f64 = 15.0;

/// The time that a request is assumed to hold a slot before any has ended, in milliseconds: a few
/// hundred tokens at a calm engine.
const HOLD_GUESS_MS: f64 = 700.0;

/// As [`HOLD_GUESS_MS`] for a plain service.
const SERVICE_HOLD_GUESS_MS: f64 = 30.0;

/// An engine whose limit keeps its requests below this share of its slots holds its models for few callers.
const SQUEEZED_SHARE: f64 = 0.25;

/// A limit or a rest that is over within this is not worth a load elsewhere.
const SQUEEZED_AFTER: Duration = Duration::from_secs(2);

/// An endpoint as the registry lists it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Its name; one that starts again may keep it.
    pub name: EndpointName,
    /// Which start this entry is of, if it tells.
    pub start: Option<StartTime>,
    /// What it serves.
    pub service: PoolName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it is.
    pub zone: ZoneName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// What it held at its last heartbeat; empty for a plain service.
    pub models: Vec<HeldModel>,
    /// What it could load by itself at its last heartbeat.
    pub copies: LocalCopies,
}

/// A limit on the requests of all gateways that an endpoint named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedLimit {
    /// The limit.
    pub rate: RequestRate,
    /// Since when there is one.
    pub since: ClockTime,
    /// When it was last named.
    pub(super) named_at: ClockTime,
    /// When the last request was sent whose answer named it.
    pub(super) sent_at: ClockTime,
    /// When the endpoint may be sent the next request.
    pub(super) turns: TurnEstimates,
}

/// A model that an engine loads or is about to.
#[derive(Debug, Clone)]
pub(super) struct ComingModel {
    model: ModelName,
    since: ClockTime,
}

/// One endpoint.
#[derive(Debug)]
pub struct EndpointRow {
    /// Its registry entry.
    pub record: EndpointRecord,
    /// Its place in health and prefix tables.
    pub index: EndpointIndex,
    /// This gateway's requests there.
    pub own: u32,
    /// Time to the first piece, beyond the reading of prompts.
    pub first: PaceEstimate,
    /// This gateway's prompts that are being read there.
    pub reading: ReadingLoad,
    /// Time that a request holds a slot.
    pub hold: PaceEstimate,
    pub(super) load: LoadView,
    pub(super) pulse: Option<KeptPulse>,
    pub(super) failures: FailureShare,
    /// This gateway's requests there, by adapter; 0 for one that was used since the last greeting.
    pub(super) adapters: HashMap<AdapterKey, u32>,
    /// This gateway's requests there, by model.
    pub(super) models: HashMap<ModelName, u32>,
    /// The model that is coming, by its sidecar, and since when.
    pub(super) coming: Option<ComingModel>,
    pub(super) gone: bool,
    /// When it took its predecessor's place, before the registry listed it.
    pub(super) adopted_at: Option<ClockTime>,
    /// When its address last refused a connection: nothing listens there.
    pub(super) refused_at: Option<ClockTime>,
    /// When the last request was sent that it answered whole.
    pub(super) served_at: Option<ClockTime>,
    /// The limit that it named, while it names one.
    pub(super) limit: Option<NamedLimit>,
    /// Whether an answer of its said that it leaves.
    pub(super) says_leaving: bool,
    /// The rest that it asked this gateway for, until it serves as before.
    pub(super) rest: Option<RestState>,
}

impl EndpointRow {
    pub(super) fn new(record: EndpointRecord, index: EndpointIndex) -> Self {
        let is_engine = !record.models.is_empty();
        let hold = if is_engine {
            HOLD_GUESS_MS
        } else {
            SERVICE_HOLD_GUESS_MS
        };
        Self {
            record,
            index,
            own: 0,
            first: PaceEstimate::starting_at(FIRST_GUESS_MS),
            reading: ReadingLoad::default(),
            hold: PaceEstimate::starting_at(hold),
            load: LoadView::default(),
            pulse: None,
            failures: FailureShare::default(),
            adapters: HashMap::new(),
            models: HashMap::new(),
            coming: None,
            gone: false,
            adopted_at: None,
            refused_at: None,
            served_at: None,
            limit: None,
            says_leaving: false,
            rest: None,
        }
    }

    /// Whether an answer of its said that it leaves.
    #[must_use]
    pub fn says_leaving(&self) -> bool {
        self.says_leaving
    }

    /// How much longer it wants no requests from this gateway.
    #[must_use]
    pub fn rest_left(&self, now: ClockTime) -> Duration {
        self.rest.map_or(Duration::ZERO, |rest| rest.left(now))
    }

    /// Whether this gateway may send it a request, by the rest that it asked for.
    #[must_use]
    pub fn is_rested(&self, now: ClockTime) -> bool {
        self.rest.is_none_or(|rest| rest.may_try(now))
    }

    /// The limit on the requests of all gateways, if it named one.
    #[must_use]
    pub fn limit(&self) -> Option<NamedLimit> {
        self.limit
    }

    /// How long until a limit lets it be sent a request, at the least.
    #[must_use]
    pub fn turn_wait(&self, now: ClockTime) -> Duration {
        self.limit
            .map_or(Duration::ZERO, |limit| limit.turns.wait(now))
    }

    /// Whether its limit, or its rest, has left it so little for so long that its models need other holders.
    #[must_use]
    pub fn is_squeezed(&self, now: ClockTime) -> bool {
        let is_limited = self.limit.is_some_and(|limit| {
            let running = limit.rate.per_second() * self.hold.mean_ms() / 1e3;
            let is_small = running < f64::from(self.record.slots) * SQUEEZED_SHARE;
            is_small && now.since(limit.since) >= SQUEEZED_AFTER
        });
        let rests = |rest: RestState| now.since(rest.since) >= SQUEEZED_AFTER;
        is_limited || self.rest.is_some_and(rests)
    }

    /// Whether this gateway's requests use adapters there, or did since its last greeting.
    #[must_use]
    pub fn uses_adapters(&self) -> bool {
        !self.adapters.is_empty()
    }

    /// What is known of a start that ended is not true of the next one under the same name.
    pub(super) fn restart(&mut self, record: EndpointRecord, index: EndpointIndex) {
        *self = Self::new(record, index);
    }

    /// Whether a word on this endpoint is of another start than the one that is known.
    pub(super) fn is_other_start(&self, start: Option<StartTime>) -> bool {
        let known = self.record.start;
        known.is_some() && start.is_some() && known != start
    }

    /// A request for a model is over.
    pub(super) fn release_model(&mut self, model: &ModelName) {
        let Some(requests) = self.models.get_mut(model) else {
            return;
        };
        *requests = requests.saturating_sub(1);
        if *requests == 0 {
            self.models.remove(model);
        }
    }

    /// The last pulse, unless it is too old to say anything.
    #[must_use]
    pub fn pulse(&self, now: ClockTime) -> Option<&EnginePulse> {
        let kept = self.pulse.as_ref()?;
        (now.since(kept.at) <= PULSE_LIFE).then_some(&kept.pulse)
    }

    /// How old the last pulse is, if it still counts.
    #[must_use]
    pub fn pulse_age(&self, now: ClockTime) -> Option<Duration> {
        let age = now.since(self.pulse.as_ref()?.at);
        (age <= PULSE_LIFE).then_some(age)
    }

    /// The time to read what was sent there or waits for a permit, in milliseconds, as far as known.
    #[must_use]
    pub fn reading_ahead_ms(&self, now: ClockTime) -> f64 {
        let told = self.pulse(now).map_or(0, |pulse| pulse.permit_wait_ms);
        self.reading.ms().max(f64::from(told))
    }

    /// Whether its sidecar was heard and has fallen silent.
    #[must_use]
    pub fn is_overdue(&self, now: ClockTime) -> bool {
        self.pulse
            .as_ref()
            .is_some_and(|kept| now.since(kept.at) > PULSE_DUE)
    }

    /// Whether it was taken for its predecessor's successor lately, so that the registry may not list
    /// it yet.
    pub(super) fn is_adopted(&self, now: ClockTime) -> bool {
        self.adopted_at
            .is_some_and(|at| now.since(at) < REGISTRY_SETTLE)
    }

    /// Whether it may get new requests.
    #[must_use]
    pub fn is_open(&self, now: ClockTime) -> bool {
        let leaving = self.record.draining || self.gone;
        !leaving && !self.pulse(now).is_some_and(|pulse| pulse.draining)
    }

    /// What it holds, by the newest word.
    #[must_use]
    pub fn models(&self, now: ClockTime) -> &[HeldModel] {
        match self.pulse(now) {
            Some(pulse) => &pulse.models,
            None => &self.record.models,
        }
    }

    /// Whether a model is there and stays.
    #[must_use]
    pub fn holds(&self, model: &ModelName, now: ClockTime) -> bool {
        let retiring = self
            .pulse(now)
            .is_some_and(|pulse| pulse.retiring.contains(model));
        !retiring && self.models(now).iter().any(|held| held.model == *model)
    }

    /// How long a load of a model takes there, by what it has copies of.
    #[must_use]
    pub fn load_time(
        &self,
        model: &ModelName,
        rule: &EngineRule,
        now: ClockTime,
    ) -> Option<Duration> {
        let pulse = self.pulse(now)?;
        Some(rule.model(model)?.load_with(&pulse.copies))
    }

    /// When a model will be there, if it is being loaded or is about to be.
    #[must_use]
    pub fn ready_in(
        &self,
        model: &ModelName,
        rule: &EngineRule,
        now: ClockTime,
    ) -> Option<Duration> {
        let pulse = self.pulse(now)?;
        let coming = self.coming.as_ref()?;
        if coming.model != *model {
            return None;
        }
        let load = self.load_time(model, rule, now)?;
        if pulse.retiring.is_empty() {
            Some(
                load.saturating_sub(now.since(coming.since))
                    .max(READY_LEAST),
            )
        } else {
            Some(load + DRAIN_GUESS)
        }
    }

    /// Keeps a pulse. Pulses and words on the load come by different relays, so a newer word on the load may
    /// be here already.
    pub(super) fn keep(&mut self, pulse: EnginePulse, now: ClockTime) {
        let newer = self.pulse.as_ref().map(KeptPulse::load);
        let mut kept = KeptPulse {
            load_number: pulse.number,
            pulse,
            at: now,
            whole_at: now,
        };
        if !newer.is_some_and(|load| kept.take_load(&load)) {
            self.load.renew(kept.pulse.load);
        }
        self.pulse = Some(kept);
        self.note_coming(now);
    }

    /// Notes what the last pulse says of a model that is coming.
    pub(super) fn note_coming(&mut self, now: ClockTime) {
        let loading = self.pulse(now).and_then(|pulse| pulse.loading.clone());
        let draining = self
            .pulse(now)
            .is_some_and(|pulse| !pulse.retiring.is_empty());
        let known = self.coming.take();
        let known = known.filter(|known| !draining && loading.as_ref() == Some(&known.model));
        let fresh = || loading.map(|model| ComingModel { model, since: now });
        self.coming = known.or_else(fresh);
    }

    /// Whether it loads a model or is about to, which the unloading of others comes before.
    #[must_use]
    pub fn is_changing(&self, now: ClockTime) -> bool {
        self.pulse(now).is_some_and(|pulse| pulse.loading.is_some())
    }

    /// How far an adapter is.
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
        let coming = self.pulse(now).is_some_and(|pulse| {
            let is_it = |key: &AdapterKey| key.model == *model && key.adapter == *adapter;
            pulse.coming.iter().any(is_it)
        });
        if coming {
            AdapterState::Coming
        } else {
            AdapterState::Absent
        }
    }

    /// Adapters that could be loaded without waiting for requests that use others.
    #[must_use]
    pub fn adapter_room(&self, now: ClockTime) -> u32 {
        self.pulse(now).map_or(0, |pulse| pulse.adapter_room)
    }

    /// Requests there or waiting at its sidecar, as far as known.
    #[must_use]
    pub fn present(&self) -> u32 {
        let kept = self.pulse.as_ref();
        let asking = kept.map_or(0, |kept| kept.pulse.permits_waiting);
        self.load.present().max(self.own) + asking
    }

    /// Requests that waited there at its last word.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.load.waiting()
    }

    /// The share of its memory that requests take, from 0 to 1; 0 if it is not known.
    #[must_use]
    pub fn memory_share(&self, more: u64, now: ClockTime) -> f64 {
        let Some(pulse) = self.pulse(now).filter(|pulse| pulse.memory_total > 0) else {
            return 0.0;
        };
        #[expect(
            clippy::cast_precision_loss,
            reason = "token counts are far below 2^52"
        )]
        let share = (pulse.memory_used + more) as f64 / pulse.memory_total as f64;
        share
    }

    /// The share of all gateways' requests that failed there lately, by its sidecar's word.
    #[must_use]
    pub fn fleet_failure_share(&self, now: ClockTime) -> f64 {
        let percent = self.pulse(now).map_or(0, |pulse| pulse.failing_percent);
        f64::from(percent) / 100.0
    }

    /// The share of this gateway's requests that failed there lately.
    #[must_use]
    pub fn failure_share(&self, now: ClockTime) -> f64 {
        self.failures.at(now)
    }
}

/// How far an adapter is at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdapterState {
    /// Requests may use it.
    Ready,
    /// It is on its way.
    Coming,
    /// It has to be loaded.
    Absent,
}
