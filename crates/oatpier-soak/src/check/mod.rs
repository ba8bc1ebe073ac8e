//! What must hold of what was seen.

mod crashes;
mod notices;
mod workspaces;

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use crate::ledger::{BegunRun, CallEnd, DisturbedPlace, LedgerRow, SeenEvent, SentCall};
use crate::standin::answers;

/// A promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakPromise {
    /// A request that is not idempotent runs once at most.
    Once,
    /// A refusal says truly that the request did not and will not run.
    TrueRefusal,
    /// A success is the whole and own answer of an endpoint that ran the request.
    OwnAnswer,
    /// A stream that ends well has every event once and in order.
    WholeStream,
    /// Endpoints run only what callers sent, as they sent it.
    OnlyAsked,
    /// Requests run at the service that their route leads to.
    RightService,
    /// No engine is ordered to hold more than it can.
    Memory,
    /// Loads from the weight store keep its rate over all engines.
    LoadRate,
    /// Every request ends for its caller.
    Ends,
    /// Processes run until they are told to stop.
    StaysUp,
    /// Once faults are over everything is served again.
    Recovers,
    /// A request runs for the workspace that holds its key, and not at all where none does.
    RightWorkspace,
    /// A workspace uses no more than its limit in any window.
    Limit,
    /// A request that ends the endpoints that run it is soon not sent any more.
    CrashesBounded,
    /// An endpoint that leaves, wants rest or names a limit gets no more than it asked for.
    LeavesAlone,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakBreach {
    /// Which.
    pub promise: SoakPromise,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for SoakBreach {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.promise, self.what)
    }
}

/// The rate of loads from the weight store.
#[derive(Debug, Clone, Copy)]
pub struct LoadBound {
    /// Loads that may begin within `window`.
    pub loads: usize,
    /// The window.
    pub window: Duration,
}

/// When a place was disturbed, from and to.
#[derive(Debug, Clone, Copy)]
struct DisturbedSpan {
    place: DisturbedPlace,
    from: Duration,
    to: Duration,
}

impl DisturbedSpan {
    fn concerns(&self, gateway: usize) -> bool {
        match self.place {
            DisturbedPlace::Store | DisturbedPlace::AllGateways => true,
            DisturbedPlace::Gateway(number) | DisturbedPlace::StoreLink(number) => {
                number == gateway
            }
            DisturbedPlace::Endpoint(_) => false,
        }
    }
}

/// Faults overlap, so a place is disturbed from a fault's begin to its own end, whatever others do.
fn disturbed_spans(rows: &[LedgerRow]) -> Vec<DisturbedSpan> {
    let spans = rows.iter().filter_map(|row| match row.event {
        SeenEvent::Disturbed { place, since } => Some(DisturbedSpan {
            place,
            from: since,
            to: row.at,
        }),
        _ => None,
    });
    spans.collect()
}

/// What is known of one request.
#[derive(Debug, Default)]
struct CallStory<'a> {
    sent: Option<&'a SentCall>,
    runs: Vec<&'a BegunRun>,
    end: Option<&'a CallEnd>,
}

/// All breaches; none if every promise held.
#[must_use]
pub fn check(rows: &[LedgerRow], loads: LoadBound) -> Vec<SoakBreach> {
    let mut stories: HashMap<&str, CallStory<'_>> = HashMap::new();
    let mut breaches = Vec::new();
    for row in rows {
        match &row.event {
            SeenEvent::Sent(sent) => stories.entry(&sent.id).or_default().sent = Some(sent),
            SeenEvent::Begun(run) => stories.entry(&run.id).or_default().runs.push(run),
            SeenEvent::Ended { id, end } => stories.entry(id).or_default().end = Some(end),
            SeenEvent::Overfull { instance, what } => {
                breach(
                    &mut breaches,
                    SoakPromise::Memory,
                    format!("{instance}: {what}"),
                );
            }
            SeenEvent::Exit { process, status } => {
                breach(
                    &mut breaches,
                    SoakPromise::StaysUp,
                    format!("{process}: {status}"),
                );
            }
            SeenEvent::Unserved { what } => {
                breach(&mut breaches, SoakPromise::Recovers, what.clone());
            }
            SeenEvent::StoreLoad { .. }
            | SeenEvent::Crashed { .. }
            | SeenEvent::Routed { .. }
            | SeenEvent::Reached { .. }
            | SeenEvent::Said { .. }
            | SeenEvent::Disturbed { .. } => {}
        }
    }
    check_loads(rows, loads, &mut breaches);
    crashes::check_crashes(rows, &mut breaches);
    notices::check_notices(rows, &mut breaches);
    workspaces::check_limit(rows, &mut breaches);
    for (id, story) in &stories {
        check_story(id, story, &mut breaches);
    }
    breaches
}

