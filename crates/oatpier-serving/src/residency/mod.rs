//! Which order an engine gets next.
//!
//! A sidecar is the only process that orders its engine about, so what it keeps here holds however
//! the fleet is cut: weights never exceed the engine's memory, adapters never its slots, and loads
//! from the weight store never the sidecar's part of the shared rate. Gateways only wish.
//!
//! Every order names the sequence that the engine must be at. An order whose answer was lost may be
//! carried out seconds later; by then either it was given again under the same sequence, and only
//! one of the two is taken, or another order has moved the sequence on, and the late one is void.

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
use crate::message::{AdapterWish, GatewayGreeting, LoadAdvice};

pub use adapters::held_adapters;
pub use pace::LoadPace;
use rights::AskedRight;
pub use rights::RightQuestion;

/// From telling gateways that a model is going to the order that unloads it: pulses reach them
/// within a few milliseconds, and requests that were sent before are at the engine by then.
const RETIRE_NOTICE: Duration = Duration::from_millis(30);

/// Advice that could not be carried out for this long is dropped: demand has moved on. Unloading
/// waits for the engine's requests, up to their deadlines.
const ADVICE_LIFE: Duration = Duration::from_secs(12);

/// What a gateway said it uses counts for this long, three greetings: one that is gone uses nothing.
const USE_LIFE: Duration = Duration::from_millis(1_600);

/// An order whose answer was lost is carried out within this time, or never: the longest delay that engines
/// are known for, and a second more.
const STRAY_LIFE: Duration = Duration::from_secs(13);

/// An order, and the sequence that the engine must be at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NumberedOrder {
    /// What to do.
    pub order: EngineOrder,
    /// Orders that the engine must have accepted before.
    pub expect: u64,
}

#[derive(Debug)]
struct KeptAdvice {
    advice: LoadAdvice,
    at: ClockTime,
}

#[derive(Debug, Clone)]
struct KeptWish {
    key: AdapterKey,
    at: ClockTime,
}

/// The adapters that one gateway's requests use.
#[derive(Debug)]
struct GatewayUse {
    keys: Vec<AdapterKey>,
    at: ClockTime,
}

/// A load whose answer was lost before the engine started again under its name. Orders name the engine and
/// the sequence that it must be at, and the next start gets to that sequence again: the load would come
/// beside whatever it holds by then, and an engine that is ordered to hold too much crashes. Room is kept
/// for it until it can no longer come.
#[derive(Debug)]
struct StrayLoad {
    model: ModelName,
    size_mb: f64,
    expect: u64,
    until: ClockTime,
}

/// The decisions about one engine.
#[derive(Debug)]
pub struct EngineResidency {
    pace: LoadPace,
    report: Option<EngineReport>,
    /// Orders that the engine had accepted at its last report.
    sequence: u64,
    advice: Option<KeptAdvice>,
    retiring: SmallVec<[ModelName; 2]>,
    retiring_since: ClockTime,
    loading: Option<ModelName>,
    wishes: VecDeque<KeptWish>,
    used: HashMap<AdapterKey, ClockTime>,
    /// Adapters that each gateway's requests use, as it last said.
    in_use: HashMap<SocketAddr, GatewayUse>,
    /// Adapters that get no new requests, so that they can be unloaded once theirs are over. An
    /// engine that is told to unload one in use takes no other order until those are over.
    yielding: Vec<KeptWish>,
    slots: usize,
    next_store_load: ClockTime,
    /// The right to load from the weight store that another engine was asked for last.
    asked: Option<AskedRight>,
    /// The place among the advised lenders of the one that is asked next.
    next_lender: usize,
    /// A load from the weight store whose answer was lost: given again before anything else.
    unsettled: Option<NumberedOrder>,
    /// A load that an earlier start of the engine was ordered, and that this one may still carry out.
    stray: Option<StrayLoad>,
    /// The start of the engine that reported last.
    start: Option<StartTime>,
}

impl EngineResidency {
    /// Decisions that begin now. A process that was restarted does not know when its predecessor
    /// loaded or lent its right last, so it waits a whole spacing; `first_start` says that there was none.
    #[must_use]
    pub fn new(pace: LoadPace, first_start: bool, now: ClockTime) -> Self {
        let wait = if first_start {
            Duration::ZERO
        } else {
            pace.longest_spacing() + rights::RIGHT_LIFE
        };
        Self {
            pace,
            report: None,
            sequence: 0,
            advice: None,
            retiring: SmallVec::new(),
            retiring_since: now,
            loading: None,
            wishes: VecDeque::new(),
            used: HashMap::new(),
            in_use: HashMap::new(),
            yielding: Vec::new(),
            slots: 0,
            next_store_load: now + wait,
            asked: None,
            next_lender: 0,
            unsettled: None,
            stray: None,
            start: None,
        }
    }

