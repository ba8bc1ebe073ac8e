//! Summaries exchanged between availability zones, and hashes of whole tables.
//!
//! A summary has one row for each model or adapter: how many endpoints have it ready, their spare
//! capacity, and the addresses of a few of them, so that an entry of another availability zone can
//! send a request there. A row carries its age instead of a sequence number, as any entry may
//! create it; the youngest row takes precedence.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{AdapterName, EndpointName, ModelName, ZoneName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::members::MemberTable;

/// The number of endpoints that a row names.
pub const SAMPLES: usize = 2;

/// The number of parts of a table that are hashed separately.
pub const DIGEST_PARTS: usize = 64;

/// Added to a row's age for each hop between processes. It is at least as long as the hop takes.
pub const HOP_AGE: Duration = Duration::from_millis(250);

/// How long a row is kept without being renewed.
pub const ROW_KEPT: Duration = Duration::from_mins(15);

/// A row is sent again after this long even if nothing changed.
pub const ROW_RENEWED: Duration = Duration::from_mins(5);

/// The subject of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct SummaryKey {
    /// The model.
    pub model: ModelName,
    /// An adapter of the model, or `None` for the model itself.
    pub adapter: Option<AdapterName>,
}

/// An endpoint that has the model ready.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SampleEndpoint {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The address on which its agent listens.
    pub address: SocketAddr,
}

/// The summary of one model in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ModelSummary {
    /// The model or adapter.
    pub key: SummaryKey,
    /// The number of endpoints that have it ready.
    pub ready: u32,
    /// The number of attempts that these endpoints could start at once.
    pub spare: u32,
    /// A few of these endpoints.
    pub samples: SmallVec<[SampleEndpoint; SAMPLES]>,
    /// The age of the row in milliseconds.
    pub age_ms: u32,
}

impl ModelSummary {
    /// Whether another row has the same content, apart from a small change of spare capacity.
    fn is_similar_to(&self, other: &Self) -> bool {
        let bucket = |spare: u32| (u32::BITS - spare.leading_zeros()) / 2;
        self.ready == other.ready
            && bucket(self.spare) == bucket(other.spare)
            && self.samples == other.samples
    }
}

/// The rows of one availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneSummary {
    /// The availability zone.
    pub zone: ZoneName,
    /// The rows that changed.
    pub models: Vec<ModelSummary>,
}

/// Computes the rows of this group from the table. Agents of an availability zone without an entry
/// are registered in this group, and are included.
#[must_use]
pub fn summarize(table: &MemberTable) -> IndexMap<SummaryKey, ModelSummary> {
    let mut rows: IndexMap<SummaryKey, ModelSummary> = IndexMap::new();
    for agent in table.usable_agents() {
        let (Some(status), Some(report)) = (agent.facts.status(), agent.report) else {
            continue;
        };
        let spare = report.slots.saturating_sub(report.running + report.queued);
        for weights in &status.ready {
            let key = SummaryKey {
                model: weights.model.clone(),
                adapter: weights.adapter.clone(),
            };
            let sample = SampleEndpoint {
                endpoint: status.endpoint.clone(),
                address: agent.facts.address,
            };
            let row = rows.entry(key).or_insert_with_key(empty_row);
            row.ready += 1;
            row.spare += spare;
            if row.samples.len() < SAMPLES {
                row.samples.push(sample);
            }
        }
    }
    rows
}

fn empty_row(key: &SummaryKey) -> ModelSummary {
    ModelSummary {
        key: key.clone(),
        ready: 0,
        spare: 0,
        samples: SmallVec::new(),
        age_ms: 0,
    }
}

/// What was sent to another availability zone, so that only changes are sent again.
#[derive(Debug, Clone, Default)]
pub struct SummaryCursor {
    sent: IndexMap<SummaryKey, (ModelSummary, ClockTime)>,
}

impl SummaryCursor {
    /// Returns the next rows, at most `limit`: first models that became reachable or unreachable,
    /// then other changes, then rows that are due for renewal.
    pub fn next_rows(
        &mut self,
        rows: &IndexMap<SummaryKey, ModelSummary>,
        limit: usize,
        now: ClockTime,
    ) -> Vec<ModelSummary> {
        let lost = self.sent.keys().filter(|key| !rows.contains_key(*key));
        let lost: Vec<ModelSummary> = lost.map(empty_row).collect();
        let mut due: Vec<(u8, ModelSummary)> = rows
            .values()
            .chain(&lost)
            .filter_map(|row| Some((self.urgency(row, now)?, row.clone())))
            .collect();
        due.sort_by_key(|(urgency, _)| *urgency);
        let next: Vec<ModelSummary> = due.into_iter().take(limit).map(|row| row.1).collect();
        for row in &next {
            self.sent.insert(row.key.clone(), (row.clone(), now));
        }
        next
    }

