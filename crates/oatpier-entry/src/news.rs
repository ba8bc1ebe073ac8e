//! What the other duties of an entry tell its callers duty.

use std::net::SocketAddr;
use std::sync::Arc;

use oatpier_types::config::FleetConfig;
use oatpier_types::ids::{Generation, RequestId};
use oatpier_types::names::{DaemonName, EndpointName};
use oatpier_types::operator::{AttainmentRow, ExplainRequest};
use oatpier_types::status::{EndpointStatus, QueueReport};
use tokio::sync::oneshot;

/// News for the callers duty.
#[derive(Debug)]
pub enum EntryNews {
    /// A configuration is in force.
    Config {
        /// Its generation.
        generation: Generation,
        /// Its content.
        config: Arc<FleetConfig>,
    },
    /// The directory of endpoints changed.
    Directory(DirectoryNews),
    /// An operator asks.
    Question(CallersQuestion),
}

/// A change of what is known of endpoints.
#[derive(Debug, Clone)]
pub enum DirectoryNews {
    /// An agent's word on its endpoint.
    Status {
        /// The agent.
        daemon: DaemonName,
        /// Where it listens.
        address: SocketAddr,
        /// Its word.
        status: Box<EndpointStatus>,
    },
    /// An agent's word on its queue.
    QueueReport {
        /// The endpoint.
        endpoint: EndpointName,
        /// The word.
        report: QueueReport,
    },
    /// An endpoint leaves.
    Leaving(EndpointName),
    /// An endpoint does not leave after all.
    Staying(EndpointName),
    /// An endpoint is gone.
    Gone(EndpointName),
}

/// A question about requests. The one who asks waits for the answer for a short time only.
#[derive(Debug)]
pub enum CallersQuestion {
    /// How requests do.
    Standing {
        /// Where the answer goes.
        reply: oneshot::Sender<CallersStanding>,
    },
    /// What became of a request.
    Request {
        /// Which.
        request: RequestId,
        /// Where the answer goes; none if the request is not known, or no longer.
        reply: oneshot::Sender<Option<ExplainRequest>>,
    },
}

/// How an entry's requests do.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CallersStanding {
    /// How the classes do against their targets.
    pub attainment: Vec<AttainmentRow>,
    /// Endpoints that the evidence of the data path is against.
    pub ejected: Vec<EndpointName>,
}
