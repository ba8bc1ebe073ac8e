//! Rendezvous hashing: which few of many names have a duty.
//!
//! Each process ranks the names by a hash of the duty's key and the name. Processes that see the
//! same names agree without a word; one name more or less moves only the duties of that name.

use std::cmp::Reverse;

use oatpier_types::names::DaemonName;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of a name for a key; the highest has the duty.
#[must_use]
pub fn weight(key: &str, name: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(name.as_bytes(), seed)
}

/// The `count` names with the highest weights, highest first. Equal weights: the lesser name.
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

/// The place of `own` among the names for a key, from 0; none if it isn't among them.
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

/// The key under which an agent's registrars are chosen.
#[must_use]
pub fn registrar_key(agent: &DaemonName) -> String {
    format!("registrar/{agent}")
}
