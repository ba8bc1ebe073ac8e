//! Tests of the list of VMs and its lag.

use std::time::Duration;

use oatpier_ports::http::HttpVmList;
use oatpier_ports::vms::{VmDuty, VmList, VmRow, VmState};
use oatpier_standin::vms::{LocalVms, VmsFaults, start_vms};
use oatpier_types::names::{DaemonName, VmName, ZoneName};

use crate::support::ANY_PORT;

fn row(state: VmState) -> VmRow {
    VmRow {
        vm: VmName::try_from("vm-1").unwrap(),
        daemon: DaemonName::try_from("agent-1").unwrap(),
        zone: ZoneName::try_from("ikeja").unwrap(),
        peer_address: ANY_PORT,
        duty: VmDuty::Endpoint,
        state,
    }
}

#[tokio::test(start_paused = true)]
async fn a_reader_gets_rows_after_the_lag() {
    let vms = LocalVms::new();
    vms.set_faults(VmsFaults {
        lag_ms: 1_000,
        ..VmsFaults::default()
    });
    tokio::time::sleep(Duration::from_secs(5)).await;
    vms.set_rows(vec![row(VmState::Live)]);
    vms.set_rows(vec![row(VmState::Leaving)]);
    assert_eq!(vms.rows(), [row(VmState::Live)]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(vms.rows(), [row(VmState::Leaving)]);
}

#[tokio::test]
async fn the_list_works_over_http() {
    let running = start_vms(ANY_PORT).await.unwrap();
    let list = HttpVmList::new(running.address, Duration::from_mins(1));
    running.handle.set_rows(vec![row(VmState::Live)]);
    assert_eq!(list.list().await.unwrap(), [row(VmState::Live)]);
    running.handle.set_faults(VmsFaults {
        down: true,
        ..VmsFaults::default()
    });
    assert!(list.list().await.is_err());
}
