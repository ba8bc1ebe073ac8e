//! Interface between a request's state machine and the state shared by all requests of an entry.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::AttemptId;
use oatpier_types::names::EndpointName;
use oatpier_types::refusal::{Refusal, RefusalCause};

use crate::health::AttemptEvidence;
use crate::index::{ClassIndex, EndpointIndex, GoalIndex};
use crate::router::{RouteChoice, RouteQuery};

/// Decisions and records that a request's state machine delegates.
pub trait AttemptContext {
    /// Chooses an endpoint for an attempt.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no endpoint can serve the attempt in time.
    fn choose(&mut self, query: &RouteQuery<'_>, now: ClockTime) -> Result<RouteChoice, Refusal>;

    /// Returns the name of an endpoint.
    fn endpoint_name(&self, endpoint: EndpointIndex) -> EndpointName;

    /// Returns a new, unique attempt id.
    fn next_attempt_id(&mut self) -> AttemptId;

    /// Takes one retry from the class's budget. Returns `false` if the budget is spent.
    fn take_retry(&mut self, class: ClassIndex) -> bool;

    /// Returns the time after which an attempt with this prediction counts as silent.
    fn silence_timeout(&self, predicted: Duration) -> Duration;

    /// Records that an attempt was sent.
    fn record_sent(&mut self, choice: &RouteChoice, prefixes: &[u64], now: ClockTime);

    /// Records that an attempt is over. `run_time` is set if its answer was complete.
    fn record_finished(&mut self, endpoint: EndpointIndex, run_time: Option<Duration>);

    /// Records an observation of an attempt.
    fn record_evidence(
        &mut self,
        endpoint: EndpointIndex,
        evidence: AttemptEvidence,
        now: ClockTime,
    );

    /// Records that an agent refused an attempt.
    fn record_refusal(
        &mut self,
        endpoint: EndpointIndex,
        goal: GoalIndex,
        cause: RefusalCause,
        now: ClockTime,
    );
}
