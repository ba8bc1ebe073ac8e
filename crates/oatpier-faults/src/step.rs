//! The steps at which faults are injected.

use std::fmt;

/// The operation that a step is part of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StepPath {
    /// A caller's request.
    Request,
    /// An order to an engine.
    Order,
    /// A move of weights between engines.
    Move,
    /// A change of a model's version.
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
    /// All paths, in the order of the matrix.
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

    /// Returns the name of the path in the matrix.
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
        /// A step of an operation, at which faults are injected.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum StepName {
            $($(#[$doc])* $step,)*
        }

        impl StepName {
            /// All steps, in the order of the matrix columns.
            pub const ALL: &'static [Self] = &[$(Self::$step,)*];

            /// Returns the operation that the step is part of.
            #[must_use]
            pub fn path(self) -> StepPath {
                match self {
                    $(Self::$step => StepPath::$path,)*
                }
            }

            /// Returns the name of the step within its path.
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
    /// An entry receives the caller's request.
    Intake, Request, "intake";
    /// The idempotency key is claimed.
    Claim, Request, "claim";
    /// An endpoint is chosen.
    Choose, Request, "choose";
    /// The attempt is sent to the agent.
    Send, Request, "send";
    /// The agent admits or refuses the attempt.
    Admit, Request, "admit";
    /// The attempt is queued at the agent.
    Queue, Request, "queue";
    /// The attempt runs at the endpoint.
    Run, Request, "run";
    /// The answer is relayed to the caller.
    Relay, Request, "relay";
    /// The outcome is recorded with the claim.
    SettleClaim, Request, "settle-claim";
    /// The attempt is cancelled, or sealed so that it can't start.
    Cancel, Request, "cancel";
    /// The intent is written to the store.
    OrderIntent, Order, "intent";
    /// The order is sent to the engine.
    OrderSend, Order, "send";
    /// The engine's state is polled.
    OrderPoll, Order, "poll";
    /// Another agent is asked whether it keeps the weights.
    MoveRelease, Move, "release";
    /// Requests that run on the weights are drained.
    MoveDrain, Move, "drain";
    /// The weights are loaded.
    MoveLoad, Move, "load";
    /// The weights are unloaded.
    MoveUnload, Move, "unload";
    /// The new version is loaded and the old one is unloaded.
    VersionChange, Version, "change";
    /// An operator's change is merged.
    ConfigMerge, Config, "merge";
    /// The change is written by compare-and-swap.
    ConfigWrite, Config, "write";
    /// An entry's watch reports the change.
    ConfigWatch, Config, "watch";
    /// The change propagates between entries.
    ConfigSpread, Config, "spread";
    /// An agent applies the change.
    ConfigInForce, Config, "in-force";
    /// The lease is acquired.
    LeaseTake, Lease, "take";
    /// The lease is renewed.
    LeaseRenew, Lease, "renew";
    /// The plan is written.
    PlanWrite, Lease, "plan-write";
    /// An agent sends a heartbeat to its registrar.
    Heartbeat, Registration, "heartbeat";
    /// Entries of an availability zone exchange deltas.
    Delta, Registration, "delta";
    /// Availability zones exchange summaries.
    Summary, Registration, "summary";
    /// An agent registers with the successor of its registrar.
    Successor, Registration, "successor";
    /// The process is told to stop.
    StopTold, Stop, "told";
    /// The process refuses new work.
    StopRefuse, Stop, "refuse";
    /// The process finishes its open work.
    StopDrain, Stop, "drain";
    /// The process exits.
    StopExit, Stop, "exit";
    /// An agent acquires its epoch.
    StartEpoch, Start, "epoch";
    /// A process receives its first configuration.
    StartConfig, Start, "configuration";
    /// A process registers.
    StartRegister, Start, "register";
}

impl fmt::Display for StepName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.path().as_str(), self.word())
    }
}
