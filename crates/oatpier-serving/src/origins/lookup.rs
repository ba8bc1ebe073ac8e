//! Finds the version at which a stream began, from records and from what gateways know of the versions.

use std::time::Duration;

use oatpier_types::names::PoolName;
use oatpier_types::software::SoftwareVersion;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{HOLDERS, SIDECAR_HOLDERS, StreamOrigin, VersionView};

/// Number of answers that show that there is no record of a stream. A single holder may have missed it.
const ATTESTATIONS: usize = 2;

/// What the records of a gateway say of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum OriginEvidence {
    /// There is no record.
    NoRecord,
    /// It is unclear where the stream began: the version of its endpoint was not known, or two streams have the same key.
    Unclear,
    /// The stream began there.
    Began(StreamOrigin),
}

/// The gateways that a lookup can ask.
#[derive(Debug, Clone, Copy)]
pub struct GatewayReach {
    /// Number of other gateways that hold the record.
    pub others: usize,
    /// Number of sidecars that hold the record.
    pub sidecars: usize,
    /// Whether most of the gateways that were known lately are live. Otherwise, gateways beyond a partition may hold the
    /// record.
    pub has_majority: bool,
}

/// Limits of a lookup.
#[derive(Debug, Clone, Copy)]
pub struct LookupLimits {
    /// Oldest knowledge of the registry that counts as current.
    pub max_registry_age: Duration,
    /// The longest time for which a stream lasts. Older knowledge of the registry does not count at all.
    pub lifetime: Duration,
}

/// What one gateway knows of a stream and of the versions of its service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OriginAttestation {
    /// What its records say of the stream.
    pub evidence: OriginEvidence,
    /// Age of the record, in milliseconds; 0 without one.
    pub record_age_ms: u32,
    /// What the gateway knows of the versions.
    pub view: VersionView,
    /// Age of the gateway's knowledge of the registry, in milliseconds.
    pub registry_age_ms: u32,
}

impl OriginAttestation {
    fn registry_age(&self) -> Duration {
        Duration::from_millis(u64::from(self.registry_age_ms))
    }
}

/// What the gateway that looks a stream up knows by itself.
#[derive(Debug, Clone)]
pub struct OwnKnowledge {
    /// What it would answer to another gateway.
    pub attestation: OriginAttestation,
    /// Whether it has seen a single version for longer than a stream lasts, though perhaps with gaps.
    pub has_lasted: bool,
}

/// How the version of a stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginSource {
    /// A record of this gateway.
    OwnRecord,
    /// A record of another gateway or of a sidecar.
    Record,
    /// A single version has served for longer than a stream lasts.
    SoleVersion,
}

impl OriginSource {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OwnRecord => "own record",
            Self::Record => "record",
            Self::SoleVersion => "sole version",
        }
    }
}

/// Why the version of a stream is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownCause {
    /// Holders did not answer. Another attempt may succeed.
    NoAnswer,
    /// No gateway knows, and none will.
    NoRecord,
}

/// Result of a lookup so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LookupStep {
    /// Where the stream began, how that was found, and the age of that knowledge.
    Known(StreamOrigin, OriginSource, Duration),
    /// More answers are needed.
    Ask,
    /// The version can't be found.
    Unknown(UnknownCause),
}

/// Lookup of the version at which a stream began.
#[derive(Debug)]
pub struct OriginLookup {
    service: PoolName,
    own: OriginAttestation,
    own_has_lasted: bool,
    reach: GatewayReach,
    answers: SmallVec<[OriginAttestation; HOLDERS]>,
    /// Answers of sidecars. They count only as far as they hold a record, because sidecars don't know the registry.
    sidecar_answers: SmallVec<[OriginAttestation; SIDECAR_HOLDERS]>,
    limits: LookupLimits,
}

impl OriginLookup {
    /// Begins the lookup of a stream of `service` with what this gateway knows.
    #[must_use]
    pub fn new(
        service: PoolName,
        own: OwnKnowledge,
        reach: GatewayReach,
        limits: LookupLimits,
    ) -> Self {
        Self {
            service,
            own: own.attestation,
            own_has_lasted: own.has_lasted,
            reach,
            answers: SmallVec::new(),
            sidecar_answers: SmallVec::new(),
            limits,
        }
    }

    /// Adds the answer of a holder.
    pub fn add_answer(&mut self, answer: OriginAttestation) {
        self.answers.push(answer);
    }

