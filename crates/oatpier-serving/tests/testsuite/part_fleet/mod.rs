//! Simulated fleet of gateways that receive requests with a prompt part that crashes each engine that begins to respond
//! to it.
//!
//! No two requests are alike. Sound requests share the first part, and some share the other parts too. Datagrams between
//! gateways are lost, doubled and late, the store is unavailable or does not acknowledge writes, gateways restart without
//! their state, and engines crash for other reasons.

mod fleet;
mod plan;
mod world;

use proptest::prelude::*;

use crate::support::fixed_cases;
use fleet::{FleetReport, PartFleet};
use plan::{FleetFault, FleetPlan, FleetTrouble};

/// Number of sends that are allowed once five engines have crashed and the gateways were stable for a while.
const SENDS_ALLOWED: usize = 3;

/// Share of the sound requests that are served at once while requests with the part come, compared with before.
const SOUND_SHARE: f64 = 0.5;

/// The same, if no engine crashes for another reason.
const SOUND_SHARE_IF_CALM: f64 = 0.9;

/// Returns what a run breaks.
fn broken(plan: &FleetPlan, seed: u64) -> Vec<String> {
    PartFleet::run(plan, seed).broken(plan)
}

impl FleetReport {
    fn broken(&self, plan: &FleetPlan) -> Vec<String> {
        let mut broken = Vec::new();
        let late = self.late_sends.iter();
        for (part, sends) in late.filter(|(_, sends)| **sends > SENDS_ALLOWED) {
            broken.push(format!("{sends} late sends with part {part}"));
        }
        let share = if plan.is_calm() {
            SOUND_SHARE_IF_CALM
        } else {
            SOUND_SHARE
        };
        let (before, meanwhile) = (self.before.share(), self.meanwhile.share());
        if self.meanwhile.is_enough() && meanwhile < before * share {
            broken.push(format!(
                "{meanwhile:.2} of the sound requests were served, {before:.2} before"
            ));
        }
        broken
    }
}

fn plans() -> impl Strategy<Value = FleetPlan> {
    let network = (0.0..0.4, prop::bool::ANY, prop::bool::ANY, 20_u64..700);
    let engines = (
        4_usize..24,
        prop::option::weighted(0.3, 1_u64..4),
        prop::bool::weighted(0.2),
        10_u64..400,
    );
    let load = (
        1_usize..3,
        2_u64..40,
        prop::sample::select(vec![0.002, 0.05, 0.3, 0.9]),
        prop::bool::ANY,
        prop::bool::ANY,
        1_usize..200,
    );
    (2_usize..12, network, engines, load).prop_map(|(gateways, network, engines, load)| {
        let (loss, restarts, outages, detection_ms) = network;
        let (engines, crash_every_s, mass_crash, first_ms) = engines;
        let (crashing, per_100_ms, crashing_share, with_subject, resends, subjects) = load;
        FleetPlan {
            gateways,
            engines,
            loss,
            trouble: FleetTrouble {
                restarts,
                outages,
                mass_crash,
            },
            detection_ms,
            crash_every_s,
            first_ms,
            crashing,
            per_100_ms,
            crashing_share,
            with_subject,
            resends,
            subjects,
            fault: None,
        }
    })
}

proptest! {
    #![proptest_config(fixed_cases(48))]

    /// One part of prompts crashes engine after engine, although no two requests are alike. Requests with it soon reach no
    /// engine any more, and requests without it are served.
    #[test]
    fn a_part_that_crashes_engines_is_soon_barred(plan in plans(), seed in any::<u64>()) {
        let broken = broken(&plan, seed);
        prop_assert!(broken.is_empty(), "{broken:?}");
    }
}

/// Guards against gateways that go on to send requests with a part because another crashing one was at the same crashes, each
/// time that the gateway that grants such sends has restarted.
#[test]
fn two_crashing_parts_at_the_same_crashes_are_both_barred() {
    let plan = FleetPlan {
        gateways: 11,
        engines: 7,
        loss: 0.003_340_893_112_008_293_4,
        trouble: FleetTrouble {
            restarts: true,
            ..FleetTrouble::default()
        },
        detection_ms: 252,
        crash_every_s: Some(2),
        first_ms: 359,
        crashing: 2,
        per_100_ms: 27,
        crashing_share: 0.9,
        with_subject: false,
        subjects: 175,
        ..FleetPlan::clear()
    };
    assert_eq!(broken(&plan, 258), Vec::<String>::new());
}

/// Guards against sound requests that are refused for good because two crashing parts come with most requests of their route.
#[test]
fn sound_requests_are_served_beside_many_requests_with_two_crashing_parts() {
    let plan = FleetPlan {
        gateways: 4,
        engines: 10,
        loss: 0.395_526_899_998_019_3,
        trouble: FleetTrouble {
            restarts: true,
            outages: true,
            mass_crash: false,
        },
        detection_ms: 618,
        first_ms: 313,
        crashing: 2,
        per_100_ms: 33,
        crashing_share: 0.9,
        subjects: 63,
        ..FleetPlan::clear()
    };
    assert_eq!(broken(&plan, 1245), Vec::<String>::new());
}

/// Runs of a fleet in which one part crashes engines and nothing else happens.
#[test]
fn no_sound_request_is_refused_where_one_part_is_clearly_the_cause() {
    for seed in 0..12 {
        let plan = FleetPlan::clear();
        let report = PartFleet::run(&plan, seed);
        assert_eq!(report.sound_barred_ms, 0, "seed {seed}");
        assert_eq!(report.broken(&plan), Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against checks that find nothing.
#[test]
fn the_checks_find_planted_faults() {
    let faults = [
        FleetFault::EvidenceByRequest,
        FleetFault::EveryInterrupted,
        FleetFault::LocalBars,
        FleetFault::RestartForgets,
        FleetFault::CrashClears,
    ];
    for fault in faults {
        let forgets = fault == FleetFault::RestartForgets;
        let plan = FleetPlan {
            fault: Some(fault),
            trouble: FleetTrouble {
                restarts: forgets,
                ..FleetTrouble::default()
            },
            loss: if forgets { 0.9 } else { 0.0 },
            crashing_share: 0.1,
            ..FleetPlan::clear()
        };
        let is_found = (0..3).any(|seed| {
            let report = PartFleet::run(&plan, seed);
            report.sound_barred_ms > 0 || !report.broken(&plan).is_empty()
        });
        assert!(is_found, "{fault:?} was not found");
    }
}
