//! Checks workspace keys and rate limits by the requests that reach endpoints.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::{SoakBreach, SoakPromise, add_breach};
use crate::history::{BegunRun, HistoryRow, ObservedEvent, SentCall};
use crate::standin::settings::{LIMITED_KEY, WORKSPACE_LIMIT, workspace_of};

/// Checks that a run names the workspace that owns its caller's key.
pub(super) fn check_workspace(sent: &SentCall, run: &BegunRun, breaches: &mut Vec<SoakBreach>) {
    let owner = workspace_of(sent.key);
    if owner.is_none() || run.workspace.as_deref() != owner {
        let detail = format!(
            "{} of workspace {owner:?} ran for workspace {:?}",
            sent.id, run.workspace
        );
        add_breach(breaches, SoakPromise::RightWorkspace, detail);
    }
}

/// Checks that the limited workspace uses no more tokens in any window than its limit allows. A request counts once,
/// at the start of its first run.
pub(super) fn check_limit(rows: &[HistoryRow], breaches: &mut Vec<SoakBreach>) {
    let window = Duration::from_secs_f64(WORKSPACE_LIMIT.window_s);
    let mut sent: HashMap<&str, u64> = HashMap::new();
    let mut window_runs: VecDeque<(Duration, u64)> = VecDeque::new();
    let mut sum = 0;
    for row in rows {
        match &row.event {
            ObservedEvent::Sent(call) if call.key == LIMITED_KEY => {
                sent.insert(&call.id, call.tokens());
            }
            ObservedEvent::RunStarted(run) => {
                let Some(tokens) = sent.remove(run.id.as_str()) else {
                    continue;
                };
                window_runs.push_back((row.at, tokens));
                sum += tokens;
                while window_runs
                    .front()
                    .is_some_and(|(at, _)| *at + window < row.at)
                {
                    sum -= window_runs.pop_front().map_or(0, |(_, tokens)| tokens);
                }
                if sum > allowed_tokens() {
                    let detail = format!("{sum} tokens in the window that ends at {:?}", row.at);
                    add_breach(breaches, SoakPromise::Limit, detail);
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
fn allowed_tokens() -> u64 {
    let limit =
        WORKSPACE_LIMIT.rate as f64 * WORKSPACE_LIMIT.window_s + WORKSPACE_LIMIT.burst as f64;
    (limit * (1.0 + WORKSPACE_LIMIT.overage) + WORKSPACE_LIMIT.slack) as u64
}
