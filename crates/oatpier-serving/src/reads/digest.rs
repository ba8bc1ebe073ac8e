//! Digests that tell whether two gateways know the same contents of the store.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::crashes::CrashRecord;
use crate::crashes::prompt_parts::PartCrash;
use crate::directory::EndpointRecord;
use crate::quota::lease::PartEntry;

/// Digests of the store's contents, one for each part that is transferred separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ContentsDigest {
    /// Digest of the configuration, see [`config_digest`].
    pub config: u64,
    /// The [`endpoint_digest`] of each registered endpoint, combined.
    pub registry: u64,
    /// Digest of the entries that gateways wrote.
    pub internal: InternalDigest,
}

/// Returns a hash that identifies a configuration by its contents.
///
/// The store's revision does not identify it: a store restored from an older copy assigns revisions again,
/// and a gateway with the old configuration would seem up to date.
#[must_use]
pub fn config_digest(value: &[u8]) -> u64 {
    xxh3_64(value)
}

/// The entries in the store that gateways wrote.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct InternalContents {
    /// Requests that were running at endpoints when those terminated.
    pub crashes: Vec<CrashRecord>,
    /// The holders of the parts of rate limits.
    pub parts: Vec<PartEntry>,
    /// Prompt parts that were at the beginning of a response at endpoints when those crashed.
    #[serde(default)]
    pub part_crashes: Vec<PartCrash>,
}

/// A digest of [`InternalContents`], 0 if there are none.
///
/// A delta does not carry the entries. A gateway with a different digest reads the store itself or, while it
/// can't, asks another gateway for them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct InternalDigest(pub u64);

impl InternalDigest {
    /// Returns the digest of entries.
    #[must_use]
    pub fn of(contents: &InternalContents) -> Self {
        let crashes = contents.crashes.iter().map(digest_crash);
        let parts = contents.parts.iter().map(digest_part);
        let part_crashes = contents.part_crashes.iter().map(digest_part_crash);
        let rows = crashes.chain(parts).chain(part_crashes);
        Self(rows.fold(0, |sum, row| sum ^ row))
    }
}

fn digest_crash(crash: &CrashRecord) -> u64 {
    xxh3_64(format!("{}/{};", crash.fingerprint, crash.site).as_bytes())
}

fn digest_part_crash(crash: &PartCrash) -> u64 {
    xxh3_64(format!("part:{}/{};", crash.part, crash.site).as_bytes())
}

/// Returns the digest of the holder of a part. Renewals are left out because they are irrelevant to other
/// gateways.
fn digest_part(entry: &PartEntry) -> u64 {
    let record = &entry.record;
    xxh3_64(format!("{}={:?};", record.part, record.holder).as_bytes())
}

/// Returns the digest of a registry entry. What the engine holds is left out, because sidecars report it
/// sooner.
#[must_use]
pub fn endpoint_digest(record: &EndpointRecord) -> u64 {
    let start = record.start.map(|start| start.0);
    let version = &record.version;
    let text = format!(
        "{}|{start:?}|{version:?}|{}|{}|{}|{}|{};",
        record.name, record.service, record.address, record.zone, record.slots, record.draining,
    );
    xxh3_64(text.as_bytes())
}
