//! What a gateway knows of the versions at which streams begin: its records, those it holds for other gateways, and the
//! versions of each service.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::{PoolName, WorkspaceName};
use oatpier_types::software::SoftwareVersion;
use smallvec::SmallVec;

use super::{
    FleetVersions, GatewayReach, HOLDERS, HolderRing, LookupLimits, MAX_STREAM_LIFETIME,
    ObservedVersions, OriginAttestation, OriginLookup, OriginRecord, OriginTable, OwnKnowledge,
    SIDECAR_HOLDERS, StreamKey, StreamOrigin,
};
use crate::site::SiteConfig;

/// Maximum number of records in one message. The message stays far below the size of the largest datagram.
const MAX_BATCH: usize = 64;

/// A stream of which an event is about to be sent to its caller.
#[derive(Debug, Clone, Copy)]
pub struct StreamStart<'a> {
    /// The caller's workspace, if it has one.
    pub workspace: Option<&'a WorkspaceName>,
    /// The identifier of the caller's attempt that brought the first event.
    pub attempt: &'a str,
    /// The service of the endpoint.
    pub service: &'a PoolName,
    /// The software version of the endpoint, if known.
    pub version: Option<&'a SoftwareVersion>,
    /// Time for which the caller waits for the whole stream.
    pub timeout: Duration,
}

/// Records for one holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderRecords {
    /// The gateway or sidecar that holds them.
    pub holder: SocketAddr,
    /// The records.
    pub records: Vec<OriginRecord>,
}

/// A stream that a request takes up.
#[derive(Debug, Clone, Copy)]
pub struct ResumedStream<'a> {
    /// The service that the request goes to.
    pub service: &'a PoolName,
    /// The key of the stream.
    pub key: StreamKey,
}

/// A lookup and the holders to ask.
#[derive(Debug)]
pub struct HolderLookup {
    /// The lookup.
    pub lookup: OriginLookup,
    /// The other gateways that hold the record.
    pub holders: SmallVec<[SocketAddr; HOLDERS]>,
    /// The sidecars that hold the record.
    pub sidecars: SmallVec<[SocketAddr; SIDECAR_HOLDERS]>,
}

/// A record that is sent to a holder once more, because datagrams may be lost.
#[derive(Debug)]
struct RepeatedRecord {
    holder: SocketAddr,
    record: OriginRecord,
}

/// The largest number of gateways that were known at once lately.
#[derive(Debug, Clone, Copy, Default)]
struct GatewayPeak {
    gateways: usize,
    at: ClockTime,
}

impl GatewayPeak {
    fn note(&mut self, gateways: usize, now: ClockTime) {
        if gateways >= self.gateways || now.since(self.at) >= MAX_STREAM_LIFETIME {
            *self = Self { gateways, at: now };
        }
    }

    /// Returns whether this many gateways are more than half of those.
    fn is_majority(self, gateways: usize) -> bool {
        gateways * 2 > self.gateways || self.gateways == 0
    }
}

/// Records of streams and the versions of services, as one gateway knows them.
#[derive(Debug)]
pub struct OriginTracker {
    own: SocketAddr,
    versions: FleetVersions,
    records: OriginTable,
    ring: HolderRing,
    /// The sidecars that hold records, as of the last time that they were needed.
    sidecars: HolderRing,
    /// The sidecars of the engines known now, if these have changed since.
    changed_sidecars: Option<Vec<SocketAddr>>,
    peak: GatewayPeak,
    repeated: Vec<RepeatedRecord>,
    /// Longest timeout of a route whose streams may be resumed; zero if none is known.
    longest_route: Duration,
    /// Longest time that a caller of such a route has stated to wait.
    longest_caller: Duration,
}

