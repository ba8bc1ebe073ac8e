//! Decides which order an engine gets next.
//!
//! A sidecar is the only process that gives orders to its engine, so the limits that it enforces hold under
//! any network partition. The weights never exceed the engine's memory, the adapters never exceed its
//! slots, and the loads from the weight store never exceed the sidecar's share of the common rate. Gateways
//! can only make requests.
//!
//! Every order names the sequence number that the engine must be at. An order whose answer was lost may be
//! carried out seconds later. By then it was either repeated under the same sequence number, in which case
//! the engine accepts only one of the two, or another order has advanced the sequence and the late one is
//! invalid.

mod adapters;
mod pace;
mod rights;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::ModelName;
use smallvec::SmallVec;

use crate::engine::{AdapterKey, EngineOrder, EngineReport, OrderAnswer, StartTime};
use crate::message::{AdapterRequest, GatewaySubscription, LoadAdvice};

pub use adapters::held_adapters;
use pace::HeldShare;
pub use pace::LoadPace;
use rights::RequestedRight;
pub use rights::RightRequest;

/// Delay between telling gateways that a model is about to be unloaded and the order that unloads it.
/// Status updates reach the gateways within a few milliseconds, and requests that were sent earlier have arrived at
/// the engine by then.
const RETIRE_DELAY: Duration = Duration::from_millis(30);

/// Advice that could not be carried out for this long is dropped, because demand has changed since.
/// Unloading waits for the engine's requests, up to their deadlines.
const ADVICE_TIMEOUT: Duration = Duration::from_secs(12);

/// Time for which a gateway's report of the adapters in use is valid: three subscription intervals. A gateway
/// that is gone uses none.
const USE_TTL: Duration = Duration::from_millis(1_600);

/// An order whose answer was lost is carried out within this time or never. This is the longest known delay
/// of engines plus one second.
const ORPHAN_LIFETIME: Duration = Duration::from_secs(13);

/// An order and the sequence number that the engine must be at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SequencedOrder {
    /// The order.
    pub order: EngineOrder,
    /// Number of orders that the engine must have accepted before.
    pub expect: u64,
}

/// Advice that is not carried out yet, and the time at which it was received.
#[derive(Debug)]
struct PendingAdvice {
    advice: LoadAdvice,
    at: ClockTime,
}

/// An adapter, and the time at which it was last requested or began to drain.
#[derive(Debug, Clone)]
struct TimedAdapter {
    key: AdapterKey,
    at: ClockTime,
}

/// Adapters that the requests of one gateway use.
#[derive(Debug)]
struct GatewayAdapters {
    keys: Vec<AdapterKey>,
    at: ClockTime,
}

/// A load whose answer was lost before the engine restarted under the same name. Orders identify the engine
/// by its name and sequence number, and the restarted engine reaches that sequence number again. It would
/// then load the model in addition to the models that it holds by that time, and an engine that is ordered
/// to hold more than its memory crashes. Memory is therefore reserved for this load until it can no longer
/// be carried out.
#[derive(Debug)]
struct OrphanedLoad {
    model: ModelName,
    size_mb: f64,
    expect: u64,
    until: ClockTime,
}

