//! The claims of a partition, by key.

use std::collections::{HashMap, HashSet, VecDeque};

use oatpier_types::ids::RequestId;
use oatpier_types::verdict::RunVerdict;

use crate::message::{ClaimDenial, ClaimQuery, KeyHash, RequestFingerprint};
use crate::segment::{ClosedSegment, LogRecord, PartitionHead, SegmentError};

/// Maximum number of released requests that are remembered, so that a late query of one claims
/// nothing. Dropping the oldest is safe: the key then stays claimed by a request that never runs.
const MAX_GIVEN_UP: usize = 4_096;

/// The state of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyPhase {
    /// Not known to be in the store yet.
    Pending {
        /// The query was answered "unavailable" or its request was released: once the claim is in
        /// the store, it is released.
        abandoned: bool,
    },
    /// In the store; the request may be running.
    Held,
    /// The request has finished.
    Finished {
        /// Whether it ran to completion; if not, it may have run.
        ran: bool,
    },
}

/// The claim of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyEntry {
    /// The request that holds the key.
    pub request: RequestId,
    /// The fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// The claim's position in the log; 0 while pending.
    pub position: u64,
    /// The state of the claim.
    pub phase: KeyPhase,
}

impl KeyEntry {
    /// Returns the reason why another request may not have the key.
    #[must_use]
    pub fn denial(&self, query: &ClaimQuery) -> ClaimDenial {
        let holder = self.request;
        if self.fingerprint != query.fingerprint {
            return ClaimDenial::Mismatch { holder };
        }
        match self.phase {
            KeyPhase::Pending { .. } | KeyPhase::Held => ClaimDenial::Held { holder },
            KeyPhase::Finished { ran: true } => ClaimDenial::Finished {
                holder,
                verdict: RunVerdict::Ran,
            },
            KeyPhase::Finished { ran: false } => ClaimDenial::Finished {
                holder,
                verdict: RunVerdict::MayHaveRun,
            },
        }
    }
}

/// The claims of a partition, by key.
#[derive(Debug, Default)]
pub struct KeyTable {
    entries: HashMap<KeyHash, KeyEntry>,
    /// Claims in the log by position, in increasing order.
    positions: VecDeque<(u64, KeyHash)>,
    given_up: HashSet<RequestId>,
    given_up_order: VecDeque<RequestId>,
}

impl KeyTable {
    /// Builds the table from a head and the closed segments before it.
    ///
    /// Segments may overlap: a previous owner that was paused can leave a copy of a range that its
    /// successor copied as well. Both are copies of the same log, so each position is applied once.
    ///
    /// # Errors
    ///
    /// Returns [`SegmentError::Gap`] if records between the floor and the head are missing.
    pub fn load(
        head: &PartitionHead,
        mut segments: Vec<ClosedSegment>,
    ) -> Result<Self, SegmentError> {
        let mut table = Self::default();
        let mut next = head.floor;
        segments.sort_by_key(|segment| segment.base);
        for segment in &segments {
            next = table.apply_range(segment.base, &segment.records, next)?;
        }
        table.apply_range(head.base, &head.records, next)?;
        Ok(table)
    }

    /// Returns the claim of a key.
    #[must_use]
    pub fn get(&self, key: KeyHash) -> Option<&KeyEntry> {
        self.entries.get(&key)
    }

    /// Returns the claim of a key if this request holds it.
    pub fn get_own(&mut self, key: KeyHash, request: RequestId) -> Option<&mut KeyEntry> {
        self.entries
            .get_mut(&key)
            .filter(|entry| entry.request == request)
    }

    /// Returns the number of claimed keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is claimed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the memory that the table has reserved for claims, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let entry = size_of::<(KeyHash, KeyEntry)>() + 1;
        let position = size_of::<(u64, KeyHash)>();
        self.entries.capacity() * entry + self.positions.capacity() * position
    }

    /// Inserts a claim that is not written yet.
    pub fn insert_pending(&mut self, query: &ClaimQuery) {
        let entry = KeyEntry {
            request: query.request,
            fingerprint: query.fingerprint,
            position: 0,
            phase: KeyPhase::Pending { abandoned: false },
        };
        self.entries.insert(query.key, entry);
    }

    /// Marks a pending claim as stored. Returns true if it was not abandoned.
    pub fn hold(&mut self, key: KeyHash, position: u64) -> bool {
        let Some(entry) = self.entries.get_mut(&key) else {
            return false;
        };
        let wanted = entry.phase == KeyPhase::Pending { abandoned: false };
        entry.phase = KeyPhase::Held;
        entry.position = position;
        self.positions.push_back((position, key));
        wanted
    }

    /// Removes a claim if this request holds it.
    pub fn remove(&mut self, key: KeyHash, request: RequestId) -> Option<KeyEntry> {
        let is_owned = self.get_own(key, request).is_some();
        if is_owned {
            self.entries.remove(&key)
        } else {
            None
        }
    }

    /// Remembers that a request never runs.
    pub fn give_up(&mut self, request: RequestId) {
        if !self.given_up.insert(request) {
            return;
        }
        self.given_up_order.push_back(request);
        if self.given_up_order.len() > MAX_GIVEN_UP
            && let Some(oldest) = self.given_up_order.pop_front()
        {
            self.given_up.remove(&oldest);
        }
    }

    /// Returns whether a request is known never to run.
    #[must_use]
    pub fn is_given_up(&self, request: RequestId) -> bool {
        self.given_up.contains(&request)
    }

    /// Removes the claims before a position.
    pub fn drop_below(&mut self, floor: u64) {
        while let Some((position, key)) = self.positions.front().copied() {
            if position >= floor {
                return;
            }
            self.positions.pop_front();
            if self.is_claim_at(key, position) {
                self.entries.remove(&key);
            }
        }
    }

    fn is_claim_at(&self, key: KeyHash, position: u64) -> bool {
        self.entries.get(&key).is_some_and(|entry| {
            entry.position == position && !matches!(entry.phase, KeyPhase::Pending { .. })
        })
    }

    fn apply_range(
        &mut self,
        base: u64,
        records: &[LogRecord],
        next: u64,
    ) -> Result<u64, SegmentError> {
        if base > next {
            return Err(SegmentError::Gap {
                from: next,
                to: base,
            });
        }
        (base..)
            .zip(records)
            .filter(|(position, _)| *position >= next)
            .for_each(|(position, record)| self.apply(position, record));
        Ok(next.max(base + records.len() as u64))
    }

    fn apply(&mut self, position: u64, record: &LogRecord) {
        match *record {
            LogRecord::Claim {
                key,
                fingerprint,
                request,
            } => {
                let entry = KeyEntry {
                    request,
                    fingerprint,
                    position,
                    phase: KeyPhase::Held,
                };
                self.entries.insert(key, entry);
                self.positions.push_back((position, key));
            }
            LogRecord::Release { claim } => {
                if let Some(key) = self.key_at(claim)
                    && let Some(entry) = self.entries.remove(&key)
                {
                    self.give_up(entry.request);
                }
            }
            LogRecord::Finish { claim, ran } => {
                if let Some(key) = self.key_at(claim)
                    && let Some(entry) = self.entries.get_mut(&key)
                {
                    entry.phase = KeyPhase::Finished { ran };
                }
            }
        }
    }

    /// Returns the key of the claim at a position, if that claim is the newest of its key.
    fn key_at(&self, position: u64) -> Option<KeyHash> {
        let index = self
            .positions
            .binary_search_by_key(&position, |(position, _)| *position)
            .ok()?;
        let (_, key) = *self.positions.get(index)?;
        self.is_claim_at(key, position).then_some(key)
    }
}
