//! Requests permits to send prompts to engines from the engines' sidecars.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_serving::admission;
use oatpier_serving::message::{InnerMessage, PermitAsk, PermitGrant, RatedPermitAsk};
use oatpier_serving::site::RouteKind;
use oatpier_types::names::EndpointName;
use tokio::time::timeout;

use super::core::GatewayCore;
use super::placement::{PlacedSend, RequestContext};
use crate::exchange::MessageOutlet;

/// The interval at which a permit request is repeated. A lost datagram should cost no more time than the prefill of
/// a prompt takes.
const PERMIT_RESEND_INTERVAL: Duration = Duration::from_millis(30);

/// The outcome of a permit request.
#[derive(Debug)]
pub enum PermitVerdict {
    /// The prompt may be sent.
    Granted(HeldPermit),
    /// No permit is needed, or no sidecar can grant one.
    NotNeeded,
    /// The endpoint can no longer take the request, or the maximum wait is over; the request is placed again.
    Withdrawn,
}

/// A granted permit, returned to the sidecar when dropped.
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

/// What an engine will do for a request.
#[derive(Debug, Clone, Copy)]
struct RequestWork {
    prefill_tokens: u32,
    output_tokens: u32,
}

impl RequestWork {
    fn of(context: &RequestContext, placed: &PlacedSend) -> Self {
        let request = &context.request;
        let expected = request.expected_tokens.unwrap_or(request.output_tokens);
        Self {
            prefill_tokens: placed.choice.prefill_tokens,
            output_tokens: expected.min(request.output_tokens),
        }
    }
}

/// A permit request that waits for its answer.
struct PendingPermit {
    core: Arc<GatewayCore>,
    endpoint: EndpointName,
    sidecar: SocketAddr,
    ask: PermitAsk,
    /// What the engine will do for the request, if the sidecar is told.
    work: Option<RequestWork>,
    /// Whether VMs of the service are disturbed.
    is_disturbed: bool,
    /// The permit once it is granted. Dropping it with this request withdraws the request: a permit that is granted
    /// to a request whose caller has disconnected would keep the engine from the prefill of other prompts until the
    /// permit expires.
    permit: Option<HeldPermit>,
}

impl PendingPermit {
    fn begin(
        core: &Arc<GatewayCore>,
        context: &RequestContext,
        placed: &PlacedSend,
        ask: PermitAsk,
    ) -> Self {
        let endpoint = placed.choice.endpoint.clone();
        let sidecar = SocketAddr::new(placed.address.ip(), core.inner_port);
        let now = core.clock.now();
        let mut state = core.lock();
        state.directory.note_permit_wait(&endpoint, ask.reading());
        let is_disturbed = state.directory.is_disturbed(&context.service, now);
        // Workspaces compete for the engine's time, so their sidecar has to know the work of their requests.
        let is_rated = is_disturbed || context.identity.workspace().is_some();
        drop(state);
        Self {
            core: Arc::clone(core),
            endpoint,
            sidecar,
            ask,
            work: is_rated.then(|| RequestWork::of(context, placed)),
            is_disturbed,
            permit: Some(HeldPermit {
                outlet: Arc::clone(&core.outlet),
                sidecar,
                id: ask.id,
            }),
        }
    }

    /// Sends the request for the `number`-th time, from 0. Every other one is a plain request: the sidecar may have been
    /// replaced by one of an earlier version, which does not know others and would let the request wait in vain.
    fn send(&self, context: &RequestContext, number: u32) {
        let ask = PermitAsk {
            due_in_ms: due_in_ms(&self.core, context),
            ..self.ask
        };
        let work = self.work.filter(|_| number.is_multiple_of(2));
        let message = match work {
            Some(work) => InnerMessage::RatedPermitAsk(RatedPermitAsk {
                ask,
                prefill_tokens: work.prefill_tokens,
                output_tokens: work.output_tokens,
                share: self.core.share_standing(context),
                is_disturbed: self.is_disturbed,
            }),
            None => InnerMessage::PermitAsk(ask),
        };
        self.core.outlet.send(self.sidecar, &message);
    }
}

