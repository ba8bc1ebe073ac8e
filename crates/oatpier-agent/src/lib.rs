//! An agent: the only way to its endpoint.
//!
//! | duty | module | owns |
//! | --- | --- | --- |
//! | work | [`work`] | the decisions about attempts ([`oatpier_admission`]) |
//! | orders | [`orders`] | the control side of the endpoint |
//! | membership | [`membership`] | the configuration in force, word to the entries |
//! | observe | [`oatpier_duty::observe`] | metrics, health, export of spans |

pub mod attempt;
pub mod core;
pub mod membership;
pub mod news;
pub mod orders;
pub mod work;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use oatpier_platform::http::{EndpointKind, HttpEngine, HttpStore, HttpWork};
use oatpier_types::ids::BootId;

use crate::core::{AgentCore, EndpointIdentity, EndpointWorks};
use crate::membership::MembershipInputs;
use crate::orders::OrdersInputs;
use crate::work::WorkInputs;
use oatpier_duty::duty::{DutyProcess, RingRule, RuntimeClock, StartError, bind, ring};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::HopTracer;
use oatpier_duty::observe::{ObserveInputs, observe};
use oatpier_duty::settings::AgentSettings;

/// How long one call to the endpoint's control side may take.
const CONTROL_WAIT: Duration = Duration::from_secs(2);
/// How long one call to the key-value service may take.
const STORE_WAIT: Duration = Duration::from_secs(2);
/// News that wait for the work duty. The sender waits: each says something that no later one
/// repeats.
const NEWS_RING: usize = 64;
/// Spans that wait to be written. Further ones are dropped: a trace is worth less than a request.
const SPAN_RING: usize = 4096;

/// Starts an agent's duties.
///
/// # Errors
///
/// An address that can't be listened on.
pub fn start(settings: &AgentSettings) -> Result<DutyProcess, StartError> {
    let peer_listener = bind(settings.peer_listen, "entries")?;
    let observe_listener = bind(settings.observe_listen, "observers")?;
    let mut process = DutyProcess::default();
    let metrics = MetricSet::default();
    let clock = RuntimeClock::start();
    let (span_sender, spans) = ring(SPAN_RING, RingRule::Drop, metrics.ring("spans"));
    let (news_sender, news) = ring(NEWS_RING, RingRule::Wait, metrics.ring("news"));
    let tracer = HopTracer::new(&settings.name, span_sender);
    let observe_inputs = ObserveInputs {
        listener: observe_listener,
        metrics: metrics.clone(),
        able: Arc::new(AtomicBool::new(true)),
        spans,
        output: Box::new(std::io::stdout()),
        stop: process.stop.clone(),
    };
    process.spawn("observe", || observe(observe_inputs));
    let core = Arc::new(AgentCore::new(
        identity_of(settings),
        BootId(rand::random()),
        works_of(settings),
        clock,
        metrics,
        tracer,
        process.stop.clone(),
    ));
    let work_inputs = WorkInputs {
        core,
        listener: peer_listener,
        limits: settings.limits.server_limits(),
        news,
        stop: process.stop.clone(),
    };
    process.spawn("work", || work::work(work_inputs));
    let orders_inputs = OrdersInputs {
        control: Arc::new(HttpEngine::new(settings.endpoint_address, CONTROL_WAIT)),
        news: news_sender.clone(),
        stop: process.stop.clone(),
    };
    process.spawn("orders", || orders::orders(orders_inputs));
    let membership_inputs = MembershipInputs {
        store: Arc::new(HttpStore::new(settings.store, STORE_WAIT)),
        news: news_sender,
        stop: process.stop.clone(),
    };
    process.spawn("membership", || membership::membership(membership_inputs));
    Ok(process)
}

fn identity_of(settings: &AgentSettings) -> EndpointIdentity {
    EndpointIdentity {
        endpoint: settings.endpoint.clone(),
        pool: settings.pool.clone(),
        zone: settings.zone.clone(),
    }
}

fn works_of(settings: &AgentSettings) -> EndpointWorks {
    let work = |kind| Arc::new(HttpWork::new(settings.endpoint_address, kind, CONTROL_WAIT));
    EndpointWorks {
        engine: work(EndpointKind::Engine),
        service: work(EndpointKind::Service),
    }
}
