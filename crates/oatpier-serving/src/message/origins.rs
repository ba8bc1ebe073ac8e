//! Messages between gateways about the versions at which streams began.

use oatpier_types::names::{ModelName, PoolName};
use oatpier_types::software::SoftwareVersion;
use serde::{Deserialize, Serialize};

use crate::origins::{OriginAttestation, StreamKey};

/// A model that interrupted streams need at the software version that began them.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct PinnedModel {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: SoftwareVersion,
}

/// Question of a gateway to a holder, a gateway or a sidecar, about a stream whose caller has returned.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OriginAsk {
    /// Random identifier of the question.
    pub id: u64,
    /// Key of the stream.
    pub key: StreamKey,
    /// The service that the request goes to.
    pub service: PoolName,
}

/// Answer to an [`OriginAsk`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OriginAnswer {
    /// Identifier of the question.
    pub id: u64,
    /// What the holder knows.
    pub attestation: OriginAttestation,
}