impl OriginTracker {
    /// Creates the tracker of the gateway at an address. `is_first_start` states that no stream can have begun before.
    #[must_use]
    pub fn new(own: SocketAddr, is_first_start: bool) -> Self {
        Self {
            own,
            versions: FleetVersions::new(is_first_start),
            records: OriginTable::default(),
            ring: HolderRing::default(),
            sidecars: HolderRing::default(),
            changed_sidecars: None,
            peak: GatewayPeak::default(),
            repeated: Vec::new(),
            longest_route: Duration::ZERO,
            longest_caller: Duration::ZERO,
        }
    }

    /// Applies the timeouts of a configuration's routes.
    pub fn apply_config(&mut self, config: &SiteConfig) {
        let routes = config.routes.iter();
        let resumable = routes.filter(|route| route.kind.is_resumable());
        let longest = resumable.map(|route| route.timeout).max();
        self.longest_route = longest.unwrap_or_default();
    }

    /// Replaces the other live gateways, which hold records together with this one. `known` is the number of gateways with
    /// this one and those that have only been named so far.
    pub fn set_gateways(&mut self, mut others: Vec<SocketAddr>, known: usize, now: ClockTime) {
        others.push(self.own);
        others.sort_unstable();
        self.peak.note(others.len().max(known), now);
        self.ring.set_members(others);
    }

    /// Replaces the sidecars that hold records together with the gateways. The ring is made only when it is needed, because
    /// engines come and go also while no records are made.
    pub fn set_sidecars(&mut self, sidecars: Vec<SocketAddr>) {
        self.changed_sidecars = Some(sidecars);
    }

    /// Records that the registry is known as it was at `known_at`.
    pub fn note_registry_known(&mut self, known_at: ClockTime) {
        self.versions.note_registry_known(known_at);
    }

