//! The platform's list of VMs. It lags: a hint of who may exist and who leaves, never a proof.

use std::net::SocketAddr;

use futures::future::BoxFuture;
use oatpier_types::names::{DaemonName, VmName, ZoneName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Whether the platform means to keep a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It runs, as far as the list knows.
    Live,
    /// It is about to be stopped.
    Leaving,
}

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmDuty {
    /// An entry VM.
    Entry,
    /// A VM with an endpoint, and an agent beside it.
    Endpoint,
}

/// One row of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmRow {
    /// The VM.
    pub vm: VmName,
    /// The oatpier process on it.
    pub daemon: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where its oatpier process listens for other oatpier processes.
    pub peer_address: SocketAddr,
    /// What it is for.
    pub duty: VmDuty,
    /// Whether the platform means to keep it.
    pub state: VmState,
}

/// The list could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("the list of VMs could not be read: {cause}")]
pub struct VmListError {
    /// What happened.
    pub cause: String,
}

/// The platform's list of VMs.
pub trait VmList: Send + Sync {
    /// Reads the whole list.
    fn list(&self) -> BoxFuture<'_, Result<Vec<VmRow>, VmListError>>;
}
