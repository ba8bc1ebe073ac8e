//! Who can serve a goal, by availability zone, kept up to date change by change.

use smallvec::SmallVec;

use crate::index::{EndpointIndex, ZoneIndex};

/// How an endpoint stands in the lists of its goals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListingState {
    /// It counts as a replica and takes work.
    Open,
    /// It counts as a replica; it takes no work at the moment.
    Closed,
    /// It counts as a replica; it is faulty.
    Faulty {
        /// Whether it would take work.
        accepting: bool,
    },
    /// It is leaving or gone.
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
/// Faulty ones are ejected up to a share of the replicas; those beyond it are spared, and take
/// work. Each goal decides for itself: an endpoint that is one model's only replica still serves
/// that model, while another model with replicas elsewhere does without it.
#[derive(Debug, Default)]
pub struct CandidateList {
    zones: Vec<Vec<EndpointIndex>>,
    ejected: SmallVec<[EndpointIndex; 4]>,
    /// All faulty ones, those that were found first before others: they are ejected first.
    faulty: SmallVec<[FaultyReplica; 4]>,
    open: usize,
    members: u32,
    ejected_percent: u32,
}

impl CandidateList {
    /// The empty list of a goal of whose replicas `ejected_percent` may be ejected.
    pub(super) fn new(ejected_percent: u32) -> Self {
        Self {
            ejected_percent,
            ..Self::default()
        }
    }

    /// The endpoints of an availability zone that take work, in no order.
    #[must_use]
    pub fn open_in(&self, zone: ZoneIndex) -> &[EndpointIndex] {
        self.zones.get(zone.place()).map_or(&[], Vec::as_slice)
    }

    /// How many endpoints take work.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open
    }

    /// The ejected endpoints.
    #[must_use]
    pub fn ejected(&self) -> &[EndpointIndex] {
        &self.ejected
    }

    /// How many replicas there are, ejected and closed ones included.
    #[must_use]
    pub fn members(&self) -> u32 {
        self.members
    }

    /// Whether one more replica may be ejected. Beyond the share the fault is more likely here or
    /// in what is asked of them, and ejecting more would only pile all load on the rest.
    pub(super) fn has_room(&self) -> bool {
        self.faulty.len() < self.most_ejected()
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
        self.members += 1;
        self.keep_share();
    }

    pub(super) fn remove(&mut self, index: EndpointIndex, zone: ZoneIndex, listing: ListingState) {
        match listing {
            ListingState::Absent => return,
            ListingState::Closed => {}
            ListingState::Faulty { .. } => self.remove_faulty(index),
            ListingState::Open => self.remove_open(index, zone),
        }
        self.members -= 1;
        self.keep_share();
    }

    fn most_ejected(&self) -> usize {
        let most = u64::from(self.members) * u64::from(self.ejected_percent) / 100;
        usize::try_from(most).unwrap_or(usize::MAX)
    }

    /// The first faulty ones are ejected, as many as the share allows; the rest are spared.
    fn keep_share(&mut self) {
        let wanted = self.most_ejected().min(self.faulty.len());
        while self.ejected.len() > wanted {
            let spared = self.faulty[self.ejected.len() - 1];
            self.ejected.pop();
            self.spare(spared);
        }
        while self.ejected.len() < wanted {
            let next = self.faulty[self.ejected.len()];
            self.unspare(next);
            self.ejected.push(next.index);
        }
    }

    fn add_faulty(&mut self, replica: FaultyReplica) {
        self.faulty.push(replica);
        self.spare(replica);
    }

    fn remove_faulty(&mut self, index: EndpointIndex) {
        let Some(place) = self.faulty.iter().position(|other| other.index == index) else {
            return;
        };
        let replica = self.faulty.remove(place);
        if place < self.ejected.len() {
            self.ejected.remove(place);
        } else {
            self.unspare(replica);
        }
    }

    fn spare(&mut self, replica: FaultyReplica) {
        if replica.accepting {
            self.add_open(replica.index, replica.zone);
        }
    }

    fn unspare(&mut self, replica: FaultyReplica) {
        if replica.accepting {
            self.remove_open(replica.index, replica.zone);
        }
    }

    fn add_open(&mut self, index: EndpointIndex, zone: ZoneIndex) {
        if self.zones.len() <= zone.place() {
            self.zones.resize_with(zone.place() + 1, Vec::new);
        }
        self.zones[zone.place()].push(index);
        self.open += 1;
    }

    fn remove_open(&mut self, index: EndpointIndex, zone: ZoneIndex) {
        let list = &mut self.zones[zone.place()];
        if let Some(place) = list.iter().position(|other| *other == index) {
            list.swap_remove(place);
            self.open -= 1;
        }
    }
}
