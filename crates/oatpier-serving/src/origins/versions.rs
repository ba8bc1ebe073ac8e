//! Which software versions serve in each service, and since when.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::PoolName;
use oatpier_types::software::SoftwareVersion;
use serde::{Deserialize, Serialize};

/// Longest time between two views of the registry in which no version can have come and gone unseen.
const MAX_REGISTRY_GAP: Duration = Duration::from_secs(2);

/// The versions of a service's endpoints at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ObservedVersions {
    /// All endpoints have this version.
    Sole(SoftwareVersion),
    /// There are several versions, or the version of an endpoint is not known.
    Several,
}

impl ObservedVersions {
    /// Summarizes the versions of a service's endpoints. Returns `None` if there are no endpoints.
    pub fn of<'a>(versions: impl Iterator<Item = Option<&'a SoftwareVersion>>) -> Option<Self> {
        versions
            .map(|version| version.cloned().map_or(Self::Several, Self::Sole))
            .reduce(|one, other| if one == other { one } else { Self::Several })
    }
}

/// The time since which something has been known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KnownSince {
    /// Since the whole system started for the first time.
    SystemStart,
    At(ClockTime),
}

impl KnownSince {
    /// Returns whether it has been known for a time.
    fn covers(self, time: Duration, now: ClockTime) -> bool {
        match self {
            Self::SystemStart => true,
            Self::At(at) => now.since(at) >= time,
        }
    }
}

/// The versions of a service.
#[derive(Debug, Clone)]
enum ServiceVersions {
    Sole {
        version: SoftwareVersion,
        since: KnownSince,
        /// Whether another version was seen before.
        is_successor: bool,
    },
    Several,
}

/// What a gateway knows of the versions of a service, for the lookup of the version at which a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionView {
    /// The only version that serves now, if there is just one and no other has been seen for as long as a stream lasts.
    pub sole: Option<SoftwareVersion>,
    /// Whether it is known without a gap that it has served alone for longer than a stream lasts.
    pub is_lasting: bool,
}

/// The versions of all services as one gateway has seen them.
#[derive(Debug)]
pub struct FleetVersions {
    is_first_start: bool,
    services: HashMap<PoolName, ServiceVersions>,
    /// The time of the latest view of the registry.
    known_at: Option<ClockTime>,
    /// When the latest gap between two views ended, in which versions may have come and gone unseen.
    gap_ended_at: Option<ClockTime>,
}

impl FleetVersions {
    /// Creates an empty history. `is_first_start` states that no stream can have begun before this process started.
    #[must_use]
    pub fn new(is_first_start: bool) -> Self {
        Self {
            is_first_start,
            services: HashMap::new(),
            known_at: None,
            gap_ended_at: None,
        }
    }

    /// Records that the registry is known as it was at `known_at`.
    pub fn note_registry_known(&mut self, known_at: ClockTime) {
        let is_gap = |before| known_at.since(before) > MAX_REGISTRY_GAP;
        if self.known_at.is_some_and(is_gap) {
            self.gap_ended_at = Some(known_at);
        }
        self.known_at = self.known_at.max(Some(known_at));
    }

    /// Records the versions of a service's endpoints.
    pub fn observe(&mut self, service: &PoolName, versions: &ObservedVersions, now: ClockTime) {
        let known = self.services.get(service);
        let since = match known {
            None if self.is_first_start => KnownSince::SystemStart,
            _ => KnownSince::At(now),
        };
        let observed = match (versions, known) {
            (ObservedVersions::Several, _) => ServiceVersions::Several,
            (ObservedVersions::Sole(sole), Some(ServiceVersions::Sole { version, .. }))
                if sole == version =>
            {
                return;
            }
            (ObservedVersions::Sole(sole), _) => ServiceVersions::Sole {
                version: sole.clone(),
                since,
                is_successor: known.is_some(),
            },
        };
        self.services.insert(service.clone(), observed);
    }

    /// Returns whether only a single version has been seen for as long as a stream lasts. Its streams need no records.
    #[must_use]
    pub fn has_lasted(&self, service: &PoolName, lifetime: Duration, now: ClockTime) -> bool {
        match self.services.get(service) {
            Some(ServiceVersions::Sole { since, .. }) => since.covers(lifetime, now),
            Some(ServiceVersions::Several) | None => false,
        }
    }

    /// Returns whether the registry was known without a gap for as long as a stream lasts.
    fn is_gapless(&self, lifetime: Duration, now: ClockTime) -> bool {
        self.gap_ended_at
            .is_none_or(|ended_at| now.since(ended_at) >= lifetime)
    }

    /// Returns what is known of a service's versions, for streams that last up to `lifetime`.
    #[must_use]
    pub fn view(&self, service: &PoolName, lifetime: Duration, now: ClockTime) -> VersionView {
        let has_lasted = self.has_lasted(service, lifetime, now);
        let sole = match self.services.get(service) {
            Some(ServiceVersions::Sole {
                version,
                is_successor,
                ..
            }) if has_lasted || !is_successor => Some(version.clone()),
            _ => None,
        };
        VersionView {
            sole,
            is_lasting: has_lasted && self.is_gapless(lifetime, now),
        }
    }
}