    /// Records the versions of a service's endpoints.
    pub fn observe(&mut self, service: &PoolName, versions: &ObservedVersions, now: ClockTime) {
        self.versions.observe(service, versions, now);
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records where a stream began, and returns the records to send to its holders. Returns `None` if no record is needed
    /// so far, because a single version has served for longer than a stream lasts.
    pub fn record(
        &mut self,
        start: &StreamStart<'_>,
        now: ClockTime,
    ) -> Option<Vec<HolderRecords>> {
        self.longest_caller = self.longest_caller.max(start.timeout);
        let lifetime = self.lifetime();
        if self.versions.has_lasted(start.service, lifetime, now) {
            return None;
        }
        let key = StreamKey::new(start.workspace, start.attempt);
        let record = OriginRecord {
            key,
            origin: start.version.map(|version| StreamOrigin {
                service: start.service.clone(),
                version: version.clone(),
            }),
            expires_in_ms: millis(start.timeout),
        };
        self.records.keep_own(record.clone(), now);
        let mut holders = self.other_holders(key).to_vec();
        holders.extend(self.sidecar_holders(key, now));
        self.repeated
            .extend(holders.iter().map(|holder| RepeatedRecord {
                holder: *holder,
                record: record.clone(),
            }));
        let sent = holders.into_iter().map(|holder| HolderRecords {
            holder,
            records: vec![record.clone()],
        });
        Some(sent.collect())
    }

    /// Returns the records made since the last call, which are sent to their holders once more, and earlier ones whose
    /// sidecars have changed.
    pub fn take_repeated(&mut self, now: ClockTime) -> Vec<HolderRecords> {
        if self.records.own_records(now).next().is_some() {
            self.update_sidecars(now);
        }
        let mut repeated = std::mem::take(&mut self.repeated);
        repeated.sort_by_key(|row| row.holder);
        let by_holder = repeated.chunk_by(|one, other| one.holder == other.holder);
        let batches = by_holder.flat_map(|rows| rows.chunks(MAX_BATCH));
        batches
            .map(|rows| HolderRecords {
                holder: rows[0].holder,
                records: rows.iter().map(|row| row.record.clone()).collect(),
            })
            .collect()
    }

    /// Keeps records of another gateway.
    pub fn keep(&mut self, records: Vec<OriginRecord>, now: ClockTime) {
        for record in records {
            self.records.keep(record, now);
        }
    }

    /// Returns what this gateway knows of a stream. `registry_age` is the age of its knowledge of the registry, if it has
    /// any.
    #[must_use]
    pub fn attest(
        &self,
        stream: ResumedStream<'_>,
        registry_age: Option<Duration>,
        now: ClockTime,
    ) -> OriginAttestation {
        let kept = self.records.find(stream.key, now);
        OriginAttestation {
            evidence: kept.evidence,
            record_age_ms: millis(kept.age),
            view: self.versions.view(stream.service, self.lifetime(), now),
            registry_age_ms: registry_age.map_or(u32::MAX, millis),
        }
    }

    /// Begins the lookup of where a stream began. Knowledge of the registry counts as current up to `max_registry_age`.
    #[must_use]
    pub fn look_up(
        &mut self,
        stream: ResumedStream<'_>,
        registry_age: Option<Duration>,
        max_registry_age: Duration,
        now: ClockTime,
    ) -> HolderLookup {
        let own = self.attest(stream, registry_age, now);
        let holders = self.other_holders(stream.key);
        // While a single version has served for long, there are no records.
        let sidecars = if own.view.is_lasting {
            SmallVec::new()
        } else {
            self.sidecar_holders(stream.key, now)
        };
        let lifetime = self.lifetime();
        let limits = LookupLimits {
            max_registry_age,
            lifetime,
        };
        let own = OwnKnowledge {
            attestation: own,
            has_lasted: self.versions.has_lasted(stream.service, lifetime, now),
        };
        let lookup = OriginLookup::new(
            stream.service.clone(),
            own,
            GatewayReach {
                others: holders.len(),
                sidecars: sidecars.len(),
                has_majority: self.peak.is_majority(self.ring.len()),
            },
            limits,
        );
        HolderLookup {
            lookup,
            holders,
            sidecars,
        }
    }

    fn other_holders(&self, key: StreamKey) -> SmallVec<[SocketAddr; HOLDERS]> {
        let holders = self.ring.holders(key).into_iter();
        holders.filter(|holder| *holder != self.own).collect()
    }

    fn sidecar_holders(
        &mut self,
        key: StreamKey,
        now: ClockTime,
    ) -> SmallVec<[SocketAddr; SIDECAR_HOLDERS]> {
        self.update_sidecars(now);
        first_sidecars(&self.sidecars, key)
    }

    /// Applies a change of the sidecars. Records of this gateway are sent to those that hold them from now on.
    fn update_sidecars(&mut self, now: ClockTime) {
        let Some(mut sidecars) = self.changed_sidecars.take() else {
            return;
        };
        sidecars.sort_unstable();
        sidecars.dedup();
        let before = self.sidecars.clone();
        self.sidecars.set_members(sidecars);
        for record in self.records.own_records(now) {
            let known = first_sidecars(&before, record.key);
            let holders = first_sidecars(&self.sidecars, record.key).into_iter();
            let added = holders.filter(|holder| !known.contains(holder));
            self.repeated.extend(added.map(|holder| RepeatedRecord {
                holder,
                record: record.clone(),
            }));
        }
    }

    /// Returns the longest time for which a stream lasts, with all its interruptions. Without a configuration it is unknown.
    fn lifetime(&self) -> Duration {
        if self.longest_route.is_zero() {
            return MAX_STREAM_LIFETIME;
        }
        let longest = self.longest_route.max(self.longest_caller);
        longest.min(MAX_STREAM_LIFETIME)
    }
}

/// Returns the sidecars that hold the record of a stream.
fn first_sidecars(ring: &HolderRing, key: StreamKey) -> SmallVec<[SocketAddr; SIDECAR_HOLDERS]> {
    let holders = ring.holders(key).into_iter();
    holders.take(SIDECAR_HOLDERS).collect()
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
