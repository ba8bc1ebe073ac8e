//! Request decisions at an agent: one trait for oatpier's policy and the baseline.

use indexmap::IndexMap;
use oatpier_admission::event::{AgentAction, AgentActions, AgentEvent};
use oatpier_admission::policy::AgentPolicy;
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::{AttemptId, BootId};
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::request::RequestGoal;
use oatpier_types::status::QueueReport;
use oatpier_types::verdict::RunVerdict;

/// Makes the request decisions of one agent.
pub trait AgentDecider {
    /// Processes one event and returns the resulting actions.
    fn step(&mut self, event: AgentEvent, now: ClockTime) -> AgentActions;
    /// Returns when the next timer is due.
    fn next_timer(&self) -> ClockTime;
    /// Creates a new queue report.
    fn queue_report(&mut self, now: ClockTime) -> QueueReport;
}

impl AgentDecider for AgentPolicy {
    fn step(&mut self, event: AgentEvent, now: ClockTime) -> AgentActions {
        Self::step(self, event, now)
    }

    fn next_timer(&self) -> ClockTime {
        Self::next_timer(self)
    }

    fn queue_report(&mut self, now: ClockTime) -> QueueReport {
        Self::queue_report(self, now)
    }
}

/// Baseline agent that forwards every attempt to its engine in order of arrival.
pub struct BaselineAgent {
    boot: BootId,
    sequence: u64,
    ready: Vec<WeightsKey>,
    started: IndexMap<AttemptId, ()>,
}

impl BaselineAgent {
    /// Creates an agent that has just started.
    #[must_use]
    pub fn new(boot: BootId) -> Self {
        Self {
            boot,
            sequence: 0,
            ready: Vec::new(),
            started: IndexMap::new(),
        }
    }

    fn arrive(&mut self, attempt: AttemptId, goal: &RequestGoal) -> AgentAction {
        let served = match goal {
            RequestGoal::Model { model, adapter } => self
                .ready
                .iter()
                .any(|weights| weights.model == *model && weights.adapter == *adapter),
            RequestGoal::Service { .. } => true,
        };
        if !served {
            let refusal = Refusal {
                cause: RefusalCause::WeightsMissing,
                retry_after: None,
            };
            return AgentAction::Refuse { attempt, refusal };
        }
        self.started.insert(attempt, ());
        AgentAction::Start {
            attempt,
            priority: 0,
        }
    }

    fn cancel(attempt: AttemptId) -> AgentActions {
        let cancelled = AgentAction::Cancelled {
            attempt,
            verdict: RunVerdict::MayHaveRun,
        };
        AgentActions::from_iter([AgentAction::CancelAtEndpoint { attempt }, cancelled])
    }
}

impl AgentDecider for BaselineAgent {
    fn step(&mut self, event: AgentEvent, _now: ClockTime) -> AgentActions {
        match event {
            AgentEvent::Arrive { spec, .. } => {
                AgentActions::from_iter([self.arrive(spec.attempt, &spec.goal)])
            }
            AgentEvent::Cancel { attempt, .. } => Self::cancel(attempt),
            AgentEvent::EndpointEnded { attempt } | AgentEvent::EndpointFailed { attempt, .. } => {
                self.started.swap_remove(&attempt);
                AgentActions::new()
            }
            AgentEvent::WeightsChanged { ready, .. } => {
                self.ready = ready;
                AgentActions::new()
            }
            _ => AgentActions::new(),
        }
    }

    fn next_timer(&self) -> ClockTime {
        ClockTime::NEVER
    }

    fn queue_report(&mut self, _now: ClockTime) -> QueueReport {
        self.sequence += 1;
        QueueReport {
            boot: self.boot,
            sequence: self.sequence,
            queued: 0,
            running: u32::try_from(self.started.len()).unwrap_or(u32::MAX),
            slots: u32::MAX,
            wait: std::time::Duration::ZERO,
            prompt_token_ns: 0,
            step_us: 0,
            accepting: true,
        }
    }
}
