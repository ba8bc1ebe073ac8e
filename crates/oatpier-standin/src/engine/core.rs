//! The engine as a plain struct that does its steps when told to advance.

use std::collections::BTreeMap;
use std::time::Duration;

use oatpier_ports::engine::OrderError;
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::{
    CacheEvent, EngineOrder, EngineRole, EngineState, LoadReport, OrderAction, WeightsKey,
    WeightsState,
};
use oatpier_types::event::{FleetEvent, LoggedEvent};
use oatpier_types::ids::{AttemptId, OrderNumber};

use super::cache::PrefixCache;
use super::memory::EngineMemory;
use super::options::{EngineFaults, EngineOptions};
use super::reports::{LoadHistory, RunRecord};
use super::run::{EngineOutput, EngineRequest, EngineRun, OutputKind, RunNumber, SubmitError};
use crate::weights::SharedWeights;

#[derive(Debug, Clone)]
struct LateOrder {
    due: ClockTime,
    order: EngineOrder,
}

/// An engine that batches continuously.
///
/// Call [`EngineCore::advance`] at or after
/// [`EngineCore::next_time`]; what was due before is done with the times at which it was due.
#[derive(Debug)]
pub struct EngineCore {
    pub(super) options: EngineOptions,
    pub(super) faults: EngineFaults,
    pub(super) memory: EngineMemory,
    pub(super) cache: PrefixCache,
    loads: LoadHistory,
    pub(super) running: Vec<EngineRun>,
    pub(super) waiting: BTreeMap<(u32, RunNumber), EngineRun>,
    pub(super) waiting_tokens: u32,
    pub(super) step_end: Option<ClockTime>,
    pub(super) last_run: u64,
    late_orders: Vec<LateOrder>,
    highest: Option<OrderNumber>,
    pub(super) outputs: Vec<EngineOutput>,
    pub(super) completed: u64,
    pub(super) runs: Vec<RunRecord>,
    pub(super) events: Vec<LoggedEvent>,
}

impl EngineCore {
    /// An engine at the start of its life.
    #[must_use]
    pub fn new(options: EngineOptions, store: SharedWeights) -> Self {
        let mut core = Self {
            memory: EngineMemory::new(&options, store),
            cache: PrefixCache::new(options.cache_blocks, options.cache_lag, options.cache_gap),
            loads: LoadHistory::new(options.load_lag),
            options,
            faults: EngineFaults::default(),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            waiting_tokens: 0,
            step_end: None,
            last_run: 0,
            late_orders: Vec::new(),
            highest: None,
            outputs: Vec::new(),
            completed: 0,
            runs: Vec::new(),
            events: Vec::new(),
        };
        core.log_memory(ClockTime::ZERO);
        core
    }

    /// What it is like.
    #[must_use]
    pub fn options(&self) -> &EngineOptions {
        &self.options
    }

    /// The fault switches, with what is left of the counts.
    #[must_use]
    pub fn faults(&self) -> EngineFaults {
        self.faults
    }

    /// Replaces all fault switches.
    pub fn set_faults(&mut self, now: ClockTime, faults: EngineFaults) {
        self.faults = faults;
        if faults.frozen {
            self.step_end = None;
        } else {
            self.begin_step(now);
        }
    }

    /// Takes a request, which waits for a slot.
    ///
    /// # Errors
    ///
    /// See [`SubmitError`].
    pub fn submit(
        &mut self,
        now: ClockTime,
        request: EngineRequest,
    ) -> Result<RunNumber, SubmitError> {
        if self.memory.role() == EngineRole::Prefill {
            return Err(SubmitError::PrefillOnly);
        }
        if self.waiting.len() >= self.options.queue {
            return Err(SubmitError::QueueFull);
        }
        let weights = self.memory.serving(&request.target).cloned();
        let weights = weights.ok_or(SubmitError::NotReady)?;
        self.last_run += 1;
        let number = RunNumber(self.last_run);
        self.waiting_tokens += request.prompt_tokens;
        let run = EngineRun {
            number,
            weights,
            prefill_left: 0,
            next_token: request.resume_after,
            request,
        };
        self.waiting.insert((run.request.priority, number), run);
        self.begin_step(now);
        self.report_load(now);
        Ok(number)
    }

