//! Parses TOML text into raw tables and records the location of each key.

use std::collections::HashMap;
use std::ops::Range;

use miette::SourceSpan;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use crate::config::error::{ConfigError, ErrorCause, ItemKind, ItemRef, nearest_name};
use crate::config::raw::{
    RawAdapter, RawClass, RawGroup, RawModel, RawPool, RawRegion, RawTable, RawWeightStore,
};

/// The keys of the root table.
const ROOT_KEYS: &[&str] = &[
    "based_on",
    "weight_store",
    "region",
    "class",
    "pool",
    "model",
    "adapter",
];

/// The locations of the keys of all items; the empty key stands for the item itself.
#[derive(Debug, Default)]
pub(super) struct SpanIndex {
    spans: HashMap<(ItemRef, String), SourceSpan>,
}

impl SpanIndex {
    pub(super) fn record(&mut self, item: &ItemRef, key: &str, span: SourceSpan) {
        let entry = (item.clone(), key.to_owned());
        self.spans.entry(entry).or_insert(span);
    }

    /// Returns the location of a key, or of its item if the key is not present.
    pub(super) fn find(&self, item: &ItemRef, key: &str) -> Option<SourceSpan> {
        let span = |key: &str| self.spans.get(&(item.clone(), key.to_owned())).copied();
        span(key).or_else(|| span(""))
    }
}

/// A raw table with the item that it defines.
#[derive(Debug)]
pub(super) struct RawItem<T> {
    pub(super) item: ItemRef,
    pub(super) span: SourceSpan,
    pub(super) values: T,
    /// Keys with invalid values. They are already reported, so they must not be reported as missing.
    pub(super) invalid_keys: Vec<String>,
}

/// A raw pool table with its groups.
#[derive(Debug)]
pub(super) struct RawPoolItem {
    pub(super) pool: RawItem<RawPool>,
    pub(super) groups: Vec<RawItem<RawGroup>>,
}

/// The raw tables of a whole text, with the errors found while parsing.
#[derive(Debug, Default)]
pub(super) struct RawDocument {
    pub(super) based_on: Option<u64>,
    pub(super) weight_store: Option<RawItem<RawWeightStore>>,
    pub(super) regions: Vec<RawItem<RawRegion>>,
    pub(super) classes: Vec<RawItem<RawClass>>,
    pub(super) pools: Vec<RawPoolItem>,
    pub(super) models: Vec<RawItem<RawModel>>,
    pub(super) adapters: Vec<RawItem<RawAdapter>>,
    pub(super) errors: Vec<ConfigError>,
    pub(super) spans: SpanIndex,
}

impl RawDocument {
    /// Parses a text into raw tables.
    ///
    /// If the text has syntax errors, its tables are not read: the partially parsed text would
    /// produce misleading errors.
    pub(super) fn read(text: &str) -> Self {
        let mut document = Self::default();
        let (root, errors) = DeTable::parse_recoverable(text);
        if errors.is_empty() {
            document.read_root(root.into_inner());
        }
        for error in errors {
            let message = error.message().to_owned();
            document.report_root(ErrorCause::Syntax { message }, error.span());
        }
        document
    }

    fn read_root(&mut self, root: DeTable<'_>) {
        for (key, value) in root {
            match key.get_ref().as_ref() {
                "based_on" => self.read_based_on(&value),
                "weight_store" => self.weight_store = self.read_weight_store(value),
                "region" => self.regions = self.read_named(ItemKind::Region, value),
                "class" => self.classes = self.read_named(ItemKind::Class, value),
                "model" => self.models = self.read_named(ItemKind::Model, value),
                "adapter" => self.adapters = self.read_named(ItemKind::Adapter, value),
                "pool" => self.pools = self.read_pools(value),
                unknown => self.report_root(unknown_key(unknown, ROOT_KEYS), Some(key.span())),
            }
        }
    }

    fn read_based_on(&mut self, value: &Spanned<DeValue<'_>>) {
        let number = value.get_ref().as_integer();
        self.based_on = number.and_then(|number| number.as_str().parse().ok());
        if self.based_on.is_none() {
            let cause = wrong_type("based_on", "expected a generation number");
            self.report_root(cause, Some(value.span()));
        }
    }

    fn read_weight_store(
        &mut self,
        value: Spanned<DeValue<'_>>,
    ) -> Option<RawItem<RawWeightStore>> {
        let item = ItemRef::new(ItemKind::WeightStore, "");
        let (span, table) = self.expect_table(item.kind.as_str(), value)?;
        Some(self.read_table(item, span, table))
    }

    fn read_named<T: RawTable>(
        &mut self,
        kind: ItemKind,
        value: Spanned<DeValue<'_>>,
    ) -> Vec<RawItem<T>> {
        self.named_tables(kind, value)
            .into_iter()
            .map(|(item, span, table)| self.read_table(item, span, table))
            .collect()
    }

