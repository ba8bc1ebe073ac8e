//! An engine with the permit issuer of its sidecar.

use oatpier_serving::capacity::EnginePace;
use oatpier_serving::engine::EndpointLoad;
use oatpier_serving::fingerprint::{RequestContent, RequestFingerprint};
use oatpier_serving::message::{MessageNumber, PaceStatus, PermitGrant};
use oatpier_serving::permits::PermitIssuer;
use oatpier_types::clock::ClockTime;

use crate::support::address;

/// Weight of one interval in the sidecar's rate of permits.
const RATE_WEIGHT: f64 = 0.15;

#[derive(Debug, Default)]
pub struct EngineState {
    pub issuer: PermitIssuer,
    pub ends_ms: Vec<u64>,
    pub prefills: Vec<(u64, u64)>,
    pub issued: u32,
    pub queued_steps: u32,
    pub permits_per_s: f64,
    pub is_gone: bool,
    pub reports_no_rate: bool,
}

impl EngineState {
    /// Lets requests and prefills end, and issues permits.
    pub fn step(&mut self, now: ClockTime) -> Vec<PermitGrant> {
        let now_ms = now.as_micros() / 1_000;
        self.ends_ms.retain(|end_ms| *end_ms > now_ms);
        self.issuer.note_load(load(self.running()), now);
        let (done, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.prefills)
            .into_iter()
            .partition(|(end_ms, _)| *end_ms <= now_ms);
        self.prefills = open;
        for (_, id) in done {
            self.issuer.release(id);
        }
        let was_queued = self.issuer.pending_requests() > 0;
        let due = self.issuer.issue_due(now);
        if was_queued && self.issuer.pending_requests() > 0 {
            self.queued_steps += 1;
            self.issued += u32::try_from(due.len()).unwrap();
        }
        due.iter().map(|addressed| addressed.grant).collect()
    }

    pub fn running(&self) -> u32 {
        u32::try_from(self.ends_ms.len()).unwrap()
    }

    /// Returns the rate of permits that the sidecar reports, per second.
    pub fn report_rate(&mut self, step_ms: u64) -> f64 {
        if self.queued_steps > 0 {
            let queued_ms = u64::from(self.queued_steps) * step_ms;
            let seconds = f64::from(u32::try_from(queued_ms).unwrap()) / 1e3;
            let rate = f64::from(self.issued) / seconds;
            let weight = if self.permits_per_s > 0.0 {
                RATE_WEIGHT
            } else {
                1.0
            };
            self.permits_per_s += (rate - self.permits_per_s) * weight;
            (self.issued, self.queued_steps) = (0, 0);
        }
        if self.reports_no_rate {
            0.0
        } else {
            self.permits_per_s
        }
    }
}

pub fn pace_update(number: u8, message: MessageNumber, rate: f64) -> PaceStatus {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rates are small and not negative"
    )]
    let permits_per_ks = (rate * 1e3) as u32;
    PaceStatus {
        number: message,
        engine: address(number),
        start: None,
        pace: EnginePace {
            permits_per_ks,
            ..EnginePace::default()
        },
    }
}

pub fn fingerprint(number: u64) -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        method: "POST",
        host: "a.example",
        path: "/draft/",
        body: &number.to_le_bytes(),
    })
}

fn load(running: u32) -> EndpointLoad {
    EndpointLoad {
        running,
        waiting: 0,
    }
}
