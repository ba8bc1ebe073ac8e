//! The models and adapters that an engine holds, and the effect of orders on them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

/// The memory of an engine, in MB. Two models fit, with all adapters.
pub const MEMORY_MB: u32 = 200;
/// The size of each model, in MB.
pub const MODEL_MB: u32 = 90;
/// The size of each adapter, in MB.
pub const ADAPTER_MB: u32 = 2;
/// The number of adapter slots of an engine.
pub const PLACES: usize = 3;
/// The durations of a model load from the weight store, a model load from a copy, and an adapter load.
const STORE_LOAD: Duration = Duration::from_millis(500);
const COPY_LOAD: Duration = Duration::from_millis(80);
const ADAPTER_LOAD: Duration = Duration::from_millis(8);

/// The outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine carries it out.
    Taken {
        /// Whether it loads from the weight store.
        from_store: bool,
    },
    /// Nothing is left to carry out: the engine is in the ordered state.
    Holds,
    /// Another order is in progress, the weights are in use, or the sequence number differs.
    Conflict,
    /// The order is invalid or names a model that is not loaded.
    Rejected,
    /// The order asks for more than fits.
    Overfull(String),
}

/// The models, adapters and copies that an engine holds.
#[derive(Debug, Default)]
pub struct EngineWeights {
    /// Loaded adapters, with the number of requests that use each, by model.
    models: BTreeMap<String, BTreeMap<String, u32>>,
    users: BTreeMap<String, u32>,
    copies: Vec<String>,
    sequence: u64,
    busy_until: Option<Instant>,
    loading: Option<String>,
    unloading: Option<String>,
    coming: Vec<(String, String, Instant)>,
}

impl EngineWeights {
    /// Creates the weights of an engine that starts with `models` loaded and has `copies` on disk.
    #[must_use]
    pub fn starting_with(models: &[String], copies: &[String]) -> Self {
        Self {
            models: models
                .iter()
                .map(|model| (model.clone(), BTreeMap::new()))
                .collect(),
            copies: copies.to_vec(),
            ..Self::default()
        }
    }

    /// Returns the weights after a crash, which only the copies survive.
    #[must_use]
    pub fn after_crash(&self) -> Self {
        Self {
            copies: self.copies.clone(),
            ..Self::default()
        }
    }

    /// Completes loads that are due and unloads that no request blocks any more.
    fn settle(&mut self) {
        let now = Instant::now();
        if self.busy_until.is_some_and(|until| until <= now) {
            self.busy_until = None;
            if let Some(model) = self.loading.take() {
                self.copies.push(model.clone());
                self.models.insert(model, BTreeMap::new());
            }
        }
        let idle = |model: &String| self.users.get(model).copied().unwrap_or(0) == 0;
        if self.unloading.as_ref().is_some_and(idle)
            && let Some(model) = self.unloading.take()
        {
            self.models.remove(&model);
        }
        let (come, coming) = self
            .coming
            .drain(..)
            .partition(|(_, _, due): &(String, String, Instant)| *due <= now);
        self.coming = coming;
        for (model, adapter, _) in come {
            if let Some(adapters) = self.models.get_mut(&model) {
                adapters.insert(adapter, 0);
            }
        }
    }

    fn is_busy(&self) -> bool {
        self.busy_until.is_some() || self.unloading.is_some()
    }

    /// Applies an order.
    pub fn order(&mut self, order: &Value) -> OrderOutcome {
        self.settle();
        let expected = order["expect"].as_u64();
        if self.is_busy() || expected.is_some_and(|expected| expected != self.sequence) {
            return OrderOutcome::Conflict;
        }
        let Some(model) = order["model"].as_str() else {
            return OrderOutcome::Rejected;
        };
        let outcome = match (order["operation"].as_str(), order["adapter"].as_str()) {
            (Some("load"), None) => self.load_model(model),
            (Some("unload"), None) => self.unload_model(model),
            (Some("load"), Some(adapter)) => self.load_adapter(model, adapter),
            (Some("unload"), Some(adapter)) => self.unload_adapter(model, adapter),
            _ => OrderOutcome::Rejected,
        };
        if matches!(outcome, OrderOutcome::Taken { .. }) {
            self.sequence += 1;
        }
        outcome
    }

