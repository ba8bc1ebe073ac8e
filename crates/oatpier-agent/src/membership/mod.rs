//! The membership duty: the configuration in force, and word to the entries.
//!
//! It runs [`oatpier_membership::agent::AgentMember`]: heartbeats to two entries, the configuration
//! from their answers.
//! The list of VMs only hints where entries are, and whether this VM is about to be stopped. The
//! store is read while no entry answers; see [`fallback`].

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

use crate::endpoint::EndpointIdentity;
use crate::news::{AgentNews, MembershipCall, PlanNews, StatusNews};
use crate::peers::AgentPeers;
use machine::MemberMachine;
use oatpier_duty::duty::{RingReceiver, RingSender, RuntimeClock, StopPhase, StopSignal};

/// How long an ended agent tries to tell its registrars so.
const LAST_WORD: Duration = Duration::from_millis(300);
/// How long a started agent waits for the list of VMs.
const FIRST_LIST: Duration = Duration::from_secs(1);

/// What the membership duty works on.
pub struct MembershipInputs {
    /// The process.
    pub daemon: DaemonName,
    /// Its endpoint.
    pub identity: EndpointIdentity,
    /// The agent's start.
    pub boot: BootId,
    /// For random waits.
    pub seed: u64,
    /// Where the agent listens for entries and other agents.
    pub address: SocketAddr,
    /// The platform's key-value service.
    pub store: Arc<dyn KeyStore>,
    /// The platform's list of VMs.
    pub vms: Arc<dyn VmList>,
    /// Entries.
    pub peers: Arc<dyn AgentPeers>,
    /// The runtime's clock.
    pub clock: RuntimeClock,
    /// Where news for the work duty go.
    pub news: RingSender<AgentNews>,
    /// Where news for the orders duty go.
    pub plan: RingSender<PlanNews>,
    /// What the other duties say of the endpoint.
    pub status: RingReceiver<StatusNews>,
    /// Calls of entries.
    pub calls: RingReceiver<MembershipCall>,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// Keeps in touch with the entries until the process ends.
pub async fn membership(mut inputs: MembershipInputs) {
    inputs.address = own_address(&inputs).await;
    let mut machine = MemberMachine::new(&inputs);
    tokio::select! {
        () = run(&inputs, &mut machine) => {}
        () = inputs.stop.reached(StopPhase::Ended) => {}
    }
    machine.say_left();
    let last = async { while machine.pending.next().await.is_some() {} };
    // Whoever does not hear it finds out from the refused connection.
    let _ = tokio::time::timeout(LAST_WORD, last).await;
}

/// The address by which others reach this agent. One that listens on all addresses learns its
/// own from the list of VMs.
async fn own_address(inputs: &MembershipInputs) -> SocketAddr {
    if !inputs.address.ip().is_unspecified() {
        return inputs.address;
    }
    let listed = tokio::time::timeout(FIRST_LIST, inputs.vms.list()).await;
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
            Some(done) = machine.pending.next() => machine.done(done, inputs),
            Some(status) = inputs.status.receive() => machine.hear_status(status, inputs),
            Some(call) = inputs.calls.receive() => machine.answer(call, inputs),
            () = inputs.stop.reached(StopPhase::Draining), if serving => {}
            () = tokio::time::sleep_until(wake) => {}
        }
    }
}

/// Whether the list says that a process is about to be stopped.
fn is_leaving(rows: &[VmRow], daemon: &DaemonName) -> bool {
    let mut own = rows.iter().filter(|row| row.daemon == *daemon);
    own.any(|row| row.state == VmState::Leaving)
}

fn is_entry(row: &VmRow) -> bool {
    row.duty == VmDuty::Entry && row.state == VmState::Live
}
