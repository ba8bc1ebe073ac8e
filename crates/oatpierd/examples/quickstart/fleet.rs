//! A fleet in one process: stand-ins of the platform, an entry and three agents.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use oatpier_ports::http::HttpStore;
use oatpier_ports::store::{ExpectedValue, KeyStore};
use oatpier_ports::vms::{VmDuty, VmRow, VmState};
use oatpier_standin::clock::StandinClock;
use oatpier_standin::engine::{EngineOptions, LocalEngine, start_engine};
use oatpier_standin::serve::RunningServer;
use oatpier_standin::service::{LocalService, start_service};
use oatpier_standin::store::{LocalStore, start_store};
use oatpier_standin::vms::{LocalVms, start_vms};
use oatpier_standin::weights::{SharedWeights, WeightStore, WeightsOptions};
use oatpier_types::config::FleetConfig;
use oatpier_types::config::record::merge::{ChangeProposal, MergeOutcome};
use oatpier_types::config::record::{CONFIG_KEY, ConfigRecord};
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::{ChangeId, Generation};
use oatpier_types::names::{EndpointName, ModelName, VersionName};
use oatpierd::duty::{DutyProcess, StopPhase};
use oatpierd::settings::{AgentSettings, EntrySettings, SettingsText};

use crate::capture::LogLines;

type AnyError = Box<dyn Error>;

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for a daemon to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// A loopback address with a free port.
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// The configuration, as an operator writes it.
const CONFIG_TEXT: &str = include_str!("fleet.toml");

/// Stand-ins of the platform and its endpoints. Dropping it stops them.
pub struct Platform {
    store: RunningServer<LocalStore>,
    vms: RunningServer<LocalVms>,
    /// The engines.
    pub engines: Vec<RunningServer<LocalEngine>>,
    /// The plain service.
    pub service: RunningServer<LocalService>,
}

impl Platform {
    /// Starts the stand-ins on free ports, and writes the configuration to the store.
    pub async fn start() -> Result<Self, AnyError> {
        let clock = StandinClock::start();
        let weights = WeightStore::shared(weights_options());
        let mut engines = Vec::new();
        for name in ["seat-llm-1", "seat-llm-2"] {
            engines.push(engine(name, &weights, clock).await?);
        }
        let service = EndpointName::try_from("plan-api-1")?;
        let platform = Self {
            store: start_store(ANY_PORT).await?,
            vms: start_vms(ANY_PORT).await?,
            engines,
            service: start_service(ANY_PORT, service, clock).await?,
        };
        apply_config(platform.store.address).await?;
        Ok(platform)
    }

    fn table(&self) -> String {
        let (store, vms) = (self.store.address, self.vms.address);
        format!("platform = {{ store = \"{store}\", vm_list = \"{vms}\" }}")
    }
}

async fn engine(
    name: &str,
    weights: &SharedWeights,
    clock: StandinClock,
) -> Result<RunningServer<LocalEngine>, AnyError> {
    let tables = WeightsKey {
        model: ModelName::try_from("tables")?,
        adapter: None,
        version: VersionName::try_from("v1")?,
    };
    let options = EngineOptions {
        preloaded: vec![tables],
        ..EngineOptions::named(EndpointName::try_from(name)?)
    };
    Ok(start_engine(ANY_PORT, options, weights.clone(), clock).await?)
}

fn weights_options() -> WeightsOptions {
    WeightsOptions {
        default_mib: 400,
        ..WeightsOptions::default()
    }
}

/// Writes the configuration to the store, with the same merge as `oatpier config apply`.
async fn apply_config(store: SocketAddr) -> Result<(), AnyError> {
    let store = HttpStore::new(store, STORE_TIMEOUT);
    let before = ConfigRecord::default();
    let wanted = FleetConfig::try_from(CONFIG_TEXT)?;
    let proposal = ChangeProposal {
        change: ChangeId(1),
        base: Generation(0),
        edits: before.edits_from(Generation(0), &wanted)?,
        operator: "quickstart".to_owned(),
        at: 0,
        summary: "the quickstart's fleet".to_owned(),
        unanswered: None,
    };
    let MergeOutcome::Write { record, .. } = before.merge(&proposal)? else {
        return Err("the configuration makes no change".into());
    };
    let value = Bytes::from(record.encode()?);
    store
        .put(CONFIG_KEY, value, ExpectedValue::Absent, None)
        .await?;
    Ok(())
}

/// One running daemon in this process.
pub struct Daemon {
    /// The name of the daemon.
    pub name: String,
    /// Its listen addresses, in the order in which it logs them.
    pub addresses: Vec<SocketAddr>,
    process: DutyProcess,
}

