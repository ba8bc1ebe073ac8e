//! Short soak tests of gateways and sidecars as processes, with fixed seeds.
//!
//! The seed determines the faults and their times, but not the state that they hit, since processes run at their own
//! pace. A test therefore checks only guarantees, never how many requests were served or how fast.

use std::path::PathBuf;
use std::time::Duration;

use oatpier_soak::plan::SoakSize;
use oatpier_soak::run::{self, SoakSettings};

fn soak(seed: u64) {
    let settings = SoakSettings {
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_oatpierd")),
        seed,
        length: Duration::from_secs(4),
        size: SoakSize {
            gateways: 2,
            engines: 4,
            services: 2,
            callers: 8,
        },
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
    soak(1);
}

#[test]
fn guarantees_hold_under_faults_of_seed_3() {
    soak(3);
}
