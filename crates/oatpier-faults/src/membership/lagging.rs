//! Configurations that come late, and what is in force as seen from outside.
//!
//! A process says what comes into force only where the generation rose, so its own word can't show
//! that it fell: the scenario looks for itself after each step.

use std::sync::Arc;
use std::time::Duration;

use oatpier_membership::entry::CallNumber;
use oatpier_membership::generation::{ConfigContent, ConfigPayload};
use oatpier_membership::messages::{ConfigPush, PeerCall};
use oatpier_membership::spread::StoredConfig;
use oatpier_types::config::FleetConfig;
use oatpier_types::event::FleetEvent;
use oatpier_types::ids::Generation;

use super::world::{ENTRIES, Happening, MemberNode, MemberWorld, PROCESSES};

/// By then a change has come into force everywhere that no fault touches.
const LAG: Duration = Duration::from_secs(3);

/// A started process is offered what is old before its first answers can be there.
const LAG_AT_START: Duration = Duration::from_micros(300);

/// The answer goes to a process that has long given the call up.
const FORGOTTEN_CALL: CallNumber = CallNumber(u64::MAX);

impl MemberWorld {
    /// The former configuration is still on its way to each process when a later one comes into
    /// force.
    pub fn lag_behind(&mut self) {
        let Some(former) = self.store.former.clone() else {
            return;
        };
        for index in 0..PROCESSES {
            let after = LAG + Duration::from_millis(17 * index as u64);
            self.put(after, index, None, Happening::Lagging(former.clone()));
        }
    }

    /// The first that a restarted process hears of is a peer that is behind.
    pub fn lag_at_start(&mut self, index: usize) {
        if let Some(former) = self.store.former.clone() {
            let lagging = Happening::Lagging(former);
            self.put(LAG_AT_START, index, None, lagging);
        }
    }

    pub fn take_lagging(&mut self, index: usize, stored: &StoredConfig<FleetConfig>) {
        let from = (index + 2) % ENTRIES;
        let push = ConfigPush {
            daemon: self.processes[from].contact.daemon.clone(),
            generation: stored.generation,
            content: ConfigContent::Full {
                generation: stored.generation,
                value: Arc::clone(&stored.value),
            },
        };
        let body = PeerCall::Push(Arc::new(push));
        let boot = self.processes[from].boot;
        self.deliver(index, from, boot, FORGOTTEN_CALL, body);
    }

    /// Looks at what is in force in a process, and logs what the process itself does not say.
    pub fn watch_generation(&mut self, index: usize) {
        let Some(generation) = self.generation(index) else {
            return;
        };
        if generation >= self.processes[index].seen {
            return;
        }
        let held = match &self.processes[index].node {
            Some(MemberNode::Entry(entry)) => entry.in_force(),
            Some(MemberNode::Agent(agent)) => agent.in_force(),
            None => None,
        };
        let content = held.map_or(0, |held| ConfigPayload::digest(&*held.value));
        let daemon = self.processes[index].contact.daemon.clone();
        self.processes[index].seen = generation;
        self.note(FleetEvent::ConfigInForce {
            daemon,
            generation,
            content,
        });
    }

    /// A process says that a generation is in force. After a restart it may be no older than
    /// what was in force before.
    pub fn see_generation(&mut self, index: usize, generation: Generation) {
        let process = &mut self.processes[index];
        let reached = process.reached;
        process.seen = generation;
        process.reached = reached.max(generation);
        if generation < reached {
            let text = format!("process {index} started on {generation}, after {reached}");
            self.report.findings.push(text);
        }
    }
}
