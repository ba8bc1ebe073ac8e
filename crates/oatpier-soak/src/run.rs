//! Runs one soak from start to report.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future::join_all;
use oatpier_wire::server::{self, RequestHandler, ServerLimits};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::check::{self, LoadBound, SoakBreach};
use crate::fleet::{ProcessSpec, SoakProcess};
use crate::history::{CallEnd, CallKind, EventHistory, HistoryRow, ObservedEvent};
use crate::inject;
use crate::plan::{self, FaultStep, SoakSize};
use crate::proxy::FaultLink;
use crate::standin::caller::{self, SoakCaller};
use crate::standin::endpoint::{EndpointSpec, EndpointStandin};
use crate::standin::settings::{self, ENGINE_SERVICE, LOADS_PER_S, PLAIN_SERVICE, ProcessSettings};
use crate::standin::store::StoreStandin;

/// The number of models, a few more than fit into the engines at the same time.
const MODEL_COUNT: usize = 9;

/// Time limits for the fleet to serve all kinds of requests and all models, at the start and after the last fault.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(40);

/// The window over which loads are bounded, and the factor and the number of loads by which a window may exceed the
/// rate. Window and factor equal `ceiling_window_s` and `ceiling_overage` in the settings of the processes.
const LOAD_WINDOW_S: f64 = 5.0;
const LOAD_MARGIN: f64 = 1.1;
const LOAD_ALLOWANCE: f64 = 3.0;

/// The parameters of a soak.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// The path of the daemon's executable.
    pub daemon: PathBuf,
    /// The seed of the drawn faults and requests.
    pub seed: u64,
    /// How long callers send requests while faults are injected.
    pub length: Duration,
    /// The numbers of processes, endpoints and callers.
    pub size: SoakSize,
}

/// The result of a soak.
#[derive(Debug)]
pub struct SoakReport {
    /// The broken promises.
    pub breaches: Vec<SoakBreach>,
    /// All recorded events.
    pub rows: Vec<HistoryRow>,
    /// The injected faults.
    pub steps: Vec<FaultStep>,
    /// The folder of the processes' settings and logs. Dropping it deletes the folder, so callers keep it after
    /// a breach.
    pub folder: tempfile::TempDir,
}

impl SoakReport {
    /// Returns the number of calls that ended with a complete response whose status `wanted` accepts.
    #[must_use]
    pub fn count_responses(&self, wanted: impl Fn(u16) -> bool) -> usize {
        let is_wanted = |row: &&HistoryRow| {
            matches!(&row.event, ObservedEvent::Ended { end: CallEnd::Complete { status, .. }, .. }
                if wanted(*status))
        };
        self.rows.iter().filter(is_wanted).count()
    }
}

/// Runs a soak.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a file can't be written.
pub async fn run(soak: &SoakSettings) -> std::io::Result<SoakReport> {
    let folder = tempfile::Builder::new().prefix("oatpier-soak").tempdir()?;
    let fleet = SoakFleet::start(soak, folder.path()).await?;
    fleet.await_service(START_TIMEOUT).await;
    let steps = plan::plan(soak.seed, soak.size, soak.length);
    let (stop, stopped) = watch::channel(false);
    let callers = (0..soak.size.callers).map(|number| {
        let seed = soak.seed.wrapping_mul(1_000).wrapping_add(number as u64);
        let caller = SoakCaller::new(
            number,
            seed,
            fleet.gateway_addresses.clone(),
            fleet.models.clone(),
            fleet.crowd.subscribe(),
            fleet.history.clone(),
        );
        tokio::spawn(caller.run(stopped.clone()))
    });
    let callers: Vec<_> = callers.collect();
    let started = Instant::now();
    join_all(
        steps
            .iter()
            .map(|step| inject::run_step(&fleet, step, started)),
    )
    .await;
    sleep_until(started + soak.length).await;
    stop.send_replace(true);
    join_all(callers).await;
    fleet.await_service(RECOVERY_TIMEOUT).await;
    let rows = fleet.history.rows();
    let breaches = check::check(&rows, load_bound());
    Ok(SoakReport {
        breaches,
        rows,
        steps,
        folder,
    })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is a small positive number"
)]
fn load_bound() -> LoadBound {
    LoadBound {
        loads: (LOADS_PER_S * LOAD_WINDOW_S * LOAD_MARGIN + LOAD_ALLOWANCE) as usize,
        window: Duration::from_secs_f64(LOAD_WINDOW_S),
    }
}

