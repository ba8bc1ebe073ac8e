//! A pool of idle connections, kept for the next request to the same address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::time::Instant;

use super::head_limit::HeadLimit;

/// The sending side of a connection.
pub(crate) struct PooledSender {
    pub(crate) address: SocketAddr,
    pub(crate) connection: SendRequest<Full<Bytes>>,
    pub(crate) head_limit: Arc<HeadLimit>,
    /// Whether an earlier request used the connection.
    pub(crate) reused: bool,
}

struct IdleSender {
    sender: PooledSender,
    since: Instant,
}

struct IdleTable {
    senders: HashMap<SocketAddr, Vec<IdleSender>>,
    last_sweep: Instant,
}

/// All idle connections of a client.
pub(crate) struct ConnectionPool {
    table: Mutex<IdleTable>,
    idle: Duration,
    per_address: usize,
}

impl ConnectionPool {
    pub(crate) fn new(idle: Duration, per_address: usize) -> Self {
        let table = IdleTable {
            senders: HashMap::new(),
            last_sweep: Instant::now(),
        };
        Self {
            table: Mutex::new(table),
            idle,
            per_address,
        }
    }

    /// Removes and returns the most recently used connection to `address`.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<PooledSender> {
        let now = Instant::now();
        let mut table = self.lock();
        let senders = table.senders.get_mut(&address)?;
        let found = std::iter::from_fn(|| senders.pop())
            .find(|idle| self.is_fresh(idle, now))
            .map(|idle| idle.sender);
        if senders.is_empty() {
            table.senders.remove(&address);
        }
        found
    }

    /// Adds a connection whose response has been read to its end.
    pub(crate) fn put(&self, mut sender: PooledSender) {
        if sender.connection.is_closed() {
            return;
        }
        let now = Instant::now();
        sender.reused = true;
        let mut table = self.lock();
        self.sweep(&mut table, now);
        let senders = table.senders.entry(sender.address).or_default();
        if senders.len() >= self.per_address {
            senders.remove(0);
        }
        senders.push(IdleSender { sender, since: now });
    }

    /// Drops connections that have been idle for too long, including those to addresses that are no longer called.
    fn sweep(&self, table: &mut IdleTable, now: Instant) {
        if now.saturating_duration_since(table.last_sweep) < self.idle {
            return;
        }
        table.last_sweep = now;
        table.senders.retain(|_, senders| {
            senders.retain(|idle| self.is_fresh(idle, now));
            !senders.is_empty()
        });
    }

    fn is_fresh(&self, idle: &IdleSender, now: Instant) -> bool {
        let idle_time = now.saturating_duration_since(idle.since);
        idle_time < self.idle && !idle.sender.connection.is_closed()
    }

    fn lock(&self) -> MutexGuard<'_, IdleTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