/// Decisions about the models and adapters of one engine.
#[derive(Debug)]
pub struct EngineResidency {
    /// The division of the rate as last stated.
    pace: LoadPace,
    share: HeldShare,
    report: Option<EngineReport>,
    /// Number of orders that the engine had accepted at its last report.
    sequence: u64,
    advice: Option<PendingAdvice>,
    retiring: SmallVec<[ModelName; 2]>,
    retiring_since: ClockTime,
    loading: Option<ModelName>,
    /// Adapters that gateways wait for, in the order of their first requests.
    requested: VecDeque<TimedAdapter>,
    last_used: HashMap<AdapterKey, ClockTime>,
    /// Adapters in use by each gateway's requests, as last reported.
    in_use: HashMap<SocketAddr, GatewayAdapters>,
    /// Adapters that get no new requests and are unloaded once their current ones have ended. An engine
    /// that is told to unload an adapter in use accepts no other order until those requests have ended.
    draining: Vec<TimedAdapter>,
    adapter_slots: usize,
    next_store_load: ClockTime,
    /// The right to load from the weight store that was last requested from another engine.
    requested_right: Option<RequestedRight>,
    /// Index of the advised lender that is asked next.
    next_lender: usize,
    /// A load from the weight store whose answer was lost. It is repeated before any other order.
    unconfirmed: Option<SequencedOrder>,
    /// A load that an earlier start of the engine was ordered to carry out, and that the current start may
    /// still carry out.
    orphan: Option<OrphanedLoad>,
    /// Start of the engine that reported last.
    engine_start: Option<StartTime>,
}

impl EngineResidency {
    /// Creates the state for an engine. A restarted process does not know when the previous one last loaded
    /// or lent its right, so it waits for a whole spacing first. `is_first_start` states that there was no
    /// previous process.
    #[must_use]
    pub fn new(pace: LoadPace, is_first_start: bool, now: ClockTime) -> Self {
        let wait = if is_first_start {
            Duration::ZERO
        } else {
            pace.longest_spacing() + rights::RIGHT_LIFETIME
        };
        Self {
            share: HeldShare::new(&pace),
            pace,
            report: None,
            sequence: 0,
            advice: None,
            retiring: SmallVec::new(),
            retiring_since: now,
            loading: None,
            requested: VecDeque::new(),
            last_used: HashMap::new(),
            in_use: HashMap::new(),
            draining: Vec::new(),
            adapter_slots: 0,
            next_store_load: now + wait,
            requested_right: None,
            next_lender: 0,
            unconfirmed: None,
            orphan: None,
            engine_start: None,
        }
    }

    /// Sets the window over which loads from the weight store are limited.
    pub fn set_load_window(&mut self, window: Duration) {
        self.pace.window = window;
    }

    /// Returns whether a report comes from another start of the engine than the previous one: it names a
    /// different start, or its number of accepted orders is lower.
    #[must_use]
    pub fn is_restarted(&self, report: &EngineReport) -> bool {
        let is_other_start = self.engine_start.is_some()
            && report.start.is_some()
            && report.start != self.engine_start;
        is_other_start || report.sequence < self.sequence
    }

    /// Applies a report of the engine.
    pub fn apply_report(&mut self, report: EngineReport) {
        self.sequence = report.sequence;
        self.engine_start = report.start.or(self.engine_start);
        let is_confirmed = self
            .unconfirmed
            .as_ref()
            .is_some_and(|order| order.expect != report.sequence);
        if is_confirmed {
            self.unconfirmed = None;
        }
        let holds = |model: &ModelName| report.models.iter().any(|held| held.model == *model);
        if !report.busy || self.loading.as_ref().is_some_and(holds) {
            self.loading = None;
        }
        self.retiring.retain(|model| holds(model));
        self.draining
            .retain(|entry| held_adapters(&report.models).any(|key| key == entry.key));
        if self
            .advice
            .as_ref()
            .is_some_and(|pending| holds(&pending.advice.load))
        {
            self.advice = None;
            self.retiring.clear();
        }
        self.report = Some(report);
    }

    /// Discards the state of an engine that does not answer or was restarted.
    pub fn forget_engine(&mut self, now: ClockTime) {
        self.report = None;
        self.sequence = 0;
        self.engine_start = None;
        self.loading = None;
        self.orphan = self
            .unconfirmed
            .take()
            .and_then(|order| self.orphaned_load(order, now));
        self.draining.clear();
        self.retiring.clear();
    }

    /// Returns the last report.
    #[must_use]
    pub fn report(&self) -> Option<&EngineReport> {
        self.report.as_ref()
    }

