//! End-to-end tests of `oatpier crashes` and `oatpier limits`.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use oatpier_platform::store::{CrashChanges, StoreClient};
use oatpier_serving::call::PromptPartId;
use oatpier_serving::crashes::prompt_parts::PartCrash;
use oatpier_serving::crashes::{CrashRecord, CrashSite, RequestOrigin};
use oatpier_serving::fingerprint::RequestFingerprint;
use oatpier_serving::quota::PartIndex;
use oatpier_serving::quota::lease::{PartClaim, PartRecord};
use oatpier_soak::standin::settings;
use oatpier_soak::standin::store::StoreStandin;
use oatpier_types::names::{ClassName, EndpointName};
use oatpier_wire::server::{self, ServerLimits};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

use crate::fixture::Platform;

const BARRED: &str = "00112233445566778899aabbccddeeff";
const SUSPECT: &str = "ffeeddccbbaa99887766554433221100";

/// Starts the platform's store with one barred and one suspected request.
fn store() -> SocketAddr {
    let (sender, address) = std::sync::mpsc::channel();
    std::thread::spawn(move || runtime().block_on(serve_store(&sender)));
    let address = address.recv().unwrap();
    let put = vec![
        crash(BARRED, "i-1"),
        crash(BARRED, "i-2"),
        crash(BARRED, "i-3"),
        crash(SUSPECT, "i-3"),
    ];
    let changes = CrashChanges {
        put,
        put_parts: vec![part_crash("i-4", 1), part_crash("i-5", 2)],
        ..CrashChanges::default()
    };
    let write = async {
        let client = StoreClient::new(address);
        client.change(&changes, Duration::from_secs(5)).await
    };
    runtime().block_on(write).unwrap();
    address
}

fn runtime() -> Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().unwrap()
}

async fn serve_store(sender: &Sender<SocketAddr>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    sender.send(listener.local_addr().unwrap()).unwrap();
    let store = Arc::new(StoreStandin::default());
    store.configure(&settings::config(2, &["m1".to_owned()]));
    let limits = ServerLimits::default();
    server::serve(
        listener,
        store,
        limits,
        Arc::default(),
        std::future::pending(),
    )
    .await;
}

fn crash(fingerprint: &str, endpoint: &str) -> CrashRecord {
    CrashRecord {
        fingerprint: RequestFingerprint::try_from(fingerprint).unwrap(),
        origin: RequestOrigin {
            workspace: None,
            host: Arc::from("one.example"),
            route: ClassName::try_from("draft").unwrap(),
        },
        site: CrashSite {
            endpoint: EndpointName::try_from(endpoint).unwrap(),
            started_ms: None,
        },
        seen_ms: 1_700_000_000_000,
    }
}

fn part_crash(endpoint: &str, generation: u32) -> PartCrash {
    let like = crash(SUSPECT, endpoint);
    PartCrash {
        part: PromptPartId(0xbad1),
        generation,
        is_trial: false,
        origin: like.origin,
        site: like.site,
        seen_ms: 1_600_000_000_000,
    }
}

#[test]
fn suspected_prompt_parts_are_listed_and_lifted() {
    let platform = Platform::start();
    let address = store().to_string();
    let shown = ["--json", "crashes", "list", "--store", &address];
    let rows = platform.run_ok(&shown).document();
    assert_eq!(rows[1]["fingerprint"], "part:bad1");
    assert_eq!(rows[1]["barred"], true);
    let lifting = ["crashes", "lift", "part:bad1", "--store", &address];
    let run = platform.run_ok(&lifting);
    assert!(run.stderr.contains("2 crashes"), "{}", run.stderr);
    let run = platform.run(&lifting);
    assert_eq!(run.code, 1);
    assert!(run.stderr.contains("there is no suspected prompt part"));
    let run = platform.run(&["crashes", "lift", "part:x", "--store", &address]);
    assert!(run.stderr.contains("`part:x` is no prompt part"));
}

#[test]
fn suspected_requests_are_listed_and_lifted() {
    let platform = Platform::start();
    let address = store().to_string();
    let shown = ["--json", "crashes", "list", "--store", &address];
    let rows = platform.run_ok(&shown).document();
    assert_eq!(rows[0]["fingerprint"], BARRED);
    assert_eq!(rows[0]["barred"], true);
    assert_eq!(rows[0]["endpoints"].as_array().unwrap().len(), 3);
    assert_eq!(rows[2]["fingerprint"], SUSPECT);
    assert_eq!(rows[2]["barred"], false);
    let lifting = ["crashes", "lift", BARRED, "--store", &address];
    let run = platform.run_ok(&lifting);
    assert!(run.stderr.contains("3 crashes"), "{}", run.stderr);
    let rows = platform.run_ok(&shown).document();
    assert_eq!(rows.as_array().unwrap().len(), 2);
    let run = platform.run(&lifting);
    assert_eq!(run.code, 1);
    assert!(run.stderr.contains("there is no suspected request"));
}

#[test]
fn invalid_fingerprint_is_rejected() {
    let platform = Platform::start();
    let run = platform.run(&["crashes", "lift", "draft", "--store", "127.0.0.1:1"]);
    assert_eq!(run.code, 1);
    assert!(run.stderr.contains("`draft` is no fingerprint"));
    assert!(run.stderr.contains("oatpier crashes list"));
}

#[test]
fn limits_are_listed_with_holders() {
    let platform = Platform::start();
    let address = store();
    let claim = PartClaim {
        record: PartRecord {
            part: PartIndex(1),
            holder: Some(SocketAddr::from(([10, 0, 0, 9], 7380))),
            boot: 1,
            era: 1,
        },
        expected: 0,
    };
    let client = StoreClient::new(address);
    let claiming = client.claim(&claim, Duration::from_secs(5));
    runtime().block_on(claiming).unwrap();
    let address = address.to_string();
    let view = platform
        .run_ok(&["--json", "limits", "--store", &address])
        .document();
    assert_eq!(view["limits"][0]["workspace"], "free");
    assert!(view["limits"][0]["rate"].is_null());
    assert_eq!(view["limits"][1]["unit"], "tokens");
    assert_eq!(view["parts"][0]["holder"], "10.0.0.9:7380");
    assert!(
        !view.to_string().contains("limited-77ab"),
        "an API key is printed"
    );
}
