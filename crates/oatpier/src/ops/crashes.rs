//! Requests that were running on endpoints that crashed, as recorded in the platform's store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_platform::store::{CrashChanges, MAX_CHANGES, StoreClient, StoreSnapshot};
use oatpier_serving::crashes::CrashRecord;
use oatpier_serving::crashes::suspects::CRASHES_TO_BAR;
use oatpier_serving::fingerprint::RequestFingerprint;
use serde::Serialize;

use crate::error::CommandError;

/// Timeout of each call; short, since an operator waits for it.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// One request suspected of crashing endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct SuspectRow {
    /// The request's fingerprint.
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

    /// Returns the suspected requests, barred ones first, then by their last crash, latest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    pub async fn suspects(&self) -> Result<Vec<SuspectRow>, CommandError> {
        let mut suspects: BTreeMap<RequestFingerprint, SuspectRow> = BTreeMap::new();
        for record in self.crashes().await? {
            let row = suspects
                .entry(record.fingerprint)
                .or_insert_with(|| SuspectRow {
                    fingerprint: record.fingerprint.to_string(),
                    barred: false,
                    host: record.origin.host.to_string(),
                    route: record.origin.route.to_string(),
                    endpoints: Vec::new(),
                    seen_ms: 0,
                });
            row.endpoints.push(record.site.to_string());
            row.seen_ms = row.seen_ms.max(record.seen_ms);
            row.barred = row.endpoints.len() >= CRASHES_TO_BAR;
        }
        let mut rows: Vec<SuspectRow> = suspects.into_values().collect();
        rows.sort_by_key(|row| (!row.barred, u64::MAX - row.seen_ms));
        Ok(rows)
    }

    /// Removes all recorded crashes of a request. Returns their number.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer, or has no crash of the request.
    pub async fn lift(&self, fingerprint: &RequestFingerprint) -> Result<usize, CommandError> {
        let crashes = self.crashes().await?.into_iter();
        let own: Vec<CrashRecord> = crashes
            .filter(|record| record.fingerprint == *fingerprint)
            .collect();
        if own.is_empty() {
            return Err(CommandError::NotFound {
                kind: "suspected request",
                name: fingerprint.to_string(),
                nearest: None,
            });
        }
        for remove in own.chunks(MAX_CHANGES) {
            let changes = CrashChanges {
                put: Vec::new(),
                remove: remove.to_vec(),
            };
            let written = self.client.change(&changes, CALL_TIMEOUT).await;
            written.map_err(|source| CommandError::PlatformWrite {
                address: self.address,
                source,
            })?;
        }
        Ok(own.len())
    }

    async fn crashes(&self) -> Result<Vec<CrashRecord>, CommandError> {
        Ok(self.read().await?.crashes)
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
