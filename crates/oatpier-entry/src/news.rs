//! What the other duties of an entry tell its callers duty.

use std::net::SocketAddr;
use std::sync::Arc;

use oatpier_types::config::FleetConfig;
use oatpier_types::ids::Generation;
use oatpier_types::names::EndpointName;
use oatpier_types::pulse::EndpointStatus;

/// News for the callers duty.
#[derive(Debug, Clone)]
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
}

/// A change of what is known of endpoints.
#[derive(Debug, Clone)]
pub enum DirectoryNews {
    /// An agent's word on its endpoint.
    Status {
        /// Where the agent listens.
        address: SocketAddr,
        /// Its word.
        status: Box<EndpointStatus>,
    },
    /// An endpoint leaves.
    Leaving(EndpointName),
    /// An endpoint is gone.
    Gone(EndpointName),
}
