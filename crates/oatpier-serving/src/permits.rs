//! Decides when an engine may be sent the next request.
//!
//! An engine prefills prompts between the decoding steps of its running streams, as many as are waiting,
//! and gateways that do not coordinate send theirs in bursts. Three or four prompts that are prefilled in a
//! row pause every stream there for longer than the latency target allows, even on an engine that is busy
//! for less than half of the time. With 68 gateways that each send an engine a request every few seconds,
//! only the engine's own sidecar knows whether a slot is free. Many gateways see the same free slot, and
//! all but one of their requests wait at the engine behind long ones.
//!
//! The sidecar beside the engine therefore issues permits. A permit states that a slot is free, and that
//! the prefill work ahead is small enough for the steps between two chunks of a stream to stay within the
//! pause limit, the longest pause that is in time. The permit is released once the prompt is prefilled.
//! Requests that have to wait do so before they are sent, in the order of their deadlines. Requests that
//! can only be late are sent when no others wait.
//!
//! While the engine's present pace is known, the work ahead is that of [`crate::capacity::prefill_window`], and does not
//! depend on releases.
//!
//! Permits affect only latency: a gateway that receives no answer sends its request without one.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;

use crate::admission;
use crate::capacity::prefill_window::{PrefillWindow, PresentPace, PromptWork};
use crate::engine::EndpointLoad;
use crate::message::{PermitAsk, PermitGrant, RatedPermitAsk};
use crate::sharing::cost::engine_time;
use crate::sharing::ledger::{ShareLedger, ShareLevels};
use crate::sharing::{WorkspaceTag, WorkspaceUse};

/// Share of the pause limit for which an engine may have prompts to prefill. A chunk of a stream takes about
/// three steps, each of which may prefill that much. The steps themselves take the rest of the pause. Applies while the
/// engine's pace is unknown.
const PREFILL_SHARE: f64 = 0.27;

/// Time after which a permit that was not released expires, because the message was lost or the gateway is
/// gone. Much longer than a prefill, and short compared with the delay of requests that are late by then.
const PERMIT_TTL: Duration = Duration::from_millis(400);

/// A prompt counts as prefilled after this multiple of its prefill time plus [`PREFILL_SLACK`]. A gateway
/// on a VM with little CPU releases a permit long after the engine has prefilled the prompt.
const PREFILL_TIME_FACTOR: u32 = 2;

/// Additional time after which a prompt counts as prefilled. Covers the messages to the gateway and from
/// there to the engine, a new connection, and the current step.
const PREFILL_SLACK: Duration = Duration::from_millis(40);

/// Amount per priority level by which the deadline of a request of a more urgent class may be later for it
/// to still go first. If slots are short, the urgent classes get them: their requests are short, and each
/// long request that goes first makes several of them late. Less than the time that callers wait, so that
/// the other classes are served too.
const PRIORITY_STEP: Duration = Duration::from_millis(200);

/// Time after which a request of a workspace within its share goes before all requests of workspaces beyond theirs,
/// although it is late. Callers wait for two seconds or longer, and gateways refuse a request after 0.6 of that.
const SHARE_WAIT_LIMIT: Duration = Duration::from_millis(300);

/// Time after which a permit request that was not repeated is dropped, because its request was sent
/// elsewhere or has ended. Gateways repeat theirs three times within this time.
const REQUEST_TTL: Duration = Duration::from_millis(100);

/// Time between issuing a permit and the appearance of its request in the engine's report: the messages to
/// the gateway and to the engine, and a new connection. A request that is counted twice for a moment blocks
/// a slot for that long.
const ARRIVAL_DELAY: Duration = Duration::from_millis(8);

/// A permit request that waits.
#[derive(Debug)]
struct PendingRequest {
    from: SocketAddr,
    ask: PermitAsk,
    /// Number of tokens to prefill, if the gateway stated it.
    prefill_tokens: Option<u32>,
    /// Latest time at which the request can still be in time.
    due_at: ClockTime,
    arrived_at: ClockTime,
    /// Time of the last repetition.
    repeated_at: ClockTime,
    /// What its workspace is charged; `None` if its gateway stated no workspace.
    charge: Option<ShareCharge>,
}

