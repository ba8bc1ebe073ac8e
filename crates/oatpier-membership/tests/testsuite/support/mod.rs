//! A small deterministic simulation: processes, delays, losses, cuts and one store.

#![allow(dead_code)]

pub mod fleet;
pub mod network;
pub mod payload;
pub mod store;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use oatpier_membership::messages::EntryContact;
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::{BootId, Generation};
use oatpier_types::names::{DaemonName, EndpointName, ModelName, PoolName, VersionName, ZoneName};
use oatpier_types::status::{EndpointStatus, QueueReport};
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub fn daemon(name: &str) -> DaemonName {
    DaemonName::try_from(name).expect("a daemon name")
}

pub fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).expect("an availability zone name")
}

/// Returns a configuration that runs the same random cases every time.
pub fn fixed_cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

pub fn generator(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

pub fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn contact(name: &str, zone_name: &str, number: u16) -> EntryContact {
    let address = SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), number));
    EntryContact {
        daemon: daemon(name),
        zone: zone(zone_name),
        address,
    }
}

pub fn weights(model: &str) -> WeightsKey {
    WeightsKey {
        model: ModelName::try_from(model).expect("a model name"),
        adapter: None,
        version: VersionName::try_from("v1").expect("a version name"),
    }
}

pub fn queue_report(boot: BootId, sequence: u64) -> QueueReport {
    QueueReport {
        boot,
        sequence,
        queued: 0,
        running: 3,
        slots: 16,
        wait: Duration::ZERO,
        prompt_token_ns: 40_000,
        step_us: 4_500,
        accepting: true,
    }
}

pub fn status(name: &str, zone_name: &str, boot: BootId, models: &[&str]) -> EndpointStatus {
    EndpointStatus {
        endpoint: EndpointName::try_from(format!("endpoint-{name}")).expect("an endpoint name"),
        pool: PoolName::try_from("seat-llm").expect("a pool name"),
        zone: zone(zone_name),
        ready: models.iter().map(|model| weights(model)).collect(),
        ready_sequence: 1,
        generation: Generation(0),
        queue: queue_report(boot, 1),
    }
}
