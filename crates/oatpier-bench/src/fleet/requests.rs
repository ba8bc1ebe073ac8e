//! Handling of callers' requests and agents' status at the entries.

use std::time::Duration;

use oatpier_admission::event::AdmissionTicket;
use oatpier_placement::demand::DemandKey;
use oatpier_policy::action::{EntryAction, EntryActions};
use oatpier_policy::event::{EntryEvent, RequestIntake};
use oatpier_policy::outcome::{FinalAnswer, FinalCause};
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::{CacheEvent, LoadReport};
use oatpier_types::ids::RequestId;
use oatpier_types::names::{CallerName, EndpointName};
use oatpier_types::request::{AttemptSpec, RequestGoal};
use oatpier_types::status::{EndpointStatus, QueueReport};
use oatpier_types::verdict::Repeat;

use super::caller::{AnswerOutcome, CallerTry};
use super::entry::FiredActions;
use super::step::FleetStep;
use super::world::{FleetWorld, HEARTBEAT_INTERVAL, SILENCE_TIMEOUT};

/// Time until a caller retries. Callers do not wait for the `retry_after` of the answer.
const RETRY_DELAY: Duration = Duration::from_millis(50);

impl FleetWorld<'_> {
    pub(super) fn handle_arrival(&mut self, arrival: usize, number: u32) {
        if number == 0 {
            self.queue_arrival(arrival + 1);
        }
        let source = &self.arrivals[arrival];
        self.requests += 1;
        let request = RequestId(self.requests);
        let entry = source.entry;
        let key = DemandKey {
            model: source.model.clone(),
            adapter: source.adapter.clone(),
        };
        let intake = RequestIntake {
            request,
            goal: RequestGoal::Model {
                model: source.model.clone(),
                adapter: source.adapter.clone(),
            },
            class: source.class.clone(),
            caller: caller_name(arrival),
            repeat: Repeat::Idempotent,
            key: None,
            tokens: source.tokens,
            prefixes: source.prefixes.clone(),
            resumable: true,
        };
        let sent_at = self.now - self.deployment.to_callers;
        self.callers
            .record_sent(request, arrival, number, entry, sent_at);
        self.prefixes.insert(request, source.prefixes.clone());
        let node = &mut self.entries[entry];
        node.demand
            .record(&key, intake.tokens.prompt, intake.tokens.output, self.now);
        let actions = node.decider.start(intake, self.now);
        self.apply_entry_actions(entry, request, 0, actions);
    }

    pub(super) fn handle_entry_event(
        &mut self,
        entry: usize,
        request: RequestId,
        event: &EntryEvent,
    ) {
        let tokens = match event {
            EntryEvent::Piece { tokens, .. } => *tokens,
            _ => 0,
        };
        if let (Some(report), Some(attempt)) = (event.queue_report(), event.attempt()) {
            self.record_queue_report(entry, attempt, *report);
        }
        let actions = self.entries[entry].decider.handle(request, event, self.now);
        self.apply_entry_actions(entry, request, tokens, actions);
    }

    pub(super) fn fire_entry_timer(&mut self, entry: usize) {
        let node = &mut self.entries[entry];
        if node.armed != self.now {
            return;
        }
        node.armed = ClockTime::NEVER;
        let mut fired = FiredActions::new();
        node.decider.fire_timers(self.now, &mut fired);
        for (request, actions) in fired {
            self.apply_entry_actions(entry, request, 0, actions);
        }
        self.arm_entry(entry);
    }

    fn arm_entry(&mut self, entry: usize) {
        let node = &mut self.entries[entry];
        let Some(due) = node.decider.next_timer() else {
            return;
        };
        let due = due.max(self.now);
        if due < node.armed {
            node.armed = due;
            self.queue.push(due, FleetStep::EntryTimer { entry });
        }
    }

    fn apply_entry_actions(
        &mut self,
        entry: usize,
        request: RequestId,
        tokens: u32,
        actions: EntryActions,
    ) {
        for action in actions {
            match action {
                EntryAction::Send { endpoint, spec } | EntryAction::Resume { endpoint, spec } => {
                    self.send(entry, &endpoint, spec);
                }
                EntryAction::Cancel {
                    endpoint,
                    attempt,
                    mode,
                } => {
                    let ticket = self.entries[entry].tickets.get(&attempt).copied().flatten();
                    if let Some(node) = self.indices.get(&endpoint).copied() {
                        let at = self.now + self.latency(entry, node);
                        self.queue.push(
                            at,
                            FleetStep::Cancel {
                                node,
                                entry,
                                request,
                                attempt,
                                ticket,
                                mode,
                            },
                        );
                    }
                }
                EntryAction::Relay { .. } => {
                    let at = self.now + self.deployment.to_callers;
                    self.callers.record_tokens(request, tokens, at);
                }
                EntryAction::Answer(answer) => self.send_answer(request, &answer),
                EntryAction::Claim { .. } | EntryAction::SettleClaim { .. } => {}
            }
        }
        self.arm_entry(entry);
    }

    fn send(&mut self, entry: usize, endpoint: &EndpointName, spec: Box<AttemptSpec>) {
        let Some(node) = self.indices.get(endpoint).copied() else {
            return;
        };
        let from = &mut self.entries[entry];
        let ticket = from.reports.get(endpoint).map(AdmissionTicket::of);
        from.tickets.insert(spec.attempt, ticket);
        let at = self.now + self.latency(entry, node);
        self.queue.push(
            at,
            FleetStep::Attempt {
                node,
                entry,
                spec,
                ticket,
            },
        );
    }

    fn send_answer(&mut self, request: RequestId, answer: &FinalAnswer) {
        self.prefixes.swap_remove(&request);
        let outcome = AnswerOutcome {
            is_complete: answer.cause == FinalCause::Complete,
            verdict: answer.verdict,
            cause: answer.cause.as_str(),
        };
        let at = self.now + self.deployment.to_callers;
        let Some(target) = self.target_of(request) else {
            return;
        };
        let Some(caller) = self.callers.record_end(request, outcome, target, at) else {
            return;
        };
        if !outcome.is_complete {
            self.queue_retry(&caller, answer.retry_after);
        }
    }

    /// Queues a retry if the scenario has retries left. It ignores `retry_after`, as callers in a retry storm do.
    fn queue_retry(&mut self, caller: &CallerTry, _retry_after: Option<Duration>) {
        if caller.number < self.scenario.caller_retries() {
            let step = FleetStep::Arrive {
                arrival: caller.arrival,
                number: caller.number + 1,
            };
            self.queue.push(self.now + RETRY_DELAY, step);
        }
    }

    fn target_of(&self, request: RequestId) -> Option<oatpier_types::config::ClassTarget> {
        let arrival = self.callers.arrival_of(request)?;
        let class = &self.arrivals[arrival].class;
        self.deployment
            .config
            .classes
            .get(class)
            .map(|class| class.target)
    }

    fn record_queue_report(
        &mut self,
        entry: usize,
        attempt: oatpier_types::ids::AttemptId,
        report: QueueReport,
    ) {
        let Some(endpoint) = self.endpoint_of(report.boot) else {
            return;
        };
        debug_assert!(self.entries[entry].tickets.contains_key(&attempt) || report.sequence > 0);
        self.store_queue_report(entry, &endpoint, report);
    }

    fn endpoint_of(&self, boot: oatpier_types::ids::BootId) -> Option<EndpointName> {
        self.nodes
            .iter()
            .find(|node| node.boot == boot)
            .map(|node| node.identity.endpoint.clone())
    }

    fn store_queue_report(&mut self, entry: usize, endpoint: &EndpointName, report: QueueReport) {
        let reports = &mut self.entries[entry].reports;
        let newer = reports
            .get(endpoint)
            .is_none_or(|kept| kept.boot != report.boot || kept.sequence < report.sequence);
        if newer {
            reports.insert(endpoint.clone(), report);
        }
    }

    pub(super) fn deliver_status(&mut self, entry: usize, status: &EndpointStatus) {
        self.store_queue_report(entry, &status.endpoint, status.queue);
        self.entries[entry].decider.on_status(status, self.now);
    }

    pub(super) fn deliver_reports(
        &mut self,
        entry: usize,
        node: usize,
        load: &LoadReport,
        cache: &[CacheEvent],
    ) {
        let endpoint = self.nodes[node].identity.endpoint.clone();
        let decider = &mut self.entries[entry].decider;
        decider.on_report(&endpoint, load, self.now);
        for event in cache {
            decider.on_cache_event(&endpoint, event, self.now);
        }
    }

    /// Sends the status of each live agent to all entries. Removes nodes that have been silent for [`SILENCE_TIMEOUT`].
    pub(super) fn send_heartbeats(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].alive {
                self.last_heartbeats.insert(node, self.now);
                self.broadcast_status(node);
            } else {
                self.forget_silent(node);
            }
        }
        self.queue
            .push(self.now + HEARTBEAT_INTERVAL, FleetStep::Heartbeats);
    }

    fn forget_silent(&mut self, node: usize) {
        let last = self
            .last_heartbeats
            .get(&node)
            .copied()
            .unwrap_or(ClockTime::ZERO);
        if self.now.since(last) < SILENCE_TIMEOUT {
            return;
        }
        self.forget(node);
    }

    pub(super) fn forget(&mut self, node: usize) {
        let endpoint = self.nodes[node].identity.endpoint.clone();
        for entry in &mut self.entries {
            entry.decider.forget(&endpoint, self.now);
        }
    }

    /// Sends an agent's status to all entries.
    pub(super) fn broadcast_status(&mut self, node: usize) {
        if self.nodes[node].unregistered {
            return;
        }
        for entry in 0..self.entries.len() {
            let status = self.nodes[node].status(self.now);
            let at = self.now + self.latency(entry, node);
            self.queue.push(at, FleetStep::Status { entry, status });
        }
    }

    pub(super) fn read_reports(&mut self, every: Duration) {
        for node in 0..self.nodes.len() {
            if !self.nodes[node].alive {
                continue;
            }
            let engine = &self.nodes[node].engine;
            let load = engine.load(self.now);
            let cache = engine.cache_events(self.now, self.nodes[node].last_cache_sequence);
            if let Some(last) = cache.last() {
                self.nodes[node].last_cache_sequence = last.sequence;
            }
            for entry in 0..self.entries.len() {
                let cache = cache.clone();
                let at = self.now + self.latency(entry, node);
                self.queue.push(
                    at,
                    FleetStep::Reports {
                        entry,
                        node,
                        load,
                        cache,
                    },
                );
            }
        }
        self.queue.push(self.now + every, FleetStep::ReadReports);
    }
}

fn caller_name(arrival: usize) -> CallerName {
    CallerName::try_from(format!("caller-{}", arrival % 32)).expect("a valid name")
}
