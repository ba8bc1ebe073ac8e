//! Injection of engine faults.

use oatpier_policy::event::EntryEvent;
use oatpier_standin::engine::EngineFaults;
use oatpier_types::event::FleetEvent;
use oatpier_types::names::{DaemonName, ModelName};

use super::step::FleetStep;
use super::world::FleetWorld;
use crate::load::scenario::{FaultKind, FaultTarget};

impl FleetWorld<'_> {
    pub(super) fn start_fault(&mut self, fault: usize) {
        let plan = self.faults[fault];
        let Some(node) = self.find_target(plan.target) else {
            return;
        };
        match plan.kind {
            FaultKind::Death => self.kill(node),
            FaultKind::Freeze => self.freeze(node, true),
            FaultKind::Unregistered => {
                self.nodes[node].unregistered = true;
                self.forget(node);
            }
        }
        self.queue
            .push(plan.until, FleetStep::FaultEnds { fault, node });
    }

    pub(super) fn end_fault(&mut self, fault: usize, node: usize) {
        match self.faults[fault].kind {
            FaultKind::Death => self.revive(node),
            FaultKind::Freeze => self.freeze(node, false),
            FaultKind::Unregistered => {
                self.nodes[node].unregistered = false;
                self.broadcast_status(node);
            }
        }
    }

    fn find_target(&self, target: FaultTarget) -> Option<usize> {
        match target {
            FaultTarget::Busiest(rank) => self.busiest(rank),
            FaultTarget::OnlyHolder => self.only_holder(),
            FaultTarget::Index(node) => (node < self.nodes.len()).then_some(node),
        }
    }

    fn only_holder(&self) -> Option<usize> {
        let models = self.deployment.config.models.keys();
        models.into_iter().find_map(|model| {
            let mut holders = (0..self.nodes.len()).filter(|node| self.has_ready(*node, model));
            let first = holders.next()?;
            holders.next().is_none().then_some(first)
        })
    }

    fn has_ready(&self, node: usize, model: &ModelName) -> bool {
        let mut ready = self.nodes[node].ready.iter();
        self.nodes[node].alive
            && ready.any(|weights| weights.adapter.is_none() && weights.model == *model)
    }

    /// Returns the live node at this rank, ordered by descending number of attempts.
    fn busiest(&self, rank: usize) -> Option<usize> {
        let mut live: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].alive)
            .collect();
        live.sort_by_key(|node| (std::cmp::Reverse(self.nodes[*node].attempts.0.len()), *node));
        live.get(rank).copied()
    }

    fn kill(&mut self, node: usize) {
        let lost = self.nodes[node].engine.take_events();
        self.callers.extend(lost);
        let state = &mut self.nodes[node];
        state.alive = false;
        let gone = std::mem::take(&mut state.ready);
        let attempts = std::mem::take(&mut state.attempts);
        let name = DaemonName::try_from(state.identity.endpoint.as_str()).expect("a valid name");
        let event = FleetEvent::Ended {
            name,
            killed: true,
            cut_off: u32::try_from(attempts.0.len()).unwrap_or(u32::MAX),
        };
        self.callers.log(self.now, event);
        for (attempt, held) in attempts.0 {
            let event = EntryEvent::ConnectionLost { attempt };
            self.send_to_entry(node, held.entry, held.spec.request, event);
        }
        let models: Vec<_> = gone
            .into_iter()
            .filter(|weights| weights.adapter.is_none())
            .collect();
        self.log_replicas(&models);
    }

    fn revive(&mut self, node: usize) {
        let identity = self.nodes[node].identity.clone();
        let parts = self.parts(&identity, Vec::new());
        self.nodes[node].restart(parts, &self.deployment.config);
        self.start_node(node);
    }

    fn freeze(&mut self, node: usize, frozen: bool) {
        let faults = EngineFaults {
            frozen,
            ..EngineFaults::default()
        };
        self.nodes[node].engine.set_faults(self.now, faults);
        self.arm_engine(node);
    }
}
