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

use super::simulation::{ENTRIES, MemberNode, MemberSimulation, PROCESSES, SimEvent};

/// Delay after which a change is in force at every process that no fault affects.
const STALE_PUSH_DELAY: Duration = Duration::from_secs(3);

/// Delay of the stale push to a started process: shorter than the time until its first answers arrive.
const START_STALE_PUSH_DELAY: Duration = Duration::from_micros(300);

/// Number of a call that its sender no longer waits for.
const ABANDONED_CALL: CallNumber = CallNumber(u64::MAX);

impl MemberSimulation {
    /// Schedules a delayed push of the previous configuration to each process, to arrive after the later one is in
    /// force.
    pub fn schedule_stale_pushes(&mut self) {
        let Some(previous) = self.store.previous.clone() else {
            return;
        };
        for index in 0..PROCESSES {
            let after = STALE_PUSH_DELAY + Duration::from_millis(17 * index as u64);
            self.put(after, index, None, SimEvent::StalePush(previous.clone()));
        }
    }

    /// Schedules a push of the previous configuration as the first message that a restarted process receives.
    pub fn schedule_stale_push_at_start(&mut self, index: usize) {
        if let Some(previous) = self.store.previous.clone() {
            let stale_push = SimEvent::StalePush(previous);
            self.put(START_STALE_PUSH_DELAY, index, None, stale_push);
        }
    }

    pub fn deliver_stale_push(&mut self, index: usize, stored: &StoredConfig<FleetConfig>) {
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
        self.deliver(index, from, boot, ABANDONED_CALL, body);
    }

    /// Inspects the generation in force at a process, and logs a decrease, which the process itself does not report.
    pub fn check_generation(&mut self, index: usize) {
        let Some(generation) = self.generation(index) else {
            return;
        };
        if generation >= self.processes[index].observed_generation {
            return;
        }
        let held = match &self.processes[index].node {
            Some(MemberNode::Entry(entry)) => entry.in_force(),
            Some(MemberNode::Agent(agent)) => agent.in_force(),
            None => None,
        };
        let content = held.map_or(0, |held| ConfigPayload::digest(&*held.value));
        let daemon = self.processes[index].contact.daemon.clone();
        self.processes[index].observed_generation = generation;
        self.log_event(FleetEvent::ConfigInForce {
            daemon,
            generation,
            content,
        });
    }

    /// Records a generation that a process reports as in force. After a restart it must not be older than the
    /// generation that was in force before.
    pub fn record_generation(&mut self, index: usize, generation: Generation) {
        let process = &mut self.processes[index];
        let highest_generation = process.highest_generation;
        process.observed_generation = generation;
        process.highest_generation = highest_generation.max(generation);
        if generation < highest_generation {
            let text = format!(
                "process {index} started on generation {generation}, after {highest_generation}"
            );
            self.report.findings.push(text);
        }
    }
}
