//! What the life of a request needs from the rest of the entry.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::AttemptId;
use oatpier_types::names::EndpointName;
use oatpier_types::refusal::{Refusal, RefusalCause};

use crate::health::AttemptEvidence;
use crate::index::{ClassIndex, EndpointIndex, GoalIndex};
use crate::router::{RouteChoice, RouteQuery};

/// The decisions around a request, as its machine sees them.
pub trait AttemptContext {
    /// Chooses an endpoint.
    ///
    /// # Errors
    ///
    /// A refusal where none can serve in time.
    fn choose(&mut self, query: &RouteQuery<'_>, now: ClockTime) -> Result<RouteChoice, Refusal>;

    /// The name of an endpoint.
    fn endpoint_name(&self, endpoint: EndpointIndex) -> EndpointName;

    /// A fresh attempt id.
    fn next_attempt(&mut self) -> AttemptId;

    /// Takes one repeat from the class's budget; false if it is spent.
    fn take_retry(&mut self, class: ClassIndex) -> bool;

    /// The time after which an attempt with this prediction counts as silent.
    fn silence_after(&self, predicted: Duration) -> Duration;

    /// An attempt was sent.
    fn note_sent(&mut self, choice: &RouteChoice, prefixes: &[u64], now: ClockTime);

    /// An attempt is over; `ran` tells how long it ran if it came to its end.
    fn note_done(&mut self, endpoint: EndpointIndex, ran: Option<Duration>);

    /// Something was seen of an attempt.
    fn note_evidence(&mut self, endpoint: EndpointIndex, evidence: AttemptEvidence, now: ClockTime);

    /// An agent refused an attempt.
    fn note_refused(
        &mut self,
        endpoint: EndpointIndex,
        goal: GoalIndex,
        cause: RefusalCause,
        now: ClockTime,
    );
}
