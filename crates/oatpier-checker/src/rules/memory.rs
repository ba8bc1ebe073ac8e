//! Checks that no accelerator's memory is overcommitted.

use oatpier_types::event::{FleetEvent, LoggedEvent};

use super::PromiseRule;
use crate::breach::{PromiseName, RuleBreach};

/// A rule that compares each reading of an engine's used memory with its size.
pub(super) struct MemoryRule;

impl PromiseRule for MemoryRule {
    fn observe(&mut self, logged: &LoggedEvent, breaches: &mut Vec<RuleBreach>) {
        let FleetEvent::MemoryUsed {
            endpoint,
            used_mib,
            total_mib,
        } = &logged.event
        else {
            return;
        };
        if used_mib > total_mib {
            breaches.push(RuleBreach {
                promise: PromiseName::Memory,
                at: logged.at,
                finding: format!("{endpoint} uses {used_mib} MiB of {total_mib} MiB"),
            });
        }
    }
}
