//! The faults.

use std::fmt;

/// One kind of fault. A run inflicts it at one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FaultKind {
    /// A process dies; another takes its place seconds later.
    Kill,
    /// A process dies and is there again at once, with nothing kept.
    Restart,
    /// A process stands still and goes on later.
    Pause,
    /// Messages towards the peer don't come through for a while.
    CutTo,
    /// Messages from the peer don't come through for a while.
    CutFrom,
    /// No messages come through for a while.
    CutBoth,
    /// A message is lost.
    Lost,
    /// A message comes late.
    Late,
    /// A message comes twice.
    Doubled,
    /// A message comes to another addressee as well, or two change places.
    Crossed,
    /// The peer is slow for a while.
    SlowPeer,
    /// The store does not answer, and does nothing.
    StoreDown,
    /// The store takes long for each call.
    StoreSlow,
    /// A write takes effect and its answer is lost.
    AnswerLost,
    /// A holder is paused until another has taken its place, and goes on.
    LeaseLapsed,
    /// A watch stays open and tells nothing.
    WatchBroken,
    /// The list of VMs calls a live one leaving.
    VmListWrong,
    /// An engine's load report is old.
    ReportStale,
    /// Cache events are lost.
    CacheGap,
    /// Two operators change the same thing at once.
    RacingOperators,
    /// A VM's wall clock jumps.
    ClockStep,
}

impl FaultKind {
    /// All, in the order of the grid.
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

    /// The word that the grid uses.
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
