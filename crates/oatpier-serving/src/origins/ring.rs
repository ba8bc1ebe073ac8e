//! Which processes hold the record of a stream.

use std::net::SocketAddr;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::StreamKey;

/// Number of gateways that hold the record of a stream, besides the one that made it.
pub const HOLDERS: usize = 3;

/// Number of sidecars that hold the record of a stream, for the case that all gateways end at once.
pub const SIDECAR_HOLDERS: usize = 2;

/// Number of positions of each member on the ring. With more of them the records are spread more evenly.
const POSITIONS: u8 = 16;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RingPosition {
    hash: u64,
    member: SocketAddr,
}

/// Consistent-hash ring of members. A member that joins or leaves changes the holders of few streams.
#[derive(Debug, Clone, Default)]
pub struct HolderRing {
    members: Vec<SocketAddr>,
    /// Positions in ascending order.
    positions: Vec<RingPosition>,
}

impl HolderRing {
    /// Replaces the members, which must be sorted.
    pub fn set_members(&mut self, members: Vec<SocketAddr>) {
        if self.members == members {
            return;
        }
        let positions = members.iter().flat_map(|member| {
            (0..POSITIONS).map(move |number| {
                let text = format!("{member}#{number}");
                RingPosition {
                    hash: xxh3_64(text.as_bytes()),
                    member: *member,
                }
            })
        });
        self.positions = positions.collect();
        self.positions.sort_unstable();
        self.members = members;
    }

    /// Returns the number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there are no members.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the holders of a stream's record, at most [`HOLDERS`].
    #[must_use]
    pub fn holders(&self, key: StreamKey) -> SmallVec<[SocketAddr; HOLDERS]> {
        let start = self
            .positions
            .partition_point(|position| position.hash < key.ring_position());
        let (before, after) = self.positions.split_at(start);
        let wanted = HOLDERS.min(self.members.len());
        let mut holders = SmallVec::new();
        for position in after.iter().chain(before) {
            if holders.len() == wanted {
                break;
            }
            if !holders.contains(&position.member) {
                holders.push(position.member);
            }
        }
        holders
    }
}
