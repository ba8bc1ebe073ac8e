//! Tests of what one gateway concludes from crashes about parts of prompts.

use oatpier_policy::index::EndpointIndex;
use oatpier_serving::call::PromptPartId;
use oatpier_serving::crashes::broken_attempts::EndpointOutcome;
use oatpier_serving::crashes::prompt_parts::table::MAX_SUSPECTS;
use oatpier_serving::crashes::prompt_parts::tracker::PartTracker;
use oatpier_serving::crashes::prompt_parts::trials::PartTrial;
use oatpier_serving::crashes::prompt_parts::watch::BrokenPrompt;
use oatpier_serving::crashes::prompt_parts::{
    PartAttempt, PartCrash, PartVerdict, successive_crashes,
};
use oatpier_serving::crashes::{CrashSite, RequestOrigin};
use oatpier_types::names::{ClassName, WorkspaceName};
use smallvec::SmallVec;

use crate::support::{at, endpoint};

/// The part that all requests have.
const FIRST: PromptPartId = PromptPartId(0xF1);

/// The part that crashes endpoints.
const CRASHING: PromptPartId = PromptPartId(0xBAD);

/// A part that only sound requests have.
const SOUND: PromptPartId = PromptPartId(0x50);

const CRASHING_PROMPT: [PromptPartId; 2] = [FIRST, CRASHING];
const SOUND_PROMPT: [PromptPartId; 2] = [FIRST, SOUND];

/// A gateway whose attempts break at endpoints.
#[derive(Default)]
struct Gateway {
    tracker: PartTracker,
    now: u64,
    crashed: u32,
}

impl Gateway {
    fn verdict(&self, parts: &[PromptPartId]) -> PartVerdict {
        self.tracker.evaluate(parts, at(self.now))
    }

    fn is_allowed(&self, parts: &[PromptPartId]) -> bool {
        self.verdict(parts) == PartVerdict::Allowed
    }

    fn is_barred(&self, parts: &[PromptPartId]) -> bool {
        matches!(self.verdict(parts), PartVerdict::Barred(_))
    }

    fn begin(&mut self, parts: &[PromptPartId]) -> PartAttempt {
        self.tracker.begin_attempt(parts, None)
    }

    /// Breaks attempts before their responses, all at one endpoint, and tells what became of it.
    fn break_off(&mut self, attempts: &[(&[PromptPartId], PartAttempt)], outcome: EndpointOutcome) {
        self.crashed += 1;
        for (parts, attempt) in attempts {
            let prompt = broken(self.crashed, self.now);
            self.tracker.end_test(attempt);
            let now = at(self.now);
            self.tracker.note_broken(prompt, parts, attempt, now);
        }
        // Beyond the time that familiar parts are given to be answered.
        self.now += 300;
        self.tracker.resolve(at(self.now), |_| outcome);
    }

    /// Sends a request, and crashes its endpoint before the response.
    fn crash_under(&mut self, parts: &[PromptPartId]) {
        let attempt = self.begin(parts);
        self.break_off(&[(parts, attempt)], EndpointOutcome::Ended);
    }

    /// Sends a request that is answered.
    fn serve(&mut self, parts: &[PromptPartId]) {
        let attempt = self.begin(parts);
        self.tracker.end_test(&attempt);
        self.tracker.note_answer(parts, at(self.now));
    }
}

fn broken(number: u32, now: u64) -> BrokenPrompt {
    BrokenPrompt {
        parts: SmallVec::new(),
        origin: origin("one"),
        site: site(number),
        index: EndpointIndex(1),
        at: at(now),
        seen_ms: now,
    }
}

fn site(number: u32) -> CrashSite {
    CrashSite::new(endpoint(&format!("i-{number}")), None)
}

fn origin(workspace: &str) -> RequestOrigin {
    RequestOrigin {
        host: "one.example".into(),
        workspace: Some(WorkspaceName::try_from(workspace).unwrap()),
        route: ClassName::try_from("explain").unwrap(),
    }
}

/// Guards against a part that crashes endpoint after endpoint, and against sound requests that are refused with it.
#[test]
fn a_part_is_barred_at_its_second_successive_crash_and_other_requests_are_not() {
    let mut gateway = Gateway::default();
    gateway.serve(&SOUND_PROMPT);
    gateway.crash_under(&CRASHING_PROMPT);
    assert!(!gateway.is_barred(&CRASHING_PROMPT));
    gateway.serve(&SOUND_PROMPT);
    gateway.crash_under(&CRASHING_PROMPT);
    gateway.serve(&SOUND_PROMPT);
    assert!(gateway.is_barred(&CRASHING_PROMPT));
    assert!(gateway.is_allowed(&SOUND_PROMPT));
}

/// Guards against sound parts that are barred when many endpoints crash for another reason.
#[test]
fn crashes_at_the_same_time_count_once() {
    let mut gateway = Gateway::default();
    let attempts: Vec<PartAttempt> = (0..20).map(|_| gateway.begin(&SOUND_PROMPT)).collect();
    for attempt in attempts {
        gateway.break_off(&[(&SOUND_PROMPT, attempt)], EndpointOutcome::Ended);
    }
    assert!(!gateway.is_barred(&SOUND_PROMPT));
}

/// Guards against a connection that breaks, although its endpoint lives, being taken for a crash.
#[test]
fn a_break_at_an_endpoint_that_lives_is_no_evidence() {
    let mut gateway = Gateway::default();
    for _ in 0..4 {
        let attempt = gateway.begin(&CRASHING_PROMPT);
        gateway.break_off(&[(&CRASHING_PROMPT, attempt)], EndpointOutcome::Alive);
    }
    assert!(gateway.is_allowed(&CRASHING_PROMPT));
    assert!(gateway.tracker.table().is_empty());
}

