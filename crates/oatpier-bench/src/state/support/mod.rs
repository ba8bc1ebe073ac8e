//! Message loop that drives the membership state machines: processes, delays, losses, partitions and one store.
//!
//! The modules are included from the tests of `oatpier-membership`, so that there is only one copy.

#![allow(dead_code, clippy::pedantic)]

#[path = "../../../../oatpier-membership/tests/testsuite/support/fleet.rs"]
pub mod fleet;
#[path = "../../../../oatpier-membership/tests/testsuite/support/network.rs"]
pub mod network;
#[path = "../../../../oatpier-membership/tests/testsuite/support/payload.rs"]
pub mod payload;
#[path = "../../../../oatpier-membership/tests/testsuite/support/store.rs"]
pub mod store;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use oatpier_membership::messages::EntryContact;
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::{BootId, Generation};
use oatpier_types::names::ZoneName;
use oatpier_types::status::{EndpointStatus, QueueReport};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::load::deployment::name;

pub fn zone(raw: &str) -> ZoneName {
    name(raw)
}

pub fn generator(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

pub fn contact(daemon: &str, zone: &str, number: u16) -> EntryContact {
    EntryContact {
        daemon: name(daemon),
        zone: name(zone),
        address: SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), number)),
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

pub fn status(daemon: &str, zone: &str, boot: BootId, models: &[&str]) -> EndpointStatus {
    let ready = models.iter().map(|model| WeightsKey {
        model: name(model),
        adapter: None,
        version: name("v1"),
    });
    EndpointStatus {
        endpoint: name(&format!("endpoint-{daemon}")),
        pool: name("llm"),
        zone: name(zone),
        ready: ready.collect(),
        ready_sequence: 1,
        generation: Generation(0),
        queue: queue_report(boot, 1),
    }
}
