//! The overhead of the path: the latency that an entry and an agent add to an engine call, and the memory use of each
//! process, idle and with 200 concurrent streams.
//!
//! Run `cargo bench -p oatpierd --bench path_cost [-- --json]`, after
//! `cargo build --release -p oatpier-standin --examples`.

mod memory;
mod report;
#[path = "../../tests/testsuite/support/mod.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::Request;
use http_body_util::BodyExt;
use oatpier_wire::client::HttpClient;
use serde_json::json;
use tokio::time::Instant;

use memory::{MemoryRow, MemorySampler};
use report::{CostReport, LatencyPair};
use support::fleet::{Fleet, FleetSize};
use support::http::{StreamEnd, chat, client};

const SIZE: FleetSize = FleetSize {
    entries: 2,
    engines: 4,
    services: 0,
};
/// Calls each way before the measurement, which open connections and fill caches.
const WARM_UP: usize = 20;
/// Calls each way in the measurement.
const CALLS: usize = 150;
/// Tokens per answer of these calls.
const TOKENS: u32 = 16;
/// Concurrent streams during the memory measurement, and the tokens of each.
const STREAMS: usize = 200;
const STREAM_TOKENS: u32 = 200;
/// Time limit of the whole run.
const LIMIT: Duration = Duration::from_secs(58);

fn main() {
    let wants_json = std::env::args().any(|argument| argument == "--json");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let measuring = async { tokio::time::timeout(LIMIT, measure()).await };
    let report = runtime
        .block_on(measuring)
        .expect("the run ends within its time limit");
    if wants_json {
        println!("{}", report.json());
    } else {
        print!("{}", report.table());
    }
}

async fn measure() -> CostReport {
    let load_average = load_average();
    let fleet = Fleet::start(SIZE).await;
    let (memory, whole_streams) = measure_memory(&fleet).await;
    let (first_token, whole) = measure_latency(&fleet).await;
    CostReport {
        load_average,
        calls: CALLS,
        tokens: TOKENS,
        streams: STREAMS,
        whole_streams,
        first_token,
        whole,
        memory,
    }
}

/// Returns the one-minute load average of the machine, before this run adds load.
fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split(' ').next().unwrap_or_default();
    first.parse().unwrap_or(f64::NAN)
}

/// Alternates direct calls to an engine with calls through an entry, so that both run under the same machine load.
async fn measure_latency(fleet: &Fleet) -> (LatencyPair, LatencyPair) {
    let client = client();
    let direct = fleet.engines[0].address;
    let through = fleet.entries[0].serve;
    let mut first_token = LatencyPair::default();
    let mut whole = LatencyPair::default();
    for number in 0..WARM_UP + CALLS {
        let prompt = format!("seat guest {number}");
        let by_engine = timed_chat(&client, direct, &prompt).await;
        let by_path = timed_chat(&client, through, &prompt).await;
        if number >= WARM_UP {
            first_token.add(by_engine.first_token, by_path.first_token);
            whole.add(by_engine.whole, by_path.whole);
        }
    }
    (first_token, whole)
}

struct ChatTimes {
    first_token: Duration,
    whole: Duration,
}

async fn timed_chat(client: &HttpClient, address: SocketAddr, prompt: &str) -> ChatTimes {
    let body = json!({
        "model": "tables",
        "stream": true,
        "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": prompt}],
    });
    let request = Request::post("/v1/chat/completions").body(Bytes::from(body.to_string()));
    let sent_at = Instant::now();
    let answer = client.send(address, request.unwrap()).await.unwrap();
    let mut body = answer.into_body();
    let mut first_token = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.unwrap();
        let bytes = frame.data_ref().cloned().unwrap_or_default();
        if first_token.is_none() && String::from_utf8_lossy(&bytes).contains("\"content\"") {
            first_token = Some(sent_at.elapsed());
        }
    }
    ChatTimes {
        first_token: first_token.expect("the answer has a token"),
        whole: sent_at.elapsed(),
    }
}

/// Samples the processes' memory while all streams run, and counts the complete answers.
async fn measure_memory(fleet: &Fleet) -> (Vec<MemoryRow>, usize) {
    let mut sampler = MemorySampler::new(fleet);
    let client = client();
    let streams = (0..STREAMS).map(|number| {
        let entry = fleet.entries[number % fleet.entries.len()].serve;
        let (client, prompt) = (&client, format!("arrange hall {number}"));
        async move {
            let answer = chat(client, entry, "tables", &prompt, STREAM_TOKENS).await;
            answer.map(|answer| answer.stream_end(&prompt, STREAM_TOKENS))
        }
    });
    let ends = tokio::select! {
        ends = join_all(streams) => ends,
        () = sampler.sample_forever() => unreachable!("sampling never ends"),
    };
    let whole = ends.iter().filter(|end| **end == Some(StreamEnd::Whole));
    (sampler.rows, whole.count())
}
