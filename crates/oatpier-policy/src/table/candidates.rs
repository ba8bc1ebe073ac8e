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
    /// It counts as a replica; it is ejected.
    Ejected,
    /// It is leaving or gone.
    Absent,
}

/// The replicas of one goal.
#[derive(Debug, Default)]
pub struct CandidateList {
    zones: Vec<Vec<EndpointIndex>>,
    ejected: SmallVec<[EndpointIndex; 4]>,
    open: usize,
    members: u32,
}

impl CandidateList {
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

    pub(super) fn add(&mut self, index: EndpointIndex, zone: ZoneIndex, listing: ListingState) {
        match listing {
            ListingState::Absent => return,
            ListingState::Closed => {}
            ListingState::Ejected => self.ejected.push(index),
            ListingState::Open => self.add_open(index, zone),
        }
        self.members += 1;
    }

    pub(super) fn remove(&mut self, index: EndpointIndex, zone: ZoneIndex, listing: ListingState) {
        match listing {
            ListingState::Absent => return,
            ListingState::Closed => {}
            ListingState::Ejected => self.ejected.retain(|other| *other != index),
            ListingState::Open => self.remove_open(index, zone),
        }
        self.members -= 1;
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
