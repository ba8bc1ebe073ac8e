//! The platform's list of VMs. The list lags: it indicates which VMs may exist and which are
//! leaving, but proves neither.

use std::net::SocketAddr;

use futures::future::BoxFuture;
use oatpier_types::names::{DaemonName, VmName, ZoneName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The platform's intended state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs, according to the list.
    Live,
    /// The VM is about to be stopped.
    Leaving,
}

/// The function of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmDuty {
    /// A VM with an entry.
    Entry,
    /// A VM with an endpoint and its agent.
    Endpoint,
}

/// A row of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmRow {
    /// The VM.
    pub vm: VmName,
    /// The oatpier process on it.
    pub daemon: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address at which its oatpier process listens for other oatpier processes.
    pub peer_address: SocketAddr,
    /// Its function.
    pub duty: VmDuty,
    /// Its intended state.
    pub state: VmState,
}

/// The list could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("the list of VMs could not be read: {cause}")]
pub struct VmListError {
    /// The cause.
    pub cause: String,
}

/// The platform's list of VMs.
pub trait VmList: Send + Sync {
    /// Reads the whole list.
    fn list(&self) -> BoxFuture<'_, Result<Vec<VmRow>, VmListError>>;
}
