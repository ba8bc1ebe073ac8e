//! Which gateways hold the record of a stream.

use std::net::SocketAddr;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::StreamKey;

/// Number of gateways that hold the record of a stream, besides the one that made it.
pub const HOLDERS: usize = 3;

/// Number of positions of each gateway on the ring. With more of them the records are spread more evenly.
const POSITIONS: u8 = 16;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RingPosition {
    hash: u64,
    gateway: SocketAddr,
}

/// Consistent-hash ring of gateways. A gateway that joins or leaves changes the holders of few streams.
#[derive(Debug, Clone, Default)]
pub struct HolderRing {
    gateways: Vec<SocketAddr>,
    /// Positions in ascending order.
    positions: Vec<RingPosition>,
}

impl HolderRing {
    /// Replaces the gateways, which must be sorted.
    pub fn set_gateways(&mut self, gateways: Vec<SocketAddr>) {
        if self.gateways == gateways {
            return;
        }
        let positions = gateways.iter().flat_map(|gateway| {
            (0..POSITIONS).map(move |number| {
                let text = format!("{gateway}#{number}");
                RingPosition {
                    hash: xxh3_64(text.as_bytes()),
                    gateway: *gateway,
                }
            })
        });
        self.positions = positions.collect();
        self.positions.sort_unstable();
        self.gateways = gateways;
    }

    /// Returns the number of gateways.
    #[must_use]
    pub fn len(&self) -> usize {
        self.gateways.len()
    }

    /// Returns whether there are no gateways.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.gateways.is_empty()
    }

    /// Returns the holders of a stream's record, at most [`HOLDERS`].
    #[must_use]
    pub fn holders(&self, key: StreamKey) -> SmallVec<[SocketAddr; HOLDERS]> {
        let start = self
            .positions
            .partition_point(|position| position.hash < key.ring_position());
        let (before, after) = self.positions.split_at(start);
        let wanted = HOLDERS.min(self.gateways.len());
        let mut holders = SmallVec::new();
        for position in after.iter().chain(before) {
            if holders.len() == wanted {
                break;
            }
            if !holders.contains(&position.gateway) {
                holders.push(position.gateway);
            }
        }
        holders
    }
}
