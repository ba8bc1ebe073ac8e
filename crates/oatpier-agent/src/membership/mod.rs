//! The membership duty: tracks the active configuration, and sends heartbeats to entries.
//!
//! It runs [`oatpier_membership::agent::AgentMember`], which sends heartbeats to two entries and
//! takes the configuration from their answers. The list of VMs only gives hints: the addresses of
//! entries, and whether this VM is about to be stopped. The store is read while no entry answers;
//! see [`fallback`].

pub mod fallback;
mod machine;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use oatpier_ports::store::KeyStore;
use oatpier_ports::vms::{VmDuty, VmList, VmRow, VmState};
use oatpier_types::ids::BootId;
use oatpier_types::names::DaemonName;

use crate::channels::{MembershipCall, PlanUpdate, StatusUpdate, WorkUpdate};
use crate::endpoint::EndpointIdentity;
use crate::peers::AgentPeers;
use machine::MemberMachine;
use oatpier_duty::duty::{RingReceiver, RingSender, RuntimeClock, StopPhase, StopSignal};

/// How long a stopping agent tries to tell its registrars that it has left.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a starting agent waits for the list of VMs.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Inputs of the membership duty.
pub struct MembershipInputs {
    /// Name of this process.
    pub daemon: DaemonName,
    /// Endpoint that the agent serves.
    pub identity: EndpointIdentity,
    /// Identifies this start of the agent.
    pub boot: BootId,
    /// Seed of the random waits.
    pub seed: u64,
    /// Address at which the agent listens for entries and other agents.
    pub address: SocketAddr,
    /// The platform's key-value service.
    pub store: Arc<dyn KeyStore>,
    /// The platform's list of VMs.
    pub vms: Arc<dyn VmList>,
    /// Calls to entries.
    pub peers: Arc<dyn AgentPeers>,
    /// The runtime's clock.
    pub clock: RuntimeClock,
    /// Sends updates to the work duty.
    pub updates: RingSender<WorkUpdate>,
    /// Sends updates to the orders duty.
    pub plan: RingSender<PlanUpdate>,
    /// Updates on the endpoint from the other duties.
    pub status: RingReceiver<StatusUpdate>,
    /// Calls from entries.
    pub calls: RingReceiver<MembershipCall>,
    /// Signals the phases of a stop.
    pub stop: StopSignal,
}

/// Runs the membership duty until the process ends.
pub async fn membership(mut inputs: MembershipInputs) {
    inputs.address = own_address(&inputs).await;
    let mut machine = MemberMachine::new(&inputs);
    tokio::select! {
        () = run(&inputs, &mut machine) => {}
        () = inputs.stop.reached(StopPhase::Ended) => {}
    }
    machine.announce_left();
    let last = async { while machine.pending.next().await.is_some() {} };
    // A registrar that misses this message detects the stop when its connection is refused.
    let _ = tokio::time::timeout(LEAVE_TIMEOUT, last).await;
}

/// Returns the address at which other processes reach this agent. An agent that listens on all
/// addresses looks its own address up in the list of VMs.
async fn own_address(inputs: &MembershipInputs) -> SocketAddr {
    if !inputs.address.ip().is_unspecified() {
        return inputs.address;
    }
    let listed = tokio::time::timeout(FIRST_LIST_TIMEOUT, inputs.vms.list()).await;
    let rows = listed.ok().and_then(Result::ok).unwrap_or_default();
    let own = rows.iter().find(|row| row.daemon == inputs.daemon);
    own.map_or(inputs.address, |row| row.peer_address)
}

async fn run(inputs: &MembershipInputs, machine: &mut MemberMachine) {
    loop {
        machine.act(inputs).await;
        let wake = inputs.clock.instant(machine.next_wake());
        let serving = inputs.stop.phase() == StopPhase::Serving;
        tokio::select! {
            Some(done) = machine.pending.next() => machine.apply_result(done, inputs),
            Some(status) = inputs.status.receive() => machine.apply_status(status, inputs),
            Some(call) = inputs.calls.receive() => machine.answer(call, inputs),
            () = inputs.stop.reached(StopPhase::Draining), if serving => {}
            () = tokio::time::sleep_until(wake) => {}
        }
    }
}

/// Returns whether the list says that a process is about to be stopped.
fn is_leaving(rows: &[VmRow], daemon: &DaemonName) -> bool {
    let mut own = rows.iter().filter(|row| row.daemon == *daemon);
    own.any(|row| row.state == VmState::Leaving)
}

fn is_entry(row: &VmRow) -> bool {
    row.duty == VmDuty::Entry && row.state == VmState::Live
}
