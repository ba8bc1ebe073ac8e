//! The request policy that the callers duty drives, as a trait object.

use oatpier_policy::action::EntryActions;
use oatpier_policy::entry::EntryPolicy;
use oatpier_policy::event::{EntryEvent, RequestIntake};
use oatpier_policy::health::HealthTransition;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::ids::RequestId;
use oatpier_types::names::EndpointName;
use oatpier_types::operator::AttainmentRow;
use oatpier_types::status::{EndpointStatus, QueueReport};

use crate::updates::CallersStatus;

/// All decisions of an entry about requests; see [`EntryPolicy`].
pub trait RequestPolicy: Send {
    /// Applies a configuration.
    fn apply_config(&mut self, config: &FleetConfig);
    /// Applies the full status of an endpoint.
    fn on_status(&mut self, status: &EndpointStatus, now: ClockTime);
    /// Applies a queue report of an endpoint.
    fn on_queue_report(&mut self, endpoint: &EndpointName, report: &QueueReport, now: ClockTime);
    /// Marks an endpoint as leaving.
    fn mark_leaving(&mut self, endpoint: &EndpointName, now: ClockTime);
    /// Marks an endpoint as not leaving.
    fn clear_leaving(&mut self, endpoint: &EndpointName);
    /// Removes an endpoint that is gone from the directory.
    fn forget(&mut self, endpoint: &EndpointName, now: ClockTime);
    /// Starts a request.
    fn start(&mut self, intake: RequestIntake, now: ClockTime) -> EntryActions;
    /// Handles an event of a request.
    fn handle(&mut self, request: RequestId, event: &EntryEvent, now: ClockTime) -> EntryActions;
    /// Returns the time at which the next timer fires.
    fn next_timer(&self) -> Option<ClockTime>;
    /// Fires the timers that are due.
    fn fire_timers(&mut self, now: ClockTime, fired: &mut Vec<(RequestId, EntryActions)>);
    /// Returns the endpoints that were ejected or reinstated since the last call.
    fn take_health_transitions(&mut self) -> Vec<HealthTransition>;
    /// Refuses new requests from now on.
    fn begin_stop(&mut self);
    /// Returns the number of requests without a final answer.
    fn in_flight(&self) -> usize;
    /// Returns the overall status of the requests, for operators.
    fn callers_status(&self, config: &FleetConfig, now: ClockTime) -> CallersStatus;
}

impl RequestPolicy for EntryPolicy {
    fn apply_config(&mut self, config: &FleetConfig) {
        Self::apply_config(self, config);
    }

    fn on_status(&mut self, status: &EndpointStatus, now: ClockTime) {
        Self::on_status(self, status, now);
    }

    fn on_queue_report(&mut self, endpoint: &EndpointName, report: &QueueReport, now: ClockTime) {
        Self::on_queue_report(self, endpoint, report, now);
    }

    fn mark_leaving(&mut self, endpoint: &EndpointName, now: ClockTime) {
        Self::mark_leaving(self, endpoint, now);
    }

    fn clear_leaving(&mut self, endpoint: &EndpointName) {
        Self::clear_leaving(self, endpoint);
    }

    fn forget(&mut self, endpoint: &EndpointName, now: ClockTime) {
        Self::forget(self, endpoint, now);
    }

    fn start(&mut self, intake: RequestIntake, now: ClockTime) -> EntryActions {
        Self::start(self, intake, now)
    }

    fn handle(&mut self, request: RequestId, event: &EntryEvent, now: ClockTime) -> EntryActions {
        Self::handle(self, request, event, now)
    }

    fn next_timer(&self) -> Option<ClockTime> {
        Self::next_timer(self)
    }

    fn fire_timers(&mut self, now: ClockTime, fired: &mut Vec<(RequestId, EntryActions)>) {
        Self::fire_timers(self, now, fired);
    }

    fn take_health_transitions(&mut self) -> Vec<HealthTransition> {
        Self::take_health_transitions(self)
    }

    fn begin_stop(&mut self) {
        Self::begin_stop(self);
    }

    fn in_flight(&self) -> usize {
        Self::in_flight(self)
    }

    fn callers_status(&self, config: &FleetConfig, now: ClockTime) -> CallersStatus {
        let attainment = config.classes.iter().map(|(name, spec)| {
            let class = self.class_index(name);
            let share = class.and_then(|class| self.attainment().share_ppm(class, now));
            AttainmentRow {
                class: name.clone(),
                target: spec.attain,
                attained: share.map(share_of_ppm),
                requests: class.map_or(0, |class| self.attainment().totals(class).ended),
            }
        });
        let ejected = self.health().ejected().iter();
        CallersStatus {
            attainment: attainment.collect(),
            ejected: ejected
                .map(|endpoint| self.table().row(*endpoint).name.clone())
                .collect(),
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a share is at most a million parts"
)]
fn share_of_ppm(parts: u64) -> f64 {
    parts as f64 / 1_000_000.0
}