impl Daemon {
    /// Stops the daemon as SIGTERM does, and waits until it has ended.
    pub fn stop(self) -> Result<(), AnyError> {
        let (ended, end) = mpsc::channel();
        let process = self.process;
        process.stop.advance(StopPhase::Draining);
        std::thread::spawn(move || {
            process.join().expect("no duty panics");
            let _ = ended.send(());
        });
        end.recv_timeout(STOP_TIMEOUT)
            .map_err(|_| format!("{} did not stop within {STOP_TIMEOUT:?}", self.name).into())
    }
}

/// The daemons in this process.
pub struct Daemons {
    /// The entry, with addresses for callers, peers and observers.
    pub entry: Daemon,
    /// The agents, with addresses for entries and observers.
    pub agents: Vec<Daemon>,
}

impl Daemons {
    /// Starts an agent for each endpoint, and an entry, then adds them to the VM list.
    pub fn start(platform: &Platform, logs: &LogLines) -> Result<Self, AnyError> {
        let starter = DaemonStarter { platform, logs };
        let agents = vec![
            starter.agent("seat-llm-1", "ikeja", platform.engines[0].address)?,
            starter.agent("seat-llm-2", "lekki", platform.engines[1].address)?,
            starter.agent("plan-api-1", "ikeja", platform.service.address)?,
        ];
        let entry = starter.entry()?;
        let mut rows = vec![row(&entry, "ikeja", entry.addresses[1], VmDuty::Entry)?];
        for (agent, zone) in agents.iter().zip(["ikeja", "lekki", "ikeja"]) {
            rows.push(row(agent, zone, agent.addresses[0], VmDuty::Endpoint)?);
        }
        platform.vms.handle.set_rows(rows);
        Ok(Self { entry, agents })
    }

    /// Stops the entry, then the agents.
    pub fn stop(self) -> Result<(), AnyError> {
        self.entry.stop()?;
        self.agents.into_iter().try_for_each(Daemon::stop)
    }
}

fn row(
    daemon: &Daemon,
    zone: &str,
    peer_address: SocketAddr,
    duty: VmDuty,
) -> Result<VmRow, AnyError> {
    Ok(VmRow {
        vm: format!("vm-{}", daemon.name).as_str().try_into()?,
        daemon: daemon.name.as_str().try_into()?,
        zone: zone.try_into()?,
        peer_address,
        duty,
        state: VmState::Live,
    })
}

struct DaemonStarter<'p> {
    platform: &'p Platform,
    logs: &'p LogLines,
}

impl DaemonStarter<'_> {
    fn agent(&self, endpoint: &str, zone: &str, address: SocketAddr) -> Result<Daemon, AnyError> {
        let name = format!("agent-{endpoint}");
        let pool = endpoint.trim_end_matches(|digit: char| digit == '-' || digit.is_ascii_digit());
        let platform = self.platform.table();
        let text = settings(format!(
            "name = \"{name}\"\nvm = \"vm-{name}\"\nzone = \"{zone}\"\n{platform}\n\
             [endpoint]\nname = \"{endpoint}\"\npool = \"{pool}\"\naddress = \"{address}\"\n\
             [listen]\npeers = \"{ANY_PORT}\"\nobserve = \"{ANY_PORT}\"\n"
        ));
        let settings = AgentSettings::try_from(&text)?;
        let known = self.logs.addresses().len();
        let process = oatpierd::agent::start(&settings)?;
        Ok(self.daemon(name, process, known))
    }

    fn entry(&self) -> Result<Daemon, AnyError> {
        let name = "entry-1".to_owned();
        let platform = self.platform.table();
        let text = settings(format!(
            "name = \"{name}\"\nvm = \"vm-{name}\"\nzone = \"ikeja\"\nregion = \"lagos\"\n\
             stop_notice = \"100ms\"\n{platform}\n\
             [listen]\ncallers = \"{ANY_PORT}\"\npeers = \"{ANY_PORT}\"\n\
             observe = \"{ANY_PORT}\"\n"
        ));
        let settings = EntrySettings::try_from(&text)?;
        let known = self.logs.addresses().len();
        let process = oatpierd::entry::start(&settings)?;
        Ok(self.daemon(name, process, known))
    }

    /// Collects the addresses of a started daemon, which it binds and logs before `start` returns.
    fn daemon(&self, name: String, process: DutyProcess, known: usize) -> Daemon {
        Daemon {
            name,
            addresses: self.logs.addresses().split_off(known),
            process,
        }
    }
}

fn settings(text: String) -> SettingsText {
    SettingsText {
        name: "quickstart.toml".to_owned(),
        text,
    }
}
