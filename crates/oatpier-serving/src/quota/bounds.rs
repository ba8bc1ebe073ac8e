//! What the platform allows beside a limit itself.

use std::time::Duration;

use super::PARTS;
use crate::workspace::quota::QuotaRule;

/// The share of the fixed allowance that parts may go into debt by. The rest covers requests on their way, whose
/// units were given before a window began and which arrive within it.
const DEBT_SHARE: f64 = 0.5;

/// What was given counts for this long at the least: the way from the holder, and to the endpoint.
const LIFE_LEAST: Duration = Duration::from_millis(50);

/// And at the most: units that nobody uses are lost to their workspace.
const LIFE_MOST: Duration = Duration::from_millis(800);

/// How strictly limits are judged: in any window of this length a workspace may use `rate x window + burst`, the
/// overage more, and the allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// The window.
    pub window: Duration,
    /// How far over the limit a window may be, as a share.
    pub overage: f64,
    /// Units that a window may be over beside that.
    pub slack: f64,
}

impl QuotaBounds {
    /// How long units count after they were asked for.
    ///
    /// What arrives in a window was given within the window and this life before it: `rate x (window + life) +
    /// burst` at the most, and the overage covers `rate x life`.
    #[must_use]
    pub fn grant_life(&self) -> Duration {
        let life = self.window.mul_f64(self.overage.clamp(0.0, 1.0));
        life.clamp(LIFE_LEAST, LIFE_MOST)
    }

    /// What one part of a limit gives.
    #[must_use]
    pub fn part(&self, rule: &QuotaRule) -> PartTerms {
        let parts = f64::from(PARTS);
        PartTerms {
            rate: rule.rate / parts,
            capacity: rule.burst / parts,
            debt: self.slack * DEBT_SHARE / parts,
        }
    }
}

/// What one part of a limit gives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PartTerms {
    /// Units a second.
    pub rate: f64,
    /// Units that may be saved up.
    pub capacity: f64,
    /// Units that may be handed out before they are there.
    pub debt: f64,
}
