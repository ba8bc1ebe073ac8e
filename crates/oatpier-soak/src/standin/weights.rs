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
pub const ADAPTER_SLOTS: usize = 3;
/// The durations of a model load from the weight store, a model load from a copy, and an adapter load.
const STORE_LOAD: Duration = Duration::from_millis(500);
const COPY_LOAD: Duration = Duration::from_millis(80);
const ADAPTER_LOAD: Duration = Duration::from_millis(8);

/// The outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine carries it out.
    Accepted {
        /// Whether it loads from the weight store.
        from_store: bool,
    },
    /// Nothing is left to carry out: the engine is in the ordered state.
    Unchanged,
    /// Another order is in progress, the weights are in use, or the sequence number differs.
    Conflict,
    /// The order is invalid or names a model that is not loaded.
    Rejected,
    /// The order asks for more than fits.
    Overcommitted(String),
}

/// The models, adapters and copies that an engine holds.
#[derive(Debug, Default)]
pub struct EngineWeights {
    /// Loaded adapters, with the number of requests that use each, by model.
    models: BTreeMap<String, BTreeMap<String, u32>>,
    uses: BTreeMap<String, u32>,
    copies: Vec<String>,
    sequence: u64,
    busy_until: Option<Instant>,
    loading: Option<String>,
    unloading: Option<String>,
    adapter_loads: Vec<(String, String, Instant)>,
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
    fn complete_due(&mut self) {
        let now = Instant::now();
        if self.busy_until.is_some_and(|until| until <= now) {
            self.busy_until = None;
            if let Some(model) = self.loading.take() {
                self.copies.push(model.clone());
                self.models.insert(model, BTreeMap::new());
            }
        }
        let is_idle = |model: &String| self.uses.get(model).copied().unwrap_or(0) == 0;
        if self.unloading.as_ref().is_some_and(is_idle)
            && let Some(model) = self.unloading.take()
        {
            self.models.remove(&model);
        }
        let (finished, adapter_loads) = self
            .adapter_loads
            .drain(..)
            .partition(|(_, _, due): &(String, String, Instant)| *due <= now);
        self.adapter_loads = adapter_loads;
        for (model, adapter, _) in finished {
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
        self.complete_due();
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
        if matches!(outcome, OrderOutcome::Accepted { .. }) {
            self.sequence += 1;
        }
        outcome
    }

    fn load_model(&mut self, model: &str) -> OrderOutcome {
        if self.models.contains_key(model) {
            return OrderOutcome::Unchanged;
        }
        let held = u32::try_from(self.models.len()).unwrap_or(u32::MAX);
        let adapters: usize = self.models.values().map(BTreeMap::len).sum();
        let adapters = u32::try_from(adapters).unwrap_or(u32::MAX);
        if (held + 1) * MODEL_MB + adapters * ADAPTER_MB > MEMORY_MB {
            return OrderOutcome::Overcommitted(format!(
                "{model} in addition to {:?}",
                self.models.keys()
            ));
        }
        let from_store = !self.copies.iter().any(|copy| copy == model);
        let load = if from_store { STORE_LOAD } else { COPY_LOAD };
        self.busy_until = Some(Instant::now() + load);
        self.loading = Some(model.to_owned());
        OrderOutcome::Accepted { from_store }
    }

    fn unload_model(&mut self, model: &str) -> OrderOutcome {
        if !self.models.contains_key(model) {
            return OrderOutcome::Unchanged;
        }
        self.unloading = Some(model.to_owned());
        self.complete_due();
        OrderOutcome::Accepted { from_store: false }
    }

    fn load_adapter(&mut self, model: &str, adapter: &str) -> OrderOutcome {
        let Some(adapters) = self.models.get(model) else {
            return OrderOutcome::Rejected;
        };
        if adapters.contains_key(adapter) {
            return OrderOutcome::Unchanged;
        }
        let used_slots: usize = self.models.values().map(BTreeMap::len).sum();
        if used_slots + self.adapter_loads.len() >= ADAPTER_SLOTS {
            return OrderOutcome::Overcommitted(format!(
                "{model}/{adapter} in addition to {:?}",
                self.models
            ));
        }
        let due = Instant::now() + ADAPTER_LOAD;
        self.adapter_loads
            .push((model.to_owned(), adapter.to_owned(), due));
        OrderOutcome::Accepted { from_store: false }
    }

    fn unload_adapter(&mut self, model: &str, adapter: &str) -> OrderOutcome {
        let uses = self.models.get(model).and_then(|held| held.get(adapter));
        match uses {
            None => OrderOutcome::Unchanged,
            Some(0) => {
                if let Some(adapters) = self.models.get_mut(model) {
                    adapters.remove(adapter);
                }
                self.sequence += 1;
                OrderOutcome::Unchanged
            }
            Some(_) => OrderOutcome::Conflict,
        }
    }

    /// Starts to use weights for a request. Returns false if they are not loaded.
    pub fn begin_use(&mut self, weights: &str) -> bool {
        self.complete_due();
        let (model, adapter) = weights.split_once('/').unwrap_or((weights, ""));
        if self.unloading.as_deref() == Some(model) {
            return false;
        }
        let Some(adapters) = self.models.get_mut(model) else {
            return false;
        };
        if !adapter.is_empty() {
            let Some(uses) = adapters.get_mut(adapter) else {
                return false;
            };
            *uses += 1;
        }
        *self.uses.entry(model.to_owned()).or_default() += 1;
        true
    }

    /// Ends the use of weights by a request.
    pub fn end_use(&mut self, weights: &str) {
        let (model, adapter) = weights.split_once('/').unwrap_or((weights, ""));
        if let Some(uses) = self.uses.get_mut(model) {
            *uses = uses.saturating_sub(1);
        }
        let held = self.models.get_mut(model);
        if let Some(uses) = held.and_then(|adapters| adapters.get_mut(adapter)) {
            *uses = uses.saturating_sub(1);
        }
        self.complete_due();
    }

    /// Returns the models with their adapters, as reports and registry entries list them.
    pub fn models(&mut self) -> Value {
        self.complete_due();
        let models = self.models.iter().map(|(model, adapters)| {
            let adapters: Vec<&String> = adapters.keys().collect();
            json!({"name": model, "version": 1, "adapters": adapters})
        });
        models.collect()
    }

    /// Returns the engine's report.
    pub fn report(&mut self, running: u32) -> Value {
        let models = self.models();
        let adapter_loads: Vec<String> = self
            .adapter_loads
            .iter()
            .map(|(model, adapter, _)| format!("{model}/{adapter}@1"))
            .collect();
        json!({
            "stage": "both", "models": models, "busy": self.is_busy(), "seq": self.sequence,
            "waiting": 0, "running": running, "kv_used": running * 300, "kv_total": 90_000,
            "handles": 0, "coming": adapter_loads,
            "at_hand": {"in_memory": [], "on_disk": self.copies},
        })
    }
}
