//! A complete entry process, as seen by operators and by its VM.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use oatpier_duty::duty::{DutyProcess, StopPhase};
use oatpier_duty::settings::{EntrySettings, SettingsText};
use oatpier_ports::store::{ExpectedValue, KeyStore};
use oatpier_standin::serve::RunningServer;
use oatpier_standin::store::{LocalStore, start_store};
use oatpier_standin::vms::{LocalVms, start_vms};
use oatpier_types::config::FleetConfig;
use oatpier_types::config::record::{CONFIG_KEY, ConfigRecord};
use oatpier_types::ids::Generation;
use oatpier_types::operator::{ConfigAnswer, DaemonDuty, ExplainModel, StatusAnswer};
use oatpier_wire::client::{ClientLimits, HttpClient};
use serde::de::DeserializeOwned;

use crate::planner::CONFIG;

const WAIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_POLLS: usize = 400;

struct EntryProcess {
    process: DutyProcess,
    peers: SocketAddr,
    client: HttpClient,
    _store: RunningServer<LocalStore>,
    _vms: RunningServer<LocalVms>,
}

async fn free_address() -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = tokio::net::TcpListener::bind(any).await.unwrap();
    listener.local_addr().unwrap()
}

impl EntryProcess {
    async fn start() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = start_store(any).await.unwrap();
        let vms = start_vms(any).await.unwrap();
        let record = ConfigRecord {
            generation: Generation(7),
            content: FleetConfig::try_from(CONFIG).unwrap(),
            recent: Vec::new(),
        };
        let value = Bytes::from(record.encode().unwrap());
        let put = store
            .handle
            .put(CONFIG_KEY, value, ExpectedValue::Absent, None);
        put.await.unwrap();
        let peers = free_address().await;
        let text = format!(
            "name = \"entry-1\"\nvm = \"vm-1\"\nzone = \"ikeja\"\nregion = \"lagos\"\n\
             stop_notice = \"50ms\"\n\
             platform = {{ store = \"{}\", vm_list = \"{}\" }}\n\
             listen = {{ callers = \"127.0.0.1:0\", peers = \"{peers}\", \
             observe = \"127.0.0.1:0\" }}\n",
            store.address, vms.address
        );
        let text = SettingsText {
            name: "entry.toml".to_owned(),
            text,
        };
        let settings = EntrySettings::try_from(&text).unwrap();
        Self {
            process: oatpier_entry::start(&settings).unwrap(),
            peers,
            client: HttpClient::new(ClientLimits::default()),
            _store: store,
            _vms: vms,
        }
    }

    async fn get(&self, path: &str) -> http::Response<Bytes> {
        let request = Request::get(path).body(Bytes::new()).unwrap();
        let fetched = self.client.fetch(self.peers, request, WAIT, 1 << 20);
        fetched.await.unwrap()
    }

    async fn get_json<A: DeserializeOwned>(&self, path: &str) -> A {
        let answer = self.get(path).await;
        assert_eq!(answer.status(), StatusCode::OK, "{path}");
        serde_json::from_slice(answer.body()).unwrap()
    }
}

/// Operators query an entry that runs alone. It reports itself, the active generation, the planner,
/// and a model without replicas. Unknown names are answered with 404.
#[tokio::test]
async fn an_entry_answers_operators_and_ends_when_drained() {
    let entry = EntryProcess::start().await;
    let mut tries = 0;
    loop {
        let config: ConfigAnswer = entry.get_json("/operator/config").await;
        let status: StatusAnswer = entry.get_json("/operator/status").await;
        if config.newest == Generation(7) && status.planner.holder.is_some() {
            assert_eq!(config.daemons.len(), 1);
            assert_eq!(status.daemons[0].duty, DaemonDuty::Entry);
            assert_eq!(status.models.len(), 2);
            assert!(status.models.iter().all(|row| row.ready == 0));
            assert!(status.store.available);
            break;
        }
        tries += 1;
        assert!(
            tries < MAX_POLLS,
            "the entry reported no planner and configuration in time: {status:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let explained: ExplainModel = entry.get_json("/operator/explain/model/tables").await;
    assert_eq!(explained.replicas, []);
    for unknown in ["model/nothing", "request/12"] {
        let answer = entry.get(&format!("/operator/explain/{unknown}")).await;
        assert_eq!(answer.status(), StatusCode::NOT_FOUND, "{unknown}");
    }
    let process = entry.process;
    process.stop.advance(StopPhase::Draining);
    let ended = tokio::task::spawn_blocking(|| process.join())
        .await
        .unwrap();
    assert_eq!(ended, Ok(()));
}
