//! Construction of a simulated fleet.

use indexmap::IndexMap;
use oatpier_admission::event::{AdmissionLimits, AgentEvent};
use oatpier_admission::policy::AgentPolicy;
use oatpier_placement::demand::DemandLedger;
use oatpier_standin::engine::EngineCore;
use oatpier_standin::weights::{SharedWeights, WeightStore, WeightsOptions};
use oatpier_types::clock::ClockTime;
use oatpier_types::config::PoolKind;
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::BootId;
use oatpier_types::names::ZoneName;

use super::agent::{AgentDecider, BaselineAgent};
use super::entry::EntryDecider;
use super::node::{EngineNode, NodeIdentity, NodeParts, fresh_engine};
use super::world::{EntryNode, FleetWorld};
use crate::load::deployment::{
    ADAPTER_MEMORY_MIB, BenchDeployment, ENGINE_SLOTS, MODEL_MEMORY_MIB,
};

impl FleetWorld<'_> {
    pub(super) fn add_entries(&mut self, deciders: Vec<Box<dyn EntryDecider>>) {
        let zones = self.zones();
        self.entries = deciders
            .into_iter()
            .enumerate()
            .map(|(index, decider)| EntryNode {
                decider,
                zone: zones[index % zones.len()].clone(),
                armed: ClockTime::NEVER,
                demand: DemandLedger::new(),
                reports: IndexMap::new(),
                tickets: IndexMap::new(),
            })
            .collect();
    }

    fn zones(&self) -> Vec<ZoneName> {
        let regions = self.deployment.config.regions.values();
        regions.flat_map(|region| region.zones.clone()).collect()
    }

    pub(super) fn add_nodes(&mut self) {
        for identity in engine_identities(self.deployment) {
            let parts = self.parts(&identity, Vec::new());
            let index = self.nodes.len();
            self.indices.insert(identity.endpoint.clone(), index);
            let node = EngineNode::new(identity, parts, &self.deployment.config);
            self.nodes.push(node);
        }
        self.preload();
    }

    /// Creates the first plan, before any demand, and starts all nodes with its weights loaded.
    fn preload(&mut self) {
        let plan = self.make_plan();
        for row in &plan.endpoints {
            let Some(index) = self.indices.get(&row.endpoint).copied() else {
                continue;
            };
            let identity = self.nodes[index].identity.clone();
            let parts = self.parts(&identity, row.weights.to_vec());
            let mut node = EngineNode::new(identity, parts, &self.deployment.config);
            node.plan = Some(row.clone());
            self.nodes[index] = node;
        }
        self.plan = Some(plan);
    }

    pub(super) fn parts(
        &mut self,
        identity: &NodeIdentity,
        preloaded: Vec<WeightsKey>,
    ) -> NodeParts {
        self.boots += 1;
        let boot = BootId(self.boots);
        NodeParts {
            boot,
            decider: self.agent_decider(boot),
            engine: self.engine(identity, preloaded),
        }
    }

    fn engine(&self, identity: &NodeIdentity, preloaded: Vec<WeightsKey>) -> EngineCore {
        fresh_engine(
            identity,
            &self.deployment.config,
            self.deployment.step,
            self.scenario.report_lag(),
            &self.store,
            preloaded,
        )
    }

    fn agent_decider(&self, boot: BootId) -> Box<dyn AgentDecider> {
        if !self.admission {
            return Box::new(BaselineAgent::new(boot));
        }
        let limits = AdmissionLimits::for_slots(ENGINE_SLOTS);
        let mut policy = AgentPolicy::new(boot, limits);
        let classes = self.deployment.config.classes.clone();
        let event = AgentEvent::ClassesChanged { classes };
        policy.step(event, self.now);
        Box::new(policy)
    }
}

pub(super) fn weight_store(deployment: &BenchDeployment) -> SharedWeights {
    let config = &deployment.config;
    let models = config
        .models
        .keys()
        .filter_map(|model| config.model_weights(model));
    let adapters = config
        .adapters
        .keys()
        .filter_map(|adapter| config.adapter_weights(adapter));
    let sizes = models
        .map(|weights| (weights, MODEL_MEMORY_MIB))
        .chain(adapters.map(|weights| (weights, ADAPTER_MEMORY_MIB)))
        .collect();
    WeightStore::shared(WeightsOptions {
        sizes,
        default_mib: MODEL_MEMORY_MIB,
        loads_per_second: config.weight_store.loads_per_second,
        full_speed_loads: config.weight_store.full_speed_loads,
        mib_per_second: 4_096,
    })
}

fn engine_identities(deployment: &BenchDeployment) -> Vec<NodeIdentity> {
    let engines = deployment
        .config
        .pools
        .iter()
        .filter(|(_, pool)| matches!(pool.kind, PoolKind::Engine { .. }));
    engines
        .flat_map(|(name, pool)| {
            pool.endpoints.iter().map(|(endpoint, zone)| NodeIdentity {
                endpoint: endpoint.clone(),
                pool: name.clone(),
                zone: zone.clone(),
            })
        })
        .collect()
}
