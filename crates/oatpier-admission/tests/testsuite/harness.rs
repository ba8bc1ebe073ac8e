//! Test harness: an agent's policy with a clock, and short forms of its events.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_admission::event::{
    AdmissionLimits, AdmissionTicket, AgentAction, AgentActions, AgentEvent,
};
use oatpier_admission::policy::AgentPolicy;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::{ClassSpec, ClassTarget};
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::{AttemptId, BootId, RequestId};
use oatpier_types::names::{AdapterName, CallerName, ClassName, ModelName, PoolName, VersionName};
use oatpier_types::refusal::RefusalCause;
use oatpier_types::request::{AttemptSpec, RequestGoal, TokenDemand};
use oatpier_types::verdict::{Repeat, RunVerdict};

pub const BOOT: BootId = BootId(1);

pub struct AgentHarness {
    pub policy: AgentPolicy,
    pub now: ClockTime,
    pub ticket: AdmissionTicket,
}

pub fn spec(attempt: u128) -> AttemptSpec {
    AttemptSpec {
        attempt: AttemptId(attempt),
        request: RequestId(attempt),
        goal: RequestGoal::Service {
            pool: PoolName::try_from("plan-api").unwrap(),
        },
        class: ClassName::try_from("apply").unwrap(),
        caller: CallerName::try_from("hall-1").unwrap(),
        repeat: Repeat::AtMostOnce,
        remaining: Duration::from_secs(10),
        tokens: TokenDemand::default(),
        resume_after: 0,
    }
}

pub fn model_spec(attempt: u128, adapter: Option<&str>) -> AttemptSpec {
    AttemptSpec {
        goal: RequestGoal::Model {
            model: ModelName::try_from("seat").unwrap(),
            adapter: adapter.map(|raw| AdapterName::try_from(raw).unwrap()),
        },
        class: ClassName::try_from("draft").unwrap(),
        repeat: Repeat::Idempotent,
        tokens: TokenDemand {
            prompt: 100,
            output: 50,
        },
        ..spec(attempt)
    }
}

pub fn weights(adapter: Option<&str>) -> WeightsKey {
    WeightsKey {
        model: ModelName::try_from("seat").unwrap(),
        adapter: adapter.map(|raw| AdapterName::try_from(raw).unwrap()),
        version: VersionName::try_from("1").unwrap(),
    }
}

pub fn class(target: ClassTarget) -> ClassSpec {
    ClassSpec {
        target,
        attain: 0.95,
    }
}

pub fn refused(attempt: u128, cause: RefusalCause, actions: &AgentActions) -> bool {
    actions.iter().any(|action| {
        matches!(action, AgentAction::Refuse { attempt: found, refusal }
            if *found == AttemptId(attempt) && refusal.cause == cause)
    })
}

pub fn started(actions: &AgentActions) -> Vec<u128> {
    actions
        .iter()
        .filter_map(|action| match action {
            AgentAction::Start { attempt, .. } => Some(attempt.0),
            _ => None,
        })
        .collect()
}

pub fn cancelled(actions: &AgentActions) -> Option<RunVerdict> {
    actions.iter().find_map(|action| match action {
        AgentAction::Cancelled { verdict, .. } => Some(*verdict),
        _ => None,
    })
}

impl AgentHarness {
    pub fn new(slots: u32) -> Self {
        Self::with_limits(AdmissionLimits::for_slots(slots))
    }

    pub fn with_limits(limits: AdmissionLimits) -> Self {
        let mut policy = AgentPolicy::new(BOOT, limits);
        let now = ClockTime::from_millis(1_000);
        let ticket = AdmissionTicket::of(&policy.queue_report(now));
        Self {
            policy,
            now,
            ticket,
        }
    }

    pub fn classes(&mut self) {
        let draft = ClassTarget::Stream {
            first_token: Duration::from_millis(300),
            between_tokens: Duration::from_millis(33),
        };
        let apply = ClassTarget::Whole {
            answer: Duration::from_secs(1),
        };
        let classes = IndexMap::from([
            (ClassName::try_from("draft").unwrap(), class(draft)),
            (ClassName::try_from("apply").unwrap(), class(apply)),
        ]);
        self.step(AgentEvent::ClassesChanged { classes });
    }

    pub fn step(&mut self, event: AgentEvent) -> AgentActions {
        self.policy.step(event, self.now)
    }

    pub fn wait(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    /// Returns the ticket of a new queue report.
    pub fn fresh_ticket(&mut self) -> AdmissionTicket {
        AdmissionTicket::of(&self.policy.queue_report(self.now))
    }

    pub fn arrive(&mut self, spec: AttemptSpec) -> AgentActions {
        let ticket = self.ticket;
        self.step(AgentEvent::Arrive { spec, ticket })
    }

    pub fn cancel(&mut self, attempt: u128) -> AgentActions {
        let ticket = self.ticket;
        let attempt = AttemptId(attempt);
        self.step(AgentEvent::Cancel { attempt, ticket })
    }

    pub fn seal(&mut self, attempt: u128) -> AgentActions {
        let ticket = self.ticket;
        let attempt = AttemptId(attempt);
        self.step(AgentEvent::Seal { attempt, ticket })
    }

    pub fn end(&mut self, attempt: u128) -> AgentActions {
        let attempt = AttemptId(attempt);
        self.step(AgentEvent::EndpointEnded { attempt })
    }

    pub fn fail(&mut self, attempt: u128, verdict: RunVerdict) -> AgentActions {
        let attempt = AttemptId(attempt);
        self.step(AgentEvent::EndpointFailed { attempt, verdict })
    }

    /// Runs one attempt alone, which takes `millis`, as a sample for the estimates.
    pub fn run_alone(&mut self, attempt: u128, millis: u64) {
        self.arrive(spec(attempt));
        self.wait(millis);
        self.end(attempt);
    }
}
