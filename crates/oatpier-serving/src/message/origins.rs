//! Messages between gateways about the versions at which streams began.

use oatpier_types::names::PoolName;
use serde::{Deserialize, Serialize};

use crate::origins::{OriginAttestation, StreamKey};

/// Question of a gateway to a holder about a stream whose caller has returned.
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
