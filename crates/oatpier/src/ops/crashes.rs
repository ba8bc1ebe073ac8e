//! Requests and prompt parts that were on endpoints that crashed, as recorded in the platform's store.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_platform::store::{CrashChanges, MAX_CHANGES, StoreClient, StoreSnapshot};
use oatpier_serving::call::PromptPartId;
use oatpier_serving::crashes::prompt_parts::{self, PartCrash};
use oatpier_serving::crashes::suspects::CRASHES_TO_BAR;
use oatpier_serving::crashes::{CrashRecord, CrashSite, RequestOrigin};
use oatpier_serving::fingerprint::{FingerprintError, RequestFingerprint};
use serde::Serialize;
use thiserror::Error;

use crate::error::CommandError;

/// Timeout of each call; short, since an operator waits for it.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Prefix of a prompt part where requests are named by their fingerprint.
const PART_PREFIX: &str = "part:";

/// What is suspected of crashing endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectName {
    /// A request.
    Request(RequestFingerprint),
    /// A part of prompts.
    Part(PromptPartId),
}

impl fmt::Display for SuspectName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(formatter, "{fingerprint}"),
            Self::Part(part) => write!(formatter, "{PART_PREFIX}{part}"),
        }
    }
}

/// Reason why a text names no suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum SuspectNameError {
    /// The fingerprint is invalid.
    #[error(transparent)]
    Fingerprint(#[from] FingerprintError),
    /// The part is invalid.
    #[error("`{0}` is no prompt part; use `part:` and up to 16 hexadecimal digits")]
    Part(String),
}

impl TryFrom<&str> for SuspectName {
    type Error = SuspectNameError;

    fn try_from(text: &str) -> Result<Self, SuspectNameError> {
        let Some(digits) = text.strip_prefix(PART_PREFIX) else {
            return Ok(Self::Request(RequestFingerprint::try_from(text)?));
        };
        let part = u64::from_str_radix(digits, 16);
        let part = part.map_err(|_| SuspectNameError::Part(text.to_owned()))?;
        Ok(Self::Part(PromptPartId(part)))
    }
}

/// One request or prompt part suspected of crashing endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct SuspectRow {
    /// The request's fingerprint, or the prompt part with the prefix `part:`.
    pub fingerprint: String,
    /// Whether it is no longer sent to endpoints.
    pub barred: bool,
    /// The host that the caller addressed.
    pub host: String,
    /// The request's class of work.
    pub route: String,
    /// The endpoints that crashed, with the start time of those that keep their name across restarts.
    pub endpoints: Vec<String>,
    /// Time of the last crash, in milliseconds since 1970 by the clock of the gateway that detected it.
    pub seen_ms: u64,
}

/// An operator's access to the platform's store.
pub struct PlatformStore {
    address: SocketAddr,
    client: StoreClient,
}

impl PlatformStore {
    /// Creates access to the store at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: StoreClient::new(address),
        }
    }

    /// Returns the suspects, barred ones first, then by their last crash, latest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    pub async fn suspects(&self) -> Result<Vec<SuspectRow>, CommandError> {
        let snapshot = self.read().await?;
        let mut suspects: BTreeMap<SuspectName, SuspectRow> = BTreeMap::new();
        for record in &snapshot.crashes {
            let name = SuspectName::Request(record.fingerprint);
            let row = suspects
                .entry(name)
                .or_insert_with(|| new_row(name, &record.origin));
            row.add(&record.site, record.seen_ms);
            row.barred = row.endpoints.len() >= CRASHES_TO_BAR;
        }
        let mut generations: BTreeMap<PromptPartId, Vec<u32>> = BTreeMap::new();
        for crash in &snapshot.part_crashes {
            let name = SuspectName::Part(crash.part);
            let row = suspects
                .entry(name)
                .or_insert_with(|| new_row(name, &crash.origin));
            row.add(&crash.site, crash.seen_ms);
            let generations = generations.entry(crash.part).or_default();
            generations.push(crash.generation);
            let crashes = prompt_parts::successive_crashes(generations.iter().copied());
            row.barred = crashes >= prompt_parts::CRASHES_TO_BAR;
        }
        let mut rows: Vec<SuspectRow> = suspects.into_values().collect();
        rows.sort_by_key(|row| (!row.barred, u64::MAX - row.seen_ms));
        Ok(rows)
    }

    /// Removes all recorded crashes of a suspect. Returns their number.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer, or has no crash of the suspect.
    pub async fn lift(&self, name: &SuspectName) -> Result<usize, CommandError> {
        let snapshot = self.read().await?;
        let requests = snapshot.crashes.into_iter();
        let requests: Vec<CrashRecord> = requests
            .filter(|record| *name == SuspectName::Request(record.fingerprint))
            .collect();
        let parts = snapshot.part_crashes.into_iter();
        let parts: Vec<PartCrash> = parts
            .filter(|crash| *name == SuspectName::Part(crash.part))
            .collect();
        if requests.is_empty() && parts.is_empty() {
            return Err(CommandError::NotFound {
                kind: match name {
                    SuspectName::Request(_) => "suspected request",
                    SuspectName::Part(_) => "suspected prompt part",
                },
                name: name.to_string(),
                nearest: None,
            });
        }
        for remove in requests.chunks(MAX_CHANGES) {
            let changes = CrashChanges {
                remove: remove.to_vec(),
                ..CrashChanges::default()
            };
            self.change(&changes).await?;
        }
        for remove in parts.chunks(MAX_CHANGES) {
            let changes = CrashChanges {
                remove_parts: remove.to_vec(),
                ..CrashChanges::default()
            };
            self.change(&changes).await?;
        }
        Ok(requests.len() + parts.len())
    }

    async fn change(&self, changes: &CrashChanges) -> Result<(), CommandError> {
        let written = self.client.change(changes, CALL_TIMEOUT).await;
        written.map_err(|source| CommandError::PlatformWrite {
            address: self.address,
            source,
        })
    }

    /// Reads the whole content of the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    pub async fn read(&self) -> Result<StoreSnapshot, CommandError> {
        let snapshot = self.client.read(CALL_TIMEOUT).await;
        snapshot.map_err(|source| CommandError::PlatformRead {
            address: self.address,
            source,
        })
    }
}

fn new_row(name: SuspectName, origin: &RequestOrigin) -> SuspectRow {
    SuspectRow {
        fingerprint: name.to_string(),
        barred: false,
        host: origin.host.to_string(),
        route: origin.route.to_string(),
        endpoints: Vec::new(),
        seen_ms: 0,
    }
}

impl SuspectRow {
    fn add(&mut self, site: &CrashSite, seen_ms: u64) {
        self.endpoints.push(site.to_string());
        self.seen_ms = self.seen_ms.max(seen_ms);
    }
}
