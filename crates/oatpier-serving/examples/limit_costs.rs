//! Prints the time of a key lookup with a grant and charge of units, and the memory of a table of many workspaces.
//!
//!     cargo run --release --package oatpier-serving --example limit_costs

use std::alloc::System;
use std::hint::black_box;
use std::time::Duration;

use oatpier_serving::quota::bounds::QuotaBounds;
use oatpier_serving::quota::grants::{GrantCache, GrantStep, QueriedParts, UnitsQuery};
use oatpier_serving::quota::holder::{PartHolder, PartStart, UnitsWanted};
use oatpier_serving::quota::{PARTS, PartIndex};
use oatpier_serving::workspace::keys::KeyDigest;
use oatpier_serving::workspace::quota::{QuotaRule, QuotaUnit};
use oatpier_serving::workspace::{DeclaredWorkspace, WorkspaceRule, WorkspaceTable};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::WorkspaceName;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const WORKSPACES: usize = 10_000;
const KEYS_PER_WORKSPACE: usize = 4;
const ROUNDS: usize = 200_000;

const RULE: QuotaRule = QuotaRule {
    rate: 1e9,
    burst: 1e9,
    unit: QuotaUnit::Tokens { plain: 200 },
};

fn key(workspace: usize, number: usize) -> String {
    format!("key-{workspace:08}-{number:04}")
}

fn name(workspace: usize) -> WorkspaceName {
    WorkspaceName::try_from(format!("workspace-{workspace}").as_str()).expect("a plain name")
}

fn declared(workspace: usize) -> DeclaredWorkspace {
    let keys =
        (0..KEYS_PER_WORKSPACE).map(|number| KeyDigest::of(key(workspace, number).as_bytes()));
    DeclaredWorkspace {
        rule: WorkspaceRule {
            name: name(workspace),
            priority: None,
            quota: Some(RULE),
        },
        keys: keys.collect(),
    }
}

fn main() {
    let declared: Vec<DeclaredWorkspace> = (0..WORKSPACES).map(declared).collect();
    let region = Region::new(ALLOCATOR);
    let table = WorkspaceTable::try_from(declared.clone()).expect("all are different");
    let change = region.change();
    let allocated = change
        .bytes_allocated
        .saturating_sub(change.bytes_deallocated);
    let keys: Vec<String> = (0..ROUNDS)
        .map(|round| key(round % WORKSPACES, round % KEYS_PER_WORKSPACE))
        .collect();
    let bounds = QuotaBounds {
        window: Duration::from_secs(8),
        overage: 0.1,
        slack: 7_500.0,
    };
    let part = PartIndex(0);
    let params = bounds.bucket_params(&RULE);
    let mut holder = PartHolder::default();
    holder.add_part(part, PartStart::Full, ClockTime::ZERO);
    let mut grants = GrantCache::default();
    let own = "10.0.0.1:7380".parse().expect("an address");
    grants.holders_mut().set([Some(own); PARTS as usize]);
    let now = ClockTime::from_millis(10);
    let started = std::time::Instant::now();
    for key in &keys {
        let digest = KeyDigest::of(black_box(key.as_bytes()));
        let rule = table.find_by_key(&digest).expect("it is known");
        let wanted = UnitsWanted {
            need: 900,
            ahead: 0,
        };
        let answer = holder.grant_units(part, &rule.name, &params, wanted, now);
        let query = UnitsQuery {
            part,
            holder: own,
            wanted,
        };
        grants.apply_answer(
            &rule.name,
            &query,
            answer,
            now,
            bounds.grant_lifetime(),
            now,
        );
        let step = grants.step(&rule.name, 900, &QueriedParts::default(), now);
        assert!(matches!(black_box(step), GrantStep::Taken(_)));
    }
    let time_per_round = started.elapsed() / u32::try_from(ROUNDS).expect("some hundred thousand");
    println!("{WORKSPACES} workspaces with {KEYS_PER_WORKSPACE} keys each: {allocated} bytes");
    println!(
        "key lookup, grant and charge: {} ns",
        time_per_round.as_nanos()
    );
}
