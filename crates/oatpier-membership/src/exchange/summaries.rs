//! Rate-limited exchange of summaries between availability zones.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Generation;
use oatpier_types::names::{DaemonName, ZoneName};
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::{ExchangeAction, SUMMARY_SENDS};
use crate::backoff::jittered;
use crate::members::MemberTable;
use crate::messages::{EntryContact, SummaryCall};
use crate::rendezvous;
use crate::summary::{
    ModelSummary, SummaryCursor, SummaryKey, SummaryTable, ZoneSummary, created_at, summarize,
    with_age,
};

/// The interval between two summaries to one availability zone.
pub const SUMMARY_EVERY: Duration = Duration::from_secs(2);

/// The maximum average number of rows per second that one availability zone sends to each other
/// one.
pub const SUMMARY_ROWS_PER_SECOND: u64 = 2;

/// The maximum number of rows in one message, after an idle period.
pub const SUMMARY_BURST: u64 = 120;

/// The number of contacts kept per other availability zone.
const KEPT_CONTACTS: usize = 6;

/// The number of own entries that a summary names as contacts.
const SENT_CONTACTS: usize = 3;

#[derive(Debug, Clone, Default)]
struct RemoteZone {
    contacts: SmallVec<[EntryContact; KEPT_CONTACTS]>,
    cursor: SummaryCursor,
    open: Option<(DaemonName, Vec<SummaryKey>)>,
}

#[derive(Debug, Clone)]
struct ForwardedRow {
    zone: ZoneName,
    row: ModelSummary,
    created: ClockTime,
    sends: u8,
}

/// Sends the summaries of this availability zone, if this entry is the one chosen to do so, and
/// forwards those that arrive.
#[derive(Debug, Clone)]
pub struct SummaryExchange {
    own: EntryContact,
    zones: IndexMap<ZoneName, RemoteZone>,
    forwarded: Vec<ForwardedRow>,
    next: ClockTime,
    refilled_at: ClockTime,
    /// The number of rows that may be sent, in thousandths.
    allowance: u64,
    generator: ChaCha8Rng,
}

impl SummaryExchange {
    /// Creates the exchange of an entry that starts at `now`.
    #[must_use]
    pub fn new(own: EntryContact, mut generator: ChaCha8Rng, now: ClockTime) -> Self {
        Self {
            own,
            zones: IndexMap::new(),
            forwarded: Vec::new(),
            next: now + jittered(SUMMARY_EVERY, &mut generator),
            refilled_at: now,
            allowance: SUMMARY_BURST * 1_000,
            generator,
        }
    }

    /// Returns when a tick has something to do.
    #[must_use]
    pub fn next_wake(&self) -> ClockTime {
        self.next
    }

    /// Returns the known entries of other availability zones.
    pub fn contacts(&self) -> impl Iterator<Item = &EntryContact> {
        self.zones.values().flat_map(|zone| &zone.contacts)
    }

