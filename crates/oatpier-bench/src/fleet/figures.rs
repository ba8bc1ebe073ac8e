//! Figures of one run.

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::event::{FleetEvent, LoggedEvent};
use oatpier_types::names::ModelName;

use super::world::FleetWorld;
use crate::units::size_f64;

/// Figures of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct RunFigures {
    /// Number of requests that callers sent after the warm-up.
    pub requests: u64,
    /// Number of these that were delivered once, completely and within target.
    pub delivered: u64,
    /// Mean number of accelerators that held weights, over time.
    pub accelerators_used: f64,
    /// Number of loads, unloads and role changes that agents ordered after the warm-up.
    pub moves: u64,
    /// Time at which each of these moves was ordered.
    pub move_times: Vec<ClockTime>,
    /// Outages of models that lost their last ready replica, by start time.
    pub outages: Vec<ModelOutage>,
    /// Violations of invariants.
    pub breaches: Vec<String>,
    /// Number of incomplete answers by cause, over the whole run.
    pub refusals: IndexMap<String, u32>,
}

/// Period in which a model had no ready replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelOutage {
    /// The model.
    pub model: ModelName,
    /// Time at which the last ready replica was lost.
    pub lost_at: ClockTime,
    /// Time at which a replica was ready again, or `None` if that did not happen within the run.
    pub back_at: Option<ClockTime>,
}

impl FleetWorld<'_> {
    pub(super) fn figures(mut self) -> RunFigures {
        for node in &mut self.nodes {
            self.callers.extend(node.engine.take_events());
        }
        let (from, to) = (self.span.counted_from(), self.span.ends_at());
        let measured: Vec<_> = self.callers.sent_within(from, to).collect();
        let delivered = measured.iter().filter(|record| record.in_time).count();
        let checker = oatpier_checker::LogChecker::new(oatpier_checker::RuleBounds::default());
        let breaches = checker.check(self.callers.events());
        RunFigures {
            requests: measured.len() as u64,
            delivered: delivered as u64,
            accelerators_used: self.used_samples.iter().sum::<f64>()
                / size_f64(self.used_samples.len().max(1)),
            moves: self.move_times.len() as u64,
            move_times: self.move_times,
            outages: outages(self.callers.events()),
            breaches: breaches.iter().map(ToString::to_string).collect(),
            refusals: self
                .callers
                .refusals()
                .iter()
                .map(|(cause, count)| ((*cause).to_owned(), *count))
                .collect(),
        }
    }
}

fn outages(log: &[LoggedEvent]) -> Vec<ModelOutage> {
    let mut outages: Vec<ModelOutage> = Vec::new();
    for logged in log {
        let FleetEvent::ReplicasReady { model, count } = &logged.event else {
            continue;
        };
        let mut open = outages.iter_mut().filter(|outage| outage.back_at.is_none());
        let open = open.find(|outage| outage.model == *model);
        match open {
            Some(outage) if *count > 0 => outage.back_at = Some(logged.at),
            None if *count == 0 => outages.push(ModelOutage {
                model: model.clone(),
                lost_at: logged.at,
                back_at: None,
            }),
            _ => {}
        }
    }
    outages
}
