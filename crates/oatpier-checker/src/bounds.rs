//! Time bounds that the promises leave open ("within seconds").

use std::time::Duration;

/// How long each promise may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RuleBounds {
    /// From the word to leave until an endpoint gets no new work.
    pub leave: Duration,
    /// From acceptance until a configuration is in force everywhere.
    pub spread: Duration,
    /// From the loss of a model's last replica until it is reachable again.
    pub reach: Duration,
}

impl Default for RuleBounds {
    /// 2 s to leave, 5 s to spread a configuration, 30 s to bring a model back.
    fn default() -> Self {
        Self {
            leave: Duration::from_secs(2),
            spread: Duration::from_secs(5),
            reach: Duration::from_secs(30),
        }
    }
}
