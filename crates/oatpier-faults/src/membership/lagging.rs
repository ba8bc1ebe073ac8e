//! Delayed pushes of old configurations, and the check of the generation in force.
//!
//! A process reports a configuration only when its generation has increased, so its own reports
//! can't show a decrease. The scenario therefore inspects the process after each step.

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

/// Delay after which a change is in force at every process that no fault affects.
const LAG: Duration = Duration::from_secs(3);

/// Delay of the stale push to a started process: shorter than the time until its first answers arrive.
const LAG_AT_START: Duration = Duration::from_micros(300);

/// Number of a call that its sender no longer waits for.
const FORGOTTEN_CALL: CallNumber = CallNumber(u64::MAX);

impl MemberWorld {
    /// Schedules a delayed push of the previous configuration to each process, to arrive after the later one is in
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

    /// Schedules a push of the previous configuration as the first message that a restarted process receives.
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

    /// Inspects the generation in force at a process, and logs a decrease, which the process itself does not report.
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

    /// Records a generation that a process reports as in force. After a restart it must not be older than the
    /// generation that was in force before.
    pub fn see_generation(&mut self, index: usize, generation: Generation) {
        let process = &mut self.processes[index];
        let reached = process.reached;
        process.seen = generation;
        process.reached = reached.max(generation);
        if generation < reached {
            let text =
                format!("process {index} started on generation {generation}, after {reached}");
            self.report.findings.push(text);
        }
    }
}
