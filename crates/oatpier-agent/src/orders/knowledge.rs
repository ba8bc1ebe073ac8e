//! What the orders duty knows from elsewhere: the plan, other replicas, attempts that run.

use std::net::SocketAddr;

use indexmap::IndexMap;
use oatpier_placement::steps::{AttemptCount, ReplicaView};
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::EndpointName;
use oatpier_types::plan::EndpointPlan;
use smallvec::SmallVec;

use crate::news::{DrainCount, DrainRound};
use oatpier_duty::placement::{HolderContact, PlacementView, PlanRow};

/// What entries say of plan and replicas. It may be stale: what it says never decides alone
/// whether a replica may go.
#[derive(Debug, Clone)]
pub struct PlacementKnowledge {
    own: EndpointName,
    plan: Option<PlanRow>,
    holders: IndexMap<WeightsKey, SmallVec<[HolderContact; 4]>>,
    unserved: Vec<WeightsKey>,
    live: Vec<EndpointName>,
    heard: bool,
}

impl PlacementKnowledge {
    /// What an agent knows at its start: nothing.
    #[must_use]
    pub fn new(own: EndpointName) -> Self {
        Self {
            own,
            plan: None,
            holders: IndexMap::new(),
            unserved: Vec::new(),
            live: Vec::new(),
            heard: false,
        }
    }

    /// The plan's row.
    #[must_use]
    pub fn plan(&self) -> Option<&EndpointPlan> {
        self.plan.as_ref().map(|plan| &plan.row)
    }

    /// Live endpoints of the pool, as far as something is unserved.
    #[must_use]
    pub fn live(&self) -> &[EndpointName] {
        &self.live
    }

    /// Whether an entry has answered of late. Without that, weights that nobody is known to
    /// hold may be held by many.
    #[must_use]
    pub fn is_heard(&self) -> bool {
        self.heard
    }

    /// Takes an entry's answer.
    pub fn take_view(&mut self, view: PlacementView) {
        if let Some(row) = view.plan {
            self.take_row(row);
        }
        let holders = view.holders.into_iter();
        self.holders = holders.map(|row| (row.weights, row.holders)).collect();
        self.unserved = view.unserved;
        self.live = view.live;
        self.heard = true;
    }

    /// Takes a row. One of an earlier plan comes from an entry that is behind.
    pub fn take_row(&mut self, row: PlanRow) {
        let known = self.plan.as_ref().map(|plan| plan.stamp);
        if known.is_none_or(|known| known <= row.stamp) {
            self.plan = Some(row);
        }
    }

    /// No entry answers any more. The plan stays in force.
    pub fn fall_silent(&mut self) {
        self.holders.clear();
        self.unserved.clear();
        self.live.clear();
        self.heard = false;
    }

    /// Where the agent of an endpoint listens.
    #[must_use]
    pub fn address_of(&self, endpoint: &EndpointName) -> Option<SocketAddr> {
        let mut contacts = self.holders.values().flatten();
        let contact = contacts.find(|contact| contact.endpoint == *endpoint)?;
        Some(contact.address)
    }

    /// Other replicas as repair looks at them: all configured weights are served but those that
    /// the entry named.
    #[must_use]
    pub fn for_repair(&self) -> RepairReplicas<'_> {
        RepairReplicas(self)
    }

    fn names_of(&self, weights: &WeightsKey) -> SmallVec<[EndpointName; 4]> {
        let contacts = self.holders.get(weights).into_iter().flatten();
        contacts.map(|contact| contact.endpoint.clone()).collect()
    }
}

impl ReplicaView for PlacementKnowledge {
    fn ready_elsewhere(&self, weights: &WeightsKey) -> SmallVec<[EndpointName; 4]> {
        self.names_of(weights)
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

/// See [`PlacementKnowledge::for_repair`].
pub struct RepairReplicas<'a>(&'a PlacementKnowledge);

impl ReplicaView for RepairReplicas<'_> {
    fn ready_elsewhere(&self, weights: &WeightsKey) -> SmallVec<[EndpointName; 4]> {
        let known = self.0;
        if known.holders.contains_key(weights) || known.unserved.contains(weights) {
            return known.names_of(weights);
        }
        // Somebody serves them, and repair does not ask who: the own name stands for it.
        std::iter::once(known.own.clone()).collect()
    }

    fn other_versions(&self, weights: &WeightsKey) -> SmallVec<[WeightsKey; 2]> {
        self.0.other_versions(weights)
    }
}

/// What the work duty says of attempts on weights that are to go.
#[derive(Debug, Clone, Default)]
pub struct DrainCounts {
    wanted: DrainRound,
    counted: DrainRound,
    counts: Vec<DrainCount>,
}

impl DrainCounts {
    /// The present word on drains.
    #[must_use]
    pub fn round(&self) -> DrainRound {
        self.wanted
    }

    /// A drain began or ended.
    pub fn next_round(&mut self) {
        self.wanted.0 += 1;
    }

    /// Takes counts. Older ones that come late change nothing.
    pub fn take(&mut self, round: DrainRound, counts: Vec<DrainCount>) {
        if round >= self.counted {
            self.counted = round;
            self.counts = counts;
        }
    }
}

impl AttemptCount for DrainCounts {
    /// Until the work duty has answered the newest word, it may still start attempts on the
    /// weights: an unload then would cut them off. So one is taken to run.
    fn in_flight(&self, weights: &WeightsKey) -> u32 {
        if self.counted < self.wanted {
            return 1;
        }
        let count = self.counts.iter().find(|count| count.weights == *weights);
        count.map_or(0, |count| count.running)
    }
}
