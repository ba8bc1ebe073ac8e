//! The orders duty: the control side of the endpoint.

use std::sync::Arc;
use std::time::Duration;

use oatpier_admission::event::LoadingWeights;
use oatpier_platform::engine::EngineControl;
use oatpier_types::engine::{EngineState, WeightsState};

use crate::news::AgentNews;
use oatpier_duty::duty::{RingSender, StopPhase, StopSignal};

/// How often the engine is asked what it holds.
const STATE_PERIOD: Duration = Duration::from_millis(250);
/// How long a load is taken to last while nothing better is known.
const ASSUMED_LOAD: Duration = Duration::from_secs(4);

/// What the orders duty works on.
pub struct OrdersInputs {
    /// The engine's control side.
    pub control: Arc<dyn EngineControl>,
    /// Where news of the weights go.
    pub news: RingSender<AgentNews>,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// Watches what the engine holds until the process ends.
pub async fn orders(inputs: OrdersInputs) {
    tokio::select! {
        () = watch_state(&inputs) => {}
        () = inputs.stop.reached(StopPhase::Ended) => {}
    }
}

async fn watch_state(inputs: &OrdersInputs) {
    let mut last = EngineState::default();
    loop {
        match inputs.control.state().await {
            Ok(state) if state != last => {
                inputs.news.send(weights_news(&state)).await;
                last = state;
            }
            // Down or a plain service: the work duty's probe speaks of that.
            Ok(_) | Err(_) => {}
        }
        tokio::time::sleep(STATE_PERIOD).await;
    }
}

fn weights_news(state: &EngineState) -> AgentNews {
    let in_state = |wanted| {
        let held = state.held.iter();
        held.filter(move |held| held.state == wanted)
            .map(|held| held.weights.clone())
    };
    let loading = in_state(WeightsState::Loading).map(|weights| LoadingWeights {
        weights,
        ready_in: ASSUMED_LOAD,
    });
    AgentNews::Weights {
        ready: in_state(WeightsState::Ready).collect(),
        loading: loading.collect(),
    }
}
