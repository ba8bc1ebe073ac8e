//! The software version at which the stream of an interrupted response began.
//!
//! What endpoints of two versions send does not fit together, so a stream may go on only at the version that began it. A
//! caller that returns mostly reaches another gateway than before, often because that one ended. Gateways therefore send
//! a record of each stream that begins to a few holders among them, chosen by the key of the stream, and to a few sidecars,
//! which go on when all gateways end at once. While a single version has served for longer than a stream can last, no
//! records are made, because the version follows from that. A gateway that was cut off or stood still may have missed a
//! version that came and went, so that its own view does not show this.
//!
//! A version that can be found neither in a record nor that way is unknown, and the stream does not go on.

mod lookup;
mod ring;
mod table;
mod tracker;
mod versions;

use std::fmt;
use std::time::Duration;

use oatpier_types::names::{PoolName, WorkspaceName};
use oatpier_types::software::SoftwareVersion;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

pub use lookup::{
    GatewayReach, LookupLimits, LookupStep, OriginAttestation, OriginEvidence, OriginLookup,
    OriginSource, OwnKnowledge, UnknownCause,
};
pub use ring::{HOLDERS, HolderRing, SIDECAR_HOLDERS};
pub use table::{KeptOrigin, OriginTable};
pub use tracker::{HolderLookup, HolderRecords, OriginTracker, ResumedStream, StreamStart};
pub use versions::{FleetVersions, ObservedVersions, VersionView};

/// Upper bound of the time for which a stream, with all its interruptions, is expected to last. Callers state how long
/// they wait, and an unusual one must not make gateways keep records for hours.
pub const MAX_STREAM_LIFETIME: Duration = Duration::from_mins(1);

/// Length of a stream key in bytes.
const KEY_BYTES: usize = 16;

/// Identifies a stream by the attempt that brought its first event. Callers choose the ids of their attempts, so that the
/// same id in two workspaces names two streams.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StreamKey([u8; KEY_BYTES]);

impl StreamKey {
    /// Computes the key of the stream that an attempt of a workspace's caller began.
    #[must_use]
    pub fn new(workspace: Option<&WorkspaceName>, attempt: &str) -> Self {
        let workspace = workspace.map_or("", WorkspaceName::as_str);
        let mut hasher = Sha256::new();
        // Without the length, moving a part of the name into the id would give the same bytes.
        hasher.update(workspace.len().to_le_bytes());
        hasher.update(workspace.as_bytes());
        hasher.update(attempt.as_bytes());
        let digest = hasher.finalize();
        let mut bytes = [0; KEY_BYTES];
        bytes.copy_from_slice(&digest[..KEY_BYTES]);
        Self(bytes)
    }

    /// Returns the position of the key on the ring of holders.
    fn ring_position(self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(&self.0)
    }
}

impl fmt::Debug for StreamKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: PoolName,
    /// The version of the software of the endpoint.
    pub version: SoftwareVersion,
}

/// Record of a stream that has begun.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OriginRecord {
    /// Key of the stream.
    pub key: StreamKey,
    /// Where it began; `None` if the version of its endpoint is not known.
    pub origin: Option<StreamOrigin>,
    /// Time for which its caller may return, in milliseconds.
    pub expires_in_ms: u32,
}
