//! Planned stops in the store: one key for each process that is to stop.

use std::collections::BTreeSet;

use bytes::Bytes;
use oatpier_membership::stops::STOP_PREFIX;
use oatpier_ports::store::{ExpectedValue, KeyStore, StoreError};
use oatpier_types::config::FleetConfig;
use oatpier_types::config::capacity::check_capacity;
use oatpier_types::config::error::nearest_name;
use oatpier_types::names::DaemonName;
use serde::{Deserialize, Serialize};

use crate::error::CommandError;

/// A planned stop, as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlannedStop {
    /// The operator who planned it.
    pub operator: String,
    /// Time of planning, in seconds since 1970.
    pub at: u64,
    /// The reason for the stop.
    pub reason: String,
}

/// A planned stop with the process that is to stop.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StopRow {
    /// The process.
    pub daemon: DaemonName,
    /// The stop; `None` if the stored value can't be decoded.
    pub stop: Option<PlannedStop>,
}

/// Plans a stop. Returns whether it is new; a stop that is already planned is left unchanged.
///
/// # Errors
///
/// Returns an error if the store does not answer.
pub async fn plan_stop(
    store: &dyn KeyStore,
    daemon: &DaemonName,
    stop: &PlannedStop,
) -> Result<bool, CommandError> {
    let key = stop_key(daemon);
    let value = serde_json::to_vec(stop);
    let value = Bytes::from(value.map_err(|source| CommandError::InvalidJson {
        what: "a planned stop",
        source,
    })?);
    match store
        .put(&key, value.clone(), ExpectedValue::Absent, None)
        .await
    {
        Ok(_) => Ok(true),
        Err(StoreError::Conflict { .. }) => Ok(false),
        Err(lost @ StoreError::AnswerLost { .. }) => {
            // Planning is idempotent, so it only matters whether the key exists now.
            match store.get(&key).await {
                Ok(Some(stored)) => Ok(stored.value == value),
                Ok(None) | Err(_) => Err(unknown_outcome("planning a stop", lost)),
            }
        }
        Err(source) => Err(store_failure("planning a stop", source)),
    }
}

/// Withdraws a planned stop.
///
/// # Errors
///
/// Returns an error if no such stop is planned, or the store does not answer.
pub async fn cancel_stop(store: &dyn KeyStore, daemon: &DaemonName) -> Result<(), CommandError> {
    const ACTION: &str = "withdrawing a stop";
    let key = stop_key(daemon);
    let stored = store.get(&key).await;
    let stored = stored.map_err(|source| store_failure(ACTION, source))?;
    let Some(stored) = stored else {
        let rows = list_stops(store).await?;
        let names = rows.iter().map(|row| row.daemon.as_str());
        return Err(CommandError::NotFound {
            kind: "planned stop of",
            name: daemon.to_string(),
            nearest: nearest_name(daemon.as_str(), names),
        });
    };
    match store.delete(&key, ExpectedValue::At(stored.revision)).await {
        Ok(()) => Ok(()),
        Err(StoreError::Conflict { current }) if current.0 == 0 => Ok(()),
        Err(StoreError::Conflict { .. }) => Err(CommandError::ConcurrentWrite { action: ACTION }),
        Err(lost @ StoreError::AnswerLost { .. }) => match store.get(&key).await {
            Ok(None) => Ok(()),
            Ok(Some(_)) | Err(_) => Err(unknown_outcome(ACTION, lost)),
        },
        Err(source) => Err(store_failure(ACTION, source)),
    }
}

/// Returns all planned stops, sorted by process.
///
/// # Errors
///
/// Returns an error if the store does not answer.
pub async fn list_stops(store: &dyn KeyStore) -> Result<Vec<StopRow>, CommandError> {
    let listed = store.list(STOP_PREFIX).await;
    let listed = listed.map_err(|source| store_failure("listing the planned stops", source))?;
    let rows = listed.iter().filter_map(|stored| {
        let name = stored.key.strip_prefix(STOP_PREFIX)?;
        Some(StopRow {
            daemon: DaemonName::try_from(name).ok()?,
            stop: serde_json::from_slice(&stored.value).ok(),
        })
    });
    Ok(rows.collect())
}

/// Returns how many MiB of models and adapters become unreachable without the endpoints in `leaving`. Names that are
/// not endpoints are ignored.
#[must_use]
pub fn unreachable_mib(config: &FleetConfig, leaving: &BTreeSet<&str>) -> u64 {
    let mut remaining = config.clone();
    for pool in remaining.pools.values_mut() {
        pool.endpoints
            .retain(|endpoint, _| !leaving.contains(endpoint.as_str()));
    }
    let report = check_capacity(&remaining);
    report.pools.iter().map(|pool| pool.steady.short_mib).sum()
}

fn stop_key(daemon: &DaemonName) -> String {
    format!("{STOP_PREFIX}{daemon}")
}

fn store_failure(action: &'static str, source: StoreError) -> CommandError {
    CommandError::Store { action, source }
}

fn unknown_outcome(action: &'static str, source: StoreError) -> CommandError {
    CommandError::Uncertain {
        action,
        change: None,
        source,
    }
}
