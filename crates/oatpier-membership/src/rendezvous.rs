//! Rendezvous hashing, which assigns a duty to a few of many names.
//!
//! Each process ranks the names by a hash of the duty's key and the name. Processes that see the
//! same names agree without communication, and adding or removing a name moves only the duties of
//! that name.

use std::cmp::Reverse;

use oatpier_types::names::DaemonName;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a name for a key. The name with the highest weight has the duty.
#[must_use]
pub fn weight(key: &str, name: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(name.as_bytes(), seed)
}

/// Returns the `count` names with the highest weights, highest first. Ties go to the
/// lexicographically smaller name.
pub fn choose<'a, T>(
    key: &str,
    names: impl IntoIterator<Item = &'a T>,
    count: usize,
    text: impl Fn(&T) -> &str,
) -> SmallVec<[&'a T; 4]> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let mut ranked: Vec<(Reverse<u64>, &'a T)> = names
        .into_iter()
        .map(|name| {
            let weight = xxh3_64_with_seed(text(name).as_bytes(), seed);
            (Reverse(weight), name)
        })
        .collect();
    ranked.sort_by(|left, right| (left.0, text(left.1)).cmp(&(right.0, text(right.1))));
    ranked.into_iter().take(count).map(|row| row.1).collect()
}

/// Returns the rank of `own` among the names for a key, starting at 0, or `None` if `own` is not
/// among them.
pub fn rank_of<'a>(
    key: &str,
    names: impl IntoIterator<Item = &'a str>,
    own: &str,
) -> Option<usize> {
    let mut own_seen = false;
    let own_weight = weight(key, own);
    let mut before = 0;
    for name in names {
        if name == own {
            own_seen = true;
            continue;
        }
        let other = weight(key, name);
        if other > own_weight || (other == own_weight && name < own) {
            before += 1;
        }
    }
    own_seen.then_some(before)
}

/// Returns the key under which an agent's registrars are chosen.
#[must_use]
pub fn registrar_key(agent: &DaemonName) -> String {
    format!("registrar/{agent}")
}
