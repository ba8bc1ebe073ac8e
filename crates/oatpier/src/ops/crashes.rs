//! Requests that were at endpoints that ended, as the platform's store lists them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_platform::store::{CrashChanges, MAX_CHANGES, StoreClient, StoreSnapshot};
use oatpier_serving::crashes::CrashRecord;
use oatpier_serving::crashes::suspects::CRASHES_TO_BAR;
use oatpier_serving::fingerprint::RequestFingerprint;
use serde::Serialize;

use crate::error::CommandError;

/// How long each call may take: an operator waits for it.
pub(super) const CALL_WAIT: Duration = Duration::from_secs(3);

/// One request under suspicion.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct SuspectRow {
    /// The request's fingerprint.
    pub fingerprint: String,
    /// Whether it is not sent to endpoints any more.
    pub barred: bool,
    /// The host that its caller names.
    pub host: String,
    /// Its class of work.
    pub route: String,
    /// The endpoints that ended, with the start of those that keep their name.
    pub endpoints: Vec<String>,
    /// When the last of them ended, in milliseconds since 1970 by the clock of the gateway that saw it.
    pub seen_ms: u64,
}

/// The platform's store, for an operator.
pub struct PlatformStore {
    address: SocketAddr,
    client: StoreClient,
}

impl PlatformStore {
    /// The store at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: StoreClient::new(address),
        }
    }

    /// The requests under suspicion, barred ones first, then by their last crash, latest first.
    ///
    /// # Errors
    ///
    /// The store did not answer.
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

    /// Removes all that is held against a request. Gives back how many crashes that were.
    ///
    /// # Errors
    ///
    /// The store did not answer, or lists nothing against it.
    pub async fn lift(&self, fingerprint: &RequestFingerprint) -> Result<usize, CommandError> {
        let crashes = self.crashes().await?.into_iter();
        let own: Vec<CrashRecord> = crashes
            .filter(|record| record.fingerprint == *fingerprint)
            .collect();
        if own.is_empty() {
            return Err(CommandError::NotFound {
                kind: "request under suspicion",
                name: fingerprint.to_string(),
                nearest: None,
            });
        }
        for remove in own.chunks(MAX_CHANGES) {
            let changes = CrashChanges {
                put: Vec::new(),
                remove: remove.to_vec(),
            };
            let done = self.client.change(&changes, CALL_WAIT).await;
            done.map_err(|source| CommandError::PlatformWrite {
                address: self.address,
                source,
            })?;
        }
        Ok(own.len())
    }

    async fn crashes(&self) -> Result<Vec<CrashRecord>, CommandError> {
        Ok(self.read().await?.crashes)
    }

    /// Reads everything that lies there.
    ///
    /// # Errors
    ///
    /// The store did not answer.
    pub async fn read(&self) -> Result<StoreSnapshot, CommandError> {
        let snapshot = self.client.read(CALL_WAIT).await;
        snapshot.map_err(|source| CommandError::PlatformRead {
            address: self.address,
            source,
        })
    }
}
