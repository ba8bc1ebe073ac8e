//! Gateways with their admission control in front of engines with their permit issuers, and callers who return.

use std::time::Duration;

use oatpier_serving::admission::appointments::BookKey;
use oatpier_serving::admission::arrival::ArrivalDecision;
use oatpier_serving::admission::forecast::ModelQueue;
use oatpier_serving::admission::{self, AdmissionController, AdmissionDecision, AdmissionQuery};
use oatpier_serving::choice::{self, ChoiceOutcome, ChoiceQuery, EndpointChoice, VersionPin};
use oatpier_serving::directory::{EndpointDirectory, EndpointRecord};
use oatpier_serving::message::{EngineStatus, MessageNumber, PermitAsk};
use oatpier_serving::site::RouteRule;
use oatpier_types::names::EndpointName;
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

use crate::admission_callers::{ArrivedTry, CallerClass, CallerOutcome, CallerState, ReturnPolicy};
use crate::admission_engine::{EngineState, fingerprint, pace_update};
use crate::support::{
    address, at, directory, engine_rule, millis, model, record, request, service, status, zone,
};

pub const STEP_MS: u64 = 5;
const STATUS_INTERVAL_MS: u64 = 100;
const REPEAT_INTERVAL_MS: u64 = 30;
const SLOTS: u32 = 24;
const HOLD_MS: u64 = 700;
const PREFILL_MS: u64 = 5;
const FIRST_CHUNK_MS: u64 = 30;
const IDLE_WINDOW_MS: u64 = 300;

#[derive(Debug)]
struct WaitingTry {
    caller: CallerState,
    gateway: usize,
    engine: usize,
    ask: PermitAsk,
    arrived_ms: u64,
    is_probe: bool,
}

/// A service of engines that hold one model.
pub struct AdmissionFleet {
    pub policy: ReturnPolicy,
    pub outcomes: Vec<CallerOutcome>,
    /// Slot-milliseconds that were free shortly after a refusal on arrival, and all of that time.
    pub idle_slot_ms: u64,
    pub refusing_slot_ms: u64,
    pub now_ms: u64,
    classes: Vec<CallerClass>,
    gateways: Vec<AdmissionController>,
    directory: EndpointDirectory,
    records: Vec<EndpointRecord>,
    engines: Vec<EngineState>,
    waiting: Vec<WaitingTry>,
    coming: Vec<CallerState>,
    generator: ChaCha8Rng,
    next_number: u64,
    last_refusal_ms: Option<u64>,
    key: BookKey,
}

impl AdmissionFleet {
    pub fn new(
        policy: ReturnPolicy,
        gateways: usize,
        engines: u8,
        classes: Vec<CallerClass>,
        seed: u64,
    ) -> Self {
        let records: Vec<EndpointRecord> = (1..=engines)
            .map(|number| EndpointRecord {
                slots: SLOTS,
                ..record(number, &["m1"])
            })
            .collect();
        let mut directory = directory(&[], at(0));
        directory.apply_registry(records.clone(), at(0));
        let mut fleet = Self {
            policy,
            outcomes: vec![CallerOutcome::default(); classes.len()],
            idle_slot_ms: 0,
            refusing_slot_ms: 0,
            now_ms: 0,
            classes,
            gateways: (0..gateways as u64)
                .map(|number| AdmissionController::new(seed * 1_000 + number))
                .collect(),
            directory,
            records,
            engines: (0..engines).map(|_| EngineState::default()).collect(),
            waiting: Vec::new(),
            coming: Vec::new(),
            generator: ChaCha8Rng::seed_from_u64(seed),
            next_number: 1,
            last_refusal_ms: None,
            key: BookKey {
                service: service(),
                model: model("m1"),
            },
        };
        fleet.report();
        fleet
    }

