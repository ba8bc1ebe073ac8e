//! Engines that crash, and the store.

use std::collections::HashMap;

use oatpier_serving::call::PromptPartId;
use oatpier_serving::crashes::changes::CrashChange;
use oatpier_serving::crashes::prompt_parts::{PartAttempt, PartCrash};
use oatpier_serving::crashes::{CrashSite, RequestOrigin};
use oatpier_types::names::EndpointName;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use crate::support::endpoint;

/// Time until a crashed engine is back.
const RESTART_MS: u64 = 3_000;

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct SimRequest {
    pub parts: SmallVec<[PromptPartId; 4]>,
    pub is_crashing: bool,
    pub arrived: u64,
    /// Whether its first attempt broke.
    pub is_resent: bool,
}

/// An attempt at an engine.
#[derive(Debug, Clone)]
pub struct EngineRun {
    pub gateway: usize,
    /// Incarnation of the gateway.
    pub boot: u32,
    pub request: SimRequest,
    pub attempt: PartAttempt,
    pub begins_at: u64,
    pub progresses_at: u64,
    pub ends_at: u64,
    pub has_progressed: bool,
}

#[derive(Debug, Default)]
pub struct SimEngine {
    incarnation: u32,
    down_until: u64,
    pub runs: Vec<EngineRun>,
}

impl SimEngine {
    pub fn is_up(&self, now: u64) -> bool {
        now >= self.down_until
    }

    pub fn name(&self, index: usize) -> EndpointName {
        endpoint(&format!("i-{index}-{}", self.incarnation))
    }

    /// Crashes the engine, and returns the attempts that it interrupts.
    pub fn crash(&mut self, now: u64) -> Vec<EngineRun> {
        self.incarnation += 1;
        self.down_until = now + RESTART_MS;
        std::mem::take(&mut self.runs)
    }
}

/// The platform's store, with the crashes that it lists.
#[derive(Debug, Default)]
pub struct SimStore {
    pub crashes: Vec<PartCrash>,
    pub outages: Vec<(u64, u64)>,
}

impl SimStore {
    pub fn is_down(&self, now: u64) -> bool {
        let mut outages = self.outages.iter();
        outages.any(|(from, until)| (*from..*until).contains(&now))
    }

    /// Returns when the last outage before `now` ended.
    pub fn stable_since(&self, now: u64) -> u64 {
        let ends = self.outages.iter().filter(|(from, _)| *from <= now);
        ends.map(|(_, until)| *until).max().unwrap_or(0)
    }

    pub fn write(&mut self, changes: &[CrashChange]) {
        for change in changes {
            match change {
                CrashChange::PutPart(crash) => {
                    if !self.crashes.contains(crash) {
                        self.crashes.push(crash.clone());
                    }
                }
                CrashChange::RemovePart(crash) => self
                    .crashes
                    .retain(|listed| listed.part != crash.part || listed.site != crash.site),
                _ => unreachable!("the simulated gateways only change records of parts"),
            }
        }
    }
}

/// When each crashed incarnation of an engine is known to have crashed.
#[derive(Debug, Default)]
pub struct CrashTimes {
    known_at: HashMap<EndpointName, u64>,
}

impl CrashTimes {
    pub fn note(&mut self, name: EndpointName, known_at: u64) {
        self.known_at.insert(name, known_at);
    }

    pub fn is_known(&self, name: &EndpointName, now: u64) -> bool {
        self.known_at.get(name).is_some_and(|at| *at <= now)
    }
}

pub fn site(name: EndpointName) -> CrashSite {
    CrashSite::new(name, None)
}

pub fn origin() -> RequestOrigin {
    RequestOrigin {
        workspace: None,
        host: "one.example".into(),
        route: oatpier_types::names::ClassName::try_from("explain").unwrap(),
    }
}

/// Draws a time up to a longest one, at least a tenth of it.
pub fn draw_ms(random: &mut ChaCha8Rng, longest: u64) -> u64 {
    random.random_range(longest / 10..=longest.max(1))
}
