//! An agent's view of the replicas at other endpoints, and of its own running requests.

use oatpier_placement::steps::{AttemptCount, ReplicaView};
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::EndpointName;
use smallvec::SmallVec;

/// An agent's outdated view of the ready weights of all endpoints, and the index of its own.
pub struct StaleView<'a>(pub &'a [(EndpointName, Vec<WeightsKey>)], pub usize);

impl ReplicaView for StaleView<'_> {
    fn ready_elsewhere(&self, weights: &WeightsKey) -> SmallVec<[EndpointName; 4]> {
        let others = self.0.iter().enumerate();
        let others =
            others.filter(|(index, (_, ready))| *index != self.1 && ready.contains(weights));
        others.map(|(_, (name, _))| name.clone()).collect()
    }

    fn other_versions(&self, weights: &WeightsKey) -> SmallVec<[WeightsKey; 2]> {
        let others = self.0.iter().enumerate();
        let others = others.filter(|(index, _)| *index != self.1);
        let ready = others.flat_map(|(_, (_, ready))| ready);
        ready
            .filter(|held| held.model == weights.model && *held != weights)
            .cloned()
            .collect()
    }
}

/// Requests that run on weights of an endpoint until a given time.
#[derive(Debug, Clone)]
pub struct RunningRequests {
    pub index: usize,
    pub weights: WeightsKey,
    pub until: ClockTime,
}

/// The running requests, the index of one endpoint, and the current time.
pub struct WorkCount<'a>(pub &'a [RunningRequests], pub usize, pub ClockTime);

impl AttemptCount for WorkCount<'_> {
    fn in_flight(&self, weights: &WeightsKey) -> u32 {
        u32::from(has_requests_on(self.0, self.1, weights, self.2))
    }
}

/// Returns whether requests run on weights of an endpoint.
pub fn has_requests_on(
    work: &[RunningRequests],
    index: usize,
    weights: &WeightsKey,
    now: ClockTime,
) -> bool {
    let mut work = work.iter();
    work.any(|work| work.index == index && work.weights == *weights && work.until > now)
}
