//! The list of VMs.

use oatpier_ports::http::HttpVmList;
use oatpier_ports::vms::{VmDuty, VmList, VmState};

use crate::support::{FixedServer, LONG_TIMEOUT, closed_address};

const ROWS: &str = r#"[{
    "vm": "vm-3", "daemon": "agent-3", "zone": "lekki", "peer_address": "10.0.0.3:7100",
    "duty": "endpoint", "state": "leaving"
}]"#;

#[tokio::test]
async fn rows_are_decoded() {
    let server = FixedServer::start(200, &[], ROWS).await;
    let rows = HttpVmList::new(server.address, LONG_TIMEOUT)
        .list()
        .await
        .unwrap();
    assert_eq!(server.only_request().line, "GET /vms");
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].vm.as_str(), "vm-3");
    assert_eq!(rows[0].duty, VmDuty::Endpoint);
    assert_eq!(rows[0].state, VmState::Leaving);
}

#[tokio::test]
async fn unreadable_list_is_an_error() {
    let garbled = FixedServer::start(200, &[], "[{").await;
    let failing = FixedServer::start(503, &[], "later").await;
    let down = closed_address().await;
    for address in [garbled.address, failing.address, down] {
        assert!(HttpVmList::new(address, LONG_TIMEOUT).list().await.is_err());
    }
}
