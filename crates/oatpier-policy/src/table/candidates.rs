//! Replicas of a goal by availability zone, updated incrementally.

use smallvec::SmallVec;

use crate::index::{EndpointIndex, ZoneIndex};

/// State of an endpoint in the lists of its goals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListingState {
    /// The endpoint counts as a replica and accepts work.
    Open,
    /// The endpoint counts as a replica and currently accepts no work.
    Closed,
    /// The endpoint counts as a replica and is faulty.
    Faulty {
        /// Whether the endpoint accepts work.
        accepting: bool,
    },
    /// The endpoint is leaving or gone, and doesn't count as a replica.
    Absent,
}

/// A faulty replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FaultyReplica {
    index: EndpointIndex,
    zone: ZoneIndex,
    accepting: bool,
}

/// The replicas of one goal.
///
/// Faulty replicas are ejected up to a share of all replicas. Those beyond it are retained and
/// still get work. Each goal decides independently: an endpoint that is the only replica of one
/// model still serves that model, while it is ejected for another model that has other replicas.
#[derive(Debug, Default)]
pub struct CandidateList {
    zones: Vec<Vec<EndpointIndex>>,
    ejected: SmallVec<[EndpointIndex; 4]>,
    /// All faulty replicas in the order in which they were found faulty. Earlier ones are ejected
    /// first.
    faulty: SmallVec<[FaultyReplica; 4]>,
    open_count: usize,
    replica_count: u32,
    ejected_percent: u32,
}

impl CandidateList {
    /// Creates the empty list of a goal; up to `ejected_percent` of its replicas may be ejected.
    pub(super) fn new(ejected_percent: u32) -> Self {
        Self {
            ejected_percent,
            ..Self::default()
        }
    }

    /// Returns the endpoints of an availability zone that accept work, in no particular order.
    #[must_use]
    pub fn open_in(&self, zone: ZoneIndex) -> &[EndpointIndex] {
        self.zones.get(zone.as_usize()).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of endpoints that accept work.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Returns the ejected endpoints.
    #[must_use]
    pub fn ejected(&self) -> &[EndpointIndex] {
        &self.ejected
    }

    /// Returns the number of replicas, including ejected and closed ones.
    #[must_use]
    pub fn replica_count(&self) -> u32 {
        self.replica_count
    }

    /// Returns whether one more replica may be ejected.
    ///
    /// If more replicas than the share seem faulty, the fault is more likely in this entry or in
    /// the requests, and further ejections would only concentrate the load on the remaining
    /// replicas.
    pub(super) fn may_eject_more(&self) -> bool {
        self.faulty.len() < self.max_ejected()
    }

    pub(super) fn add(&mut self, index: EndpointIndex, zone: ZoneIndex, listing: ListingState) {
        match listing {
            ListingState::Absent => return,
            ListingState::Closed => {}
            ListingState::Faulty { accepting } => self.add_faulty(FaultyReplica {
                index,
                zone,
                accepting,
            }),
            ListingState::Open => self.add_open(index, zone),
        }
        self.replica_count += 1;
        self.rebalance_ejected();
    }

    pub(super) fn remove(&mut self, index: EndpointIndex, zone: ZoneIndex, listing: ListingState) {
        match listing {
            ListingState::Absent => return,
            ListingState::Closed => {}
            ListingState::Faulty { .. } => self.remove_faulty(index),
            ListingState::Open => self.remove_open(index, zone),
        }
        self.replica_count -= 1;
        self.rebalance_ejected();
    }

    fn max_ejected(&self) -> usize {
        let max_ejected = u64::from(self.replica_count) * u64::from(self.ejected_percent) / 100;
        usize::try_from(max_ejected).unwrap_or(usize::MAX)
    }

    /// Ejects faulty replicas in order, as many as the share permits, and retains the rest.
    fn rebalance_ejected(&mut self) {
        let wanted = self.max_ejected().min(self.faulty.len());
        while self.ejected.len() > wanted {
            let retained = self.faulty[self.ejected.len() - 1];
            self.ejected.pop();
            self.list_retained(retained);
        }
        while self.ejected.len() < wanted {
            let next = self.faulty[self.ejected.len()];
            self.unlist_retained(next);
            self.ejected.push(next.index);
        }
    }

    fn add_faulty(&mut self, replica: FaultyReplica) {
        self.faulty.push(replica);
        self.list_retained(replica);
    }

    fn remove_faulty(&mut self, index: EndpointIndex) {
        let Some(position) = self.faulty.iter().position(|other| other.index == index) else {
            return;
        };
        let replica = self.faulty.remove(position);
        if position < self.ejected.len() {
            self.ejected.remove(position);
        } else {
            self.unlist_retained(replica);
        }
    }

    fn list_retained(&mut self, replica: FaultyReplica) {
        if replica.accepting {
            self.add_open(replica.index, replica.zone);
        }
    }

    fn unlist_retained(&mut self, replica: FaultyReplica) {
        if replica.accepting {
            self.remove_open(replica.index, replica.zone);
        }
    }

    fn add_open(&mut self, index: EndpointIndex, zone: ZoneIndex) {
        if self.zones.len() <= zone.as_usize() {
            self.zones.resize_with(zone.as_usize() + 1, Vec::new);
        }
        self.zones[zone.as_usize()].push(index);
        self.open_count += 1;
    }

    fn remove_open(&mut self, index: EndpointIndex, zone: ZoneIndex) {
        let list = &mut self.zones[zone.as_usize()];
        if let Some(position) = list.iter().position(|other| *other == index) {
            list.swap_remove(position);
            self.open_count -= 1;
        }
    }
}
