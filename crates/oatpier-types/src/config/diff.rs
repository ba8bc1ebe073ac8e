//! The edits between two configurations.
//!
//! An edit contains the name of an item and its values before and after the change. A list of
//! edits can therefore be applied, reverted, checked for conflicts with another list, and sent
//! between processes instead of a whole configuration. The endpoints of a pool are separate items:
//! two operators can add endpoints to one pool without a conflict, and a change of one endpoint
//! among thousands stays small.

use std::fmt;
use std::hash::Hash;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::error::{ItemKind, ItemRef};
use super::{
    AdapterSpec, ClassSpec, FleetConfig, ModelSpec, PoolKind, PoolSpec, RegionSpec, WeightStoreSpec,
};
use crate::names::{
    AdapterName, ClassName, EndpointName, ModelName, PoolName, RegionName, ZoneName,
};

/// A change of one item; `None` before or after means that the item does not exist then.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ItemEdit<N, S> {
    /// The name of the item.
    pub name: N,
    /// The item before the change.
    pub before: Option<S>,
    /// The item after the change.
    pub after: Option<S>,
}

/// The pool and availability zone of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointLocation {
    /// The pool of the endpoint.
    pub pool: PoolName,
    /// The availability zone of the endpoint.
    pub zone: ZoneName,
}

/// An edit of one item.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigEdit {
    /// A region.
    Region(ItemEdit<RegionName, RegionSpec>),
    /// A class.
    Class(ItemEdit<ClassName, ClassSpec>),
    /// A pool, not including its endpoints.
    Pool(ItemEdit<PoolName, PoolKind>),
    /// An endpoint of a pool.
    Endpoint(ItemEdit<EndpointName, EndpointLocation>),
    /// A base model.
    Model(ItemEdit<ModelName, ModelSpec>),
    /// An adapter.
    Adapter(ItemEdit<AdapterName, AdapterSpec>),
    /// The load limits of the weight store.
    WeightStore {
        /// The limits before the change.
        before: WeightStoreSpec,
        /// The limits after the change.
        after: WeightStoreSpec,
    },
}

/// Whether an edit adds, removes or changes its item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EditKind {
    /// The item is added.
    Added,
    /// The item is removed.
    Removed,
    /// The item is changed.
    Changed,
}

/// Whether an edit can be applied to a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EditStatus {
    /// The item has the value from before the edit.
    Applies,
    /// The item already has the value from after the edit.
    AlreadyApplied,
    /// The item has a different value: the edit conflicts with another change.
    Conflicts,
}

impl ConfigEdit {
    /// Returns the item that is edited.
    #[must_use]
    pub fn item(&self) -> ItemRef {
        match self {
            Self::Region(edit) => ItemRef::new(ItemKind::Region, edit.name.as_str()),
            Self::Class(edit) => ItemRef::new(ItemKind::Class, edit.name.as_str()),
            Self::Pool(edit) => ItemRef::new(ItemKind::Pool, edit.name.as_str()),
            Self::Endpoint(edit) => ItemRef::new(ItemKind::Endpoint, edit.name.as_str()),
            Self::Model(edit) => ItemRef::new(ItemKind::Model, edit.name.as_str()),
            Self::Adapter(edit) => ItemRef::new(ItemKind::Adapter, edit.name.as_str()),
            Self::WeightStore { .. } => ItemRef::new(ItemKind::WeightStore, ""),
        }
    }

    /// Returns whether the item is added, removed or changed.
    #[must_use]
    pub fn kind(&self) -> EditKind {
        match self {
            Self::Region(edit) => edit.kind(),
            Self::Class(edit) => edit.kind(),
            Self::Pool(edit) => edit.kind(),
            Self::Endpoint(edit) => edit.kind(),
            Self::Model(edit) => edit.kind(),
            Self::Adapter(edit) => edit.kind(),
            Self::WeightStore { .. } => EditKind::Changed,
        }
    }

    /// Returns the edit that reverts this one.
    #[must_use]
    pub fn invert(&self) -> Self {
        match self.clone() {
            Self::Region(edit) => Self::Region(edit.invert()),
            Self::Class(edit) => Self::Class(edit.invert()),
            Self::Pool(edit) => Self::Pool(edit.invert()),
            Self::Endpoint(edit) => Self::Endpoint(edit.invert()),
            Self::Model(edit) => Self::Model(edit.invert()),
            Self::Adapter(edit) => Self::Adapter(edit.invert()),
            Self::WeightStore { before, after } => Self::WeightStore {
                before: after,
                after: before,
            },
        }
    }

