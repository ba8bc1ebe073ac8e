//! The engine without I/O. Its steps run in [`EngineCore::advance`].

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

/// An engine with continuous batching.
///
/// Call [`EngineCore::advance`] at or after [`EngineCore::next_time`]. Work that was due earlier is
/// processed with the times at which it was due.
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
    /// Creates an engine that has just started.
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

    /// Returns the options of the engine.
    #[must_use]
    pub fn options(&self) -> &EngineOptions {
        &self.options
    }

    /// Returns the current faults, with the remaining counts.
    #[must_use]
    pub fn faults(&self) -> EngineFaults {
        self.faults
    }

    /// Returns the status with which the next request fails after its run, if it does.
    pub(super) fn take_failure(&mut self) -> Option<u16> {
        use_fault(&mut self.faults.fail_runs).then_some(self.faults.fail_status)
    }

    /// Replaces all faults.
    pub fn set_faults(&mut self, now: ClockTime, faults: EngineFaults) {
        self.faults = faults;
        if faults.frozen {
            self.step_end = None;
        } else {
            self.begin_step(now);
        }
    }

    /// Accepts a request, which waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns a [`SubmitError`] if the request is refused.
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

    /// Ends all runs of an attempt. Returns whether there was one.
    pub fn cancel(&mut self, now: ClockTime, attempt: AttemptId) -> bool {
        self.end_runs(now, |run| run.request.attempt == attempt)
    }

    /// Ends one run. Returns whether it existed.
    pub fn cancel_run(&mut self, now: ClockTime, number: RunNumber) -> bool {
        self.end_runs(now, |run| run.number == number)
    }

    fn end_runs(&mut self, now: ClockTime, ends: impl Fn(&EngineRun) -> bool) -> bool {
        let waiting: Vec<(u32, RunNumber)> = self
            .waiting
            .iter()
            .filter(|(_, run)| ends(run))
            .map(|(key, _)| *key)
            .collect();
        let mut ended: Vec<EngineRun> = self.running.extract_if(.., |run| ends(run)).collect();
        for key in waiting {
            ended.extend(self.take_waiting(key));
        }
        let outputs = ended
            .iter()
            .map(|run| run.output(now, OutputKind::Interrupted));
        self.outputs.extend(outputs);
        self.report_load(now);
        !ended.is_empty()
    }

    pub(super) fn take_waiting(&mut self, key: (u32, RunNumber)) -> Option<EngineRun> {
        let run = self.waiting.remove(&key)?;
        self.waiting_tokens -= run.request.prompt_tokens;
        Some(run)
    }

    /// Executes an order, with the injected faults applied.
    ///
    /// # Errors
    ///
    /// Returns [`OrderError::Stale`] or [`OrderError::Refused`] if the order has no effect, and
    /// [`OrderError::Unknown`] if an injected fault suppresses the answer.
    pub fn order(&mut self, now: ClockTime, order: &EngineOrder) -> Result<(), OrderError> {
        let late = LateOrder {
            due: now + Duration::from_millis(self.faults.late_ms),
            order: order.clone(),
        };
        if use_fault(&mut self.faults.lose_orders) {
            return Err(answer_lost());
        }
        if use_fault(&mut self.faults.late_orders) {
            self.late_orders.push(late);
            return Err(answer_lost());
        }
        if use_fault(&mut self.faults.double_orders) {
            self.late_orders.push(late);
        }
        let result = self.execute(now, order);
        if use_fault(&mut self.faults.lose_order_answers) {
            return Err(answer_lost());
        }
        result
    }

    fn execute(&mut self, now: ClockTime, order: &EngineOrder) -> Result<(), OrderError> {
        if let Some(highest) = self.highest.filter(|highest| order.number < *highest) {
            return Err(OrderError::Stale { highest });
        }
        if self.options.checks_order_numbers {
            self.highest = Some(order.number);
        }
        let before = self.memory.used_mib();
        self.memory
            .execute(now, &self.options, &order.action)
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
            self.end_unloaded_runs(now, weights);
        }
        Ok(())
    }

    fn end_unloaded_runs(&mut self, now: ClockTime, weights: &WeightsKey) {
        if self.memory.state_of(weights) != Some(WeightsState::Ready) {
            self.end_runs(now, |run| run.weights == *weights);
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

    /// Returns when [`EngineCore::advance`] must be called next.
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

    /// Processes all work that is due by `now` and returns its outputs, oldest first.
    pub fn advance(&mut self, now: ClockTime) -> Vec<EngineOutput> {
        loop {
            let due = self.next_due();
            if due > now || due == ClockTime::NEVER {
                return std::mem::take(&mut self.outputs);
            }
            self.process_due(due);
        }
    }

    fn process_due(&mut self, due: ClockTime) {
        let late: Vec<LateOrder> = self
            .late_orders
            .extract_if(.., |late| late.due <= due)
            .collect();
        for late in late {
            // The result is ignored, as the sender of a late order no longer waits for the answer.
            let _ = self.execute(due, &late.order);
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

    /// Returns the current state, without lag.
    #[must_use]
    pub fn state(&self) -> EngineState {
        EngineState {
            held: self.memory.rows(),
            role: self.memory.role(),
            highest: self.highest,
            memory_mib: self.options.memory_mib,
        }
    }

    /// Returns the names of the models and adapters that the engine serves now.
    #[must_use]
    pub fn served_names(&self) -> Vec<String> {
        self.memory.served_names()
    }

    /// Returns the memory that weights use, in MiB.
    #[must_use]
    pub fn used_mib(&self) -> u64 {
        self.memory.used_mib()
    }

    /// Returns how often a load exceeded the memory.
    #[must_use]
    pub fn overcommits(&self) -> u64 {
        self.memory.overcommits
    }

    /// Returns the load, with its lag.
    #[must_use]
    pub fn load(&self, now: ClockTime) -> LoadReport {
        self.loads.read(now)
    }

    /// Returns the cache events after a sequence number, with their lag and gaps.
    #[must_use]
    pub fn cache_events(&self, now: ClockTime, after: u64) -> Vec<CacheEvent> {
        self.cache.events(now, after)
    }

    /// Returns the number of complete answers.
    #[must_use]
    pub fn completed(&self) -> u64 {
        self.completed
    }

    /// Returns the requests that began to run.
    #[must_use]
    pub fn runs(&self) -> &[RunRecord] {
        &self.runs
    }

    /// Returns the events recorded so far.
    #[must_use]
    pub fn events(&self) -> &[LoggedEvent] {
        &self.events
    }

    /// Removes and returns the events recorded so far.
    pub fn take_events(&mut self) -> Vec<LoggedEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns after how many tokens the next stream must break off, if that fault is injected.
    pub(super) fn take_interruption(&mut self) -> Option<u32> {
        use_fault(&mut self.faults.cut_streams).then_some(self.faults.cut_after)
    }
}

fn use_fault(count: &mut u32) -> bool {
    let is_active = *count > 0;
    *count = count.saturating_sub(1);
    is_active
}

fn answer_lost() -> OrderError {
    OrderError::Unknown {
        cause: "the connection broke".to_owned(),
    }
}