/// Guards against more sends while it isn't known yet whether the endpoints of the last ones have crashed.
#[test]
fn attempts_with_unknown_endpoints_defer_further_requests() {
    let mut gateway = Gateway::default();
    gateway.crash_under(&CRASHING_PROMPT);
    let attempt = gateway.begin(&CRASHING_PROMPT);
    gateway.break_off(&[(&CRASHING_PROMPT, attempt)], EndpointOutcome::Unknown);
    let verdict = gateway.verdict(&CRASHING_PROMPT);
    assert!(matches!(verdict, PartVerdict::Deferred(_)), "{verdict:?}");
}

/// Guards against several endpoints that crash at once under one suspected part.
#[test]
fn a_suspected_part_is_at_one_endpoint_at_a_time() {
    let mut gateway = Gateway::default();
    gateway.crash_under(&CRASHING_PROMPT);
    assert!(gateway.is_allowed(&CRASHING_PROMPT));
    let attempt = gateway.begin(&CRASHING_PROMPT);
    assert_eq!(gateway.verdict(&CRASHING_PROMPT), PartVerdict::Testing);
    gateway.tracker.end_test(&attempt);
    assert!(gateway.is_allowed(&CRASHING_PROMPT));
}

/// Guards against parts that stay barred although their requests are answered.
#[test]
fn an_answer_clears_the_parts_of_its_request() {
    let mut gateway = Gateway::default();
    gateway.crash_under(&SOUND_PROMPT);
    gateway.crash_under(&SOUND_PROMPT);
    assert!(gateway.is_barred(&SOUND_PROMPT));
    let cleared = gateway.tracker.note_answer(&SOUND_PROMPT, at(gateway.now));
    assert_eq!(cleared.parts.as_slice(), SOUND_PROMPT);
    assert_eq!(cleared.crashes.len(), 4);
    assert!(gateway.is_allowed(&SOUND_PROMPT));
}

/// Guards against evidence that grows with each copy of a message.
#[test]
fn the_same_crash_counts_once_however_often_it_is_reported() {
    let mut gateway = Gateway::default();
    let crash = PartCrash {
        part: CRASHING,
        generation: 1,
        origin: origin("one"),
        is_trial: false,
        site: site(1),
        seen_ms: 0,
    };
    assert!(gateway.tracker.note_crash(&crash, at(0)).is_some());
    assert!(gateway.tracker.note_crash(&crash, at(900)).is_none());
    assert_eq!(gateway.tracker.table().suspected(CRASHING), 1);
}

/// Guards against a caller that pushes the barred parts of others out of the table with new parts of its own.
#[test]
fn a_flood_of_parts_evicts_only_parts_of_its_own_workspace() {
    let mut gateway = Gateway::default();
    gateway.crash_under(&CRASHING_PROMPT);
    gateway.crash_under(&CRASHING_PROMPT);
    for number in 0..u64::try_from(2 * MAX_SUSPECTS).unwrap() {
        let crash = PartCrash {
            part: PromptPartId(0x10_000 + number),
            generation: 1,
            origin: origin("flood"),
            is_trial: false,
            site: site(7),
            seen_ms: 0,
        };
        gateway.tracker.note_crash(&crash, at(gateway.now));
    }
    assert!(gateway.tracker.table().len() <= MAX_SUSPECTS);
    assert!(gateway.is_barred(&CRASHING_PROMPT));
}

/// Guards against a bar for which a single record is left of several that were cleared.
#[test]
fn successive_crashes_never_exceed_the_number_of_records() {
    assert_eq!(successive_crashes([5].into_iter()), 1);
    assert_eq!(successive_crashes([1, 1, 1].into_iter()), 1);
    assert_eq!(successive_crashes([1, 2, 2].into_iter()), 2);
}

/// Guards against a bar that ends because the store came back from an older copy.
#[test]
fn a_restored_store_lifts_no_bar() {
    let mut gateway = Gateway::default();
    let crash = |generation: u32| PartCrash {
        part: CRASHING,
        generation,
        origin: origin("one"),
        is_trial: false,
        site: site(generation),
        seen_ms: 0,
    };
    let listed = [crash(1), crash(2)];
    let table = gateway.tracker.table_mut();
    table.apply_stored(&listed, at(0));
    assert_eq!(table.apply_restored(&[], at(10)), listed);
    assert!(gateway.is_barred(&[CRASHING]));
    gateway.tracker.table_mut().apply_stored(&listed, at(20));
    gateway.tracker.table_mut().apply_stored(&[], at(30));
    assert!(
        gateway.is_allowed(&[CRASHING]),
        "an operator lifted the bar"
    );
}

/// Guards against a barred part that crashes endpoint after endpoint in trials.
#[test]
fn a_barred_part_is_tried_after_a_second_and_after_five_minutes_and_no_more() {
    let mut gateway = Gateway::default();
    gateway.crash_under(&[CRASHING]);
    gateway.crash_under(&[CRASHING]);
    for pause_ms in [1_000, 300_000] {
        gateway.now += pause_ms - 300;
        assert!(due_trial(&gateway).is_none());
        gateway.now += 300;
        let trial = due_trial(&gateway).expect("a trial is due");
        let attempt = gateway.tracker.begin_attempt(&[CRASHING], Some(&trial));
        gateway.break_off(&[(&[CRASHING], attempt)], EndpointOutcome::Ended);
    }
    gateway.now += 3_600_000;
    assert!(due_trial(&gateway).is_none());
    assert!(gateway.is_barred(&[CRASHING]));
}

fn due_trial(gateway: &Gateway) -> Option<PartTrial> {
    match gateway.verdict(&[CRASHING]) {
        PartVerdict::Barred(barred) => barred.trial,
        verdict => panic!("{verdict:?}"),
    }
}