    /// Returns whether the edit can be applied to `config`.
    #[must_use]
    pub fn status_in(&self, config: &FleetConfig) -> EditStatus {
        match self {
            Self::Region(edit) => edit.status_in(config.regions.get(&edit.name)),
            Self::Class(edit) => edit.status_in(config.classes.get(&edit.name)),
            Self::Pool(edit) => edit.status_in(config.pools.get(&edit.name).map(|pool| &pool.kind)),
            Self::Endpoint(edit) => edit.status_in(config.location_of(&edit.name).as_ref()),
            Self::Model(edit) => edit.status_in(config.models.get(&edit.name)),
            Self::Adapter(edit) => edit.status_in(config.adapters.get(&edit.name)),
            Self::WeightStore { before, after } => {
                let present = Some(&config.weight_store);
                edit_status(present, Some(before), Some(after))
            }
        }
    }
}

impl fmt::Display for ConfigEdit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.kind() {
            EditKind::Added => '+',
            EditKind::Removed => '-',
            EditKind::Changed => '~',
        };
        write!(formatter, "{sign} {}", self.item())
    }
}

impl<N, S: Clone + PartialEq> ItemEdit<N, S> {
    fn kind(&self) -> EditKind {
        match (&self.before, &self.after) {
            (None, _) => EditKind::Added,
            (Some(_), None) => EditKind::Removed,
            (Some(_), Some(_)) => EditKind::Changed,
        }
    }

    fn invert(self) -> Self {
        Self {
            name: self.name,
            before: self.after,
            after: self.before,
        }
    }

    fn status_in(&self, present: Option<&S>) -> EditStatus {
        edit_status(present, self.before.as_ref(), self.after.as_ref())
    }
}

fn edit_status<S: PartialEq>(
    present: Option<&S>,
    before: Option<&S>,
    after: Option<&S>,
) -> EditStatus {
    if present == after {
        EditStatus::AlreadyApplied
    } else if present == before {
        EditStatus::Applies
    } else {
        EditStatus::Conflicts
    }
}

/// Returns the edits that turn `before` into `after`, sorted by kind and name.
#[must_use]
pub fn diff(before: &FleetConfig, after: &FleetConfig) -> Vec<ConfigEdit> {
    let mut edits = Vec::new();
    if before.weight_store != after.weight_store {
        edits.push(ConfigEdit::WeightStore {
            before: before.weight_store,
            after: after.weight_store,
        });
    }
    let regions = item_edits(&before.regions, &after.regions);
    edits.extend(regions.into_iter().map(ConfigEdit::Region));
    let classes = item_edits(&before.classes, &after.classes);
    edits.extend(classes.into_iter().map(ConfigEdit::Class));
    let pools = item_edits(&before.pool_kinds(), &after.pool_kinds());
    edits.extend(pools.into_iter().map(ConfigEdit::Pool));
    let endpoints = item_edits(&before.endpoint_locations(), &after.endpoint_locations());
    edits.extend(endpoints.into_iter().map(ConfigEdit::Endpoint));
    let models = item_edits(&before.models, &after.models);
    edits.extend(models.into_iter().map(ConfigEdit::Model));
    let adapters = item_edits(&before.adapters, &after.adapters);
    edits.extend(adapters.into_iter().map(ConfigEdit::Adapter));
    edits
}

fn item_edits<N, S>(before: &IndexMap<N, S>, after: &IndexMap<N, S>) -> Vec<ItemEdit<N, S>>
where
    N: Clone + Eq + Hash + Ord,
    S: Clone + PartialEq,
{
    let added = after.keys().filter(|name| !before.contains_key(*name));
    let names = before.keys().chain(added);
    let edits = names.map(|name| ItemEdit {
        name: name.clone(),
        before: before.get(name).cloned(),
        after: after.get(name).cloned(),
    });
    let mut edits = edits
        .filter(|edit| edit.before != edit.after)
        .collect::<Vec<_>>();
    edits.sort_by(|left, right| left.name.cmp(&right.name));
    edits
}

/// Returns the items that two edit lists, based on the same configuration, change differently.
#[must_use]
pub fn conflicting_items(left: &[ConfigEdit], right: &[ConfigEdit]) -> Vec<ItemRef> {
    let right_by_item: std::collections::HashMap<ItemRef, &ConfigEdit> =
        right.iter().map(|edit| (edit.item(), edit)).collect();
    let differing = left.iter().filter(|edit| {
        let other = right_by_item.get(&edit.item());
        other.is_some_and(|other| *other != *edit)
    });
    differing.map(ConfigEdit::item).collect()
}