/// Engine time of a request and the workspace that is charged for it.
#[derive(Debug, Clone, Copy)]
struct ShareCharge {
    workspace: WorkspaceTag,
    engine_time: Duration,
}

/// A permit that was issued.
#[derive(Debug)]
struct IssuedPermit {
    id: u64,
    at: ClockTime,
    prefill: Duration,
}

impl IssuedPermit {
    /// Returns the time at which the permit expires if it is not released before.
    fn expires_at(&self) -> ClockTime {
        self.at + (self.prefill * PREFILL_TIME_FACTOR + PREFILL_SLACK).min(PERMIT_TTL)
    }
}

/// A permit and its destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AddressedGrant {
    /// The gateway.
    pub to: SocketAddr,
    /// The permit.
    pub grant: PermitGrant,
    /// The prompt; `None` if the permit was sent before.
    pub prompt: Option<PromptWork>,
}

/// What the request waits for that gets a permit next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitCause {
    /// A free slot.
    Slot,
    /// Prefill of the prompts ahead.
    Prefill,
}

impl WaitCause {
    /// Returns the name used in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Slot => "slot",
            Self::Prefill => "prefill",
        }
    }
}

/// Issuer of permits for one engine.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    pending: Vec<PendingRequest>,
    issued: VecDeque<IssuedPermit>,
    /// Shortest pause limit of the most recent permit requests.
    max_pause: Option<Duration>,
    /// Requests at the engine in its last report; `None` while unknown.
    reported_requests: Option<u32>,
    /// Issue times of permits whose requests the last report may not contain yet.
    unreported: VecDeque<ClockTime>,
    /// The engine's present pace, while known.
    pace: Option<PresentPace>,
    window: PrefillWindow,
    /// Use of the engine by workspaces.
    shares: ShareLedger,
}

impl PermitIssuer {
    /// Records the load that the engine reported. Requests whose permits were issued a moment ago are not
    /// in it yet.
    pub fn note_load(&mut self, load: EndpointLoad, now: ClockTime) {
        self.reported_requests = Some(load.running + load.waiting);
        self.unreported
            .retain(|issued_at| now.since(*issued_at) < ARRIVAL_DELAY);
    }

    /// Discards the engine's load. Permits are then issued by the prefill work alone.
    pub fn forget_load(&mut self) {
        self.reported_requests = None;
        self.unreported.clear();
    }

    /// Sets the engine's present pace; `None` while unknown.
    pub fn set_pace(&mut self, pace: Option<PresentPace>) {
        self.pace = pace;
    }

    /// Returns the shortest pause limit of the requests that wait or were granted lately.
    #[must_use]
    pub fn max_pause(&self) -> Option<Duration> {
        self.max_pause
    }

    /// Discards what workspaces have used of the engine.
    pub fn forget_shares(&mut self) {
        self.shares = ShareLedger::default();
    }

    /// Returns the workspaces that have used the engine most.
    #[must_use]
    pub fn workspace_uses(&self, now: ClockTime) -> Vec<WorkspaceUse> {
        self.shares.largest_uses(now)
    }

    /// Records a new or repeated permit request of a gateway.
    pub fn add_request(&mut self, from: SocketAddr, ask: PermitAsk, now: ClockTime) {
        self.max_pause = Some(
            self.max_pause
                .map_or(ask.pause(), |known| known.min(ask.pause())),
        );
        if let Some(request) = self
            .pending
            .iter_mut()
            .find(|request| request.ask.id == ask.id)
        {
            request.repeated_at = now;
            return;
        }
        self.pending.push(PendingRequest {
            from,
            due_at: now + ask.due_in(),
            arrived_at: now,
            repeated_at: now,
            prefill_tokens: None,
            charge: None,
            ask,
        });
    }