    /// The window over which loads from the weight store are bounded has changed.
    pub fn set_load_window(&mut self, window: Duration) {
        self.pace.window = window;
    }

    /// Whether a report comes from another start of the engine than the one before: it tells another one,
    /// or the number of orders that it has accepted begins anew.
    #[must_use]
    pub fn is_restarted(&self, report: &EngineReport) -> bool {
        let other = self.start.is_some() && report.start.is_some() && report.start != self.start;
        other || report.sequence < self.sequence
    }

    /// The engine reported.
    pub fn take_report(&mut self, report: EngineReport) {
        self.sequence = report.sequence;
        self.start = report.start.or(self.start);
        let settled = self
            .unsettled
            .as_ref()
            .is_some_and(|order| order.expect != report.sequence);
        if settled {
            self.unsettled = None;
        }
        let holds = |model: &ModelName| report.models.iter().any(|held| held.model == *model);
        if !report.busy || self.loading.as_ref().is_some_and(holds) {
            self.loading = None;
        }
        self.retiring.retain(|model| holds(model));
        self.yielding
            .retain(|kept| held_adapters(&report.models).any(|key| key == kept.key));
        if self
            .advice
            .as_ref()
            .is_some_and(|kept| holds(&kept.advice.load))
        {
            self.advice = None;
            self.retiring.clear();
        }
        self.report = Some(report);
    }

    /// The engine does not answer, or was restarted: nothing is known of it.
    pub fn forget_engine(&mut self, now: ClockTime) {
        self.report = None;
        self.sequence = 0;
        self.start = None;
        self.loading = None;
        self.stray = self
            .unsettled
            .take()
            .and_then(|order| self.stray(order, now));
        self.yielding.clear();
        self.retiring.clear();
    }

    /// The last report.
    #[must_use]
    pub fn report(&self) -> Option<&EngineReport> {
        self.report.as_ref()
    }

    /// A gateway greeted.
    pub fn take_greeting(&mut self, from: SocketAddr, greeting: &GatewayGreeting, now: ClockTime) {
        if greeting.engines > 0 {
            self.pace.engines = greeting.engines;
            self.pace.loads = greeting.loads_per_window;
            self.pace.place = greeting.place;
        }
        self.slots = greeting.adapter_slots as usize;
        for used in &greeting.used {
            self.used.insert(used.key.clone(), now);
        }
        let busy = greeting.used.iter().filter(|used| used.requests > 0);
        let gateway = GatewayUse {
            keys: busy.map(|used| used.key.clone()).collect(),
            at: now,
        };
        self.in_use.insert(from, gateway);
        self.in_use
            .retain(|_, gateway| now.since(gateway.at) < USE_LIFE);
    }

    /// A gateway waits for an adapter.
    pub fn take_wish(&mut self, wish: AdapterWish, now: ClockTime) {
        self.slots = wish.slots as usize;
        self.used.insert(wish.key.clone(), now);
        match self.wishes.iter_mut().find(|kept| kept.key == wish.key) {
            Some(kept) => kept.at = now,
            None => self.wishes.push_back(KeptWish {
                key: wish.key,
                at: now,
            }),
        }
    }

    /// The planner advises a load. Advice that is being carried out is finished first.
    pub fn take_advice(&mut self, advice: LoadAdvice, now: ClockTime) {
        if self.advice.is_none() && self.loading.is_none() {
            self.retiring_since = now;
            self.retiring = advice.unload.iter().cloned().collect();
            self.advice = Some(KeptAdvice { advice, at: now });
        }
    }

    /// Models that are about to be unloaded.
    #[must_use]
    pub fn retiring(&self) -> &[ModelName] {
        &self.retiring
    }

    /// The model that is being loaded, or will be next.
    #[must_use]
    pub fn loading(&self) -> Option<&ModelName> {
        let advised = self.advice.as_ref().map(|kept| &kept.advice.load);
        self.loading.as_ref().or(advised)
    }

    /// How long until it may load from the weight store.
    #[must_use]
    pub fn store_load_wait(&self, now: ClockTime) -> Duration {
        match self.pace.spacing() {
            Some(_) => self.next_store_load.since(now),
            None => Duration::MAX,
        }
    }

    /// The next order, if there is one to give.
    pub fn next_order(&mut self, now: ClockTime) -> Option<NumberedOrder> {
        let report = self.report.as_ref()?;
        // While an order is carried out the engine takes no other.
        if report.busy {
            return None;
        }
        let expect = report.sequence;
        if let Some(unsettled) = &self.unsettled {
            return Some(unsettled.clone());
        }
        let order = self.adapter_order(now).or_else(|| self.model_order(now))?;
        Some(NumberedOrder { order, expect })
    }

