//! Reads the list of VMs, which gives initial contacts and leaving VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use oatpier_duty::duty::RingSender;
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_membership::members::VmHint;
use oatpier_membership::messages::EntryContact;
use oatpier_ports::vms::{VmDuty, VmList, VmRow, VmState};
use oatpier_types::names::DaemonName;

use super::driver::MemberDriver;
use crate::updates::{CallersUpdate, DirectoryUpdate};

/// Interval between reads of an empty list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Additional interval per row. The list is only a hint, and reading thousands of rows several
/// times a second would use more bandwidth than all other traffic that an entry receives.
const INTERVAL_PER_ROW: Duration = Duration::from_millis(8);
/// Maximum number of agents queried per round. Only agents without a registrar that reports them
/// are queried: right after a start, or if all registrars of an agent are gone.
const QUERIES_PER_ROUND: usize = 16;

/// Reads the list periodically until the future is dropped.
pub(super) async fn poll_vm_list(
    driver: &Arc<MemberDriver>,
    vms: &dyn VmList,
    updates: &RingSender<CallersUpdate>,
    metrics: &MetricSet,
) {
    let (mut first, mut period) = (0, LIST_INTERVAL);
    loop {
        match vms.list().await {
            Ok(rows) => {
                let count = u32::try_from(rows.len()).unwrap_or(u32::MAX);
                period = LIST_INTERVAL + INTERVAL_PER_ROW.saturating_mul(count);
                driver.apply_vm_list(rows.iter().map(hint_of).collect());
                first = query_unknown(driver, &rows, first, updates, metrics).await;
            }
            // The previous list stays in use: it is only a hint.
            Err(error) => spdlog::warn!("{error}"),
        }
        tokio::time::sleep(period).await;
    }
}

fn hint_of(row: &VmRow) -> VmHint {
    VmHint {
        contact: EntryContact {
            daemon: row.daemon.clone(),
            zone: row.zone.clone(),
            address: row.peer_address,
        },
        entry: row.duty == VmDuty::Entry,
        leaving: row.state == VmState::Leaving,
    }
}

/// Queries a few agents missing from the table for their status, in rotation. Returns the position
/// at which the next round begins.
async fn query_unknown(
    driver: &MemberDriver,
    rows: &[VmRow],
    first: usize,
    updates: &RingSender<CallersUpdate>,
    metrics: &MetricSet,
) -> usize {
    let unknown = unknown_agents(driver, rows);
    driver.lock().unknown_agents = Some(unknown.len());
    if unknown.is_empty() {
        return 0;
    }
    let count = unknown.len().min(QUERIES_PER_ROUND);
    let chosen = unknown.iter().cycle().skip(first % unknown.len());
    let mut answers: FuturesUnordered<_> = chosen
        .take(count)
        .map(|(daemon, address)| query_status(driver, daemon.clone(), *address))
        .collect();
    metrics.agents_asked.inc_by(count as u64);
    while let Some(answer) = answers.next().await {
        if let Some(status) = answer {
            updates.send(CallersUpdate::Directory(status)).await;
        }
    }
    first + count
}

fn unknown_agents(driver: &MemberDriver, rows: &[VmRow]) -> Vec<(DaemonName, SocketAddr)> {
    let state = driver.lock();
    let table = state.member.table();
    rows.iter()
        .filter(|row| row.duty == VmDuty::Endpoint && row.state == VmState::Live)
        .filter(|row| table.get(&row.daemon).is_none())
        .map(|row| (row.daemon.clone(), row.peer_address))
        .collect()
}

async fn query_status(
    driver: &MemberDriver,
    daemon: DaemonName,
    address: SocketAddr,
) -> Option<DirectoryUpdate> {
    let status = driver.links.fetch_status(address).await?;
    let is_known = driver.lock().member.table().get(&daemon).is_some();
    // Information from registrars has priority, even if it arrived during the query.
    (!is_known).then(|| DirectoryUpdate::Status {
        daemon,
        address,
        status: Box::new(status),
    })
}