    /// Runs for a time with `factor` times the usual demand.
    pub fn run(&mut self, duration_ms: u64, factor: f64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.step(factor);
        }
    }

    /// Runs a wave: `factor` times the usual demand for a part of each period.
    pub fn run_waves(&mut self, periods: u32, period_ms: u64, high_ms: u64, factors: (f64, f64)) {
        for _ in 0..periods {
            self.run(high_ms, factors.0);
            self.run(period_ms - high_ms, factors.1);
        }
    }

    pub fn finish(&mut self) {
        self.run(14_000, 0.0);
        assert!(self.waiting.is_empty() && self.coming.is_empty());
    }

    /// Removes the last `count` engines, with all that runs and waits there.
    pub fn lose_engines(&mut self, count: usize) {
        let kept = self.engines.iter().filter(|engine| !engine.is_gone).count() - count;
        for engine in self.engines.iter_mut().skip(kept) {
            *engine = EngineState {
                is_gone: true,
                ..EngineState::default()
            };
        }
        let records = self.records.iter().take(kept).cloned().collect();
        self.directory.apply_registry(records, at(self.now_ms));
    }

    pub fn restore_engines(&mut self) {
        for engine in &mut self.engines {
            engine.is_gone = false;
        }
        self.directory
            .apply_registry(self.records.clone(), at(self.now_ms));
        self.report();
    }

    /// Lets the sidecars report no rate from now on, as after their restart.
    pub fn forget_rates(&mut self) {
        for engine in &mut self.engines {
            engine.reports_no_rate = true;
        }
    }

    /// Adds callers of a class who all arrive within `within_ms`.
    pub fn add_callers(&mut self, class: usize, count: u32, within_ms: u64) {
        for _ in 0..count {
            let after_ms = self.generator.random_range(0..=within_ms);
            self.add_caller(class, after_ms);
        }
    }

    pub fn outstanding_returns(&mut self) -> usize {
        let now = at(self.now_ms);
        let gateways = self.gateways.iter_mut();
        gateways
            .map(|gateway| gateway.outstanding_returns(now))
            .sum()
    }

    pub fn idle_share(&self) -> f64 {
        let [idle, all] = [self.idle_slot_ms, self.refusing_slot_ms.max(1)]
            .map(|slot_ms| f64::from(u32::try_from(slot_ms).unwrap()));
        idle / all
    }

    fn add_caller(&mut self, class: usize, after_ms: u64) {
        let arrives_ms = self.now_ms + after_ms;
        self.coming.push(CallerState {
            class,
            number: self.next_number,
            arrives_ms,
            deadline_ms: arrives_ms + self.classes[class].deadline_ms,
            tries: 0,
        });
        self.next_number += 1;
        self.outcomes[class].callers += 1;
    }

    fn step(&mut self, factor: f64) {
        self.now_ms += STEP_MS;
        for class in 0..self.classes.len() {
            let mut expected = self.classes[class].per_s * factor * 0.001 * 5.0;
            while self.generator.random::<f64>() < expected {
                self.add_caller(class, 0);
                expected -= 1.0;
            }
        }
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.coming)
            .into_iter()
            .partition(|caller| caller.arrives_ms <= now_ms);
        self.coming = later;
        for caller in due {
            let gateway = self.generator.random_range(0..self.gateways.len());
            self.place(caller, gateway);
        }
        self.repeat_requests();
        self.run_engines();
        if self.now_ms.is_multiple_of(STATUS_INTERVAL_MS) {
            self.report();
        }
        self.count_idle();
    }

    fn place(&mut self, caller: CallerState, gateway: usize) {
        let now = at(self.now_ms);
        if caller.tries > 0 {
            self.outcomes[caller.class].returns += 1;
        }
        let Some(choice) = self.choose() else {
            self.refuse(caller, millis(500), 0, true);
            return;
        };
        let rule = self.classes[caller.class].route.clone();
        let mut is_probe = false;
        if self.policy != ReturnPolicy::WaitThenJitter
            && let Some(queue) = self.queue()
        {
            let arrival = self.arrival(&caller, queue, 0);
            let decision = self.gateways[gateway].decide_arrival(&arrival.query(), now);
            is_probe = matches!(decision, ArrivalDecision::Probe(_));
            if let ArrivalDecision::Refuse(_, refused) = decision {
                self.last_refusal_ms = Some(self.now_ms);
                let after = match self.policy {
                    ReturnPolicy::ForecastThenBook => refused.refusal.retry_after.unwrap(),
                    _ => self.gateways[gateway]
                        .refuse_late(choice.queue)
                        .retry_after
                        .unwrap(),
                };
                self.refuse(caller, after, 0, true);
                return;
            }
        }
        let decision = self.gateways[gateway].decide(&AdmissionQuery {
            choice: &choice,
            route: &rule,
            priority: rule.priority,
            waited: Duration::ZERO,
            first_chunk_timeout: self.classes[caller.class].patience(),
        });
        if let AdmissionDecision::Refuse(refusal) = decision {
            self.refuse(caller, refusal.retry_after.unwrap(), 0, true);
            return;
        }
        self.ask_for_permit(caller, gateway, &choice, &rule, is_probe);
    }

    fn ask_for_permit(
        &mut self,
        caller: CallerState,
        gateway: usize,
        choice: &EndpointChoice,
        rule: &RouteRule,
        is_probe: bool,
    ) {
        let due_in = admission::max_timely_wait(rule);
        let ask = PermitAsk {
            id: self.generator.random(),
            reading_us: u32::try_from(PREFILL_MS * 1_000).unwrap(),
            pause_ms: 200,
            due_in_ms: u32::try_from(due_in.as_millis()).unwrap(),
            slots: SLOTS,
            is_urgent: false,
            priority: rule.priority,
        };
        let engine = self
            .records
            .iter()
            .position(|record| record.name == choice.endpoint)
            .unwrap();
        self.engines[engine]
            .issuer
            .add_request(address(1), ask, at(self.now_ms));
        self.waiting.push(WaitingTry {
            caller,
            gateway,
            engine,
            ask,
            arrived_ms: self.now_ms,
            is_probe,
        });
    }

    fn arrival(&self, caller: &CallerState, queue: ModelQueue, waited_ms: u64) -> ArrivedTry {
        ArrivedTry {
            key: self.key.clone(),
            class: self.classes[caller.class].clone(),
            request: fingerprint(caller.number),
            waited_ms,
            left_ms: caller.deadline_ms.saturating_sub(self.now_ms),
            queue,
            gateways: self.gateways.len(),
        }
    }

    fn repeat_requests(&mut self) {
        let now_ms = self.now_ms;
        for waiting in std::mem::take(&mut self.waiting) {
            let waited_ms = now_ms - waiting.arrived_ms;
            let class = &self.classes[waiting.caller.class];
            let max_wait = admission::max_wait(&class.route, class.patience());
            let is_gone = self.engines[waiting.engine].is_gone;
            let is_given_up = self.is_given_up(&waiting, waited_ms);
            if is_gone || is_given_up || millis(waited_ms) > max_wait {
                self.engines[waiting.engine].issuer.release(waiting.ask.id);
                self.end_wait(waiting, waited_ms);
                continue;
            }
            if waited_ms > 0 && waited_ms.is_multiple_of(REPEAT_INTERVAL_MS) {
                let issuer = &mut self.engines[waiting.engine].issuer;
                issuer.add_request(address(1), waiting.ask, at(now_ms));
            }
            self.waiting.push(waiting);
        }
    }

    fn is_given_up(&self, waiting: &WaitingTry, waited_ms: u64) -> bool {
        let queue = self.queue();
        let queue = queue.filter(|_| self.policy != ReturnPolicy::WaitThenJitter);
        !waiting.is_probe
            && queue.is_some_and(|queue| {
                let arrival = self.arrival(&waiting.caller, queue, waited_ms);
                self.gateways[waiting.gateway].is_given_up(&arrival.query())
            })
    }

    fn end_wait(&mut self, waiting: WaitingTry, waited_ms: u64) {
        let queue = self.queue();
        let after = match queue.filter(|_| self.policy != ReturnPolicy::WaitThenJitter) {
            Some(queue) => {
                let arrival = self.arrival(&waiting.caller, queue, waited_ms);
                let refused =
                    self.gateways[waiting.gateway].refuse_waited(&arrival.query(), at(self.now_ms));
                match self.policy {
                    ReturnPolicy::ForecastThenBook => refused.refusal,
                    _ => self.gateways[waiting.gateway].refuse_late(Duration::ZERO),
                }
            }
            None => self.gateways[waiting.gateway].refuse_late(Duration::ZERO),
        };
        self.refuse(
            waiting.caller,
            after.retry_after.unwrap(),
            waited_ms,
            waited_ms == 0,
        );
    }

    fn refuse(
        &mut self,
        mut caller: CallerState,
        after: Duration,
        waited_ms: u64,
        on_arrival: bool,
    ) {
        let outcome = &mut self.outcomes[caller.class];
        outcome.refused_wait_ms += waited_ms;
        if on_arrival {
            outcome.refused_on_arrival += 1;
        } else {
            outcome.refused_after_wait += 1;
        }
        let ignores_times = self.classes[caller.class].ignores_times;
        let max_tries = if ignores_times { 6 } else { 2 };
        caller.tries += 1;
        let left_ms = caller.deadline_ms.saturating_sub(self.now_ms);
        if caller.tries >= max_tries || left_ms == 0 {
            outcome.lost += 1;
            return;
        }
        let honoured = after.min(millis(left_ms / 3));
        let after = if ignores_times { millis(50) } else { honoured };
        caller.arrives_ms = self.now_ms + u64::try_from(after.as_millis()).unwrap();
        self.coming.push(caller);
    }

    fn run_engines(&mut self) {
        let now = at(self.now_ms);
        for index in 0..self.engines.len() {
            for grant in self.engines[index].step(now) {
                self.begin(index, grant.id);
            }
        }
    }

    fn begin(&mut self, engine: usize, id: u64) {
        let is_it = |waiting: &WaitingTry| waiting.ask.id == id;
        let Some(index) = self.waiting.iter().position(is_it) else {
            return;
        };
        let waiting = self.waiting.swap_remove(index);
        let waited_ms = self.now_ms - waiting.arrived_ms;
        let hold_ms = self.generator.random_range(HOLD_MS / 2..HOLD_MS * 3 / 2);
        self.engines[engine].ends_ms.push(self.now_ms + hold_ms);
        self.engines[engine]
            .prefills
            .push((self.now_ms + PREFILL_MS, id));
        let rule = &self.classes[waiting.caller.class].route;
        self.gateways[waiting.gateway].note_served(&rule.name, millis(waited_ms), at(self.now_ms));
        let is_in_time = millis(waited_ms + FIRST_CHUNK_MS) <= rule.target;
        let outcome = &mut self.outcomes[waiting.caller.class];
        if is_in_time {
            outcome.in_time += 1;
        } else {
            outcome.late += 1;
        }
        if waiting.caller.tries > 0 {
            outcome.returns_served += 1;
        }
    }

    fn report(&mut self) {
        let now = at(self.now_ms);
        for (engine_number, engine) in (1..).zip(&mut self.engines) {
            if engine.is_gone {
                continue;
            }
            let message = MessageNumber {
                boot: 1,
                number: self.now_ms + 1,
            };
            let running = engine.running();
            let update = EngineStatus {
                number: message,
                permits_waiting: engine.issuer.pending_requests(),
                ..status(engine_number, &["m1"], running)
            };
            self.directory.apply_status(update, now);
            let rate = engine.report_rate(STEP_MS);
            self.directory
                .apply_pace(&pace_update(engine_number, message, rate), now);
        }
    }

    fn count_idle(&mut self) {
        let is_recent = |at_ms: u64| self.now_ms - at_ms < IDLE_WINDOW_MS;
        if !self.last_refusal_ms.is_some_and(is_recent) {
            return;
        }
        for engine in self.engines.iter().filter(|engine| !engine.is_gone) {
            let free = u64::from(SLOTS).saturating_sub(engine.ends_ms.len() as u64);
            let idle = if engine.issuer.pending_requests() == 0 {
                free
            } else {
                0
            };
            self.idle_slot_ms += idle * STEP_MS;
            self.refusing_slot_ms += u64::from(SLOTS) * STEP_MS;
        }
    }

    fn present_names(&self) -> Vec<EndpointName> {
        let records = self.records.iter().zip(&self.engines);
        let present = records.filter(|(_, engine)| !engine.is_gone);
        present.map(|(record, _)| record.name.clone()).collect()
    }

    fn queue(&self) -> Option<ModelQueue> {
        ModelQueue::observe(
            &self.directory,
            &self.key.service,
            &self.key.model,
            at(self.now_ms),
        )
    }

    /// Chooses among a random half of the engines. Gateways differ by their own requests and their zone.
    fn choose(&mut self) -> Option<EndpointChoice> {
        let mut names: Vec<EndpointName> = self.present_names();
        names.shuffle(&mut self.generator);
        let excluded = &names[..names.len() / 2];
        let rule = engine_rule(&["m1"]);
        let query = ChoiceQuery {
            service: &service(),
            request: &request("m1"),
            zone: &zone("near"),
            excluded,
            pin: &VersionPin::Any,
            engine: Some(&rule),
            max_turn_wait: Duration::ZERO,
            stream: None,
        };
        match choice::choose(&self.directory, &query, at(self.now_ms)) {
            ChoiceOutcome::Endpoint(choice) => Some(choice),
            _ => None,
        }
    }
}
