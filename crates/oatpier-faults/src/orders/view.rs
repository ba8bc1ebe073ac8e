//! What an agent sees of the others' replicas, and of its own work.

use oatpier_placement::steps::{AttemptCount, ReplicaView};
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::EndpointName;
use smallvec::SmallVec;

/// What an agent believes that the others have ready: a moment old.
pub struct OldView<'a>(pub &'a [(EndpointName, Vec<WeightsKey>)], pub usize);

impl ReplicaView for OldView<'_> {
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

/// Requests that still run on weights of an endpoint.
#[derive(Debug, Clone)]
pub struct RunningWork {
    pub index: usize,
    pub weights: WeightsKey,
    pub until: ClockTime,
}

/// What runs at one endpoint.
pub struct WorkCount<'a>(pub &'a [RunningWork], pub usize, pub ClockTime);

impl AttemptCount for WorkCount<'_> {
    fn in_flight(&self, weights: &WeightsKey) -> u32 {
        u32::from(runs_on(self.0, self.1, weights, self.2))
    }
}

/// Whether requests run on weights of an endpoint.
pub fn runs_on(work: &[RunningWork], index: usize, weights: &WeightsKey, now: ClockTime) -> bool {
    let mut work = work.iter();
    work.any(|work| work.index == index && work.weights == *weights && work.until > now)
}
