//! Endpoints, status updates and rules for tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_serving::call::{CallerRequest, PromptPart, WeightsKey};
use oatpier_serving::directory::{EndpointDirectory, EndpointRecord};
use oatpier_serving::engine::{AdapterKey, EndpointLoad, HeldModel, LocalCopies};
use oatpier_serving::message::{EngineStatus, MessageNumber};
use oatpier_serving::site::{
    CallerLimits, EngineRule, ModelRule, RouteKind, RouteRule, SiteConfig, WeightedService,
};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{AdapterName, ClassName, EndpointName, ModelName, PoolName, ZoneName};
use oatpier_types::software::SoftwareVersion;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use smallvec::{SmallVec, smallvec};

pub const SLOTS: u32 = 10;

pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

pub fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub fn model(name: &str) -> ModelName {
    ModelName::try_from(name).unwrap()
}

pub fn endpoint(name: &str) -> EndpointName {
    EndpointName::try_from(name).unwrap()
}

pub fn service() -> PoolName {
    PoolName::try_from("llm").unwrap()
}

pub fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).unwrap()
}

pub fn adapter(model_name: &str, name: &str) -> AdapterKey {
    AdapterKey {
        model: model(model_name),
        adapter: AdapterName::try_from(name).unwrap(),
    }
}

pub fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 8000))
}

pub fn held(name: &str, adapters: &[&str]) -> HeldModel {
    let adapters = adapters
        .iter()
        .map(|name| AdapterName::try_from(*name).unwrap());
    HeldModel {
        model: model(name),
        adapters: adapters.collect(),
    }
}

/// Returns a version of endpoints' software.
pub fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::try_from(text).unwrap()
}

pub fn record(number: u8, models: &[&str]) -> EndpointRecord {
    EndpointRecord {
        name: endpoint(&format!("e{number}")),
        start: None,
        version: Some(version("v1")),
        service: service(),
        address: address(number),
        zone: zone("near"),
        slots: SLOTS,
        draining: false,
        cold: Duration::ZERO,
        models: models.iter().map(|name| held(name, &[])).collect(),
        copies: LocalCopies::default(),
    }
}

pub fn status(number: u8, models: &[&str], running: u32) -> EngineStatus {
    EngineStatus {
        number: MessageNumber { boot: 1, number: 1 },
        engine: address(number),
        service: Some(service()),
        instance: None,
        start: None,
        answers: true,
        load: EndpointLoad {
            running,
            waiting: 0,
        },
        memory_used: 0,
        memory_total: 100_000,
        models: models.iter().map(|name| held(name, &[])).collect(),
        retiring: Vec::new(),
        loading: None,
        coming: Vec::new(),
        adapter_room: 2,
        copies: LocalCopies::default(),
        draining: false,
        load_wait_ms: 0,
        permit_wait_ms: 0,
        permits_waiting: 0,
        failing_percent: 0,
        gateways: Vec::new(),
    }
}

/// Returns a directory of engines with the given models and numbers of running requests, as reported at
/// `now`.
pub fn directory(engines: &[(&[&str], u32)], now: ClockTime) -> EndpointDirectory {
    let mut directory = EndpointDirectory::default();
    let numbered = || (1..).zip(engines);
    let records = numbered().map(|(number, (models, _))| record(number, models));
    directory.apply_registry(records.collect(), now);
    for (number, (models, running)) in numbered() {
        directory.apply_status(status(number, models, *running), now);
    }
    directory
}

pub fn request(weights: &str) -> CallerRequest {
    let (name, adapter_name) = weights.split_once('/').unwrap_or((weights, ""));
    let adapter = AdapterName::try_from(adapter_name).ok();
    CallerRequest {
        id: "r1".to_owned(),
        caller_timeout: Some(Duration::from_secs(10)),
        weights: Some(WeightsKey {
            model: model(name),
            adapter,
        }),
        prompt_tokens: 400,
        output_tokens: 100,
        expected_tokens: None,
        parts: smallvec![PromptPart { id: 7, tokens: 300 }],
        shared_parts: SmallVec::new(),
        resumption: None,
    }
}

pub fn route(target_ms: u64, priority: u8) -> RouteRule {
    RouteRule {
        name: ClassName::try_from("draft").unwrap(),
        host: Arc::from("a.example"),
        prefix: Arc::from("/draft/"),
        kind: RouteKind::Stream {
            resumable: false,
            pause: millis(150),
        },
        timeout: Duration::from_secs(10),
        target: millis(target_ms),
        priority,
        targets: smallvec![WeightedService {
            service: service(),
            weight: 1,
        }],
        max_attempts: 1,
        is_public: false,
    }
}

/// Returns the rule of a service whose engines have memory for two models of `names`.
pub fn engine_rule(names: &[&str]) -> EngineRule {
    EngineRule {
        weights_mb: 200.0,
        memory_tokens: 100_000,
        adapter_slots: 4,
        loads_per_s: 4.0,
        models: names.iter().map(|name| model_rule(name)).collect(),
    }
}

fn model_rule(name: &str) -> ModelRule {
    ModelRule {
        name: model(name),
        size_mb: 90.0,
        load: Duration::from_secs(2),
        load_from_disk: millis(500),
        load_from_memory: millis(400),
        adapter_mb: 1.0,
    }
}

/// Returns a configuration with a fixed seed, so that every run has the same result. Failures are kept as
/// separate tests instead of files.
pub fn fixed_cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns a configuration with one route, whose streams may be resumed.
pub fn config_with_resumable_route(timeout: Duration) -> SiteConfig {
    SiteConfig {
        version: 1,
        routes: vec![Arc::new(RouteRule {
            kind: RouteKind::Stream {
                resumable: true,
                pause: millis(150),
            },
            timeout,
            ..route(250, 1)
        })],
        services: Vec::new(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000,
            head_wait: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        },
        workspaces: None,
    }
}