    /// An order was answered, or its answer was lost.
    pub fn note_answer(&mut self, numbered: &NumberedOrder, answer: OrderAnswer, now: ClockTime) {
        match &numbered.order {
            EngineOrder::LoadModel(model) => self.note_load(model.clone(), numbered, answer, now),
            // The engine will not take it the next time either; what was advised can't be done.
            EngineOrder::UnloadModel(_) if answer == OrderAnswer::Rejected => self.drop_advice(),
            EngineOrder::UnloadModel(_)
            | EngineOrder::LoadAdapter(_)
            | EngineOrder::UnloadAdapter(_) => {}
        }
        // What the engine holds, and its sequence, may have moved: the next order needs a new
        // report.
        self.report = None;
    }

    fn note_load(
        &mut self,
        model: ModelName,
        numbered: &NumberedOrder,
        answer: OrderAnswer,
        now: ClockTime,
    ) {
        match answer {
            OrderAnswer::Taken => {
                self.unsettled = None;
                self.charge_load(&model, now);
                self.loading = Some(model);
            }
            OrderAnswer::Unknown => {
                self.charge_load(&model, now);
                self.unsettled = Some(numbered.clone());
            }
            OrderAnswer::Holds | OrderAnswer::Rejected => {
                self.unsettled = None;
                self.drop_advice();
            }
            OrderAnswer::Conflict => {}
        }
    }

    /// What a load becomes whose engine is gone before it was answered.
    fn stray(&self, order: NumberedOrder, now: ClockTime) -> Option<StrayLoad> {
        let EngineOrder::LoadModel(model) = order.order else {
            return None;
        };
        let advised = self.advice.as_ref();
        let sizes = advised.map_or(&[][..], |kept| &kept.advice.sizes);
        let size = sizes.iter().find(|row| row.model == model);
        Some(StrayLoad {
            // A size that is no longer known could be any: nothing fits beside it.
            size_mb: size.map_or(f64::INFINITY, |row| row.size_mb),
            model,
            expect: order.expect,
            until: now + STRAY_LIFE,
        })
    }

    /// Memory that has to stay free for a stray load, in MB.
    fn stray_mb(&self, report: &EngineReport, advice: &LoadAdvice, now: ClockTime) -> f64 {
        let counts = |stray: &&StrayLoad| {
            stray.until > now && stray.expect >= report.sequence && stray.model != advice.load
        };
        self.stray
            .as_ref()
            .filter(counts)
            .map_or(0.0, |stray| stray.size_mb)
    }

    fn drop_advice(&mut self) {
        self.advice = None;
        self.retiring.clear();
    }

    fn charge_load(&mut self, model: &ModelName, now: ClockTime) {
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
        let kept = self.advice.as_ref()?;
        if self.loading.is_some() {
            return None;
        }
        let kept_free = self.stray_mb(report, &kept.advice, now);
        if now.since(kept.at) > ADVICE_LIFE || !can_fit(report, &kept.advice, kept_free) {
            self.drop_advice();
            return None;
        }
        let from_store = !report.copies.has(&kept.advice.load);
        let may_load = !from_store || self.may_load_from_store(now);
        if !may_load && kept.advice.lenders.is_empty() {
            return None;
        }
        let is_held = |model: &&ModelName| report.models.iter().any(|held| held.model == **model);
        if let Some(victim) = kept.advice.unload.iter().find(is_held) {
            let told = now.since(self.retiring_since) >= RETIRE_NOTICE;
            return told.then(|| EngineOrder::UnloadModel(victim.clone()));
        }
        may_load.then(|| EngineOrder::LoadModel(kept.advice.load.clone()))
    }
}

/// Whether the engine's memory holds everything once the advice is carried out. A held model whose
/// size is not told could be of any size: an engine that is ordered to hold too much crashes.
fn can_fit(report: &EngineReport, advice: &LoadAdvice, kept_free_mb: f64) -> bool {
    let size_of = |model: &ModelName| {
        let row = advice.sizes.iter().find(|row| row.model == *model);
        row.map(|row| row.size_mb)
    };
    let stays = |model: &&ModelName| !advice.unload.contains(*model);
    let kept = report.models.iter().map(|held| &held.model).filter(stays);
    let sizes: Option<f64> = kept.chain([&advice.load]).map(size_of).sum();
    sizes.is_some_and(|sum| sum + kept_free_mb <= advice.room_mb)
}
