//! Rendezvous hashing: all processes rank the same endpoints in the same order without
//! communication.

use oatpier_types::names::EndpointName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of an endpoint for a subject. Endpoints rank by descending weight.
#[must_use]
pub fn rank_weight(subject: &str, endpoint: &EndpointName) -> u64 {
    let seed = xxh3_64_with_seed(subject.as_bytes(), 0);
    xxh3_64_with_seed(endpoint.as_str().as_bytes(), seed)
}

/// Returns the rank of `endpoint` among `candidates` for a subject, starting at 0.
#[must_use]
pub fn rank_of<'a>(
    subject: &str,
    endpoint: &EndpointName,
    candidates: impl Iterator<Item = &'a EndpointName>,
) -> usize {
    let own = (rank_weight(subject, endpoint), endpoint);
    candidates
        .filter(|other| (rank_weight(subject, other), *other) > own)
        .count()
}
