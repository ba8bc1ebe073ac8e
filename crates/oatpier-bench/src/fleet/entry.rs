//! Request decisions at an entry: one trait for oatpier's policy and the baselines.

use indexmap::IndexMap;
use oatpier_policy::action::{EntryAction, EntryActions};
use oatpier_policy::entry::EntryPolicy;
use oatpier_policy::event::{EntryEvent, RequestIntake};
use oatpier_policy::outcome::{FinalAnswer, FinalCause};
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::{CacheEvent, LoadReport};
use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::names::EndpointName;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::request::{AttemptSpec, RequestGoal};
use oatpier_types::status::EndpointStatus;
use oatpier_types::verdict::RunVerdict;

/// Actions that fired timers caused, by request.
pub type FiredActions = Vec<(RequestId, EntryActions)>;

/// Makes the request decisions of one entry.
pub trait EntryDecider {
    /// Processes an agent's full status of its endpoint.
    fn on_status(&mut self, status: &EndpointStatus, now: ClockTime);
    /// Processes an engine's load report, which may be outdated.
    fn on_report(&mut self, endpoint: &EndpointName, report: &LoadReport, now: ClockTime);
    /// Processes an engine's cache event, which may be late and may follow a gap in the sequence.
    fn on_cache_event(&mut self, endpoint: &EndpointName, event: &CacheEvent, now: ClockTime);
    /// Removes an endpoint that has sent no status for too long.
    fn forget(&mut self, endpoint: &EndpointName, now: ClockTime);
    /// Starts a new request.
    fn start(&mut self, intake: RequestIntake, now: ClockTime) -> EntryActions;
    /// Processes an event of a request.
    fn handle(&mut self, request: RequestId, event: &EntryEvent, now: ClockTime) -> EntryActions;
    /// Returns when the next timer is due.
    fn next_timer(&self) -> Option<ClockTime>;
    /// Fires the timers that are due and adds their actions to `fired`.
    fn fire_timers(&mut self, now: ClockTime, fired: &mut FiredActions);
}

impl EntryDecider for EntryPolicy {
    fn on_status(&mut self, status: &EndpointStatus, now: ClockTime) {
        Self::on_status(self, status, now);
    }

    fn on_report(&mut self, endpoint: &EndpointName, report: &LoadReport, now: ClockTime) {
        Self::on_report(self, endpoint, report, now);
    }

    fn on_cache_event(&mut self, endpoint: &EndpointName, event: &CacheEvent, now: ClockTime) {
        Self::on_cache_event(self, endpoint, event, now);
    }

    fn forget(&mut self, endpoint: &EndpointName, now: ClockTime) {
        Self::forget(self, endpoint, now);
    }

    fn start(&mut self, intake: RequestIntake, now: ClockTime) -> EntryActions {
        Self::start(self, intake, now)
    }

    fn handle(&mut self, request: RequestId, event: &EntryEvent, now: ClockTime) -> EntryActions {
        Self::handle(self, request, event, now)
    }

    fn next_timer(&self) -> Option<ClockTime> {
        Self::next_timer(self)
    }

    fn fire_timers(&mut self, now: ClockTime, fired: &mut FiredActions) {
        Self::fire_timers(self, now, fired);
    }
}

/// Method by which a baseline chooses an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BaselineChoice {
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the fewest requests of this entry in flight.
    LeastOutstanding,
}

/// Maximum number of tries of one request by a baseline, the first one included.
const MAX_BASELINE_TRIES: u32 = 3;

struct BaselineRequest {
    intake: RequestIntake,
    endpoint: EndpointName,
    attempt: AttemptId,
    tries: u32,
    relayed: u32,
}

struct BaselineEndpoint {
    status: EndpointStatus,
    outstanding: u32,
}

/// Baseline entry: a conventional load balancer with health checks that retries failures before the first token.
pub struct BaselineEntry {
    choice: BaselineChoice,
    seed: u128,
    created: u128,
    turn: usize,
    endpoints: IndexMap<EndpointName, BaselineEndpoint>,
    requests: IndexMap<RequestId, BaselineRequest>,
}

impl BaselineEntry {
    /// Creates a baseline entry. `seed` keeps the attempt ids of two entries distinct.
    #[must_use]
    pub fn new(choice: BaselineChoice, seed: u64) -> Self {
        Self {
            choice,
            seed: u128::from(seed) << 64,
            created: 0,
            turn: 0,
            endpoints: IndexMap::new(),
            requests: IndexMap::new(),
        }
    }

    fn choose(&mut self, goal: &RequestGoal) -> Option<EndpointName> {
        let candidates: Vec<&EndpointName> = self
            .endpoints
            .iter()
            .filter(|(_, row)| can_serve(&row.status, goal))
            .map(|(name, _)| name)
            .collect();
        if candidates.is_empty() {
            return None;
        }
        self.turn += 1;
        let chosen = match self.choice {
            BaselineChoice::RoundRobin => candidates[self.turn % candidates.len()],
            BaselineChoice::LeastOutstanding => candidates
                .into_iter()
                .min_by_key(|name| self.endpoints[*name].outstanding)?,
        };
        Some(chosen.clone())
    }

