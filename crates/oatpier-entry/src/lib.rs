//! An entry: takes callers' requests, chooses an endpoint, and answers for the outcome.
//!
//! | duty | module | owns |
//! | --- | --- | --- |
//! | callers | [`callers`] | the decisions about requests ([`oatpier_policy`]) |
//! | peers | [`peers`] | what is known of agents and other entries |
//! | configuration | [`configuration`] | the operators' configuration |
//! | observe | [`oatpier_duty::observe`] | metrics, health, export of spans |

pub mod attempt;
pub mod callers;
pub mod completion;
pub mod configuration;
pub mod core;
pub mod decisions;
pub mod errors;
pub mod intake;
pub mod news;
pub mod peers;
pub mod run;
pub mod sink;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use oatpier_platform::http::{HttpStore, HttpVmList};
use oatpier_policy::entry::EntryPolicy;
use oatpier_wire::client::ClientLimits;
use oatpier_wire::peer::PeerClient;

use crate::callers::CallersInputs;
use crate::configuration::ConfigurationInputs;
use crate::core::EntryCore;
use crate::peers::PeersInputs;
use oatpier_duty::duty::{DutyProcess, RingRule, RuntimeClock, StartError, bind, ring};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::HopTracer;
use oatpier_duty::observe::{ObserveInputs, observe};
use oatpier_duty::settings::EntrySettings;

/// How long one call to the platform may take.
const PLATFORM_WAIT: Duration = Duration::from_secs(2);
/// News that wait for the callers duty. The sender waits: each says something that no later one
/// repeats.
const NEWS_RING: usize = 1024;
/// Spans that wait to be written. Further ones are dropped: a trace is worth less than a request.
const SPAN_RING: usize = 4096;

/// Starts an entry's duties.
///
/// # Errors
///
/// An address that can't be listened on.
pub fn start(settings: &EntrySettings) -> Result<DutyProcess, StartError> {
    let caller_listener = bind(settings.caller_listen, "callers")?;
    let peer_listener = bind(settings.peer_listen, "peers")?;
    let observe_listener = bind(settings.observe_listen, "observers")?;
    let mut process = DutyProcess::default();
    let metrics = MetricSet::default();
    let (span_sender, spans) = ring(SPAN_RING, RingRule::Drop, metrics.ring("spans"));
    let (news_sender, news) = ring(NEWS_RING, RingRule::Wait, metrics.ring("news"));
    let tracer = HopTracer::new(&settings.name, span_sender);
    let able = Arc::new(AtomicBool::new(false));
    let observe_inputs = ObserveInputs {
        listener: observe_listener,
        metrics: metrics.clone(),
        able: Arc::clone(&able),
        spans,
        output: Box::new(std::io::stdout()),
        stop: process.stop.clone(),
    };
    process.spawn("observe", || observe(observe_inputs));
    let policy = EntryPolicy::new(
        oatpier_policy::entry::EntrySettings::default(),
        settings.zone.clone(),
        rand::random(),
    );
    let core = Arc::new(EntryCore::new(
        Box::new(policy),
        RuntimeClock::start(),
        metrics,
        tracer,
        PeerClient::new(ClientLimits::default()),
    ));
    let callers_inputs = CallersInputs {
        core,
        listener: caller_listener,
        limits: settings.limits.server_limits(),
        news,
        stop: process.stop.clone(),
        notice: settings.notice,
    };
    process.spawn("callers", || callers::callers(callers_inputs));
    let configuration_inputs = ConfigurationInputs {
        store: Arc::new(HttpStore::new(settings.store, PLATFORM_WAIT)),
        news: news_sender.clone(),
        able,
        stop: process.stop.clone(),
    };
    process.spawn("configuration", || {
        configuration::configuration(configuration_inputs)
    });
    let peers_inputs = PeersInputs {
        listener: peer_listener,
        vms: Arc::new(HttpVmList::new(settings.vm_list, PLATFORM_WAIT)),
        news: news_sender,
        stop: process.stop.clone(),
    };
    process.spawn("peers", || peers::peers(peers_inputs));
    Ok(process)
}
