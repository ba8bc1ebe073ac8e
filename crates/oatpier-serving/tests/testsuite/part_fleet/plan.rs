//! What happens in a run of the fleet.

/// A deliberate fault of the gateways, which the checks must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetFault {
    /// Crashes count for whole requests, no two of which are alike.
    EvidenceByRequest,
    /// The parts of all interrupted requests are suspected, and no answer clears them.
    EveryInterrupted,
    /// Gateways tell neither each other nor the store.
    LocalBars,
    /// The store keeps nothing, so that a restart forgets all crashes.
    RestartForgets,
    /// An engine that crashes before its response is taken for one that has answered.
    CrashClears,
}

/// What goes wrong besides the requests that crash engines.
#[derive(Debug, Clone, Copy, Default)]
pub struct FleetTrouble {
    /// Whether gateways restart.
    pub restarts: bool,
    /// Whether the store has outages and does not acknowledge all writes.
    pub outages: bool,
    /// Whether a third of the engines crashes at once.
    pub mass_crash: bool,
}

/// What happens in a run of the fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    pub gateways: usize,
    pub engines: usize,
    /// Share of the datagrams between gateways that are lost.
    pub loss: f64,
    pub trouble: FleetTrouble,
    /// Longest time until a gateway knows that an engine has crashed.
    pub detection_ms: u64,
    /// Mean interval between crashes of engines for other reasons.
    pub crash_every_s: Option<u64>,
    /// Longest time until an engine begins to respond.
    pub first_ms: u64,
    /// Number of parts that crash engines.
    pub crashing: usize,
    /// Number of requests per 100 ms.
    pub per_100_ms: u64,
    /// Share of the requests that crash engines, while they come.
    pub crashing_share: f64,
    /// Whether these requests also have a part that sound requests have.
    pub with_subject: bool,
    /// Whether gateways send a request once more if its attempt breaks.
    pub resends: bool,
    /// Number of parts that sound requests have besides the first one.
    pub subjects: usize,
    pub fault: Option<FleetFault>,
}

impl FleetPlan {
    /// A fleet in which one request with the part comes at a time, and crashes are known soon.
    pub fn clear() -> Self {
        Self {
            gateways: 5,
            engines: 18,
            loss: 0.0,
            trouble: FleetTrouble::default(),
            detection_ms: 30,
            crash_every_s: None,
            first_ms: 40,
            crashing: 1,
            per_100_ms: 18,
            crashing_share: 0.01,
            with_subject: true,
            resends: false,
            subjects: 60,
            fault: None,
        }
    }

    /// Returns whether no engine crashes for other reasons, and gateways know soon what happens.
    pub fn is_calm(&self) -> bool {
        let is_stable = self.crash_every_s.is_none() && !self.trouble.mass_crash;
        is_stable && !self.trouble.restarts && self.loss < 0.05 && self.crashing_share < 0.5
    }
}
