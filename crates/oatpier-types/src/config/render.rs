//! Writes a configuration as TOML text, sorted by name.

use std::collections::BTreeMap;
use std::time::Duration;

use humantime_serde::re::humantime::format_duration;
use indexmap::IndexMap;
use serde::Serialize;

use super::{ClassSpec, ClassTarget, FleetConfig, PoolKind, PoolSpec};
use crate::ids::Generation;
use crate::names::{EndpointName, ZoneName};

#[derive(Serialize)]
struct TextDocument<'a> {
    based_on: Option<u64>,
    weight_store: Option<TextWeightStore>,
    region: BTreeMap<&'a str, TextRegion<'a>>,
    class: BTreeMap<&'a str, TextClass>,
    pool: BTreeMap<&'a str, TextPool<'a>>,
    model: BTreeMap<&'a str, TextModel<'a>>,
    adapter: BTreeMap<&'a str, TextAdapter<'a>>,
}

#[derive(Serialize)]
struct TextWeightStore {
    loads_per_second: f64,
    full_speed_loads: u32,
}

#[derive(Serialize)]
struct TextRegion<'a> {
    zones: Vec<&'a str>,
}

#[derive(Serialize)]
struct TextClass {
    first_token: Option<String>,
    between_tokens: Option<String>,
    answer: Option<String>,
    attain: f64,
}

#[derive(Default)]
#[derive(Serialize)]
struct TextPool<'a> {
    kind: &'a str,
    accelerators: Option<u32>,
    memory_mib: Option<u64>,
    slots: u32,
    checks_order_numbers: Option<bool>,
    class: Option<&'a str>,
    once: Option<Vec<String>>,
    group: Vec<TextGroup<'a>>,
}

#[derive(Serialize)]
struct TextGroup<'a> {
    zone: &'a str,
    prefix: Option<&'a str>,
    first: Option<u64>,
    count: Option<u64>,
    names: Option<Vec<&'a str>>,
}

#[derive(Serialize)]
struct TextModel<'a> {
    pool: &'a str,
    version: &'a str,
    memory_mib: u64,
    class: &'a str,
}

#[derive(Serialize)]
struct TextAdapter<'a> {
    model: &'a str,
    version: &'a str,
    memory_mib: u64,
}

impl FleetConfig {
    /// Returns the configuration as TOML text that parses to the same configuration.
    ///
    /// `based_on` is the generation that the text represents.
    ///
    /// # Panics
    ///
    /// Never: names, numbers and strings are always representable in TOML.
    #[must_use]
    pub fn to_text(&self, based_on: Option<Generation>) -> String {
        let models = self.models.iter().map(|(name, spec)| {
            let text = TextModel {
                pool: spec.pool.as_str(),
                version: spec.version.as_str(),
                memory_mib: spec.memory_mib,
                class: spec.class.as_str(),
            };
            (name.as_str(), text)
        });
        let adapters = self.adapters.iter().map(|(name, spec)| {
            let text = TextAdapter {
                model: spec.model.as_str(),
                version: spec.version.as_str(),
                memory_mib: spec.memory_mib,
            };
            (name.as_str(), text)
        });
        let document = TextDocument {
            based_on: based_on.map(|generation| generation.0),
            weight_store: self.render_weight_store(),
            region: self.render_regions(),
            class: render_named(&self.classes, crate::names::ClassName::as_str, render_class),
            pool: render_named(&self.pools, crate::names::PoolName::as_str, render_pool),
            model: models.collect(),
            adapter: adapters.collect(),
        };
        toml::to_string(&document).expect("names, numbers and strings are representable in TOML")
    }

    fn render_weight_store(&self) -> Option<TextWeightStore> {
        let store = self.weight_store;
        (store != super::WeightStoreSpec::default()).then_some(TextWeightStore {
            loads_per_second: store.loads_per_second,
            full_speed_loads: store.full_speed_loads,
        })
    }

