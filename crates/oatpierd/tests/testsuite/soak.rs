//! Short soak tests of gateways and sidecars as processes, with fixed seeds.
//!
//! The seed determines the faults and their times, but not the state that they hit, since processes run at their own
//! pace. A test therefore checks only guarantees, never how many requests were served or how fast.

use std::path::PathBuf;
use std::time::Duration;

use oatpier_soak::plan::SoakSize;
use oatpier_soak::run::{self, SoakSettings};

/// A few seconds with few processes.
const SHORT_SOAK: SoakLoad = SoakLoad {
    length: Duration::from_secs(4),
    size: SoakSize {
        gateways: 2,
        engines: 4,
        services: 2,
        callers: 8,
    },
};

/// Long enough for endpoints to leave and be checked while the store turns gateways away.
const LONG_SOAK: SoakLoad = SoakLoad {
    length: Duration::from_secs(12),
    size: SoakSize {
        gateways: 3,
        engines: 6,
        services: 3,
        callers: 16,
    },
};

struct SoakLoad {
    length: Duration,
    size: SoakSize,
}

fn soak(seed: u64, load: &SoakLoad) {
    let settings = SoakSettings {
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_oatpierd")),
        seed,
        length: load.length,
        size: load.size,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let report = runtime.block_on(run::run(&settings)).unwrap();
    let breaches: Vec<String> = report.breaches.iter().map(ToString::to_string).collect();
    assert!(breaches.is_empty(), "{breaches:#?}\n{:#?}", report.steps);
    assert!(report.count_responses(|status| status == 200) > 0);
}

#[test]
fn guarantees_hold_under_faults_of_seed_1() {
    soak(1, &SHORT_SOAK);
}

#[test]
fn guarantees_hold_under_faults_of_seed_3() {
    soak(3, &SHORT_SOAK);
}

/// A gateway that the store turned away went on sending to endpoints that had left.
#[test]
fn turned_away_gateways_leave_retired_endpoints_alone_with_seed_6() {
    soak(6, &LONG_SOAK);
}

/// Like the test above, with two endpoints that leave at once.
#[test]
fn turned_away_gateways_leave_retired_endpoints_alone_with_seed_7() {
    soak(7, &LONG_SOAK);
}

/// A gateway passed on the status of an endpoint that failed after it had begun to run a request, and so promised that
/// the request did not run.
#[test]
fn requests_whose_runs_failed_are_not_refused_with_seed_21() {
    soak(21, &SHORT_SOAK);
}
