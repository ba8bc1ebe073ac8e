//! Records of streams that have begun.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use oatpier_types::clock::ClockTime;

use super::{
    MAX_STREAM_LIFETIME, OriginAttestation, OriginEvidence, OriginRecord, StreamKey, StreamOrigin,
    VersionView,
};

/// Maximum number of records. The oldest ones make room for further ones.
const MAX_RECORDS: usize = 1 << 14;

#[derive(Debug, Clone)]
struct KeptRow {
    origin: Option<StreamOrigin>,
    kept_at: ClockTime,
    expires_at: ClockTime,
    /// Whether this process made the record.
    is_own: bool,
}

/// What the records say of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptOrigin {
    /// Where it began.
    pub evidence: OriginEvidence,
    /// Time since the record was made or received; zero without one.
    pub age: Duration,
}

/// Records by the key of their stream.
#[derive(Debug, Default)]
pub struct OriginTable {
    rows: HashMap<StreamKey, KeptRow>,
    /// Keys in the order in which their records were first kept.
    order: VecDeque<StreamKey>,
}

impl OriginTable {
    /// Keeps a record of another process. Two records of one key that differ leave the origin unclear.
    pub fn keep(&mut self, record: OriginRecord, now: ClockTime) {
        self.insert(record, false, now);
    }

    /// Keeps a record that this process has made.
    pub fn keep_own(&mut self, record: OriginRecord, now: ClockTime) {
        self.insert(record, true, now);
    }

    fn insert(&mut self, record: OriginRecord, is_own: bool, now: ClockTime) {
        self.remove_expired(now);
        let life = Duration::from_millis(u64::from(record.expires_in_ms)).min(MAX_STREAM_LIFETIME);
        let expires_at = now + life;
        if let Some(row) = self.rows.get_mut(&record.key) {
            if row.origin != record.origin {
                row.origin = None;
            }
            row.expires_at = row.expires_at.max(expires_at);
            row.is_own |= is_own;
            return;
        }
        if self.order.len() >= MAX_RECORDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.rows.remove(&oldest);
        }
        self.order.push_back(record.key);
        let row = KeptRow {
            origin: record.origin,
            kept_at: now,
            expires_at,
            is_own,
        };
        self.rows.insert(record.key, row);
    }

    /// Returns the records that this process has made and that have not expired.
    pub fn own_records(&self, now: ClockTime) -> impl Iterator<Item = OriginRecord> {
        let rows = self.rows.iter();
        let own = rows.filter(move |(_, row)| row.is_own && row.expires_at > now);
        own.map(move |(key, row)| OriginRecord {
            key: *key,
            origin: row.origin.clone(),
            expires_in_ms: whole_millis(row.expires_at.since(now)),
        })
    }

    /// Returns what the records say of a stream.
    #[must_use]
    pub fn find(&self, key: StreamKey, now: ClockTime) -> KeptOrigin {
        let row = self.rows.get(&key);
        let Some(row) = row.filter(|row| row.expires_at > now) else {
            return KeptOrigin {
                evidence: OriginEvidence::NoRecord,
                age: Duration::ZERO,
            };
        };
        let origin = row.origin.clone();
        KeptOrigin {
            evidence: origin.map_or(OriginEvidence::Unclear, OriginEvidence::Began),
            age: now.since(row.kept_at),
        }
    }

    /// Returns what a process that knows nothing of the registry attests of a stream.
    #[must_use]
    pub fn attest(&self, key: StreamKey, now: ClockTime) -> OriginAttestation {
        let kept = self.find(key, now);
        OriginAttestation {
            evidence: kept.evidence,
            record_age_ms: whole_millis(kept.age),
            view: VersionView {
                sole: None,
                is_lasting: false,
            },
            registry_age_ms: u32::MAX,
        }
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Removes expired records from the oldest on. One that expires early may wait behind one that expires late.
    fn remove_expired(&mut self, now: ClockTime) {
        while let Some(key) = self.order.front() {
            if self.rows.get(key).is_some_and(|row| row.expires_at > now) {
                return;
            }
            self.rows.remove(key);
            self.order.pop_front();
        }
    }
}

fn whole_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
