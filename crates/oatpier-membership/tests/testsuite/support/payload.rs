//! A configuration for tests: numbered rows of text.

use std::collections::BTreeMap;

use oatpier_membership::generation::ConfigPayload;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct TestConfig {
    pub rows: BTreeMap<u32, String>,
}

#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TestEdit {
    pub rows: BTreeMap<u32, Option<String>>,
}

impl TestConfig {
    pub fn with_row(&self, key: u32, text: &str) -> Self {
        let mut next = self.clone();
        next.rows.insert(key, text.to_owned());
        next
    }
}

impl ConfigPayload for TestConfig {
    type Edit = TestEdit;

    fn edit_to(&self, next: &Self) -> TestEdit {
        let mut rows = BTreeMap::new();
        for (key, text) in &next.rows {
            if self.rows.get(key) != Some(text) {
                rows.insert(*key, Some(text.clone()));
            }
        }
        for key in self.rows.keys().filter(|key| !next.rows.contains_key(key)) {
            rows.insert(*key, None);
        }
        TestEdit { rows }
    }

    fn apply(&self, edit: &TestEdit) -> Option<Self> {
        let mut next = self.clone();
        for (key, text) in &edit.rows {
            match text {
                Some(text) => next.rows.insert(*key, text.clone()),
                None => Some(next.rows.remove(key)?),
            };
        }
        Some(next)
    }

    fn digest(&self) -> u64 {
        self.rows.iter().fold(0, |digest, (key, text)| {
            digest ^ xxh3_64(format!("{key}={text}").as_bytes())
        })
    }
}