    /// Records a new or repeated permit request with what the engine will do for it.
    pub fn add_rated_request(&mut self, from: SocketAddr, rated: &RatedPermitAsk, now: ClockTime) {
        self.add_request(from, rated.ask, now);
        let mut pending = self.pending.iter_mut();
        let Some(request) = pending.find(|request| request.ask.id == rated.ask.id) else {
            return;
        };
        request.prefill_tokens = Some(rated.prefill_tokens);
        if let Some(standing) = rated.share.filter(|_| request.charge.is_none()) {
            request.charge = Some(ShareCharge {
                workspace: standing.workspace,
                engine_time: engine_time(rated.prefill_tokens, rated.output_tokens),
            });
            self.shares.note_standing(standing, now);
        }
    }

    /// Issues the permits that are possible now.
    pub fn issue_due(&mut self, now: ClockTime) -> Vec<AddressedGrant> {
        self.expire(now);
        let mut due = Vec::new();
        while let Some(index) = self.next_issuable(now) {
            let request = self.pending.swap_remove(index);
            let is_new = self.note_issued(&request, now);
            if let Some(charge) = request.charge.filter(|_| is_new) {
                self.shares
                    .charge(charge.workspace, charge.engine_time, now);
            }
            due.push(AddressedGrant {
                to: request.from,
                grant: PermitGrant { id: request.ask.id },
                prompt: is_new.then(|| request.prompt()),
            });
        }
        due
    }

    /// Releases a permit, or withdraws a permit request.
    pub fn release(&mut self, id: u64) {
        self.issued.retain(|permit| permit.id != id);
        self.pending.retain(|request| request.ask.id != id);
    }

    /// Returns the next time at which prefill work expires while requests wait.
    #[must_use]
    pub fn next_expiry(&self) -> Option<ClockTime> {
        if self.pending.is_empty() {
            return None;
        }
        if let Some((pace, pause)) = self.pace.as_ref().zip(self.max_pause) {
            return self.window.next_room(pace, pause);
        }
        self.issued.iter().map(IssuedPermit::expires_at).min()
    }

    /// Returns what keeps requests waiting; `None` if none waits or the next one can be granted now.
    #[must_use]
    pub fn wait_cause(&self, now: ClockTime) -> Option<WaitCause> {
        let (_, request) = self.most_urgent(now)?;
        if !self.has_slot(&request.ask, request.is_late(now)) {
            return Some(WaitCause::Slot);
        }
        let has_budget = self.has_prefill_budget(request.prompt(), now);
        (!has_budget).then_some(WaitCause::Prefill)
    }