    fn load_model(&mut self, model: &str) -> OrderOutcome {
        if self.models.contains_key(model) {
            return OrderOutcome::Holds;
        }
        let held = u32::try_from(self.models.len()).unwrap_or(u32::MAX);
        let adapters: usize = self.models.values().map(BTreeMap::len).sum();
        let adapters = u32::try_from(adapters).unwrap_or(u32::MAX);
        if (held + 1) * MODEL_MB + adapters * ADAPTER_MB > MEMORY_MB {
            return OrderOutcome::Overfull(format!(
                "{model} in addition to {:?}",
                self.models.keys()
            ));
        }
        let from_store = !self.copies.iter().any(|copy| copy == model);
        let load = if from_store { STORE_LOAD } else { COPY_LOAD };
        self.busy_until = Some(Instant::now() + load);
        self.loading = Some(model.to_owned());
        OrderOutcome::Taken { from_store }
    }

    fn unload_model(&mut self, model: &str) -> OrderOutcome {
        if !self.models.contains_key(model) {
            return OrderOutcome::Holds;
        }
        self.unloading = Some(model.to_owned());
        self.settle();
        OrderOutcome::Taken { from_store: false }
    }

    fn load_adapter(&mut self, model: &str, adapter: &str) -> OrderOutcome {
        let Some(adapters) = self.models.get(model) else {
            return OrderOutcome::Rejected;
        };
        if adapters.contains_key(adapter) {
            return OrderOutcome::Holds;
        }
        let places: usize = self.models.values().map(BTreeMap::len).sum();
        if places + self.coming.len() >= PLACES {
            return OrderOutcome::Overfull(format!(
                "{model}/{adapter} in addition to {:?}",
                self.models
            ));
        }
        let due = Instant::now() + ADAPTER_LOAD;
        self.coming
            .push((model.to_owned(), adapter.to_owned(), due));
        OrderOutcome::Taken { from_store: false }
    }

    fn unload_adapter(&mut self, model: &str, adapter: &str) -> OrderOutcome {
        let users = self.models.get(model).and_then(|held| held.get(adapter));
        match users {
            None => OrderOutcome::Holds,
            Some(0) => {
                if let Some(adapters) = self.models.get_mut(model) {
                    adapters.remove(adapter);
                }
                self.sequence += 1;
                OrderOutcome::Holds
            }
            Some(_) => OrderOutcome::Conflict,
        }
    }

    /// Starts to use weights for a request. Returns false if they are not loaded.
    pub fn begin_use(&mut self, weights: &str) -> bool {
        self.settle();
        let (model, adapter) = weights.split_once('/').unwrap_or((weights, ""));
        if self.unloading.as_deref() == Some(model) {
            return false;
        }
        let Some(adapters) = self.models.get_mut(model) else {
            return false;
        };
        if !adapter.is_empty() {
            let Some(users) = adapters.get_mut(adapter) else {
                return false;
            };
            *users += 1;
        }
        *self.users.entry(model.to_owned()).or_default() += 1;
        true
    }

    /// Ends the use of weights by a request.
    pub fn end_use(&mut self, weights: &str) {
        let (model, adapter) = weights.split_once('/').unwrap_or((weights, ""));
        if let Some(users) = self.users.get_mut(model) {
            *users = users.saturating_sub(1);
        }
        let held = self.models.get_mut(model);
        if let Some(users) = held.and_then(|adapters| adapters.get_mut(adapter)) {
            *users = users.saturating_sub(1);
        }
        self.settle();
    }

    /// Returns the models with their adapters, as reports and registry entries list them.
    pub fn models(&mut self) -> Value {
        self.settle();
        let models = self.models.iter().map(|(model, adapters)| {
            let adapters: Vec<&String> = adapters.keys().collect();
            json!({"name": model, "version": 1, "adapters": adapters})
        });
        models.collect()
    }

    /// Returns the engine's report.
    pub fn report(&mut self, running: u32) -> Value {
        let models = self.models();
        let coming: Vec<String> = self
            .coming
            .iter()
            .map(|(model, adapter, _)| format!("{model}/{adapter}@1"))
            .collect();
        json!({
            "stage": "both", "models": models, "busy": self.is_busy(), "seq": self.sequence,
            "waiting": 0, "running": running, "kv_used": running * 300, "kv_total": 90_000,
            "handles": 0, "coming": coming,
            "at_hand": {"in_memory": [], "on_disk": self.copies},
        })
    }
}
