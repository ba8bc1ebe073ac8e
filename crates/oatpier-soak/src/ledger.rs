//! What callers and endpoints saw, in one place.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::standin::settings::{PLAIN_TOKENS, STREAM_TOKENS};

/// What a request is, and how often it may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A whole answer; may run again.
    Safe,
    /// A whole answer; runs once at most.
    Unsafe,
    /// A stream that can't be resumed; runs once at most.
    Stream,
    /// A stream that another endpoint may take up.
    ResumableStream,
}

impl CallKind {
    /// Whether it may run at most once.
    #[must_use]
    pub fn is_once(self) -> bool {
        matches!(self, Self::Unsafe | Self::Stream)
    }

    /// Whether its answer is a stream.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A request as its caller sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentCall {
    /// Its id, of its own.
    pub id: String,
    /// What it is.
    pub kind: CallKind,
    /// The service that its route leads to.
    pub service: &'static str,
    /// Method, path and query.
    pub target: String,
    /// Its body.
    pub body: String,
    /// The model that it names.
    pub model: Option<String>,
    /// The key that its caller sends.
    pub key: &'static str,
}

impl SentCall {
    /// Tokens that it counts as.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        if self.kind.is_stream() {
            STREAM_TOKENS.0 + STREAM_TOKENS.1
        } else {
            PLAIN_TOKENS
        }
    }
}

/// What an endpoint began to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BegunRun {
    /// The request's id.
    pub id: String,
    /// The endpoint's instance.
    pub instance: String,
    /// Its service.
    pub service: &'static str,
    /// Method, path and query as they came.
    pub target: String,
    /// The body as it came.
    pub body: String,
    /// The model as it came.
    pub model: Option<String>,
    /// The workspace that the endpoint was told.
    pub workspace: Option<String>,
    /// Headers that came and that only the system may set, but for the two that it does set.
    pub forged: Vec<String>,
}

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// A whole answer.
    Whole {
        /// Its status.
        status: u16,
        /// The endpoint's signature, if it bears one.
        stamp: Option<String>,
        /// Its body.
        body: String,
    },
    /// An answer that was cut, or none.
    Cut,
    /// The caller left.
    Left,
    /// Nothing came long after the route's time was over.
    Hung,
}

/// What a fault struck, where that excuses a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisturbedPlace {
    /// The store, and so all gateways.
    Store,
    /// All gateways.
    AllGateways,
    /// One gateway.
    Gateway(usize),
    /// One gateway's way to the store.
    StoreLink(usize),
    /// The way to one endpoint.
    Endpoint(usize),
}

/// What an endpoint says of itself in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SaidNotice {
    /// It leaves.
    Leaving,
    /// It wants rest for so long.
    Rest(Duration),
    /// It takes so many requests in a thousand seconds, from all gateways together.
    Limit(u32),
}

/// One thing that was seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SeenEvent {
    /// A caller sent a request.
    Sent(SentCall),
    /// It went to this gateway.
    Routed {
        /// The request's id.
        id: String,
        /// The gateway.
        gateway: usize,
    },
    /// It reached an endpoint.
    Reached {
        /// The request's id.
        id: String,
        /// The endpoint.
        endpoint: usize,
        /// Its instance.
        instance: String,
    },
    /// An endpoint said something of itself in the answer to a request.
    Said {
        /// The request's id.
        id: String,
        /// The endpoint's instance.
        instance: String,
        /// What.
        said: SaidNotice,
    },
    /// An endpoint began to run one.
    Begun(BegunRun),
    /// A call ended for its caller.
    Ended {
        /// The request's id.
        id: String,
        /// How.
        end: CallEnd,
    },
    /// A load from the weight store began.
    StoreLoad {
        /// The engine's instance.
        instance: String,
    },
    /// An engine was ordered to hold more than its memory or its places.
    Overfull {
        /// The engine's instance.
        instance: String,
        /// What it held, and what came.
        what: String,
    },
    /// An endpoint ended under a request.
    Crashed {
        /// Method, path and query of the request.
        target: String,
    },
    /// A fault of a gateway or the store is over.
    Disturbed {
        /// Whose.
        place: DisturbedPlace,
        /// When it began.
        since: Duration,
    },
    /// A process ended that nobody had told to.
    Exit {
        /// The process's name.
        process: String,
        /// What the system said.
        status: String,
    },
    /// After all faults were over something was not served in time.
    Unserved {
        /// What.
        what: String,
    },
}

/// An event and when it was seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerRow {
    /// Since the soak's start.
    pub at: Duration,
    /// What.
    pub event: SeenEvent,
}

/// All that was seen. Cloning shares it.
#[derive(Debug, Clone)]
pub struct SoakLedger {
    started: Instant,
    rows: Arc<Mutex<Vec<LedgerRow>>>,
}

impl Default for SoakLedger {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            rows: Arc::default(),
        }
    }
}

impl SoakLedger {
    /// The time since the soak's start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes an event down.
    pub fn note(&self, event: SeenEvent) {
        let at = self.now();
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.push(LedgerRow { at, event });
    }

    /// All rows so far.
    #[must_use]
    pub fn rows(&self) -> Vec<LedgerRow> {
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.clone()
    }
}