    /// Returns the prefill work that the engine can accept now beside its streams; `None` while its pace is unknown.
    #[must_use]
    pub fn prefill_room(&self, now: ClockTime) -> Option<Duration> {
        let (pace, pause) = self.pace.as_ref().zip(self.max_pause)?;
        Some(self.window.room(pace, pause, now))
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn pending_requests(&self) -> u32 {
        u32::try_from(self.pending.len()).unwrap_or(u32::MAX)
    }

    /// Returns the time to prefill all waiting prompts.
    #[must_use]
    pub fn pending_prefill(&self) -> Duration {
        let prefill = |request: &PendingRequest| {
            let prompt = request.prompt();
            self.pace
                .map_or(prompt.estimate, |pace| pace.prefill(prompt))
        };
        self.pending.iter().map(prefill).sum()
    }

    fn expire(&mut self, now: ClockTime) {
        self.pending
            .retain(|request| now.since(request.repeated_at) < REQUEST_TTL);
        self.issued.retain(|permit| permit.expires_at() > now);
        self.window
            .expire(self.pace.as_ref().zip(self.max_pause), now);
        if self.issued.is_empty() && self.pending.is_empty() {
            self.max_pause = None;
        }
    }

    /// Returns the index of the request that gets a permit next: one whose permit was already issued, or
    /// the most urgent one if the engine can accept its prompt now.
    fn next_issuable(&self, now: ClockTime) -> Option<usize> {
        let is_issued =
            |request: &PendingRequest| self.issued.iter().any(|permit| permit.id == request.ask.id);
        if let Some(index) = self.pending.iter().position(is_issued) {
            return Some(index);
        }
        let (index, request) = self.most_urgent(now)?;
        let has_room = self.has_slot(&request.ask, request.is_late(now));
        (has_room && self.has_prefill_budget(request.prompt(), now)).then_some(index)
    }

    fn most_urgent(&self, now: ClockTime) -> Option<(usize, &PendingRequest)> {
        let waiting = self.pending.iter().filter_map(|request| request.charge);
        let waiting = waiting.map(|charge| charge.workspace);
        let levels = self.shares.levels(waiting, now);
        let pending = self.pending.iter().enumerate();
        pending.min_by_key(|(_, request)| request.sort_key(&levels, now))
    }

    /// Returns whether a slot is free for a request, by the engine's last report and the permits issued
    /// since.
    fn has_slot(&self, ask: &PermitAsk, is_late: bool) -> bool {
        let Some(reported) = self.reported_requests else {
            return true;
        };
        let unreported = u32::try_from(self.unreported.len()).unwrap_or(u32::MAX);
        let taken = f64::from(reported.saturating_add(unreported));
        taken < f64::from(ask.slots) * admission::max_slot_share(is_late, ask.is_urgent)
    }

    /// Returns whether the engine can prefill a prompt without pausing its streams for too long. An engine
    /// with no prefill work accepts a prompt of any length.
    fn has_prefill_budget(&self, prompt: PromptWork, now: ClockTime) -> bool {
        let Some(pause) = self.max_pause else {
            return true;
        };
        if let Some(pace) = &self.pace {
            return self.window.has_room(prompt, pace, pause, now);
        }
        let prefill = prompt.estimate;
        let ahead: Duration = self.issued.iter().map(|permit| permit.prefill).sum();
        self.issued.is_empty() || ahead + prefill <= pause.mul_f64(PREFILL_SHARE)
    }

    /// Records that a permit is issued. Returns whether it was not issued before.
    fn note_issued(&mut self, request: &PendingRequest, now: ClockTime) -> bool {
        let id = request.ask.id;
        if self.issued.iter().any(|permit| permit.id == id) {
            return false;
        }
        self.issued.push_back(IssuedPermit {
            id,
            at: now,
            prefill: request.ask.reading(),
        });
        self.window.note_granted(request.prompt(), now);
        self.unreported.push_back(now);
        true
    }
}

impl PendingRequest {
    fn prompt(&self) -> PromptWork {
        PromptWork {
            tokens: self.prefill_tokens,
            estimate: self.ask.reading(),
        }
    }

    /// Returns whether the request can only be late.
    fn is_late(&self, now: ClockTime) -> bool {
        self.due_at <= now
    }

    /// Returns the sort key of a request. Requests that can still be in time come first, ordered by how far their
    /// workspaces are beyond their shares and then by their deadlines. The others follow, ordered in the same way
    /// and then by their arrival. Less urgent classes count as later.
    fn sort_key(&self, levels: &ShareLevels, now: ClockTime) -> (ShareRank, ClockTime) {
        let is_late = self.is_late(now);
        let at = if is_late {
            self.arrived_at
        } else {
            self.due_at
        };
        let at = at + PRIORITY_STEP * u32::from(self.ask.priority);
        (self.share_rank(is_late, levels, now), at)
    }

    fn share_rank(&self, is_late: bool, levels: &ShareLevels, now: ClockTime) -> ShareRank {
        let level = self
            .charge
            .map_or(0, |charge| levels.level(charge.workspace));
        let has_waited = now.since(self.arrived_at) >= SHARE_WAIT_LIMIT;
        match (is_late, level) {
            (false, 0) => ShareRank::WithinShare,
            (false, level) => ShareRank::BeyondShare(level),
            (true, 0) if levels.is_contended() && has_waited => ShareRank::LongWait,
            (true, level) => ShareRank::Late(level),
        }
    }
}

/// Rank of a request by its workspace's share, the first rank first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ShareRank {
    /// It can be in time, and its workspace is within its share.
    WithinShare,
    /// It is late and has waited for the maximum time, and its workspace is within its share.
    LongWait,
    /// It can be in time, and its workspace is beyond its share by this level.
    BeyondShare(u8),
    /// It can only be late, and its workspace is beyond its share by this level, or within it.
    Late(u8),
}
