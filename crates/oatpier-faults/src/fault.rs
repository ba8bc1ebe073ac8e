//! The kinds of faults.

use std::fmt;

/// A kind of fault, injected by a run at one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FaultKind {
    /// A process crashes and is started again seconds later.
    Kill,
    /// A process crashes and restarts at once, with no state kept.
    Restart,
    /// A process is paused and resumes later.
    Pause,
    /// Messages to the peer are blocked for a while.
    CutTo,
    /// Messages from the peer are blocked for a while.
    CutFrom,
    /// Messages in both directions are blocked for a while.
    CutBoth,
    /// A message is lost.
    Lost,
    /// A message is delayed.
    Late,
    /// A message is delivered twice.
    Doubled,
    /// A message is misrouted to another receiver, or two messages are reordered.
    Crossed,
    /// The peer is slow for a while.
    SlowPeer,
    /// The store is unavailable: calls fail and have no effect.
    StoreDown,
    /// The store answers each call slowly.
    StoreSlow,
    /// A write takes effect, but its answer is lost.
    AnswerLost,
    /// A lease holder is paused until another process has replaced it, then resumes.
    LeaseLapsed,
    /// A watch stays open but reports no changes.
    WatchBroken,
    /// The list of VMs reports a live VM as leaving.
    VmListWrong,
    /// An engine's load report is stale.
    ReportStale,
    /// Cache events are lost.
    CacheGap,
    /// Two operators change the same thing at once.
    RacingOperators,
    /// A VM's wall clock jumps.
    ClockStep,
}

impl FaultKind {
    /// All kinds of faults, in the order of the matrix rows.
    pub const ALL: [Self; 21] = [
        Self::Kill,
        Self::Restart,
        Self::Pause,
        Self::CutTo,
        Self::CutFrom,
        Self::CutBoth,
        Self::Lost,
        Self::Late,
        Self::Doubled,
        Self::Crossed,
        Self::SlowPeer,
        Self::StoreDown,
        Self::StoreSlow,
        Self::AnswerLost,
        Self::LeaseLapsed,
        Self::WatchBroken,
        Self::VmListWrong,
        Self::ReportStale,
        Self::CacheGap,
        Self::RacingOperators,
        Self::ClockStep,
    ];

    /// Returns the name of the fault in the matrix.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::Restart => "restart",
            Self::Pause => "pause-and-wake",
            Self::CutTo => "cut-towards-peer",
            Self::CutFrom => "cut-from-peer",
            Self::CutBoth => "cut-both",
            Self::Lost => "message-lost",
            Self::Late => "message-late",
            Self::Doubled => "message-doubled",
            Self::Crossed => "message-crossed",
            Self::SlowPeer => "slow-peer",
            Self::StoreDown => "store-down",
            Self::StoreSlow => "store-slow",
            Self::AnswerLost => "answer-lost-after-write",
            Self::LeaseLapsed => "lease-lapsed-in-pause",
            Self::WatchBroken => "watch-broken",
            Self::VmListWrong => "vm-list-wrong",
            Self::ReportStale => "load-report-stale",
            Self::CacheGap => "cache-event-gap",
            Self::RacingOperators => "racing-operators",
            Self::ClockStep => "wrong-clock-step",
        }
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
