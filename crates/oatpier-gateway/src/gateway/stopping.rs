//! The course of a planned stop, from SIGTERM to SIGKILL at the end of the grace period.

use std::time::Duration;

use oatpier_duty::duty::{StopPhase, StopSignal};
use tokio::time::sleep;

use super::core::GatewayCore;

/// Time from SIGTERM to refusing new requests on open connections and requests that still wait for an endpoint. By
/// then the platform has removed the process from routing. A stream that began later might not end before SIGKILL.
const REFUSE_DELAY: Duration = Duration::from_millis(2_600);

/// Divisor of the grace period: requests are refused after half of it at the latest, if it is short.
const GRACE_DIVISOR: u32 = 2;

/// Time before SIGKILL at which requests without a response are given up, so that their callers still get one.
const LAST_RESPONSE_TIME: Duration = Duration::from_millis(500);

/// Divisor of the grace period: the last responses take this share of it at most, if it is short.
const LAST_RESPONSE_DIVISOR: u32 = 8;

/// Refuses new requests at a fixed time after a planned stop begins, and gives up the requests that have no response
/// shortly before the process is killed. Streams that have begun go on until then.
pub async fn stop_requests(core: &GatewayCore, stop: &StopSignal) {
    stop.reached(StopPhase::Draining).await;
    let grace = core.settings.borrow().bounds.grace;
    let refuse_after = REFUSE_DELAY.min(grace / GRACE_DIVISOR);
    sleep(refuse_after).await;
    core.close();
    let last_response_time = LAST_RESPONSE_TIME.min(grace / LAST_RESPONSE_DIVISOR);
    sleep(grace.saturating_sub(refuse_after + last_response_time)).await;
    core.give_up_requests();
    std::future::pending::<()>().await;
}