    /// Marks rows that did not arrive, so that they are sent again.
    pub fn mark_lost<'a>(&mut self, keys: impl IntoIterator<Item = &'a SummaryKey>) {
        for key in keys {
            if let Some((row, at)) = self.sent.get_mut(key) {
                row.ready = u32::MAX;
                *at = ClockTime::ZERO;
            }
        }
    }

    fn urgency(&self, row: &ModelSummary, now: ClockTime) -> Option<u8> {
        match self.sent.get(&row.key) {
            None => Some(0),
            Some((sent, _)) if (sent.ready == 0) != (row.ready == 0) => Some(0),
            Some((sent, _)) if sent.ready == u32::MAX => Some(1),
            Some((sent, _)) if !sent.is_similar_to(row) => Some(2),
            Some((_, at)) if now.since(*at) >= ROW_RENEWED && row.ready > 0 => Some(3),
            Some(_) => None,
        }
    }
}

/// The summaries received from other availability zones.
#[derive(Debug, Clone, Default)]
pub struct SummaryTable {
    zones: IndexMap<ZoneName, IndexMap<SummaryKey, (ModelSummary, ClockTime)>>,
}

impl SummaryTable {
    /// Takes in rows and returns those to forward: rows that are younger than the known one and
    /// either have another content or are due for renewal. Each hop adds [`HOP_AGE`], so that a
    /// forwarded row never looks younger than it is; otherwise it would be forwarded forever.
    pub fn merge(&mut self, summary: &ZoneSummary, now: ClockTime) -> Vec<ModelSummary> {
        let rows = self.zones.entry(summary.zone.clone()).or_default();
        let mut forwarded = Vec::new();
        for row in &summary.models {
            let created = created_at(row, now);
            let known = rows.get(&row.key);
            if known.is_some_and(|(_, known)| *known >= created) {
                continue;
            }
            let renewal = known.is_some_and(|(known, at)| {
                known.is_similar_to(row) && created.since(*at) < ROW_RENEWED / 2
            });
            rows.insert(row.key.clone(), (row.clone(), created));
            if !renewal {
                forwarded.push(row.clone());
            }
        }
        forwarded
    }

    /// Returns all availability zones that have a model ready, with their rows.
    pub fn zones_with(&self, key: &SummaryKey) -> impl Iterator<Item = (&ZoneName, &ModelSummary)> {
        self.zones.iter().filter_map(|(zone, rows)| {
            let (row, _) = rows.get(key)?;
            (row.ready > 0).then_some((zone, row))
        })
    }

    /// Returns all rows with their current ages.
    #[must_use]
    pub fn all(&self, now: ClockTime) -> Vec<ZoneSummary> {
        let zones = self.zones.iter();
        zones
            .map(|(zone, rows)| ZoneSummary {
                zone: zone.clone(),
                models: rows
                    .values()
                    .map(|(row, created)| with_age(row, *created, now))
                    .collect(),
            })
            .collect()
    }

    /// Drops rows that were not renewed for [`ROW_KEPT`].
    pub fn prune(&mut self, now: ClockTime) {
        for rows in self.zones.values_mut() {
            rows.retain(|_, (_, created)| now.since(*created) < ROW_KEPT);
        }
    }
}

/// Returns when a row that has just arrived was created.
pub(crate) fn created_at(row: &ModelSummary, now: ClockTime) -> ClockTime {
    now - Duration::from_millis(row.age_ms.into()) - HOP_AGE
}

/// Returns the row with its age at `now`.
pub(crate) fn with_age(row: &ModelSummary, created: ClockTime, now: ClockTime) -> ModelSummary {
    let age = now.since(created).as_millis();
    ModelSummary {
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        ..row.clone()
    }
}

/// Hashes of the parts of a table, used to find the parts in which two tables differ.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TableDigest {
    /// One hash for each part.
    pub parts: Vec<u32>,
}

impl Default for TableDigest {
    fn default() -> Self {
        Self {
            parts: vec![0; DIGEST_PARTS],
        }
    }
}

impl TableDigest {
    /// Returns the part that a name belongs to.
    #[must_use]
    pub fn part_of(name: &str) -> usize {
        let parts = DIGEST_PARTS as u64;
        usize::try_from(xxh3_64(name.as_bytes()) % parts).unwrap_or(0)
    }

    /// Adds a row's hash to its part. The result does not depend on the order of the calls.
    pub fn add(&mut self, name: &str, hash: u64) {
        let [low @ .., _, _, _, _] = hash.to_le_bytes();
        self.parts[Self::part_of(name)] ^= u32::from_le_bytes(low);
    }

    /// Returns the first `limit` parts that differ.
    #[must_use]
    pub fn differing(&self, other: &Self, limit: usize) -> IndexSet<usize> {
        let pairs = self.parts.iter().zip(&other.parts).enumerate();
        pairs
            .filter(|(_, (left, right))| left != right)
            .map(|(part, _)| part)
            .take(limit)
            .collect()
    }
}