    /// Applies a subscription from a gateway.
    pub fn apply_subscription(
        &mut self,
        from: SocketAddr,
        subscription: &GatewaySubscription,
        now: ClockTime,
    ) {
        if subscription.engines > 0 {
            self.pace.engines = subscription.engines;
            self.pace.loads = subscription.loads_per_window;
            self.pace.index = subscription.place;
            self.share.note_stated(&self.pace, now);
        }
        self.adapter_slots = subscription.adapter_slots as usize;
        for used in &subscription.used {
            self.last_used.insert(used.key.clone(), now);
        }
        let busy = subscription.used.iter().filter(|used| used.requests > 0);
        let gateway = GatewayAdapters {
            keys: busy.map(|used| used.key.clone()).collect(),
            at: now,
        };
        self.in_use.insert(from, gateway);
        self.in_use
            .retain(|_, gateway| now.since(gateway.at) < USE_TTL);
    }

    /// Records that a gateway waits for an adapter.
    pub fn request_adapter(&mut self, request: AdapterRequest, now: ClockTime) {
        self.adapter_slots = request.slots as usize;
        self.last_used.insert(request.key.clone(), now);
        match self
            .requested
            .iter_mut()
            .find(|entry| entry.key == request.key)
        {
            Some(entry) => entry.at = now,
            None => self.requested.push_back(TimedAdapter {
                key: request.key,
                at: now,
            }),
        }
    }

    /// Accepts advice from the planner, unless earlier advice is still being carried out.
    pub fn accept_advice(&mut self, advice: LoadAdvice, now: ClockTime) {
        if self.advice.is_none() && self.loading.is_none() {
            self.retiring_since = now;
            self.retiring = advice.unload.iter().cloned().collect();
            self.advice = Some(PendingAdvice { advice, at: now });
        }
    }

    /// Returns the models that are about to be unloaded.
    #[must_use]
    pub fn retiring(&self) -> &[ModelName] {
        &self.retiring
    }

    /// Returns the model that is being loaded or will be loaded next.
    #[must_use]
    pub fn loading(&self) -> Option<&ModelName> {
        let advised = self.advice.as_ref().map(|pending| &pending.advice.load);
        self.loading.as_ref().or(advised)
    }

    /// Returns the time until the engine may load from the weight store.
    #[must_use]
    pub fn store_load_wait(&self, now: ClockTime) -> Duration {
        match self.share.spacing(self.pace.window, now) {
            Some(_) => self.next_store_load.since(now),
            None => Duration::MAX,
        }
    }

    /// Returns the next order, if there is one.
    pub fn next_order(&mut self, now: ClockTime) -> Option<SequencedOrder> {
        let report = self.report.as_ref()?;
        // The engine accepts no other order while it carries one out.
        if report.busy {
            return None;
        }
        let expect = report.sequence;
        if let Some(unconfirmed) = &self.unconfirmed {
            return Some(unconfirmed.clone());
        }
        let order = self.adapter_order(now).or_else(|| self.model_order(now))?;
        Some(SequencedOrder { order, expect })
    }

    /// Records the answer to an order, or its loss.
    pub fn note_answer(&mut self, numbered: &SequencedOrder, answer: OrderAnswer, now: ClockTime) {
        match &numbered.order {
            EngineOrder::LoadModel(model) => self.note_load(model.clone(), numbered, answer, now),
            // The engine would reject the order again, so the advice cannot be carried out.
            EngineOrder::UnloadModel(_) if answer == OrderAnswer::Rejected => self.drop_advice(),
            EngineOrder::UnloadModel(_)
            | EngineOrder::LoadAdapter(_)
            | EngineOrder::UnloadAdapter(_) => {}
        }
        // The models and the sequence number of the engine may have changed, so the next order needs a new
        // report.
        self.report = None;
    }