impl Drop for PendingPermit {
    fn drop(&mut self) {
        self.core.permits.remove(self.ask.id);
        let mut state = self.core.lock();
        state
            .directory
            .note_permit_wait_end(&self.endpoint, self.ask.reading());
    }
}

/// Returns how long a request may still wait to be in time, in milliseconds.
fn due_in_ms(core: &GatewayCore, context: &RequestContext) -> u32 {
    let waited = core.clock.now().since(context.arrived);
    let remaining = admission::max_timely_wait(&context.route).saturating_sub(waited);
    u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX)
}

/// Waits for a permit to send a prompt to an engine. Plain services have no prefill, and an engine whose sidecar is
/// not reporting grants no permits.
///
/// A gateway that has just started does not know how long prompts take. It requests permits as if each prompt took
/// a whole allowed pause, so that prompts are processed one after the other until it knows: after a loss of all
/// processes, the first seconds carry the highest load.
pub(super) async fn acquire_permit(
    core: &Arc<GatewayCore>,
    context: &RequestContext,
    placed: &PlacedSend,
) -> PermitVerdict {
    let RouteKind::Stream { pause, .. } = context.route.kind else {
        return PermitVerdict::NotNeeded;
    };
    if placed.load_age.is_none() {
        return PermitVerdict::NotNeeded;
    }
    let is_unknown = placed.choice.own_prefill.is_zero() && placed.choice.prefill_tokens > 0;
    let prefill = if is_unknown {
        pause
    } else {
        placed.choice.own_prefill
    };
    let ask = PermitAsk {
        id: rand::random(),
        reading_us: u32::try_from(prefill.as_micros()).unwrap_or(u32::MAX),
        pause_ms: u32::try_from(pause.as_millis()).unwrap_or(u32::MAX),
        due_in_ms: 0,
        slots: placed.slots,
        is_urgent: admission::is_urgent(&context.route, context.priority()),
        priority: context.priority(),
    };
    let mut answer = core.permits.register(ask.id);
    let mut pending = PendingPermit::begin(core, context, placed, ask);
    for number in 0.. {
        pending.send(context, number);
        let is_granted = timeout(PERMIT_RESEND_INTERVAL, &mut answer).await.is_ok();
        if let Some(permit) = pending.permit.take_if(|_| is_granted) {
            return PermitVerdict::Granted(permit);
        }
        if !core.can_still_take(context, &pending.endpoint)
            || core.has_free_slot_elsewhere(context, &pending.endpoint)
        {
            return PermitVerdict::Withdrawn;
        }
    }
    PermitVerdict::Withdrawn
}

impl GatewayCore {
    /// Accepts a permit that a sidecar granted.
    pub fn apply_permit(&self, grant: PermitGrant) {
        self.permits.complete(grant.id, ());
    }

    /// Returns whether a request that waits for a permit at a full engine would find a free slot at another one.
    /// Replicas may be added while it waits.
    fn has_free_slot_elsewhere(&self, context: &RequestContext, endpoint: &EndpointName) -> bool {
        let choice = self.best_choice(context);
        choice.is_some_and(|choice| choice.endpoint != *endpoint && choice.occupancy < 1.0)
    }

    /// Returns whether an endpoint can still take a request that waits for a permit there.
    fn can_still_take(&self, context: &RequestContext, endpoint: &EndpointName) -> bool {
        let now = self.clock.now();
        if self.is_closed() || context.has_exceeded_wait(now) {
            return false;
        }
        let state = self.lock();
        if Self::is_given_up(&state, context, now) {
            return false;
        }
        let Some(row) = state.directory.row(endpoint) else {
            return false;
        };
        let weights = context.request.weights.as_ref();
        let holds = weights.is_none_or(|weights| row.holds(&weights.model, now));
        holds && row.is_open(now) && row.allows_request(now) && !row.is_overdue(now)
    }
}
