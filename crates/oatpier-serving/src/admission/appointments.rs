//! Gives refused callers times to return.
//!
//! Callers who are all told to return after the same short time find the same shortage, and those who are told random
//! times find room only by chance. The appointment book records the times that were given out for a model. A new
//! appointment lies between the time at which room is expected and the longest time that the caller honours, and keeps
//! a distance from the others that corresponds to this gateway's part of the room. A caller with little time left can
//! only get an early appointment; the others are spread over the time that they have.
//!
//! A caller who returns before its appointment is treated like any other request. If it is refused again, its
//! appointment stays: it gains nothing by it, and takes no second one from the callers who wait.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::{ModelName, PoolName};
use rand::{Rng, RngExt};

use crate::fingerprint::RequestFingerprint;

/// Share of the rate of permits that is given to returning callers. The rest is for first requests.
const RETURN_SHARE: f64 = 0.25;

/// Share of a caller's remaining time up to which it honours a retry time.
const HONOURED_SHARE: f64 = 1.0 / 3.0;

/// Exponent of the distribution of appointments over the time that a caller honours. Below 1 more of them are late: a
/// shortage that makes gateways refuse requests lasts for some seconds, and most callers return only once.
const EARLY_EXPONENT: f64 = 0.33;

/// Shortest retry time. A caller that returns earlier would find the same state.
const MIN_RETURN: Duration = Duration::from_millis(60);

/// Maximum number of appointments that are kept for one model. Callers beyond it get times near the end of what they
/// honour, like those who find no room.
const MAX_APPOINTMENTS: usize = 256;

/// A model of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BookKey {
    /// The service.
    pub service: PoolName,
    /// The model.
    pub model: ModelName,
}

/// A caller who is refused.
#[derive(Debug, Clone, Copy)]
pub struct ReturnQuery<'a> {
    /// Fingerprint of its request.
    pub request: &'a RequestFingerprint,
    /// Time until room is expected.
    pub room_in: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Rate at which requests for the model are served over all gateways, per second.
    pub served_per_s: f64,
    /// Number of gateways that share this rate.
    pub gateways: usize,
}

impl ReturnQuery<'_> {
    /// Returns the longest retry time that the caller honours.
    fn longest(&self) -> Duration {
        self.time_left.mul_f64(HONOURED_SHARE).max(MIN_RETURN)
    }

    /// Returns the distance between two appointments that this gateway gives out.
    fn spacing(&self) -> Duration {
        let gateways = u32::try_from(self.gateways.max(1)).unwrap_or(u32::MAX);
        let own_per_s = self.served_per_s * RETURN_SHARE / f64::from(gateways);
        let longest = self.longest().as_secs_f64();
        Duration::from_secs_f64((1.0 / own_per_s.max(f64::MIN_POSITIVE)).min(longest))
    }
}

/// The time given to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnTime {
    /// Time until it should return.
    pub after: Duration,
    /// Whether there was room for one more appointment.
    pub has_room: bool,
}

/// An appointment that was given out.
#[derive(Debug, Clone)]
struct Appointment {
    request: RequestFingerprint,
    at: ClockTime,
}

/// The appointments of all models.
#[derive(Debug, Default)]
pub struct AppointmentBook {
    /// Sorted by time.
    models: HashMap<BookKey, Vec<Appointment>>,
}

impl AppointmentBook {
    /// Returns the time at which a refused caller should return, and records it.
    pub fn give(
        &mut self,
        key: &BookKey,
        query: &ReturnQuery<'_>,
        generator: &mut impl Rng,
        now: ClockTime,
    ) -> ReturnTime {
        self.forget_past(now);
        let kept = self.models.entry(key.clone()).or_default();
        let (first, last) = (now + query.room_in.max(MIN_RETURN), now + query.longest());
        let known = kept.iter().find(|kept| kept.request == *query.request);
        if let Some(known) = known {
            return ReturnTime {
                after: known.at.since(now).max(MIN_RETURN),
                has_room: true,
            };
        }
        let first = first.min(last);
        let span = last.since(first);
        let wanted = first + span.mul_f64(generator.random::<f64>().powf(EARLY_EXPONENT));
        let free = (kept.len() < MAX_APPOINTMENTS)
            .then(|| free_time(kept, wanted, first, last, query.spacing()))
            .flatten();
        if let Some(at) = free {
            let index = kept.partition_point(|kept| kept.at <= at);
            let request = *query.request;
            kept.insert(index, Appointment { request, at });
        }
        let without_room = || wanted + last.since(wanted) / 2;
        ReturnTime {
            after: free.unwrap_or_else(without_room).since(now),
            has_room: free.is_some(),
        }
    }

    /// Returns the number of appointments that are not over.
    pub fn outstanding(&mut self, now: ClockTime) -> usize {
        self.forget_past(now);
        self.models.values().map(Vec::len).sum()
    }

    fn forget_past(&mut self, now: ClockTime) {
        self.models.retain(|_, kept| {
            kept.retain(|appointment| appointment.at > now);
            !kept.is_empty()
        });
    }
}

/// Returns the time closest after `wanted`, or else before it, that keeps the distance from all appointments.
fn free_time(
    kept: &[Appointment],
    wanted: ClockTime,
    first: ClockTime,
    last: ClockTime,
    spacing: Duration,
) -> Option<ClockTime> {
    let is_close =
        |one: ClockTime, other: ClockTime| one.since(other).max(other.since(one)) < spacing;
    let mut later = wanted;
    for appointment in kept {
        if is_close(later, appointment.at) {
            later = appointment.at + spacing;
        }
    }
    if later <= last {
        return Some(later);
    }
    let mut earlier = wanted;
    for appointment in kept.iter().rev() {
        if is_close(earlier, appointment.at) {
            let before = appointment.at.since(first).checked_sub(spacing)?;
            earlier = first + before;
        }
    }
    Some(earlier)
}