    fn read_pools(&mut self, value: Spanned<DeValue<'_>>) -> Vec<RawPoolItem> {
        self.named_tables(ItemKind::Pool, value)
            .into_iter()
            .map(|(item, span, mut table)| {
                let groups = table.remove("group");
                let pool = self.read_table(item.clone(), span, table);
                let groups = groups.map_or_else(Vec::new, |list| self.read_groups(&item, list));
                RawPoolItem { pool, groups }
            })
            .collect()
    }

    fn read_groups(
        &mut self,
        pool: &ItemRef,
        value: Spanned<DeValue<'_>>,
    ) -> Vec<RawItem<RawGroup>> {
        let span = value.span();
        let DeValue::Array(list) = value.into_inner() else {
            let cause = wrong_type("group", "expected [[pool.NAME.group]] tables");
            self.report(pool, cause, span);
            return Vec::new();
        };
        list.into_iter()
            .filter_map(|group| self.expect_table("group", group))
            .collect::<Vec<_>>()
            .into_iter()
            .map(|(span, table)| self.read_table(pool.clone(), span, table))
            .collect()
    }

    /// Returns the tables under `[KIND.NAME]`, each with its item and location.
    fn named_tables<'t>(
        &mut self,
        kind: ItemKind,
        value: Spanned<DeValue<'t>>,
    ) -> Vec<(ItemRef, Range<usize>, DeTable<'t>)> {
        let Some((_, tables)) = self.expect_table(kind.as_str(), value) else {
            return Vec::new();
        };
        tables
            .into_iter()
            .filter_map(|(name, value)| {
                let item = ItemRef::new(kind, name.get_ref().as_ref());
                let (_, table) = self.expect_table(&item.name, value)?;
                Some((item, name.span(), table))
            })
            .collect()
    }

    fn expect_table<'t>(
        &mut self,
        key: &str,
        value: Spanned<DeValue<'t>>,
    ) -> Option<(Range<usize>, DeTable<'t>)> {
        let span = value.span();
        match value.into_inner() {
            DeValue::Table(table) => Some((span, table)),
            other => {
                let message = format!("expected a table, found {}", other.type_str());
                self.report_root(wrong_type(key, &message), Some(span));
                None
            }
        }
    }

    fn read_table<T: RawTable>(
        &mut self,
        item: ItemRef,
        span: Range<usize>,
        mut table: DeTable<'_>,
    ) -> RawItem<T> {
        self.spans.record(&item, "", span.clone().into());
        self.remove_unknown::<T>(&item, &mut table);
        for (key, value) in &table {
            self.spans.record(&item, key.get_ref(), value.span().into());
        }
        let mut invalid_keys = Vec::new();
        let values = loop {
            let value = Spanned::new(span.clone(), DeValue::Table(table.clone()));
            let error = match T::deserialize(ValueDeserializer::from(value)) {
                Ok(values) => break values,
                Err(error) => error,
            };
            // Deserialization stops at the first error. Removing the key that caused it lets the
            // next iteration find the next error. Every iteration removes a key, so the loop ends.
            let Some((key, span)) = key_containing(&table, error.span()) else {
                self.report(&item, wrong_type("", error.message()), span.clone());
                break T::default();
            };
            self.report(&item, wrong_type(&key, error.message()), span);
            table.remove(key.as_str());
            invalid_keys.push(key);
        };
        RawItem {
            item,
            span: span.into(),
            values,
            invalid_keys,
        }
    }

    fn remove_unknown<T: RawTable>(&mut self, item: &ItemRef, table: &mut DeTable<'_>) {
        let unknown: Vec<(String, Range<usize>)> = table
            .keys()
            .filter(|key| !T::KEYS.contains(&key.get_ref().as_ref()))
            .map(|key| (key.get_ref().to_string(), key.span()))
            .collect();
        for (key, span) in unknown {
            table.remove(key.as_str());
            self.report(item, unknown_key(&key, T::KEYS), span);
        }
    }

    fn report(&mut self, item: &ItemRef, cause: ErrorCause, span: Range<usize>) {
        self.errors.push(ConfigError {
            item: item.clone(),
            key: "",
            cause,
            span: Some(span.into()),
        });
    }

    fn report_root(&mut self, cause: ErrorCause, span: Option<Range<usize>>) {
        let item = ItemRef::new(ItemKind::Document, "");
        self.report(&item, cause, span.unwrap_or(0..0));
    }
}

/// Returns the key of `table` whose value contains the location.
fn key_containing(
    table: &DeTable<'_>,
    span: Option<Range<usize>>,
) -> Option<(String, Range<usize>)> {
    let span = span?;
    table
        .iter()
        .find(|(_, value)| value.span().start <= span.start && span.end <= value.span().end)
        .map(|(key, _)| (key.get_ref().to_string(), span))
}

fn unknown_key(key: &str, known: &'static [&'static str]) -> ErrorCause {
    ErrorCause::UnknownKey {
        key: key.to_owned(),
        known,
        nearest: nearest_name(key, known.iter().copied()),
    }
}

fn wrong_type(key: &str, message: &str) -> ErrorCause {
    ErrorCause::WrongType {
        key: key.to_owned(),
        message: message.to_owned(),
    }
}
