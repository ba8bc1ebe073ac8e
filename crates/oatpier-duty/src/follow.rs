//! Follows the configuration in the platform's key-value service.

use std::sync::Arc;
use std::time::Duration;

use oatpier_platform::store::{KeyStore, StoreError};
use oatpier_types::config::FleetConfig;
use oatpier_types::config::record::{CONFIG_KEY, ConfigRecord};
use oatpier_types::ids::{Generation, Revision};

/// How long one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// How long to wait after a call that failed.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// Reads the configuration, and again with each change, and gives it to `take`. While the store
/// is away the last one stays in force. Never ends.
pub async fn follow_config(
    store: &dyn KeyStore,
    mut take: impl AsyncFnMut(Generation, Arc<FleetConfig>),
) {
    let mut seen = Revision(0);
    loop {
        match next_record(store, seen).await {
            Ok(Some((revision, record))) => {
                seen = revision;
                take(record.generation, Arc::new(record.content)).await;
            }
            Ok(None) => {}
            Err(error) => {
                spdlog::warn!("the configuration can't be read: {error}");
                tokio::time::sleep(RETRY_WAIT).await;
            }
        }
    }
}

/// The next record after a revision; none if there was no change for a while.
async fn next_record(
    store: &dyn KeyStore,
    seen: Revision,
) -> Result<Option<(Revision, ConfigRecord)>, StoreError> {
    let changes = store.watch(CONFIG_KEY, seen, WATCH_WAIT).await?;
    let Some(change) = changes
        .into_iter()
        .rev()
        .find(|change| change.key == CONFIG_KEY)
    else {
        return Ok(None);
    };
    let Some(value) = change.value else {
        return Ok(None);
    };
    match serde_json::from_slice(&value) {
        Ok(record) => Ok(Some((change.revision, record))),
        Err(error) => {
            spdlog::error!("the stored configuration can't be understood: {error}");
            tokio::time::sleep(RETRY_WAIT).await;
            Ok(None)
        }
    }
}