    /// Ends all runs of an attempt. Says whether there was one.
    pub fn cancel(&mut self, now: ClockTime, attempt: AttemptId) -> bool {
        self.cut(now, |run| run.request.attempt == attempt)
    }

    /// Ends one run.
    pub fn cancel_run(&mut self, now: ClockTime, number: RunNumber) -> bool {
        self.cut(now, |run| run.number == number)
    }

    fn cut(&mut self, now: ClockTime, ends: impl Fn(&EngineRun) -> bool) -> bool {
        let waiting: Vec<(u32, RunNumber)> = self
            .waiting
            .iter()
            .filter(|(_, run)| ends(run))
            .map(|(place, _)| *place)
            .collect();
        let mut gone: Vec<EngineRun> = self.running.extract_if(.., |run| ends(run)).collect();
        for place in waiting {
            gone.extend(self.take_waiting(place));
        }
        let cuts = gone.iter().map(|run| run.output(now, OutputKind::Cut));
        self.outputs.extend(cuts);
        self.report_load(now);
        !gone.is_empty()
    }

    pub(super) fn take_waiting(&mut self, place: (u32, RunNumber)) -> Option<EngineRun> {
        let run = self.waiting.remove(&place)?;
        self.waiting_tokens -= run.request.prompt_tokens;
        Some(run)
    }

    /// Takes an order, or what the fault switches make of it.
    ///
    /// # Errors
    ///
    /// [`OrderError::Stale`] and [`OrderError::Refused`]: it has no effect.
    /// [`OrderError::Unknown`]: a fault switch took the answer.
    pub fn order(&mut self, now: ClockTime, order: &EngineOrder) -> Result<(), OrderError> {
        let late = LateOrder {
            due: now + Duration::from_millis(self.faults.late_ms),
            order: order.clone(),
        };
        if take_one(&mut self.faults.lose_orders) {
            return Err(no_answer());
        }
        if take_one(&mut self.faults.late_orders) {
            self.late_orders.push(late);
            return Err(no_answer());
        }
        if take_one(&mut self.faults.double_orders) {
            self.late_orders.push(late);
        }
        let result = self.carry_out(now, order);
        if take_one(&mut self.faults.lose_order_answers) {
            return Err(no_answer());
        }
        result
    }

    fn carry_out(&mut self, now: ClockTime, order: &EngineOrder) -> Result<(), OrderError> {
        if let Some(highest) = self.highest.filter(|highest| order.number < *highest) {
            return Err(OrderError::Stale { highest });
        }
        if self.options.checks_order_numbers {
            self.highest = Some(order.number);
        }
        let before = self.memory.used_mib();
        self.memory
            .carry_out(now, &self.options, &order.action)
            .map_err(|cause| OrderError::Refused { cause })?;
        if self.options.record {
            let endpoint = self.options.endpoint.clone();
            let event = FleetEvent::OrderTaken {
                endpoint,
                number: order.number,
                action: order.action.clone(),
            };
            self.events.push(LoggedEvent { at: now, event });
        }
        if self.memory.used_mib() != before {
            self.log_memory(now);
        }
        if let OrderAction::Unload { weights } = &order.action {
            self.cut_unloaded(now, weights);
        }
        Ok(())
    }

    fn cut_unloaded(&mut self, now: ClockTime, weights: &WeightsKey) {
        if self.memory.state_of(weights) != Some(WeightsState::Ready) {
            self.cut(now, |run| run.weights == *weights);
        }
    }

