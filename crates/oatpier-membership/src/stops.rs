//! Planned stops: how a process learns that it should leave, and the steps in which it leaves.
//!
//! An operator writes `stop/NAME` to the store. The entries that watch the store learn of it and
//! pass it on to the other entries, and registrars pass it on to their agents. A process that is to
//! stop leaves in steps, so that no request is cut off.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Revision;
use oatpier_types::names::DaemonName;
use serde::{Deserialize, Serialize};

use crate::messages::NamedStop;

/// The key prefix of planned stops in the store.
pub const STOP_PREFIX: &str = "stop/";

/// The maximum number of withdrawn stops that are remembered.
const MAX_WITHDRAWN: usize = 1_024;

/// A stop request or its withdrawal. The later revision takes precedence; at the same revision, the
/// withdrawal does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct StopRequest {
    /// The store revision at which the stop was requested or withdrawn.
    pub revision: Revision,
    /// Whether the stop was withdrawn.
    pub withdrawn: bool,
}

/// All planned stops known to a process.
#[derive(Debug, Clone, Default)]
pub struct StopRegistry {
    requests: IndexMap<DaemonName, StopRequest>,
}

impl StopRegistry {
    /// Takes in a stop request. Returns whether it is later than the known one.
    pub fn merge(&mut self, stop: &NamedStop) -> bool {
        let known = self.requests.get(&stop.daemon);
        if known.is_some_and(|known| *known >= stop.request) {
            return false;
        }
        self.requests.insert(stop.daemon.clone(), stop.request);
        self.drop_withdrawn();
        true
    }

    /// Takes in the complete list from the store; stops missing from it were withdrawn. Returns the
    /// changes.
    pub fn replace(&mut self, listed: &[NamedStop]) -> Vec<NamedStop> {
        let missing = self.requests.iter().filter(|(daemon, request)| {
            !request.withdrawn && !listed.iter().any(|stop| stop.daemon == **daemon)
        });
        let withdrawn = missing.map(|(daemon, request)| NamedStop {
            daemon: daemon.clone(),
            request: StopRequest {
                withdrawn: true,
                ..*request
            },
        });
        let mut news: Vec<NamedStop> = withdrawn.collect();
        news.extend(listed.iter().cloned());
        news.retain(|stop| self.merge(stop));
        news
    }

    /// Returns the stop request for a process.
    #[must_use]
    pub fn request(&self, daemon: &DaemonName) -> Option<StopRequest> {
        self.requests.get(daemon).copied()
    }

    /// Returns the processes that should stop.
    pub fn active(&self) -> impl Iterator<Item = &DaemonName> {
        let requests = self.requests.iter();
        requests
            .filter(|(_, request)| !request.withdrawn)
            .map(|row| row.0)
    }

    /// Returns all stop requests, including withdrawn ones.
    #[must_use]
    pub fn all(&self) -> Vec<NamedStop> {
        let requests = self.requests.iter();
        requests
            .map(|(daemon, request)| NamedStop {
                daemon: daemon.clone(),
                request: *request,
            })
            .collect()
    }

    fn drop_withdrawn(&mut self) {
        let withdrawn = self
            .requests
            .values()
            .filter(|request| request.withdrawn)
            .count();
        if withdrawn > MAX_WITHDRAWN
            && let Some(first) = self.requests.values().position(|request| request.withdrawn)
        {
            self.requests.shift_remove_index(first);
        }
    }
}

/// The progress of a process towards its stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopPhase {
    /// No stop is requested.
    Serving,
    /// It reports itself as not ready but still accepts work, until the load balancer or its
    /// registrars have redirected all clients.
    Announcing,
    /// It refuses new work and finishes the work in flight.
    Draining,
    /// No work is left: the process may exit.
    Drained,
}

/// A step that the process must take for its stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopAction {
    /// Report `not ready`, and notify registrars or peers that this process leaves.
    Announce,
    /// Refuse new work.
    RefuseNew,
    /// Accept new work again: the stop was withdrawn in time.
    ServeAgain,
    /// Exit.
    End,
}

/// An input of a [`StopKeeper`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopEvent {
    /// A stop request for this process, or its withdrawal.
    Requested(StopRequest),
    /// The process got a termination signal, which can't be withdrawn.
    Signalled,
    /// The current number of requests in flight. Must be sent again after each
    /// [`StopAction::RefuseNew`].
    WorkCounted {
        /// The number of requests in flight.
        in_flight: u32,
    },
    /// Time has passed.
    Tick,
}

/// Leads one process from serving to its exit.
#[derive(Debug, Clone)]
pub struct StopKeeper {
    phase: StopPhase,
    announce_for: Duration,
    announced_at: ClockTime,
    request: Option<StopRequest>,
    signalled: bool,
    in_flight: Option<u32>,
}

impl StopKeeper {
    /// Creates the keeper of a serving process, which accepts work for `announce_for` after the
    /// stop request. For an entry this is the time in which the load balancer notices; for an agent
    /// it is zero, as entries handle its refusal.
    #[must_use]
    pub fn new(announce_for: Duration) -> Self {
        Self {
            phase: StopPhase::Serving,
            announce_for,
            announced_at: ClockTime::ZERO,
            request: None,
            signalled: false,
            in_flight: None,
        }
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> StopPhase {
        self.phase
    }

    /// Returns when a tick has something to do.
    #[must_use]
    pub fn next_wake(&self) -> ClockTime {
        match self.phase {
            StopPhase::Announcing => self.announced_at + self.announce_for,
            _ => ClockTime::NEVER,
        }
    }

    /// Handles an event and returns the steps to take.
    pub fn handle(&mut self, event: StopEvent, now: ClockTime) -> Vec<StopAction> {
        match event {
            StopEvent::Requested(request) if self.request.is_none_or(|known| known < request) => {
                self.request = Some(request);
            }
            StopEvent::Signalled => self.signalled = true,
            StopEvent::WorkCounted { in_flight } => self.in_flight = Some(in_flight),
            StopEvent::Requested(_) | StopEvent::Tick => {}
        }
        let mut actions = Vec::new();
        while let Some(action) = self.step(now) {
            actions.push(action);
        }
        actions
    }

    fn is_requested(&self) -> bool {
        self.signalled || self.request.is_some_and(|request| !request.withdrawn)
    }

    fn step(&mut self, now: ClockTime) -> Option<StopAction> {
        let (phase, action) = match self.phase {
            StopPhase::Serving if self.is_requested() => {
                self.announced_at = now;
                (StopPhase::Announcing, StopAction::Announce)
            }
            StopPhase::Announcing | StopPhase::Draining if !self.is_requested() => {
                (StopPhase::Serving, StopAction::ServeAgain)
            }
            StopPhase::Announcing if now.since(self.announced_at) >= self.announce_for => {
                // A count from before the refusal misses requests that were admitted since then,
                // and exiting on it would cut them off. Only a count taken after the refusal is
                // valid.
                self.in_flight = None;
                (StopPhase::Draining, StopAction::RefuseNew)
            }
            StopPhase::Draining if self.in_flight == Some(0) => {
                (StopPhase::Drained, StopAction::End)
            }
            _ => return None,
        };
        self.phase = phase;
        Some(action)
    }
}
