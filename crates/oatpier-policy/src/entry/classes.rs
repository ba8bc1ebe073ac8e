//! The classes and goals of the configuration.

use indexmap::IndexSet;
use oatpier_types::config::{ClassTarget, FleetConfig, PoolKind};
use oatpier_types::names::ClassName;
use oatpier_types::request::RequestGoal;

use crate::index::ClassIndex;

/// Classes with their targets, and goals.
///
/// The index of a class stays reserved for it when the class is removed and added again.
#[derive(Debug, Default)]
pub(super) struct ConfigCatalog {
    classes: IndexSet<ClassName>,
    targets: Vec<Option<ClassTarget>>,
    goals: IndexSet<RequestGoal>,
}

impl ConfigCatalog {
    pub(super) fn apply_config(&mut self, config: &FleetConfig) {
        self.targets.fill(None);
        for (name, spec) in &config.classes {
            let index = self.classes.insert_full(name.clone()).0;
            self.targets.resize(self.classes.len(), None);
            self.targets[index] = Some(spec.target);
        }
        self.goals = config_goals(config);
    }

    pub(super) fn class(&self, name: &ClassName) -> Option<(ClassIndex, ClassTarget)> {
        let index = self.classes.get_index_of(name)?;
        let target = self.targets[index]?;
        Some((ClassIndex::from_usize(index), target))
    }

    pub(super) fn index(&self, name: &ClassName) -> Option<ClassIndex> {
        self.classes.get_index_of(name).map(ClassIndex::from_usize)
    }

    pub(super) fn has_goal(&self, goal: &RequestGoal) -> bool {
        self.goals.contains(goal)
    }
}

fn config_goals(config: &FleetConfig) -> IndexSet<RequestGoal> {
    let models = config.models.keys().map(|model| RequestGoal::Model {
        model: model.clone(),
        adapter: None,
    });
    let adapters = config
        .adapters
        .iter()
        .map(|(adapter, spec)| RequestGoal::Model {
            model: spec.model.clone(),
            adapter: Some(adapter.clone()),
        });
    let is_service = |kind: &PoolKind| matches!(kind, PoolKind::Service { .. });
    let services = config
        .pools
        .iter()
        .filter(|(_, pool)| is_service(&pool.kind))
        .map(|(pool, _)| RequestGoal::Service { pool: pool.clone() });
    models.chain(adapters).chain(services).collect()
}