/// Applies `edits` to `config` without checking the previous values.
///
/// The result is in canonical order. If the configuration may differ from the one that the edits
/// are based on, check them with [`ConfigEdit::status_in`] first. An endpoint whose pool does not exist
/// is dropped.
#[must_use]
pub fn apply(config: &FleetConfig, edits: &[ConfigEdit]) -> FleetConfig {
    let mut changed = config.clone();
    let mut endpoints = Vec::new();
    for edit in edits {
        match edit {
            ConfigEdit::Region(edit) => set_item(&mut changed.regions, edit),
            ConfigEdit::Class(edit) => set_item(&mut changed.classes, edit),
            ConfigEdit::Pool(edit) => set_pool(&mut changed.pools, edit),
            ConfigEdit::Endpoint(edit) => endpoints.push(edit),
            ConfigEdit::Model(edit) => set_item(&mut changed.models, edit),
            ConfigEdit::Adapter(edit) => set_item(&mut changed.adapters, edit),
            ConfigEdit::WeightStore { after, .. } => changed.weight_store = *after,
        }
    }
    // Endpoints are applied last because their pools must exist first.
    for edit in endpoints {
        set_endpoint(&mut changed, edit);
    }
    changed.sort_items();
    changed
}

fn set_item<N, S>(items: &mut IndexMap<N, S>, edit: &ItemEdit<N, S>)
where
    N: Clone + Eq + Hash,
    S: Clone,
{
    match &edit.after {
        Some(after) => {
            items.insert(edit.name.clone(), after.clone());
        }
        None => {
            items.swap_remove(&edit.name);
        }
    }
}

fn set_pool(pools: &mut IndexMap<PoolName, PoolSpec>, edit: &ItemEdit<PoolName, PoolKind>) {
    let Some(kind) = edit.after.clone() else {
        pools.swap_remove(&edit.name);
        return;
    };
    if let Some(pool) = pools.get_mut(&edit.name) {
        pool.kind = kind;
        return;
    }
    let endpoints = IndexMap::new();
    pools.insert(edit.name.clone(), PoolSpec { kind, endpoints });
}

fn set_endpoint(config: &mut FleetConfig, edit: &ItemEdit<EndpointName, EndpointLocation>) {
    for pool in config.pools.values_mut() {
        pool.endpoints.swap_remove(&edit.name);
    }
    let Some(location) = &edit.after else {
        return;
    };
    if let Some(pool) = config.pools.get_mut(&location.pool) {
        pool.endpoints
            .insert(edit.name.clone(), location.zone.clone());
    }
}

impl FleetConfig {
    /// Returns the pool and availability zone of an endpoint.
    #[must_use]
    pub fn location_of(&self, endpoint: &EndpointName) -> Option<EndpointLocation> {
        let (pool, spec) = self.pool_of(endpoint)?;
        let zone = spec.endpoints.get(endpoint)?;
        Some(EndpointLocation {
            pool: pool.clone(),
            zone: zone.clone(),
        })
    }

    /// Sorts all items by name, which is the canonical order.
    pub fn sort_items(&mut self) {
        self.regions.sort_unstable_keys();
        self.classes.sort_unstable_keys();
        self.pools.sort_unstable_keys();
        self.models.sort_unstable_keys();
        self.adapters.sort_unstable_keys();
        for pool in self.pools.values_mut() {
            pool.endpoints.sort_unstable_keys();
        }
    }

    /// Returns a hash of the configuration that does not depend on the order of its items.
    ///
    /// The hash of the same content is equal in all processes and software versions.
    ///
    /// # Panics
    ///
    /// Never: a configuration is always representable in JSON.
    #[must_use]
    pub fn content_hash(&self) -> u64 {
        let mut canonical = self.clone();
        canonical.sort_items();
        let bytes =
            serde_json::to_vec(&canonical).expect("a configuration is representable in JSON");
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }

    fn pool_kinds(&self) -> IndexMap<PoolName, PoolKind> {
        let pools = self.pools.iter();
        pools
            .map(|(name, pool)| (name.clone(), pool.kind.clone()))
            .collect()
    }

    fn endpoint_locations(&self) -> IndexMap<EndpointName, EndpointLocation> {
        let pools = self.pools.iter();
        pools
            .flat_map(|(name, pool)| {
                pool.endpoints.iter().map(move |(endpoint, zone)| {
                    let location = EndpointLocation {
                        pool: name.clone(),
                        zone: zone.clone(),
                    };
                    (endpoint.clone(), location)
                })
            })
            .collect()
    }
}
