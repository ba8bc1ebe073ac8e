//! How endpoints stop: they crash, drain, or leave with or without an announcement. Each time they restart as a new
//! instance.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::time::sleep;

use super::endpoint::EndpointStandin;
use crate::history::ObservedEvent;

/// How long a draining endpoint serves after it reports that it drains.
const DRAIN_TIME: Duration = Duration::from_millis(1_200);

/// How long an endpoint is down between a stop and its restart.
const DOWNTIME: Duration = Duration::from_millis(400);

/// How the registry tells that an endpoint leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryNotice {
    /// Its entry says that it drains.
    Draining,
    /// Its entry is removed.
    Removed,
}

impl EndpointStandin {
    /// Announces a shutdown only in responses, serves for `span`, and restarts as a new instance.
    ///
    /// # Errors
    ///
    /// Returns an error if its address can't be bound again.
    pub async fn leave(&self, span: Duration) -> std::io::Result<()> {
        let _restart_guard = self.restart_lock.lock().await;
        self.change_notices(|notices| notices.is_leaving = true);
        sleep(span).await;
        self.remove_entry();
        self.restart().await
    }

    /// Drops all connections and restarts as a new instance with nothing loaded, a moment later.
    ///
    /// # Errors
    ///
    /// Returns an error if its address can't be bound again.
    pub async fn crash(&self) -> std::io::Result<()> {
        let _restart_guard = self.restart_lock.lock().await;
        self.restart().await
    }

    /// Crashes because of a request. Returns false if a stop or restart is already in progress.
    pub(super) fn crash_during(&self, request: &Request<Bytes>) -> bool {
        let Ok(restart_lock) = Arc::clone(&self.restart_lock).try_lock_owned() else {
            return false;
        };
        let target = format!("{} {}", request.method(), request.uri());
        self.history.record(ObservedEvent::Crashed { target });
        let endpoint = self.clone();
        tokio::spawn(async move {
            if let Err(error) = endpoint.restart().await {
                let detail = format!("an endpoint did not restart: {error}");
                endpoint.history.record(ObservedEvent::Unserved { detail });
            }
            drop(restart_lock);
        });
        true
    }

    async fn restart(&self) -> std::io::Result<()> {
        self.stop_serving();
        sleep(DOWNTIME).await;
        self.lock().restart();
        self.serve()
    }

    /// Reports that it is draining, serves for a while longer, and restarts as a new instance.
    ///
    /// # Errors
    ///
    /// Returns an error if its address can't be bound again.
    pub async fn drain(&self) -> std::io::Result<()> {
        let _restart_guard = self.restart_lock.lock().await;
        self.lock().is_draining = true;
        // The store may be unavailable: the next heartbeat writes the entry again.
        let _ = self.write_entry();
        sleep(DRAIN_TIME).await;
        self.remove_entry();
        self.restart().await
    }

    /// Leaves as the registry tells, serves all requests for `span`, and restarts as a new instance.
    ///
    /// # Errors
    ///
    /// Returns an error if its address can't be bound again.
    pub async fn retire(&self, notice: RegistryNotice, span: Duration) -> std::io::Result<()> {
        let _restart_guard = self.restart_lock.lock().await;
        match notice {
            RegistryNotice::Draining => self.lock().is_draining = true,
            RegistryNotice::Removed => self.lock().is_unlisted = true,
        }
        if let Some(instance) = self.write_entry() {
            self.history.record(ObservedEvent::Retired { instance });
        }
        sleep(span).await;
        self.remove_entry();
        self.restart().await
    }
}
