//! Detection of prompt parts that crash the endpoints that run requests with them.
//!
//! An engine may crash as soon as it begins to respond to a prompt that contains a certain part, whatever else the
//! request contains. Such requests are all different, so their fingerprints do not identify them.
//!
//! - [`tracker`]: the state of a gateway, and its decision on each request.
//! - [`table`]: all suspected parts with their crashes, and which requests are barred.
//! - [`watch`]: attempts that broke before their response progressed.
//! - [`answered`]: parts whose requests were answered lately.
//! - [`trials`]: who may send a request with a barred part once more.
//!
//! A crash interrupts many requests. Most of them are beyond the beginning of their responses, so their prompts did not
//! cause it. The parts of the others become suspects, unless they are answered elsewhere at that time. The first part of
//! a prompt, which most requests of a route share, is answered somewhere at almost any time.
//!
//! Only successive crashes count: those of attempts that were sent when the crash before was known. An outage that ends
//! many endpoints at once is therefore one crash for each part. Parts that were at the same crashes are told apart by
//! requests that contain only some of them, so a request is barred only if it contains all of them. A response that
//! progresses clears the parts of its request.

pub mod answered;
mod suspect;
pub mod table;
pub mod tracker;
pub mod trials;
pub mod watch;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use trials::PartTrial;

pub use suspect::{CRASHES_TO_BAR, successive_crashes};

use super::{CrashSite, RequestOrigin};
use crate::call::PromptPartId;

/// Record that an attempt with a prompt part was at the beginning of its response at an endpoint when that crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartCrash {
    /// The part.
    pub part: PromptPartId,
    /// Number of successive crashes under the part, including this one, as far as its gateway knew when it sent the
    /// request.
    pub generation: u32,
    /// Origin of the request.
    pub origin: RequestOrigin,
    /// Whether the attempt is a trial of the part.
    pub is_trial: bool,
    /// Crashed incarnation of an endpoint.
    pub site: CrashSite,
    /// Time of the crash in Unix milliseconds, by the wall clock of the gateway that detected it. It is only shown to
    /// operators.
    pub seen_ms: u64,
}

/// Decision whether a request may be sent, by the parts of its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartVerdict {
    /// The request may be sent.
    Allowed,
    /// Another request with a suspected part of the prompt was sent just now. Its outcome should be awaited for a
    /// moment.
    Testing,
    /// The request may be sent if this trial is granted. Each part of the trial was at several successive crashes, and it
    /// is not known which of the parts that were there is the cause.
    Contested(PartTrial),
    /// Attempts with this part broke, and it must be known first whether their endpoints crashed.
    Deferred(PromptPartId),
    /// Requests with this part are not sent any more.
    Barred(BarredPart),
}

/// Part that bars a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BarredPart {
    /// The part.
    pub part: PromptPartId,
    /// Number of successive crashes under the part.
    pub crashes: u32,
    /// The trial that is due, to find out whether the part still crashes endpoints.
    pub trial: Option<PartTrial>,
}

/// Part of an attempt's prompt, with the generation of a crash that the attempt would cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartExposure {
    /// The part.
    pub part: PromptPartId,
    /// Generation of a crash of this attempt, see [`PartCrash::generation`].
    pub generation: u32,
    /// Whether the attempt is a trial of the part.
    pub is_trial: bool,
}

/// The suspected parts of an attempt's prompt when it was sent. It is empty unless there are suspects.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartAttempt {
    suspected: SmallVec<[PartExposure; 2]>,
}

impl PartAttempt {
    /// Returns the parts of the prompt with the generation of a crash of this attempt.
    fn exposures(&self, parts: &[PromptPartId]) -> SmallVec<[PartExposure; 4]> {
        let exposure = |part: &PromptPartId| {
            let suspected = self.suspected.iter().find(|known| known.part == *part);
            suspected.copied().unwrap_or(PartExposure {
                part: *part,
                generation: 1,
                is_trial: false,
            })
        };
        parts.iter().map(exposure).collect()
    }
}
