//! Updates from the other duties to the callers duty.

use std::net::SocketAddr;
use std::sync::Arc;

use oatpier_types::config::FleetConfig;
use oatpier_types::ids::{Generation, RequestId};
use oatpier_types::names::{DaemonName, EndpointName};
use oatpier_types::operator::{AttainmentRow, ExplainRequest};
use oatpier_types::status::{EndpointStatus, QueueReport};
use tokio::sync::oneshot;

/// Update for the callers duty.
#[derive(Debug)]
pub enum CallersUpdate {
    /// A configuration became active.
    Config {
        /// Generation of the configuration.
        generation: Generation,
        /// Content of the configuration.
        config: Arc<FleetConfig>,
    },
    /// The directory of endpoints changed.
    Directory(DirectoryUpdate),
    /// An operator's query.
    Query(CallersQuery),
}

/// A change in the directory of endpoints.
#[derive(Debug, Clone)]
pub enum DirectoryUpdate {
    /// An agent reported the status of its endpoint.
    Status {
        /// Name of the agent.
        daemon: DaemonName,
        /// Address the agent listens on.
        address: SocketAddr,
        /// The reported status.
        status: Box<EndpointStatus>,
    },
    /// An agent reported its queue.
    QueueReport {
        /// Name of the endpoint.
        endpoint: EndpointName,
        /// The report.
        report: QueueReport,
    },
    /// The endpoint is leaving.
    Leaving(EndpointName),
    /// The endpoint is not leaving, or no longer.
    NotLeaving(EndpointName),
    /// The endpoint is gone.
    Gone(EndpointName),
}

/// A query about requests. The sender waits for the answer only for a short time.
#[derive(Debug)]
pub enum CallersQuery {
    /// Overall status of requests.
    Status {
        /// Channel for the answer.
        reply: oneshot::Sender<CallersStatus>,
    },
    /// Outcome of one request.
    Request {
        /// ID of the request.
        request: RequestId,
        /// Channel for the answer, which is `None` if the request is unknown or was already
        /// dropped.
        reply: oneshot::Sender<Option<ExplainRequest>>,
    },
}

/// Overall status of an entry's requests.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CallersStatus {
    /// Attainment of each class's target.
    pub attainment: Vec<AttainmentRow>,
    /// Endpoints ejected because of data path failures.
    pub ejected: Vec<EndpointName>,
}