    fn note_load(
        &mut self,
        model: ModelName,
        numbered: &SequencedOrder,
        answer: OrderAnswer,
        now: ClockTime,
    ) {
        match answer {
            OrderAnswer::Taken => {
                self.unconfirmed = None;
                self.charge_store_load(&model, now);
                self.loading = Some(model);
            }
            OrderAnswer::Unknown => {
                self.charge_store_load(&model, now);
                self.unconfirmed = Some(numbered.clone());
            }
            OrderAnswer::Holds | OrderAnswer::Rejected => {
                self.unconfirmed = None;
                self.drop_advice();
            }
            OrderAnswer::Conflict => {}
        }
    }

    /// Returns the load to reserve memory for if the engine ended before it answered `order`.
    fn orphaned_load(&self, order: SequencedOrder, now: ClockTime) -> Option<OrphanedLoad> {
        let EngineOrder::LoadModel(model) = order.order else {
            return None;
        };
        let advised = self.advice.as_ref();
        let sizes = advised.map_or(&[][..], |pending| &pending.advice.sizes);
        let size = sizes.iter().find(|row| row.model == model);
        Some(OrphanedLoad {
            // A model of unknown size could have any size, so no other model fits beside it.
            size_mb: size.map_or(f64::INFINITY, |row| row.size_mb),
            model,
            expect: order.expect,
            until: now + ORPHAN_LIFETIME,
        })
    }

    /// Returns the memory to reserve for an orphaned load, in MB.
    fn orphaned_mb(&self, report: &EngineReport, advice: &LoadAdvice, now: ClockTime) -> f64 {
        let counts = |orphan: &&OrphanedLoad| {
            orphan.until > now && orphan.expect >= report.sequence && orphan.model != advice.load
        };
        self.orphan
            .as_ref()
            .filter(counts)
            .map_or(0.0, |orphan| orphan.size_mb)
    }

    fn drop_advice(&mut self) {
        self.advice = None;
        self.retiring.clear();
    }

    fn charge_store_load(&mut self, model: &ModelName, now: ClockTime) {
        let local = self
            .report
            .as_ref()
            .is_some_and(|report| report.copies.has(model));
        if !local {
            self.spend_right(now);
        }
    }

    fn model_order(&mut self, now: ClockTime) -> Option<EngineOrder> {
        let report = self.report.as_ref()?;
        let pending = self.advice.as_ref()?;
        if self.loading.is_some() {
            return None;
        }
        let reserved_mb = self.orphaned_mb(report, &pending.advice, now);
        if now.since(pending.at) > ADVICE_TIMEOUT || !can_fit(report, &pending.advice, reserved_mb)
        {
            self.drop_advice();
            return None;
        }
        let from_store = !report.copies.has(&pending.advice.load);
        let may_load = !from_store || self.may_load_from_store(now);
        if !may_load && pending.advice.lenders.is_empty() {
            return None;
        }
        let is_held = |model: &&ModelName| report.models.iter().any(|held| held.model == **model);
        if let Some(victim) = pending.advice.unload.iter().find(is_held) {
            let is_announced = now.since(self.retiring_since) >= RETIRE_DELAY;
            return is_announced.then(|| EngineOrder::UnloadModel(victim.clone()));
        }
        may_load.then(|| EngineOrder::LoadModel(pending.advice.load.clone()))
    }
}

/// Returns whether the engine's memory holds all models once the advice is carried out. A held model of
/// unknown size could have any size, and an engine that is ordered to hold more than its memory crashes.
fn can_fit(report: &EngineReport, advice: &LoadAdvice, reserved_mb: f64) -> bool {
    let size_of = |model: &ModelName| {
        let row = advice.sizes.iter().find(|row| row.model == *model);
        row.map(|row| row.size_mb)
    };
    let stays = |model: &&ModelName| !advice.unload.contains(*model);
    let remaining = report.models.iter().map(|held| &held.model).filter(stays);
    let sizes: Option<f64> = remaining.chain([&advice.load]).map(size_of).sum();
    sizes.is_some_and(|sum| sum + reserved_mb <= advice.room_mb)
}
