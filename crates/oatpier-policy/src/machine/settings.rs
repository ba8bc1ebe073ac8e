//! Settings of the lives of requests.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of a [`crate::machine::RequestMachine`].
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct MachineSettings {
    /// The most attempts at one request.
    pub attempts: u32,
    /// The share of the class's target after which a request is given up, in percent.
    pub give_up_percent: u32,
    /// The share of the time left that an endpoint of unknown speed gets before it is called
    /// silent, in percent.
    pub uninformed_percent: u32,
    /// The share of the time left after which an endpoint is called silent at the latest, in
    /// percent: what is called silent later leaves no time to go elsewhere. An attempt that was
    /// predicted to take longer gets its prediction and half of that again.
    pub silent_percent: u32,
    /// Steps of the class's target between tokens after which a stream counts as stalled.
    pub stall_steps: u32,
    /// No stream counts as stalled before this.
    #[serde(with = "humantime_serde")]
    pub stall_floor: Duration,
    /// The time that the answer to a cancel is awaited.
    #[serde(with = "humantime_serde")]
    pub cancel_wait: Duration,
    /// The longest time that a caller may take nothing of its answer.
    #[serde(with = "humantime_serde")]
    pub caller_hold: Duration,
    /// When to come back after a request that was given up.
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
