//! The messages of an agent's interface that concern its decisions.

use oatpier_admission::event::AdmissionTicket;
use oatpier_policy::action::CancelMode;
use oatpier_types::ids::{AttemptId, BootId};
use oatpier_wire::attempt::{CancelAttempt, HeaderPair};
use serde::{Deserialize, Serialize};

/// Where an agent says what its endpoint is and holds.
pub const STATUS_PATH: &str = "/agent/status";

/// The header pair of an attempt that carries its ticket.
const TICKET_HEADER: &str = "oatpier-ticket";

/// Asks an agent to give an attempt up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelCall {
    /// Which attempt.
    pub cancel: CancelAttempt,
    /// The ticket that the attempt was sent with.
    pub ticket: AdmissionTicket,
    /// Whether an attempt that runs already is left running.
    pub seal_only: bool,
}

impl CancelCall {
    /// The call for an attempt.
    #[must_use]
    pub fn new(cancel: CancelAttempt, ticket: AdmissionTicket, mode: CancelMode) -> Self {
        Self {
            cancel,
            ticket,
            seal_only: mode == CancelMode::SealOnly,
        }
    }

    /// The attempt.
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        self.cancel.attempt
    }
}

/// The pair that carries a ticket with an attempt.
#[must_use]
pub fn ticket_pair(ticket: AdmissionTicket) -> HeaderPair {
    HeaderPair {
        name: TICKET_HEADER.to_owned(),
        value: format!("{}.{}", ticket.boot, ticket.sequence).into(),
    }
}

/// Takes the ticket out of an attempt's pairs. Without one the attempt is of no agent's start,
/// and the policy refuses it.
#[must_use]
pub fn take_ticket(pairs: &mut Vec<HeaderPair>) -> AdmissionTicket {
    let place = pairs.iter().position(|pair| pair.name == TICKET_HEADER);
    place
        .map(|place| pairs.swap_remove(place))
        .and_then(|pair| parse_ticket(&pair.value))
        .unwrap_or(AdmissionTicket {
            boot: BootId(0),
            sequence: 0,
        })
}

fn parse_ticket(value: &[u8]) -> Option<AdmissionTicket> {
    let (boot, sequence) = std::str::from_utf8(value).ok()?.split_once('.')?;
    Some(AdmissionTicket {
        boot: BootId(u128::from_str_radix(boot, 16).ok()?),
        sequence: sequence.parse().ok()?,
    })
}
