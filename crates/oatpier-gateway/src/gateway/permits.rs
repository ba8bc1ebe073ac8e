//! Asking sidecars for permits to send their engines prompts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_serving::admission;
use oatpier_serving::message::{InnerMessage, PermitAsk, PermitGrant};
use oatpier_serving::site::RouteKind;
use oatpier_types::names::EndpointName;
use tokio::time::timeout;

use super::core::GatewayCore;
use super::placement::{PlacedSend, RequestPlan};
use crate::exchange::MessageOutlet;

/// An ask is repeated this often: a lost datagram should cost no more than a prompt takes to be read.
const ASK_EVERY: Duration = Duration::from_millis(30);

/// What came of an ask.
#[derive(Debug)]
pub enum PermitVerdict {
    /// The prompt may be sent.
    Given(HeldPermit),
    /// None is needed, or there is nobody to give one.
    Free,
    /// The endpoint can no longer take the request, or the wait took too long: it is placed anew.
    Withdrawn,
}

/// A permit; given back when it is dropped.
#[derive(Debug)]
pub struct HeldPermit {
    outlet: Arc<dyn MessageOutlet>,
    sidecar: SocketAddr,
    id: u64,
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        let done = InnerMessage::PermitDone(PermitGrant { id: self.id });
        self.outlet.send(self.sidecar, &done);
    }
}

/// An ask that is being waited for.
struct OpenAsk {
    core: Arc<GatewayCore>,
    endpoint: EndpointName,
    sidecar: SocketAddr,
    ask: PermitAsk,
    /// What becomes the permit. Dropped with the ask it withdraws it: a permit that is given to a request whose
    /// caller has left would keep the engine from reading until it lapses.
    permit: Option<HeldPermit>,
}

impl OpenAsk {
    fn begin(core: &Arc<GatewayCore>, placed: &PlacedSend, ask: PermitAsk) -> Self {
        let endpoint = placed.choice.endpoint.clone();
        let sidecar = SocketAddr::new(placed.address.ip(), core.inner_port);
        core.lock().directory.note_asked(&endpoint, ask.reading());
        Self {
            core: Arc::clone(core),
            endpoint,
            sidecar,
            ask,
            permit: Some(HeldPermit {
                outlet: Arc::clone(&core.outlet),
                sidecar,
                id: ask.id,
            }),
        }
    }

    fn send(&self, plan: &RequestPlan) {
        let ask = PermitAsk {
            due_in_ms: due_in_ms(&self.core, plan),
            ..self.ask
        };
        self.core
            .outlet
            .send(self.sidecar, &InnerMessage::PermitAsk(ask));
    }
}

impl Drop for OpenAsk {
    fn drop(&mut self) {
        self.core.permits.close(self.ask.id);
        let mut state = self.core.lock();
        state
            .directory
            .note_permitted(&self.endpoint, self.ask.reading());
    }
}

/// How long a request may wait and be in time, in milliseconds.
fn due_in_ms(core: &GatewayCore, plan: &RequestPlan) -> u32 {
    let waited = core.clock.now().since(plan.arrived);
    let left = admission::latest_wait(&plan.route).saturating_sub(waited);
    u32::try_from(left.as_millis()).unwrap_or(u32::MAX)
}

/// Waits for a permit to send a prompt to an engine. Plain services read no prompts, and an engine whose
/// sidecar is not heard gives no permits.
///
/// A gateway that has just started does not know how long prompts take. Its prompts are asked for as if each
/// took a whole pause, so that they are read one after the other until it knows: after a loss of all
/// processes the first seconds are the busiest.
pub(super) async fn permit(
    core: &Arc<GatewayCore>,
    plan: &RequestPlan,
    placed: &PlacedSend,
) -> PermitVerdict {
    let RouteKind::Stream { pause, .. } = plan.route.kind else {
        return PermitVerdict::Free;
    };
    if placed.load_age.is_none() {
        return PermitVerdict::Free;
    }
    let reading = match placed.choice.own_reading {
        Duration::ZERO => pause,
        known => known,
    };
    let ask = PermitAsk {
        id: rand::random(),
        reading_us: u32::try_from(reading.as_micros()).unwrap_or(u32::MAX),
        pause_ms: u32::try_from(pause.as_millis()).unwrap_or(u32::MAX),
        due_in_ms: 0,
        slots: placed.slots,
        is_urgent: admission::is_urgent(&plan.route, plan.priority()),
        priority: plan.priority(),
    };
    let mut answer = core.permits.open(ask.id);
    let mut open = OpenAsk::begin(core, placed, ask);
    loop {
        open.send(plan);
        let is_given = timeout(ASK_EVERY, &mut answer).await.is_ok();
        if let Some(permit) = open.permit.take_if(|_| is_given) {
            return PermitVerdict::Given(permit);
        }
        if !core.still_takes(plan, &open.endpoint) || core.has_better(plan, &open.endpoint) {
            return PermitVerdict::Withdrawn;
        }
    }
}

impl GatewayCore {
    /// Takes a sidecar's permit.
    pub fn take_permit(&self, grant: PermitGrant) {
        self.permits.take(grant.id, ());
    }

    /// Whether a request that waits for a permit at an engine that is full would find a free slot at another
    /// one: replicas come while it waits.
    fn has_better(&self, plan: &RequestPlan, endpoint: &EndpointName) -> bool {
        let choice = self.best_choice(plan);
        choice.is_some_and(|choice| choice.endpoint != *endpoint && choice.occupancy < 1.0)
    }

    /// Whether an endpoint can still take a request that waits for a permit there.
    fn still_takes(&self, plan: &RequestPlan, endpoint: &EndpointName) -> bool {
        let now = self.clock.now();
        if self.is_closed() || plan.has_waited_out(now) {
            return false;
        }
        let state = self.lock();
        let Some(row) = state.directory.row(endpoint) else {
            return false;
        };
        let weights = plan.request.weights.as_ref();
        let holds = weights.is_none_or(|weights| row.holds(&weights.model, now));
        holds && row.is_open(now) && row.is_rested(now) && !row.is_overdue(now)
    }
}
