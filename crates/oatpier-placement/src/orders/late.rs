//! Delayed copies of orders that may still be executed, where the engine ignores numbers.

use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{EngineOrder, OrderAction, WeightsKey};

use super::keeper::OrderKeeper;
use super::track::{OrderSubject, OrderTrack};
use crate::record::OrderIntent;

impl OrderKeeper {
    pub(super) fn has_late_unload(&self, weights: &WeightsKey, now: ClockTime) -> bool {
        self.late_unloads
            .iter()
            .any(|(intent, until)| now < *until && OrderSubject::of(&intent.action).is_for(weights))
    }

    pub(super) fn remove_expired(&mut self, now: ClockTime) {
        self.recently_rejected.retain(|(_, until)| now < *until);
        self.late_loads.retain(|(_, until)| now < *until);
        self.late_unloads.retain(|(_, until)| now < *until);
    }

    /// Returns the intents of all orders that may be in flight or may still be executed.
    pub(super) fn required_intents(&self) -> Vec<OrderIntent> {
        if self.settings.checks_numbers {
            return Vec::new();
        }
        let mut wanted: Vec<OrderIntent> = self.tracks.values().map(OrderTrack::intent).collect();
        let late = self.late_loads.iter().chain(&self.late_unloads);
        for (intent, _) in late {
            if !wanted.contains(intent) {
                wanted.push(intent.clone());
            }
        }
        wanted
    }

    pub(super) fn record_late_copy(
        &mut self,
        order: &EngineOrder,
        config: &FleetConfig,
        now: ClockTime,
    ) {
        if self.settings.checks_numbers {
            return;
        }
        let until = now + self.settings.late_order_hold;
        let intent = OrderIntent {
            number: order.number,
            action: order.action.clone(),
        };
        self.record_late_intent(intent, until, config);
    }

    pub(super) fn record_late_intent(
        &mut self,
        intent: OrderIntent,
        until: ClockTime,
        config: &FleetConfig,
    ) {
        let late = match &intent.action {
            OrderAction::Load { weights } => {
                self.ledger.charge_late_copy(weights, until, config);
                &mut self.late_loads
            }
            OrderAction::Unload { .. } => &mut self.late_unloads,
            OrderAction::SetRole { .. } => return,
        };
        late.retain(|(held, _)| *held != intent);
        late.push((intent, until));
    }

    /// Charges an intent of an earlier agent, which may have sent the order just before this agent
    /// started, and completes the order.
    pub(super) fn inherit(&mut self, intent: OrderIntent, config: &FleetConfig, now: ClockTime) {
        let until = now + self.settings.late_order_hold;
        self.record_late_intent(intent.clone(), until, config);
        if let OrderAction::Load { weights } = &intent.action {
            self.ledger.charge_order(weights, config);
        }
        let subject = OrderSubject::of(&intent.action);
        // Of two orders for the same weights only the later one is completed; both stay charged.
        let later = self
            .tracks
            .get(&subject)
            .is_none_or(|track| track.number < intent.number);
        if later {
            let track = OrderTrack::inherited(intent, now);
            self.tracks.insert(subject, track);
        }
    }
}
