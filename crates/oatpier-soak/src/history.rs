//! The history of a soak: all events that callers, endpoints and the harness observe.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::standin::settings::{PLAIN_TOKENS, STREAM_TOKENS};

/// The kind of a request, which decides how often it may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Has a single response; may run more than once.
    Safe,
    /// Has a single response; runs at most once.
    Unsafe,
    /// A stream that can't be resumed; runs at most once.
    Stream,
    /// A stream that another endpoint may resume.
    ResumableStream,
}

impl CallKind {
    /// Returns whether the request may run at most once.
    #[must_use]
    pub fn is_once(self) -> bool {
        matches!(self, Self::Unsafe | Self::Stream)
    }

    /// Returns whether the response is a stream.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A request as its caller sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentCall {
    /// Its id, unique within the soak.
    pub id: String,
    /// Its kind.
    pub kind: CallKind,
    /// The service that its route names.
    pub service: &'static str,
    /// Method, path and query.
    pub target: String,
    /// The body.
    pub body: String,
    /// The model that it names, with the adapter if it uses one.
    pub model: Option<String>,
    /// The key that its caller sends.
    pub key: &'static str,
    /// The stream that it takes up, if it does.
    pub resumed: Option<ResumedCall>,
}

/// An interrupted stream of a caller that returns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumedCall {
    /// The id of the request that brought the first event.
    pub first: String,
    /// The number of the last event that the caller received.
    pub after: u32,
}

impl SentCall {
    /// Returns the tokens that the request counts as.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        if self.kind.is_stream() {
            STREAM_TOKENS.0 + STREAM_TOKENS.1
        } else {
            PLAIN_TOKENS
        }
    }
}

/// A request as an endpoint received it when it started to run it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BegunRun {
    /// The id of the request.
    pub id: String,
    /// The endpoint's instance.
    pub instance: String,
    /// The version of the endpoint's software.
    pub version: &'static str,
    /// The number of the event after which it goes on; 0 for a run from the start.
    pub after: u32,
    /// The endpoint's service.
    pub service: &'static str,
    /// Method, path and query as received.
    pub target: String,
    /// The body as received.
    pub body: String,
    /// The model as received.
    pub model: Option<String>,
    /// The workspace that the request names to the endpoint.
    pub workspace: Option<String>,
    /// Received headers that a gateway must remove because only the system may set them. The expected instance and the
    /// workspace, which gateways set themselves, are not listed.
    pub forged: Vec<String>,
}

/// How a call ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The caller received a complete response.
    Complete {
        /// The HTTP status.
        status: u16,
        /// The endpoint's response stamp, if present.
        stamp: Option<String>,
        /// The body.
        body: String,
    },
    /// The connection failed before the response was complete, or before it began.
    Interrupted,
    /// The caller cancelled the request.
    Cancelled,
    /// No complete response arrived long after the route's timeout.
    TimedOut,
}

/// The part of the system that a fault affects, for faults that exempt gateways from checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultScope {
    /// The store, and with it all gateways.
    Store,
    /// The contents of the store, which are those of an older copy.
    StoreCopy,
    /// All gateways.
    AllGateways,
    /// One gateway.
    Gateway(usize),
    /// The link from one gateway to the store.
    StoreLink(usize),
    /// The link to one endpoint.
    Endpoint(usize),
}

/// A notice that an endpoint sends in the headers of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeKind {
    /// The endpoint is about to shut down.
    Leaving,
    /// The endpoint asks for a rest period of this length.
    Rest(Duration),
    /// The endpoint accepts this many requests per 1,000 seconds, from all gateways together.
    Limit(u32),
}

/// An event that callers, endpoints or the harness observe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ObservedEvent {
    /// A caller sent a request.
    Sent(SentCall),
    /// A caller chose a gateway for its request.
    Routed {
        /// The id of the request.
        id: String,
        /// The gateway's number.
        gateway: usize,
    },
    /// A request reached an endpoint.
    Reached {
        /// The id of the request.
        id: String,
        /// The endpoint's number.
        endpoint: usize,
        /// The endpoint's instance.
        instance: String,
    },
    /// The store acknowledged that an endpoint leaves.
    Retired {
        /// The endpoint's instance.
        instance: String,
    },
    /// An endpoint sent a notice in the response to a request.
    NoticeSent {
        /// The id of the request.
        id: String,
        /// The endpoint's instance.
        instance: String,
        /// The notice.
        kind: NoticeKind,
    },
    /// An endpoint started to run a request.
    RunStarted(BegunRun),
    /// A call ended for its caller.
    Ended {
        /// The id of the request.
        id: String,
        /// How it ended.
        end: CallEnd,
    },
    /// An engine started a load from the weight store.
    StoreLoad {
        /// The engine's instance.
        instance: String,
    },
    /// An engine received an order that needs more memory or adapter slots than it has.
    Overcommitted {
        /// The engine's instance.
        instance: String,
        /// What the engine held and what the order asks for.
        detail: String,
    },
    /// A request crashed the endpoint that ran it.
    Crashed {
        /// Method, path and query of the request.
        target: String,
    },
    /// A fault that exempts gateways from checks is over.
    FaultEnded {
        /// The part that it affected.
        scope: FaultScope,
        /// When it began, since the start of the soak.
        since: Duration,
    },
    /// A process exited without being stopped by the harness.
    Exit {
        /// The process's name.
        process: String,
        /// The exit status, or the error of the start or the wait.
        status: String,
    },
    /// Something was not served in time at the start or after the last fault, or an endpoint failed to restart.
    Unserved {
        /// What was not served.
        detail: String,
    },
}

/// An event and the time of its recording.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryRow {
    /// The time since the start of the soak.
    pub at: Duration,
    /// The event.
    pub event: ObservedEvent,
}

/// All recorded events in order. Clones share the same history.
#[derive(Debug, Clone)]
pub struct EventHistory {
    started: Instant,
    rows: Arc<Mutex<Vec<HistoryRow>>>,
}

impl Default for EventHistory {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            rows: Arc::default(),
        }
    }
}

impl EventHistory {
    /// Returns the time since the start of the soak.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records an event at the present time.
    pub fn record(&self, event: ObservedEvent) {
        let at = self.now();
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.push(HistoryRow { at, event });
    }

    /// Returns all events recorded so far.
    #[must_use]
    pub fn rows(&self) -> Vec<HistoryRow> {
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.clone()
    }
}