    fn render_regions(&self) -> BTreeMap<&str, TextRegion<'_>> {
        let regions = self.regions.iter();
        regions
            .map(|(name, region)| {
                let zones = region.zones.iter().map(ZoneName::as_str).collect();
                (name.as_str(), TextRegion { zones })
            })
            .collect()
    }
}

fn render_named<'a, N, S, T>(
    items: &'a IndexMap<N, S>,
    name: fn(&N) -> &str,
    text: fn(&'a S) -> T,
) -> BTreeMap<&'a str, T> {
    let items = items.iter();
    items.map(|(key, spec)| (name(key), text(spec))).collect()
}

fn format_time(time: Duration) -> String {
    format_duration(time).to_string()
}

fn render_class(class: &ClassSpec) -> TextClass {
    let (first_token, between_tokens, answer) = match class.target {
        ClassTarget::Stream {
            first_token,
            between_tokens,
        } => (Some(first_token), Some(between_tokens), None),
        ClassTarget::Whole { answer } => (None, None, Some(answer)),
    };
    TextClass {
        first_token: first_token.map(format_time),
        between_tokens: between_tokens.map(format_time),
        answer: answer.map(format_time),
        attain: class.attain,
    }
}

fn render_pool(pool: &PoolSpec) -> TextPool<'_> {
    let group = render_groups(&pool.endpoints);
    match &pool.kind {
        PoolKind::Engine {
            accelerators,
            memory_mib,
            slots,
            checks_order_numbers,
        } => TextPool {
            kind: "engine",
            accelerators: Some(*accelerators),
            memory_mib: Some(*memory_mib),
            slots: *slots,
            checks_order_numbers: Some(*checks_order_numbers),
            group,
            ..TextPool::default()
        },
        PoolKind::Service { class, slots, once } => {
            let once = once.iter();
            let once = once.map(|call| format!("{} {}", call.method, call.path));
            TextPool {
                kind: "service",
                slots: *slots,
                class: Some(class.as_str()),
                once: Some(once.collect()),
                group,
                ..TextPool::default()
            }
        }
    }
}

/// Converts endpoints to groups: consecutive numbers with a common prefix, and all others by name.
fn render_groups(endpoints: &IndexMap<EndpointName, ZoneName>) -> Vec<TextGroup<'_>> {
    let mut numbered = BTreeMap::<(&str, &str), Vec<u64>>::new();
    let mut others = BTreeMap::<&str, Vec<&str>>::new();
    for (name, zone) in endpoints {
        match split_number(name.as_str()) {
            Some((prefix, number)) => {
                let key = (zone.as_str(), prefix);
                numbered.entry(key).or_default().push(number);
            }
            None => others.entry(zone.as_str()).or_default().push(name.as_str()),
        }
    }
    let mut groups = Vec::new();
    for ((zone, prefix), mut numbers) in numbered {
        numbers.sort_unstable();
        let runs = numbers.chunk_by(|left, right| left + 1 == *right);
        groups.extend(runs.map(|run| TextGroup {
            zone,
            prefix: Some(prefix),
            first: Some(run[0]).filter(|first| *first != 1),
            count: Some(run.len() as u64),
            names: None,
        }));
    }
    groups.extend(others.into_iter().map(|(zone, mut names)| {
        names.sort_unstable();
        TextGroup {
            zone,
            prefix: None,
            first: None,
            count: None,
            names: Some(names),
        }
    }));
    groups
}

/// Splits `seat-llm-12` into `seat-llm-` and 12.
///
/// Returns `None` if the number does not format back to the same digits.
fn split_number(name: &str) -> Option<(&str, u64)> {
    let prefix = name.trim_end_matches(|digit: char| digit.is_ascii_digit());
    let digits = &name[prefix.len()..];
    let number = digits.parse::<u32>().ok()?;
    (number.to_string() == digits).then_some((prefix, u64::from(number)))
}
