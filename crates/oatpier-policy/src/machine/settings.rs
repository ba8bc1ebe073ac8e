//! Settings of the request state machine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of a [`crate::machine::RequestMachine`].
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct MachineSettings {
    /// Upper bound on the attempts of one request.
    pub attempts: u32,
    /// Time after which a request is given up, in percent of the class's target.
    pub give_up_percent: u32,
    /// Time after which an endpoint of unknown speed counts as silent, in percent of the remaining
    /// time.
    pub uninformed_percent: u32,
    /// Upper bound on the time after which an endpoint counts as silent, in percent of the
    /// remaining time. A later detection would leave no time for another endpoint. If one and a
    /// half times the predicted time is longer, that is the bound instead.
    pub silent_percent: u32,
    /// Time after which a stream counts as stalled, in multiples of the class's target time between
    /// tokens.
    pub stall_steps: u32,
    /// Lower bound on the time after which a stream counts as stalled.
    #[serde(with = "humantime_serde")]
    pub stall_floor: Duration,
    /// Time to wait for the answer to a cancel.
    #[serde(with = "humantime_serde")]
    pub cancel_wait: Duration,
    /// Upper bound on the time for which a caller may accept no data of its answer.
    #[serde(with = "humantime_serde")]
    pub caller_hold: Duration,
    /// Retry delay that is suggested to a caller whose request was given up.
    #[serde(with = "humantime_serde")]
    pub retry_after: Duration,
}

impl Default for MachineSettings {
    fn default() -> Self {
        Self {
            attempts: 4,
            give_up_percent: 100,
            uninformed_percent: 40,
            silent_percent: 70,
            stall_steps: 20,
            stall_floor: Duration::from_secs(1),
            cancel_wait: Duration::from_millis(250),
            caller_hold: Duration::from_secs(30),
            retry_after: Duration::from_secs(1),
        }
    }
}