    fn send(&mut self, intake: RequestIntake, tries: u32) -> EntryActions {
        let Some(endpoint) = self.choose(&intake.goal) else {
            return refuse();
        };
        self.created += 1;
        let attempt = AttemptId(self.seed | self.created);
        let spec = spec_of(&intake, attempt);
        if let Some(row) = self.endpoints.get_mut(&endpoint) {
            row.outstanding += 1;
        }
        let request = BaselineRequest {
            endpoint: endpoint.clone(),
            attempt,
            tries,
            relayed: 0,
            intake,
        };
        self.requests.insert(spec.request, request);
        let spec = Box::new(spec);
        EntryActions::from_iter([EntryAction::Send { endpoint, spec }])
    }

    fn release(&mut self, request: RequestId) -> Option<BaselineRequest> {
        let open_request = self.requests.swap_remove(&request)?;
        if let Some(row) = self.endpoints.get_mut(&open_request.endpoint) {
            row.outstanding = row.outstanding.saturating_sub(1);
        }
        Some(open_request)
    }

    fn retry(&mut self, request: RequestId) -> EntryActions {
        let Some(open_request) = self.release(request) else {
            return EntryActions::new();
        };
        if open_request.relayed > 0 || open_request.tries + 1 >= MAX_BASELINE_TRIES {
            return answer(FinalAnswer::failed(
                FinalCause::Incomplete,
                RunVerdict::MayHaveRun,
                None,
            ));
        }
        self.send(open_request.intake, open_request.tries + 1)
    }
}

impl EntryDecider for BaselineEntry {
    fn on_status(&mut self, status: &EndpointStatus, _now: ClockTime) {
        let outstanding = self
            .endpoints
            .get(&status.endpoint)
            .filter(|row| row.status.queue.boot == status.queue.boot)
            .map_or(0, |row| row.outstanding);
        let row = BaselineEndpoint {
            status: status.clone(),
            outstanding,
        };
        self.endpoints.insert(status.endpoint.clone(), row);
    }

    fn on_report(&mut self, _endpoint: &EndpointName, _report: &LoadReport, _now: ClockTime) {}

    fn on_cache_event(&mut self, _endpoint: &EndpointName, _event: &CacheEvent, _now: ClockTime) {}

    fn forget(&mut self, endpoint: &EndpointName, _now: ClockTime) {
        self.endpoints.shift_remove(endpoint);
    }

    fn start(&mut self, intake: RequestIntake, _now: ClockTime) -> EntryActions {
        self.send(intake, 0)
    }

    fn handle(&mut self, request: RequestId, event: &EntryEvent, _now: ClockTime) -> EntryActions {
        let Some(open_request) = self.requests.get_mut(&request) else {
            return EntryActions::new();
        };
        if event.attempt() != Some(open_request.attempt) {
            return EntryActions::new();
        }
        match event {
            EntryEvent::Piece { attempt, tokens } => {
                open_request.relayed += tokens;
                EntryActions::from_iter([EntryAction::Relay { attempt: *attempt }])
            }
            EntryEvent::Ended { .. } => {
                self.release(request);
                answer(FinalAnswer::complete(true, true))
            }
            EntryEvent::FirstFrame { .. } => EntryActions::new(),
            _ => self.retry(request),
        }
    }

    fn next_timer(&self) -> Option<ClockTime> {
        None
    }

    fn fire_timers(&mut self, _now: ClockTime, _fired: &mut FiredActions) {}
}

fn can_serve(status: &EndpointStatus, goal: &RequestGoal) -> bool {
    match goal {
        RequestGoal::Model { model, adapter } => status
            .ready
            .iter()
            .any(|weights| weights.model == *model && weights.adapter == *adapter),
        RequestGoal::Service { pool } => status.pool == *pool,
    }
}

fn spec_of(intake: &RequestIntake, attempt: AttemptId) -> AttemptSpec {
    AttemptSpec {
        attempt,
        request: intake.request,
        goal: intake.goal.clone(),
        class: intake.class.clone(),
        caller: intake.caller.clone(),
        repeat: intake.repeat,
        remaining: std::time::Duration::from_mins(1),
        tokens: intake.tokens,
        resume_after: 0,
    }
}

fn refuse() -> EntryActions {
    answer(FinalAnswer::refused(Refusal {
        cause: RefusalCause::NoEndpoint,
        retry_after: None,
    }))
}

fn answer(answer: FinalAnswer) -> EntryActions {
    EntryActions::from_iter([EntryAction::Answer(answer)])
}
