//! State shared by all requests: the table, the router, health, prefixes and retry budgets.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::AttemptId;
use oatpier_types::names::{EndpointName, ZoneName};
use oatpier_types::refusal::{Refusal, RefusalCause};

use super::EntrySettings;
use crate::health::{
    AttemptEvidence, EndpointFault, HealthChange, HealthTracker, HealthTransition,
};
use crate::index::{ClassIndex, EndpointIndex, GoalIndex};
use crate::machine::AttemptContext;
use crate::prefix::PrefixIndex;
use crate::retry::RetryBudget;
use crate::router::{RequestRouter, RouteChoice, RouteQuery, RouteView};
use crate::table::EndpointTable;

#[derive(Debug)]
pub(super) struct EntryCore {
    pub table: EndpointTable,
    pub router: RequestRouter,
    pub health: HealthTracker,
    pub prefix: PrefixIndex,
    pub retry: RetryBudget,
    /// Endpoints that were ejected or reinstated and have not been logged yet.
    pub transitions: Vec<HealthTransition>,
}

impl EntryCore {
    pub(super) fn new(settings: &EntrySettings, own_zone: ZoneName, seed: u64) -> Self {
        let ejected_percent = settings.health.ejected_percent;
        Self {
            table: EndpointTable::with_ejected_percent(settings.table, own_zone, ejected_percent),
            router: RequestRouter::new(settings.router, seed),
            health: HealthTracker::new(settings.health),
            prefix: PrefixIndex::new(settings.prefix),
            retry: RetryBudget::new(settings.retry),
            transitions: Vec::new(),
        }
    }

    /// Reinstates ejected endpoints that are no longer ejected from any goal. That happens when
    /// replicas leave or are unloaded and the rest is too few to keep the endpoint ejected.
    pub(super) fn reinstate_retained(&mut self, now: ClockTime) {
        while let Some(endpoint) = self.first_retained() {
            self.reinstate(endpoint, now);
        }
    }

    fn first_retained(&self) -> Option<EndpointIndex> {
        let ejected = self.health.ejected().iter().copied();
        ejected
            .into_iter()
            .find(|endpoint| !self.table.is_ejected(*endpoint))
    }

    fn reinstate(&mut self, endpoint: EndpointIndex, now: ClockTime) {
        self.health.reinstate(endpoint, now);
        self.table.set_ejected(endpoint, false);
        self.record_transition(endpoint, None);
    }

    fn record_transition(&mut self, endpoint: EndpointIndex, fault: Option<EndpointFault>) {
        self.transitions.push(HealthTransition {
            endpoint: self.table.row(endpoint).name.clone(),
            fault,
        });
    }

    fn apply_change(&mut self, endpoint: EndpointIndex, change: HealthChange, now: ClockTime) {
        match change {
            HealthChange::Reinstate => self.reinstate(endpoint, now),
            HealthChange::Eject(fault) => {
                if self.table.may_eject(endpoint) {
                    self.health.eject(endpoint, fault, now);
                    self.table.set_ejected(endpoint, true);
                    self.record_transition(endpoint, Some(fault));
                }
            }
        }
    }
}

impl AttemptContext for EntryCore {
    fn choose(&mut self, query: &RouteQuery<'_>, now: ClockTime) -> Result<RouteChoice, Refusal> {
        let view = RouteView {
            table: &self.table,
            health: &self.health,
            prefix: &self.prefix,
        };
        self.router.choose(view, query, now)
    }

    fn endpoint_name(&self, endpoint: EndpointIndex) -> EndpointName {
        self.table.row(endpoint).name.clone()
    }

    fn next_attempt_id(&mut self) -> AttemptId {
        AttemptId(self.router.random_u128())
    }

    fn take_retry(&mut self, class: ClassIndex) -> bool {
        self.retry.take(class)
    }

    fn silence_timeout(&self, predicted: Duration) -> Duration {
        self.health.silence_timeout(predicted)
    }

    fn record_sent(&mut self, choice: &RouteChoice, prefixes: &[u64], now: ClockTime) {
        let endpoint = choice.endpoint;
        self.table
            .record_sent(endpoint, choice.uncached_tokens, now);
        self.prefix.record_prompt(endpoint, prefixes, now);
        if choice.is_probe {
            self.health.start_probe(endpoint, now);
        }
    }

    fn record_finished(&mut self, endpoint: EndpointIndex, run_time: Option<Duration>) {
        self.table.record_finished(endpoint, run_time);
    }

    fn record_evidence(
        &mut self,
        endpoint: EndpointIndex,
        evidence: AttemptEvidence,
        now: ClockTime,
    ) {
        if let Some(change) = self.health.record_evidence(endpoint, evidence, now) {
            self.apply_change(endpoint, change, now);
        }
    }

    fn record_refusal(
        &mut self,
        endpoint: EndpointIndex,
        goal: GoalIndex,
        cause: RefusalCause,
        now: ClockTime,
    ) {
        match cause {
            RefusalCause::Leaving => self.table.close(endpoint),
            RefusalCause::WeightsMissing => {
                self.table.remove_goal(endpoint, goal);
                self.reinstate_retained(now);
            }
            _ => {}
        }
        self.record_evidence(endpoint, AttemptEvidence::Refused(cause), now);
    }
}