/// The stand-ins, links and processes of a soak.
pub(crate) struct SoakFleet {
    pub(crate) history: EventHistory,
    pub(crate) models: Vec<String>,
    pub(crate) store: StoreStandin,
    /// The entrances to the store by gateway.
    pub(crate) store_entrances: Vec<StoreStandin>,
    pub(crate) store_links: Vec<FaultLink>,
    pub(crate) links: Vec<FaultLink>,
    pub(crate) endpoints: Vec<EndpointStandin>,
    pub(crate) gateways: Vec<SoakProcess>,
    pub(crate) sidecars: Vec<SoakProcess>,
    pub(crate) gateway_addresses: Vec<SocketAddr>,
    /// The gateway at which callers crowd, if any.
    pub(crate) crowd: watch::Sender<Option<usize>>,
    pub(crate) version: AtomicU64,
    probes: AtomicU64,
}

/// The block of loopback addresses that one soak uses.
struct AddressBlock {
    second: u8,
    third: u8,
    port: u16,
}

impl AddressBlock {
    /// Draws a block from the system's randomness, because concurrent soaks must not share addresses.
    fn draw() -> Self {
        let mut rng = ChaCha8Rng::from_rng(&mut rand::rng());
        Self {
            second: rng.random_range(1..255),
            third: rng.random_range(1..255),
            port: rng.random_range(20_000..30_000),
        }
    }

    fn ip(&self, number: usize) -> IpAddr {
        let last = u8::try_from(number + 1).unwrap_or(u8::MAX);
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, last))
    }

    fn address(&self, number: usize, offset: u16) -> SocketAddr {
        SocketAddr::new(self.ip(number), self.port + offset)
    }
}

/// Port offsets within a block. The first sixteen ports are the range for traffic between processes.
const FRONT_OFFSET: u16 = 20;
const READINESS_OFFSET: u16 = 21;
const ENDPOINT_OFFSET: u16 = 22;
const LINK_OFFSET: u16 = 23;
const STORE_OFFSET: u16 = 24;
const STORE_LINK_OFFSET: u16 = 25;
const STORE_ENTRANCE_OFFSET: u16 = 26;

/// The VM number of the store.
const STORE_VM: usize = 250;

impl SoakFleet {
    async fn start(soak: &SoakSettings, folder: &Path) -> std::io::Result<Self> {
        let block = AddressBlock::draw();
        let history = EventHistory::default();
        let models: Vec<String> = (0..MODEL_COUNT)
            .map(|number| format!("model{number}"))
            .collect();
        let store = StoreStandin::default();
        store.configure(&settings::config(2, &models));
        serve_store(block.address(STORE_VM, STORE_OFFSET), store.clone()).await?;
        let mut fleet = Self {
            history,
            models,
            store,
            store_entrances: Vec::new(),
            store_links: Vec::new(),
            links: Vec::new(),
            endpoints: Vec::new(),
            gateways: Vec::new(),
            sidecars: Vec::new(),
            gateway_addresses: Vec::new(),
            crowd: watch::Sender::new(None),
            version: AtomicU64::new(2),
            probes: AtomicU64::new(0),
        };
        for number in 0..soak.size.endpoints() {
            fleet.start_endpoint(soak, &block, number, folder).await?;
        }
        for number in 0..soak.size.gateways {
            fleet.start_gateway(soak, &block, number, folder).await?;
        }
        Ok(fleet)
    }

    async fn start_endpoint(
        &mut self,
        soak: &SoakSettings,
        block: &AddressBlock,
        number: usize,
        folder: &Path,
    ) -> std::io::Result<()> {
        let is_engine = number < soak.size.engines;
        let first = number % MODEL_COUNT;
        let loaded_models =
            [first, (first + 1) % MODEL_COUNT].map(|index| self.models[index].clone());
        let spec = EndpointSpec {
            number,
            listen: block.address(number, ENDPOINT_OFFSET),
            address: block.address(number, LINK_OFFSET),
            service: if is_engine {
                ENGINE_SERVICE
            } else {
                PLAIN_SERVICE
            },
            zone: zone(number),
            models: if is_engine {
                loaded_models.to_vec()
            } else {
                Vec::new()
            },
            copies: if is_engine {
                loaded_models.to_vec()
            } else {
                Vec::new()
            },
        };
        let address = spec.address;
        self.links
            .push(FaultLink::start(address, spec.listen).await?);
        let endpoint = EndpointStandin::start(spec, self.store.clone(), self.history.clone())?;
        self.endpoints.push(endpoint);
        if is_engine {
            let settings = ProcessSettings {
                name: format!("sidecar-{number}"),
                ip: block.ip(number),
                zone: zone(number),
                inner_port: block.port,
                callers: None,
                engine: Some(address),
                store: block.address(STORE_VM, STORE_OFFSET),
                is_first_start: true,
            };
            let sidecar = self.start_process(soak, "sidecar", settings, folder);
            self.sidecars.push(sidecar);
        }
        Ok(())
    }