    fn log_memory(&mut self, now: ClockTime) {
        if !self.options.record {
            return;
        }
        let event = FleetEvent::MemoryUsed {
            endpoint: self.options.endpoint.clone(),
            used_mib: self.memory.used_mib(),
            total_mib: self.options.memory_mib,
        };
        self.events.push(LoggedEvent { at: now, event });
    }

    /// When there is next something to do.
    #[must_use]
    pub fn next_time(&self) -> ClockTime {
        if !self.outputs.is_empty() {
            return ClockTime::ZERO;
        }
        self.next_due()
    }

    fn next_due(&self) -> ClockTime {
        if self.faults.frozen {
            return ClockTime::NEVER;
        }
        let orders = self.late_orders.iter().map(|late| late.due);
        orders
            .chain(self.step_end)
            .chain([self.memory.next_time()])
            .min()
            .unwrap_or(ClockTime::NEVER)
    }

    /// Does all that is due by `now` and gives what came out, oldest first.
    pub fn advance(&mut self, now: ClockTime) -> Vec<EngineOutput> {
        loop {
            let due = self.next_due();
            if due > now || due == ClockTime::NEVER {
                return std::mem::take(&mut self.outputs);
            }
            self.do_due(due);
        }
    }

    fn do_due(&mut self, due: ClockTime) {
        let late: Vec<LateOrder> = self
            .late_orders
            .extract_if(.., |late| late.due <= due)
            .collect();
        for late in late {
            // Nobody waits for the answer to a late order.
            let _ = self.carry_out(due, &late.order);
        }
        if self.memory.finish(due) {
            self.log_memory(due);
        }
        if self.step_end.is_some_and(|end| end <= due) {
            self.end_step(due);
            self.begin_step(due);
            self.report_load(due);
        }
    }

    fn report_load(&mut self, now: ClockTime) {
        let report = LoadReport {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            waiting_tokens: self.waiting_tokens,
            age_ms: 0,
        };
        self.loads.push(now, report);
    }

    /// What it holds now, not lagged.
    #[must_use]
    pub fn state(&self) -> EngineState {
        EngineState {
            held: self.memory.rows(),
            role: self.memory.role(),
            highest: self.highest,
            memory_mib: self.options.memory_mib,
        }
    }

    /// The names of models and adapters that it serves now.
    #[must_use]
    pub fn served_names(&self) -> Vec<String> {
        self.memory.served_names()
    }

    /// Memory for weights in use, in MiB.
    #[must_use]
    pub fn used_mib(&self) -> u64 {
        self.memory.used_mib()
    }

    /// How often a load went past the memory there is.
    #[must_use]
    pub fn overcommits(&self) -> u64 {
        self.memory.overcommits
    }

    /// The load, lagged.
    #[must_use]
    pub fn load(&self, now: ClockTime) -> LoadReport {
        self.loads.read(now)
    }

    /// The cache events after a number, late and with gaps.
    #[must_use]
    pub fn cache_events(&self, now: ClockTime, after: u64) -> Vec<CacheEvent> {
        self.cache.events(now, after)
    }

    /// Answers that came to their end.
    #[must_use]
    pub fn completed(&self) -> u64 {
        self.completed
    }

    /// The requests that began to run.
    #[must_use]
    pub fn runs(&self) -> &[RunRecord] {
        &self.runs
    }

    /// The events so far.
    #[must_use]
    pub fn events(&self) -> &[LoggedEvent] {
        &self.events
    }

    /// Takes the events so far, and leaves none.
    pub fn take_events(&mut self) -> Vec<LoggedEvent> {
        std::mem::take(&mut self.events)
    }

    /// Whether the next stream is to be cut, and after how many tokens.
    pub(super) fn take_cut(&mut self) -> Option<u32> {
        take_one(&mut self.faults.cut_streams).then_some(self.faults.cut_after)
    }
}

fn take_one(count: &mut u32) -> bool {
    let there = *count > 0;
    *count = count.saturating_sub(1);
    there
}

fn no_answer() -> OrderError {
    OrderError::Unknown {
        cause: "the connection broke".to_owned(),
    }
}
