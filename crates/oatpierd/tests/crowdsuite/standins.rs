//! What a gateway needs around it: the platform's store with a configuration, and an endpoint of the plain service.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use oatpier_soak::history::EventHistory;
use oatpier_soak::proxy::FaultLink;
use oatpier_soak::standin::endpoint::{EndpointSpec, EndpointStandin};
use oatpier_soak::standin::settings::{self, PLAIN_SERVICE};
use oatpier_soak::standin::store::StoreStandin;
use oatpier_wire::server::{self, RequestHandler, ServerLimits};
use rand::RngExt;
use serde_json::json;
use tokio::net::TcpListener;

/// The largest body that the configuration allows, in bytes.
pub const BODY_BYTES: usize = 4 << 20;

/// Loopback addresses of one test, one for each VM.
#[derive(Debug, Clone, Copy)]
pub struct AddressBlock {
    second: u8,
    third: u8,
    port: u16,
}

impl AddressBlock {
    /// Draws a block, because other tests may run at the same time.
    pub fn draw() -> Self {
        let mut rng = rand::rng();
        Self {
            second: rng.random_range(1..255),
            third: rng.random_range(1..255),
            port: rng.random_range(20_000..30_000),
        }
    }

    pub fn ip(self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, number))
    }

    pub fn address(self, number: u8, offset: u16) -> SocketAddr {
        SocketAddr::new(self.ip(number), self.port + offset)
    }
}

/// The running stand-ins.
pub struct PlatformStandins {
    pub block: AddressBlock,
    pub store: SocketAddr,
    /// The contents of the store.
    pub registry: StoreStandin,
    /// The gateway's connections to the endpoint.
    pub link: FaultLink,
    _endpoint: EndpointStandin,
}

impl PlatformStandins {
    pub async fn start() -> Self {
        let block = AddressBlock::draw();
        let store_address = block.address(250, 0);
        let store = StoreStandin::default();
        let mut config = settings::config(2, &[]);
        config["limits"]["max_body_bytes"] = json!(BODY_BYTES);
        store.configure(&config);
        let handler: Arc<dyn RequestHandler> = Arc::new(store.clone());
        let listener = TcpListener::bind(store_address).await.unwrap();
        tokio::spawn(server::serve(
            listener,
            handler,
            ServerLimits::default(),
            Arc::default(),
            std::future::pending(),
        ));
        let listen = block.address(1, 0);
        let address = block.address(1, 1);
        let link = FaultLink::start(address, listen).await.unwrap();
        let spec = EndpointSpec {
            number: 0,
            listen,
            address,
            service: PLAIN_SERVICE,
            zone: "north",
            models: Vec::new(),
            copies: Vec::new(),
        };
        let history = EventHistory::default();
        let endpoint = EndpointStandin::start(spec, store.clone(), history).unwrap();
        Self {
            block,
            store: store_address,
            registry: store,
            link,
            _endpoint: endpoint,
        }
    }
}
