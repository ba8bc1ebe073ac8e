//! Checks that a planned stop cuts off no request.

use oatpier_types::event::{FleetEvent, LoggedEvent};

use super::PromiseRule;
use crate::breach::{PromiseName, RuleBreach};

/// A rule that finds planned stops that cut off requests.
pub(super) struct StopRule;

impl PromiseRule for StopRule {
    fn observe(&mut self, logged: &LoggedEvent, breaches: &mut Vec<RuleBreach>) {
        let FleetEvent::Ended {
            name,
            killed: false,
            cut_off,
        } = &logged.event
        else {
            return;
        };
        if *cut_off > 0 {
            breaches.push(RuleBreach {
                promise: PromiseName::GracefulStop,
                at: logged.at,
                finding: format!("the planned stop of {name} cut off {cut_off} requests"),
            });
        }
    }
}