    /// Adds entries of other availability zones, the latest first.
    pub fn add_contacts<'a>(&mut self, contacts: impl IntoIterator<Item = &'a EntryContact>) {
        let others = contacts.into_iter();
        for contact in others.filter(|contact| contact.zone != self.own.zone) {
            let zone = self.zones.entry(contact.zone.clone()).or_default();
            zone.contacts.retain(|known| known.daemon != contact.daemon);
            zone.contacts.insert(0, contact.clone());
            zone.contacts.truncate(KEPT_CONTACTS);
        }
    }

    /// Returns a few random entries of this availability zone.
    #[must_use]
    pub fn own_contacts(&mut self, table: &MemberTable) -> SmallVec<[EntryContact; 4]> {
        let near = table
            .live_entries()
            .filter(|entry| entry.zone == self.own.zone);
        let near: Vec<EntryContact> = near.map(crate::members::MemberFacts::contact).collect();
        near.sample(&mut self.generator, SENT_CONTACTS)
            .cloned()
            .collect()
    }

    /// Sends the summaries that are due, if rendezvous hashing chooses this entry for its
    /// availability zone.
    pub fn tick(
        &mut self,
        table: &MemberTable,
        generation: Generation,
        now: ClockTime,
    ) -> Vec<ExchangeAction> {
        if now < self.next {
            return Vec::new();
        }
        self.next = now + jittered(SUMMARY_EVERY, &mut self.generator);
        if !self.is_sender(table) {
            return Vec::new();
        }
        let rows = summarize(table);
        let max_rows = self.refill(now);
        let contacts = self.own_contacts(table);
        let mut actions = Vec::new();
        let mut used = 0;
        for remote in self.zones.values_mut() {
            let Some(to) = remote.contacts.choose(&mut self.generator).cloned() else {
                continue;
            };
            if remote.open.is_some() {
                continue;
            }
            let models = remote.cursor.next_rows(&rows, max_rows, now);
            used = used.max(models.len() as u64);
            let keys = models.iter().map(|row| row.key.clone()).collect();
            remote.open = Some((to.daemon.clone(), keys));
            let call = Box::new(SummaryCall {
                from: self.own.clone(),
                generation,
                summary: ZoneSummary {
                    zone: self.own.zone.clone(),
                    models,
                },
                contacts: contacts.clone(),
            });
            actions.push(ExchangeAction::Summary { to, call });
        }
        self.allowance -= used.min(SUMMARY_BURST) * 1_000;
        actions
    }

    /// Handles the end of a summary call.
    pub fn handle_end(&mut self, to: &EntryContact, answered: bool) {
        let Some(remote) = self.zones.get_mut(&to.zone) else {
            return;
        };
        let Some((_, keys)) = remote.open.take_if(|open| open.0 == to.daemon) else {
            return;
        };
        if !answered {
            remote.cursor.mark_lost(&keys);
            // The last contact is kept even if it does not answer: it may be the only way to
            // reconnect.
            if remote.contacts.len() > 1 {
                remote
                    .contacts
                    .retain(|contact| contact.daemon != to.daemon);
            }
        }
    }

    /// Takes in a summary and queues its new rows to be forwarded within the group.
    pub fn merge(&mut self, summary: &ZoneSummary, known: &mut SummaryTable, now: ClockTime) {
        if summary.zone == self.own.zone {
            return;
        }
        for row in known.merge(summary, now) {
            let created = created_at(&row, now);
            self.forwarded.push(ForwardedRow {
                zone: summary.zone.clone(),
                row,
                created,
                sends: SUMMARY_SENDS,
            });
        }
    }

    /// Returns the rows to send with the next gossip.
    pub fn take_forwarded(&mut self, now: ClockTime) -> Vec<ZoneSummary> {
        let mut zones: IndexMap<ZoneName, Vec<ModelSummary>> = IndexMap::new();
        for forwarded in &mut self.forwarded {
            forwarded.sends -= 1;
            let rows = zones.entry(forwarded.zone.clone()).or_default();
            rows.push(with_age(&forwarded.row, forwarded.created, now));
        }
        self.forwarded.retain(|forwarded| forwarded.sends > 0);
        let zones = zones.into_iter();
        zones
            .map(|(zone, models)| ZoneSummary { zone, models })
            .collect()
    }

    fn is_sender(&self, table: &MemberTable) -> bool {
        let near = table
            .live_entries()
            .filter(|entry| entry.zone == self.own.zone);
        let key = format!("summary/{}", self.own.zone);
        let own = self.own.daemon.as_str();
        let others = near.map(|entry| entry.daemon.as_str());
        let others = others.filter(|name| *name != own);
        rendezvous::rank_of(&key, others.chain([own]), own) == Some(0)
    }

    fn refill(&mut self, now: ClockTime) -> usize {
        let elapsed = now.since(self.refilled_at).as_millis().min(3_600_000);
        self.refilled_at = now;
        let gained = u64::try_from(elapsed).unwrap_or(0) * SUMMARY_ROWS_PER_SECOND;
        self.allowance = (self.allowance + gained).min(SUMMARY_BURST * 1_000);
        usize::try_from(self.allowance / 1_000).unwrap_or(0)
    }
}