    async fn start_gateway(
        &mut self,
        soak: &SoakSettings,
        block: &AddressBlock,
        number: usize,
        folder: &Path,
    ) -> std::io::Result<()> {
        let vm = soak.size.endpoints() + number;
        let store_link = block.address(vm, STORE_LINK_OFFSET);
        let entrance_address = block.address(vm, STORE_ENTRANCE_OFFSET);
        let entrance = self.store.new_entrance();
        serve_store(entrance_address, entrance.clone()).await?;
        self.store_entrances.push(entrance);
        self.store_links
            .push(FaultLink::start(store_link, entrance_address).await?);
        let front = block.address(vm, FRONT_OFFSET);
        let settings = ProcessSettings {
            name: format!("gateway-{number}"),
            ip: block.ip(vm),
            zone: zone(number),
            inner_port: block.port,
            callers: Some((front, block.address(vm, READINESS_OFFSET))),
            engine: None,
            store: store_link,
            is_first_start: true,
        };
        let gateway = self.start_process(soak, "gateway", settings, folder);
        self.gateways.push(gateway);
        self.gateway_addresses.push(front);
        Ok(())
    }

    fn start_process(
        &self,
        soak: &SoakSettings,
        role: &'static str,
        settings: ProcessSettings,
        folder: &Path,
    ) -> SoakProcess {
        let spec = ProcessSpec {
            daemon: soak.daemon.clone(),
            role,
            settings,
            folder: folder.to_owned(),
        };
        SoakProcess::start(spec, self.history.clone())
    }

    /// Waits until every gateway serves every kind of request and the fleet serves every model, and records what is not
    /// served in time.
    async fn await_service(&self, wait_limit: Duration) {
        let by_gateway = self.gateway_addresses.iter().flat_map(|gateway| {
            [CallKind::Safe, CallKind::Unsafe, CallKind::Stream].map(|kind| (*gateway, kind, 0))
        });
        let by_model = (0..MODEL_COUNT).map(|model| {
            let gateway = self.gateway_addresses[model % self.gateway_addresses.len()];
            (gateway, CallKind::ResumableStream, model)
        });
        let probes = by_gateway.chain(by_model);
        let deadline = Instant::now() + wait_limit;
        join_all(probes.map(|(gateway, kind, model)| self.probe(gateway, kind, model, deadline)))
            .await;
    }

    async fn probe(&self, gateway: SocketAddr, kind: CallKind, model: usize, deadline: Instant) {
        let client = caller::new_client();
        while Instant::now() < deadline {
            let number = self.probes.fetch_add(1, Ordering::Relaxed);
            let id = format!("ffff{number:08x}");
            let call = caller::build_call(&id, kind, &self.models[model], None);
            let outcome = caller::send(&client, gateway, &call, None, &self.history).await;
            if matches!(outcome.end, CallEnd::Complete { status: 200, .. }) {
                return;
            }
            sleep(Duration::from_millis(200)).await;
        }
        let detail = format!("{kind:?} request for {} at {gateway}", self.models[model]);
        self.history.record(ObservedEvent::Unserved { detail });
    }

    pub(crate) fn record_restart(&self, done: std::io::Result<()>) {
        if let Err(error) = done {
            let detail = format!("an endpoint did not restart: {error}");
            self.history.record(ObservedEvent::Unserved { detail });
        }
    }
}

/// Serves an entrance to the store.
async fn serve_store(address: SocketAddr, entrance: StoreStandin) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let handler: Arc<dyn RequestHandler> = Arc::new(entrance);
    tokio::spawn(server::serve(
        listener,
        handler,
        ServerLimits::default(),
        Arc::default(),
        std::future::pending(),
    ));
    Ok(())
}

fn zone(number: usize) -> &'static str {
    ["north", "south"][number % 2]
}
