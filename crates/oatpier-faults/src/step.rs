//! The steps at which faults strike.

use std::fmt;

/// What a step belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StepPath {
    /// A caller's request.
    Request,
    /// An order to an engine.
    Order,
    /// A move of weights.
    Move,
    /// A change of a version.
    Version,
    /// A change of the configuration.
    Config,
    /// The planner's lease.
    Lease,
    /// The registration of a process.
    Registration,
    /// A planned stop.
    Stop,
    /// The start of a process.
    Start,
}

impl StepPath {
    /// All, in the order of the grid.
    pub const ALL: [Self; 9] = [
        Self::Request,
        Self::Order,
        Self::Move,
        Self::Version,
        Self::Config,
        Self::Lease,
        Self::Registration,
        Self::Stop,
        Self::Start,
    ];

    /// The word that the grid uses.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Order => "order",
            Self::Move => "move",
            Self::Version => "version",
            Self::Config => "config",
            Self::Lease => "lease",
            Self::Registration => "registration",
            Self::Stop => "stop",
            Self::Start => "start",
        }
    }
}

macro_rules! steps {
    ($($(#[$doc:meta])* $step:ident, $path:ident, $word:literal;)*) => {
        /// One step.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum StepName {
            $($(#[$doc])* $step,)*
        }

        impl StepName {
            /// All, in the order of the grid.
            pub const ALL: &'static [Self] = &[$(Self::$step,)*];

            /// What it belongs to.
            #[must_use]
            pub fn path(self) -> StepPath {
                match self {
                    $(Self::$step => StepPath::$path,)*
                }
            }

            /// Its word within its path.
            #[must_use]
            pub fn word(self) -> &'static str {
                match self {
                    $(Self::$step => $word,)*
                }
            }
        }
    };
}

steps! {
    /// The caller's request comes to an entry.
    Intake, Request, "intake";
    /// The idempotency key is claimed.
    Claim, Request, "claim";
    /// An endpoint is chosen.
    Choose, Request, "choose";
    /// The attempt is on its way to the agent.
    Send, Request, "send";
    /// The agent admits or refuses it.
    Admit, Request, "admit";
    /// It waits at the agent.
    Queue, Request, "queue";
    /// It runs at the endpoint.
    Run, Request, "run";
    /// Its answer is relayed.
    Relay, Request, "relay";
    /// The end is noted at the claim.
    SettleClaim, Request, "settle-claim";
    /// It is cancelled, or sealed.
    Cancel, Request, "cancel";
    /// The intent is written to the store.
    OrderIntent, Order, "intent";
    /// The order is on its way to the engine.
    OrderSend, Order, "send";
    /// The engine's state is asked.
    OrderPoll, Order, "poll";
    /// Another agent is asked whether it keeps the weights.
    MoveRelease, Move, "release";
    /// What runs on the weights comes to its end.
    MoveDrain, Move, "drain";
    /// The weights are loaded.
    MoveLoad, Move, "load";
    /// The weights are unloaded.
    MoveUnload, Move, "unload";
    /// The new version is loaded and the old one goes.
    VersionChange, Version, "change";
    /// An operator's change is merged.
    ConfigMerge, Config, "merge";
    /// It is written by compare-and-swap.
    ConfigWrite, Config, "write";
    /// A watching entry learns of it.
    ConfigWatch, Config, "watch";
    /// It goes from entry to entry.
    ConfigSpread, Config, "spread";
    /// An agent takes it over.
    ConfigInForce, Config, "in-force";
    /// The lease is taken.
    LeaseTake, Lease, "take";
    /// The lease is renewed.
    LeaseRenew, Lease, "renew";
    /// The plan is written.
    PlanWrite, Lease, "plan-write";
    /// An agent's heartbeat to its registrar.
    Heartbeat, Registration, "heartbeat";
    /// Deltas between entries of an availability zone.
    Delta, Registration, "delta";
    /// Summaries between availability zones.
    Summary, Registration, "summary";
    /// An agent registers with the successor of its registrar.
    Successor, Registration, "successor";
    /// The process is told to stop.
    StopTold, Stop, "told";
    /// It refuses new work.
    StopRefuse, Stop, "refuse";
    /// It finishes what it has.
    StopDrain, Stop, "drain";
    /// It exits.
    StopExit, Stop, "exit";
    /// An agent takes its epoch.
    StartEpoch, Start, "epoch";
    /// A process gets its first configuration.
    StartConfig, Start, "configuration";
    /// A process registers.
    StartRegister, Start, "register";
}

impl fmt::Display for StepName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.path().as_str(), self.word())
    }
}