    /// Adds the answer of a sidecar that holds records.
    pub fn add_sidecar_answer(&mut self, answer: OriginAttestation) {
        self.sidecar_answers.push(answer);
    }

    /// Returns what follows from the answers so far. `is_last` states that no more will arrive.
    #[must_use]
    pub fn step(&self, is_last: bool) -> LookupStep {
        if let Some(found) = self.recorded() {
            return found;
        }
        let has_all_answers = self.answers.len() == self.reach.others
            && self.sidecar_answers.len() == self.reach.sidecars;
        let is_complete = is_last || has_all_answers;
        if self.answers.len() < ATTESTATIONS && !is_complete {
            return LookupStep::Ask;
        }
        if let Some(version) = self.lasting_version() {
            return self.known(version);
        }
        if !is_complete {
            return LookupStep::Ask;
        }
        LookupStep::Unknown(if has_all_answers && self.reach.has_majority {
            UnknownCause::NoRecord
        } else {
            UnknownCause::NoAnswer
        })
    }

    fn recorded(&self) -> Option<LookupStep> {
        let has_record = |known: &&OriginAttestation| known.evidence != OriginEvidence::NoRecord;
        let own = Some(&self.own).filter(has_record);
        let source = if own.is_some() {
            OriginSource::OwnRecord
        } else {
            OriginSource::Record
        };
        let mut answers = self.answers.iter().chain(&self.sidecar_answers);
        let found = own.or_else(|| answers.find(has_record))?;
        let age = Duration::from_millis(u64::from(found.record_age_ms));
        Some(match &found.evidence {
            OriginEvidence::Began(origin) => LookupStep::Known(origin.clone(), source, age),
            OriginEvidence::Unclear | OriginEvidence::NoRecord => {
                LookupStep::Unknown(UnknownCause::NoRecord)
            }
        })
    }

    /// Returns the version at which all streams began, if a gateway knows that a single one has served for longer than a
    /// stream lasts, and none knows of another one. A new version may have been registered since, so that this is not
    /// known without an answer: the holders have records of the streams that began there.
    fn lasting_version(&self) -> Option<&SoftwareVersion> {
        if self.usable_answers().next().is_none() && !self.is_alone() {
            return None;
        }
        let usable = || self.usable_answers().chain(self.usable_own());
        let lasting = usable().filter(|known| known.view.is_lasting);
        let newest = lasting.min_by_key(|known| known.registry_age_ms);
        let newest = newest.or_else(|| self.agreed_own())?;
        let version = newest.view.sole.as_ref()?;
        let is_current = newest.registry_age() <= self.limits.max_registry_age;
        if !is_current && !self.has_quorum() {
            return None;
        }
        let mut soles = usable().map(|known| known.view.sole.as_ref());
        soles.all(|sole| sole == Some(version)).then_some(version)
    }

    /// Returns the answers of gateways that know the registry.
    fn usable_answers(&self) -> impl Iterator<Item = &OriginAttestation> {
        self.answers.iter().filter(|known| self.is_usable(known))
    }

    fn usable_own(&self) -> Option<&OriginAttestation> {
        Some(&self.own).filter(|known| self.is_usable(known))
    }

    fn is_usable(&self, known: &OriginAttestation) -> bool {
        known.registry_age() < self.limits.lifetime
    }

    /// Returns what this gateway knows, if its knowledge of the registry had a gap and others agree that there was no other
    /// version: streams begin only at endpoints that a gateway knows.
    fn agreed_own(&self) -> Option<&OriginAttestation> {
        self.usable_own()
            .filter(|_| self.own_has_lasted && self.has_quorum())
    }

    fn is_alone(&self) -> bool {
        self.reach.others == 0 && self.reach.has_majority
    }

    /// Returns whether enough gateways have answered, and most of those that were known lately are live. If they agree
    /// that the registry can't be read, no new version was registered; those beyond a partition may still read it.
    fn has_quorum(&self) -> bool {
        let has_answers = self.usable_answers().count() >= ATTESTATIONS;
        self.is_alone() || (self.reach.has_majority && has_answers)
    }

    fn known(&self, version: &SoftwareVersion) -> LookupStep {
        let origin = StreamOrigin {
            service: self.service.clone(),
            version: version.clone(),
        };
        LookupStep::Known(origin, OriginSource::SoleVersion, self.own.registry_age())
    }
}
