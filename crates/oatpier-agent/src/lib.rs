//! The agent: all requests to its endpoint pass through it.
//!
//! | duty | module | owns |
//! | --- | --- | --- |
//! | work | [`work`] | the decisions about attempts ([`oatpier_admission`]) |
//! | orders | [`orders`] | control calls to the endpoint |
//! | membership | [`membership`] | the active configuration, status reports to the entries |
//! | observe | [`oatpier_duty::observe`] | metrics, health checks, span export |
//!
//! [`channels`] lists the rings between them, and what happens when each is full.

pub mod attempt;
pub mod channels;
pub mod core;
pub mod drains;
pub mod endpoint;
pub mod membership;
pub mod messages;
pub mod orders;
pub mod peers;
pub mod work;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use oatpier_ports::http::{EndpointKind, HttpEndpoint, HttpEngine, HttpStore, HttpVmList};
use oatpier_types::ids::BootId;

use crate::core::AgentCore;
use crate::endpoint::{EndpointClients, EndpointIdentity};
use crate::membership::MembershipInputs;
use crate::orders::OrdersInputs;
use crate::peers::HttpPeers;
use crate::work::WorkInputs;
use oatpier_duty::duty::{DutyProcess, RingRule, RuntimeClock, StartError, bind, ring};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::HopTracer;
use oatpier_duty::observe::{ObserveInputs, observe};
use oatpier_duty::settings::AgentSettings;

/// Timeout of one control call to the endpoint.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of one call to the key-value service or the list of VMs.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Capacity of a ring between two duties, in messages. See [`channels`] for what happens when it is full.
const RING_CAPACITY: usize = 64;
/// Number of spans that can wait for export. More are dropped, as traces must not delay requests.
const SPAN_RING_CAPACITY: usize = 4096;

/// Starts an agent's duties.
///
/// # Errors
///
/// Returns an error if a listen address can't be bound.
pub fn start(settings: &AgentSettings) -> Result<DutyProcess, StartError> {
    let peer_listener = bind(settings.peer_listen, "entries")?;
    let address = peer_listener.local_addr().unwrap_or(settings.peer_listen);
    let observe_listener = bind(settings.observe_listen, "observers")?;
    let mut process = DutyProcess::default();
    let metrics = MetricSet::default();
    let clock = RuntimeClock::start();
    let (span_sender, spans) = ring(SPAN_RING_CAPACITY, RingRule::Drop, metrics.ring("spans"));
    let (update_sender, updates) = ring(RING_CAPACITY, RingRule::Wait, metrics.ring("news"));
    let (plan_sender, plan) = ring(RING_CAPACITY, RingRule::Wait, metrics.ring("plan"));
    let (message_sender, messages) = ring(RING_CAPACITY, RingRule::Drop, metrics.ring("asks"));
    let (status_sender, status) = ring(RING_CAPACITY, RingRule::Drop, metrics.ring("status"));
    let (calls_sender, calls) = ring(RING_CAPACITY, RingRule::Drop, metrics.ring("calls"));
    let tracer = HopTracer::new(&settings.name, span_sender);
    let observe_inputs = ObserveInputs {
        listener: observe_listener,
        metrics: metrics.clone(),
        can_serve: Arc::new(AtomicBool::new(true)),
        spans,
        output: Box::new(std::io::stdout()),
        stop: process.stop.clone(),
    };
    process.spawn("observe", || observe(observe_inputs));
    let boot = BootId(rand::random());
    let core = Arc::new(AgentCore::new(
        build_identity(settings),
        boot,
        build_clients(settings),
        clock,
        metrics.clone(),
        tracer.clone(),
        process.stop.clone(),
    ));
    let work_inputs = WorkInputs {
        core,
        listener: peer_listener,
        limits: settings.limits.server_limits(),
        updates,
        messages: message_sender,
        status: status_sender.clone(),
        calls: calls_sender,
        stop: process.stop.clone(),
    };
    process.spawn("work", || work::work(work_inputs));
    let orders_inputs = OrdersInputs {
        identity: build_identity(settings),
        boot,
        seed: rand::random(),
        control: Arc::new(HttpEngine::new(settings.endpoint_address, CONTROL_TIMEOUT)),
        store: Arc::new(HttpStore::new(settings.store, STORE_TIMEOUT)),
        peers: Arc::new(HttpPeers::default()),
        clock,
        metrics,
        tracer,
        updates: update_sender.clone(),
        status: status_sender,
        plan,
        messages,
        stop: process.stop.clone(),
    };
    process.spawn("orders", || orders::orders(orders_inputs));
    let membership_inputs = MembershipInputs {
        daemon: settings.name.clone(),
        identity: build_identity(settings),
        boot,
        seed: rand::random(),
        address,
        store: Arc::new(HttpStore::new(settings.store, STORE_TIMEOUT)),
        vms: Arc::new(HttpVmList::new(settings.vm_list, STORE_TIMEOUT)),
        peers: Arc::new(HttpPeers::default()),
        clock,
        updates: update_sender,
        plan: plan_sender,
        status,
        calls,
        stop: process.stop.clone(),
    };
    process.spawn("membership", || membership::membership(membership_inputs));
    Ok(process)
}

fn build_identity(settings: &AgentSettings) -> EndpointIdentity {
    EndpointIdentity {
        endpoint: settings.endpoint.clone(),
        pool: settings.pool.clone(),
        zone: settings.zone.clone(),
    }
}

fn build_clients(settings: &AgentSettings) -> EndpointClients {
    let work = |kind| {
        Arc::new(HttpEndpoint::new(
            settings.endpoint_address,
            kind,
            CONTROL_TIMEOUT,
        ))
    };
    EndpointClients {
        engine: work(EndpointKind::Engine),
        service: work(EndpointKind::Service),
    }
}