fn breach(breaches: &mut Vec<SoakBreach>, promise: SoakPromise, what: String) {
    breaches.push(SoakBreach { promise, what });
}

fn check_loads(rows: &[LedgerRow], bound: LoadBound, breaches: &mut Vec<SoakBreach>) {
    let begun = rows
        .iter()
        .filter(|row| matches!(row.event, SeenEvent::StoreLoad { .. }));
    let times: Vec<Duration> = begun.map(|row| row.at).collect();
    let over = times
        .windows(bound.loads + 1)
        .find(|span| span[bound.loads].saturating_sub(span[0]) < bound.window);
    if let Some(span) = over {
        let what = format!("{} loads from {:?} on", span.len(), span[0]);
        breach(breaches, SoakPromise::LoadRate, what);
    }
}

fn check_story(id: &str, story: &CallStory<'_>, breaches: &mut Vec<SoakBreach>) {
    let Some(sent) = story.sent else {
        breach(
            breaches,
            SoakPromise::OnlyAsked,
            format!("{id} was never sent"),
        );
        return;
    };
    for run in &story.runs {
        check_run(sent, run, breaches);
    }
    if sent.kind.is_once() && story.runs.len() > 1 {
        let at: Vec<&str> = story.runs.iter().map(|run| run.instance.as_str()).collect();
        breach(breaches, SoakPromise::Once, format!("{id} ran at {at:?}"));
    }
    match story.end {
        Some(CallEnd::Whole {
            status,
            stamp,
            body,
        }) => check_answer(sent, story, (*status, stamp.as_deref(), body), breaches),
        Some(CallEnd::Hung) | None => {
            breach(breaches, SoakPromise::Ends, format!("{id} got no answer"));
        }
        Some(CallEnd::Cut | CallEnd::Left) => {}
    }
}

fn check_run(sent: &SentCall, run: &BegunRun, breaches: &mut Vec<SoakBreach>) {
    let same = run.target == sent.target && run.body == sent.body && run.model == sent.model;
    if !same || !run.forged.is_empty() {
        let what = format!("{} came as {run:?}", sent.id);
        breach(breaches, SoakPromise::OnlyAsked, what);
    }
    workspaces::check_workspace(sent, run, breaches);
    if run.service != sent.service {
        let what = format!("{} for {} ran at {}", sent.id, sent.service, run.service);
        breach(breaches, SoakPromise::RightService, what);
    }
}

fn check_answer(
    sent: &SentCall,
    story: &CallStory<'_>,
    (status, stamp, body): (u16, Option<&str>, &str),
    breaches: &mut Vec<SoakBreach>,
) {
    let refused = matches!(status, 408 | 421 | 429 | 503);
    if refused && sent.kind.is_once() && !story.runs.is_empty() {
        let what = format!("{} got {status} and ran", sent.id);
        breach(breaches, SoakPromise::TrueRefusal, what);
    }
    if !(200..300).contains(&status) {
        return;
    }
    let own = stamp.is_some_and(|stamp| {
        let ran = |run: &&&BegunRun| answers::stamp(&run.id, &run.instance) == stamp;
        story.runs.iter().any(|run| ran(&run))
    });
    if !own {
        let what = format!("{} got {status} with {stamp:?}", sent.id);
        breach(breaches, SoakPromise::OwnAnswer, what);
    }
    if sent.kind.is_stream() {
        if body != answers::stream(&sent.id) {
            let what = format!("{} ended whole as {body:?}", sent.id);
            breach(breaches, SoakPromise::WholeStream, what);
        }
    } else if body != answers::whole(&sent.id) {
        breach(
            breaches,
            SoakPromise::OwnAnswer,
            format!("{} got {body:?}", sent.id),
        );
    }
}
