//! The open connections of a server, and which of them to close when there are too many.
//!
//! Connections that wait for their callers would otherwise keep all others out, for as long as the timeouts of heads,
//! bodies and idle connections allow.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::activity::ConnectionActivity;

/// The open connections. Clones share them.
#[derive(Debug, Clone, Default)]
pub(super) struct OpenConnections(Arc<Mutex<ConnectionTable>>);

#[derive(Debug, Default)]
struct ConnectionTable {
    activities: BTreeMap<u64, Arc<ConnectionActivity>>,
    next_key: u64,
    /// Before this time no connection has waited long enough to be closed.
    search_at: Option<Instant>,
}

/// An open connection, until it is dropped.
#[derive(Debug)]
pub(super) struct OpenConnection {
    connections: OpenConnections,
    key: u64,
    activity: Arc<ConnectionActivity>,
}

impl OpenConnection {
    pub(super) fn activity(&self) -> &Arc<ConnectionActivity> {
        &self.activity
    }
}

impl OpenConnections {
    /// Returns the number of open connections.
    pub(super) fn count(&self) -> usize {
        self.lock().activities.len()
    }

    /// Records that a connection was opened.
    pub(super) fn enter(&self) -> OpenConnection {
        let activity = Arc::new(ConnectionActivity::new());
        let mut table = self.lock();
        let key = table.next_key;
        table.next_key += 1;
        table.activities.insert(key, Arc::clone(&activity));
        drop(table);
        OpenConnection {
            connections: self.clone(),
            key,
            activity,
        }
    }

    /// Asks a connection to close that has waited for its caller for longer than `min_wait`: the one with the longest
    /// wait among those without a complete request yet, or else among those that are idle between requests. Returns
    /// whether there is one.
    pub(super) fn close_waiting(&self, min_wait: Duration) -> bool {
        let now = Instant::now();
        let mut table = self.lock();
        if table.search_at.is_some_and(|search_at| now < search_at) {
            return false;
        }
        let candidates = table.activities.values();
        let waits = candidates
            .filter(|activity| !activity.is_closing())
            .filter_map(|activity| Some((activity.caller_wait()?, activity)));
        let mut first_wait = now;
        let longest = waits
            .inspect(|(wait, _)| first_wait = first_wait.min(wait.since))
            .filter(|(wait, _)| wait.since + min_wait <= now)
            .min_by_key(|(wait, _)| *wait);
        if let Some((_, activity)) = longest {
            activity.request_close();
            return true;
        }
        table.search_at = Some(first_wait + min_wait);
        false
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.lock().activities.remove(&self.key);
    }
}
