//! Checks workspace keys and rate limits by the requests that reach endpoints.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::{SoakBreach, SoakPromise, breach};
use crate::ledger::{BegunRun, LedgerRow, SeenEvent, SentCall};
use crate::standin::settings::{LIMIT, LIMITED_KEY, workspace_of};

/// Checks that a run names the workspace that owns its caller's key.
pub(super) fn check_workspace(sent: &SentCall, run: &BegunRun, breaches: &mut Vec<SoakBreach>) {
    let holder = workspace_of(sent.key);
    if holder.is_none() || run.workspace.as_deref() != holder {
        let what = format!(
            "{} of workspace {holder:?} ran for workspace {:?}",
            sent.id, run.workspace
        );
        breach(breaches, SoakPromise::RightWorkspace, what);
    }
}

/// Checks that the limited workspace uses no more tokens in any window than its limit allows. A request counts once,
/// at the start of its first run.
pub(super) fn check_limit(rows: &[LedgerRow], breaches: &mut Vec<SoakBreach>) {
    let window = Duration::from_secs_f64(LIMIT.window_s);
    let mut sent: HashMap<&str, u64> = HashMap::new();
    let mut within: VecDeque<(Duration, u64)> = VecDeque::new();
    let mut sum = 0;
    for row in rows {
        match &row.event {
            SeenEvent::Sent(call) if call.key == LIMITED_KEY => {
                sent.insert(&call.id, call.tokens());
            }
            SeenEvent::Begun(run) => {
                let Some(tokens) = sent.remove(run.id.as_str()) else {
                    continue;
                };
                within.push_back((row.at, tokens));
                sum += tokens;
                while within.front().is_some_and(|(at, _)| *at + window < row.at) {
                    sum -= within.pop_front().map_or(0, |(_, tokens)| tokens);
                }
                if sum > allowed() {
                    let what = format!("{sum} tokens in the window that ends at {:?}", row.at);
                    breach(breaches, SoakPromise::Limit, what);
                    return;
                }
            }
            _ => {}
        }
    }
}

/// Returns the tokens allowed in one window.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the value is a few thousand tokens"
)]
fn allowed() -> u64 {
    let limit = LIMIT.rate as f64 * LIMIT.window_s + LIMIT.burst as f64;
    (limit * (1.0 + LIMIT.overage) + LIMIT.slack) as u64
}
