//! State that the orders duty gets from elsewhere: the plan, other replicas, running attempts.

use std::net::SocketAddr;

use indexmap::IndexMap;
use oatpier_placement::steps::{AttemptCount, ReplicaView};
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::EndpointName;
use oatpier_types::plan::EndpointPlan;
use smallvec::SmallVec;

use crate::channels::{DrainCount, DrainRound};
use oatpier_duty::placement::{HolderContact, PlacementView, PlanRow};

/// The plan and replicas as last reported by entries. They may be stale, so they are never
/// sufficient on their own to unload a replica.
#[derive(Debug, Clone)]
pub struct PlacementCache {
    own: EndpointName,
    plan: Option<PlanRow>,
    holders: IndexMap<WeightsKey, SmallVec<[HolderContact; 4]>>,
    unserved: Vec<WeightsKey>,
    live: Vec<EndpointName>,
    has_replica_view: bool,
}

impl PlacementCache {
    /// Creates the empty state of an agent that starts.
    #[must_use]
    pub fn new(own: EndpointName) -> Self {
        Self {
            own,
            plan: None,
            holders: IndexMap::new(),
            unserved: Vec::new(),
            live: Vec::new(),
            has_replica_view: false,
        }
    }

    /// Returns the endpoint's row of the plan.
    #[must_use]
    pub fn plan(&self) -> Option<&EndpointPlan> {
        self.plan.as_ref().map(|plan| &plan.row)
    }

    /// Returns the live endpoints of the pool. Entries report them only while some weights are
    /// unserved.
    #[must_use]
    pub fn live(&self) -> &[EndpointName] {
        &self.live
    }

    /// Returns whether an entry has answered recently. Otherwise weights without a known replica
    /// may still have many.
    #[must_use]
    pub fn has_replica_view(&self) -> bool {
        self.has_replica_view
    }

    /// Applies an entry's answer.
    pub fn apply_view(&mut self, view: PlacementView) {
        if let Some(row) = view.plan {
            self.apply_row(row);
        }
        let holders = view.holders.into_iter();
        self.holders = holders.map(|row| (row.weights, row.holders)).collect();
        self.unserved = view.unserved;
        self.live = view.live;
        self.has_replica_view = true;
    }

    /// Applies a row of the plan. A row of an earlier plan is ignored: it comes from an entry that
    /// lags behind.
    pub fn apply_row(&mut self, row: PlanRow) {
        let known = self.plan.as_ref().map(|plan| plan.stamp);
        if known.is_none_or(|known| known <= row.stamp) {
            self.plan = Some(row);
        }
    }

    /// Discards the replicas when entries no longer answer. The plan stays in effect.
    pub fn clear_replicas(&mut self) {
        self.holders.clear();
        self.unserved.clear();
        self.live.clear();
        self.has_replica_view = false;
    }

    /// Returns the address of an endpoint's agent.
    #[must_use]
    pub fn address_of(&self, endpoint: &EndpointName) -> Option<SocketAddr> {
        let mut contacts = self.holders.values().flatten();
        let contact = contacts.find(|contact| contact.endpoint == *endpoint)?;
        Some(contact.address)
    }

    /// Returns the replicas for use by repair, which assumes that all configured weights are
    /// served except those that the entry reported as unserved.
    #[must_use]
    pub fn for_repair(&self) -> RepairReplicas<'_> {
        RepairReplicas(self)
    }

    fn holder_names(&self, weights: &WeightsKey) -> SmallVec<[EndpointName; 4]> {
        let contacts = self.holders.get(weights).into_iter().flatten();
        contacts.map(|contact| contact.endpoint.clone()).collect()
    }
}

impl ReplicaView for PlacementCache {
    fn ready_elsewhere(&self, weights: &WeightsKey) -> SmallVec<[EndpointName; 4]> {
        self.holder_names(weights)
    }

    fn other_versions(&self, weights: &WeightsKey) -> SmallVec<[WeightsKey; 2]> {
        let is_sibling = |other: &WeightsKey| {
            other.model == weights.model && other.adapter == weights.adapter && other != weights
        };
        let rows = self.holders.iter();
        rows.filter(|(other, holders)| is_sibling(other) && !holders.is_empty())
            .map(|(other, _)| other.clone())
            .collect()
    }
}

/// Replicas for use by repair. See [`PlacementCache::for_repair`].
pub struct RepairReplicas<'a>(&'a PlacementCache);

impl ReplicaView for RepairReplicas<'_> {
    fn ready_elsewhere(&self, weights: &WeightsKey) -> SmallVec<[EndpointName; 4]> {
        let known = self.0;
        if known.holders.contains_key(weights) || known.unserved.contains(weights) {
            return known.holder_names(weights);
        }
        // Some endpoint serves them. Repair does not need to know which, so the own name stands in.
        std::iter::once(known.own.clone()).collect()
    }

    fn other_versions(&self, weights: &WeightsKey) -> SmallVec<[WeightsKey; 2]> {
        self.0.other_versions(weights)
    }
}

/// Counts of attempts on draining weights, as reported by the work duty.
#[derive(Debug, Clone, Default)]
pub struct DrainCounts {
    wanted: DrainRound,
    counted: DrainRound,
    counts: Vec<DrainCount>,
}

impl DrainCounts {
    /// Returns the current drain round.
    #[must_use]
    pub fn round(&self) -> DrainRound {
        self.wanted
    }

    /// Starts a new round, since a drain began or ended.
    pub fn next_round(&mut self) {
        self.wanted.0 += 1;
    }

    /// Applies counts. Counts of an older round that arrive late are ignored.
    pub fn update(&mut self, round: DrainRound, counts: Vec<DrainCount>) {
        if round >= self.counted {
            self.counted = round;
            self.counts = counts;
        }
    }
}

impl AttemptCount for DrainCounts {
    /// Returns the number of running attempts. Until the work duty has reported counts of the
    /// current round, it may still start attempts on the weights, and an unload would interrupt
    /// them. One attempt is assumed to run until then.
    fn in_flight(&self, weights: &WeightsKey) -> u32 {
        if self.counted < self.wanted {
            return 1;
        }
        let count = self.counts.iter().find(|count| count.weights == *weights);
        count.map_or(0, |count| count.running)
    }
}
