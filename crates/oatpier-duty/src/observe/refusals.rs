//! Log lines about requests that a server refuses without its handler.

use std::time::Duration;

use oatpier_wire::server::ServerCounters;
use tokio::time::sleep;

/// Interval at which refused requests are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs how many requests were refused because there was no memory for their bodies. Never returns.
pub async fn log_refused_bodies(counters: &ServerCounters) {
    let mut logged = 0;
    loop {
        sleep(LOG_INTERVAL).await;
        let refused = counters.out_of_memory();
        if refused > logged {
            spdlog::warn!("bodies refused for memory", kv: { count = refused - logged });
            logged = refused;
        }
    }
}
