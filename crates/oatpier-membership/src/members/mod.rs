//! The table of entries and agents.
//!
//! A row combines what a process states about itself (its facts, ordered by incarnation) with the
//! votes of entries on whether they receive messages from it. The state follows from both, so that
//! tables that got the same rows in any order are equal. One vote alone never removes a member:
//! with a link cut in one direction it would be wrong. Removal needs two registrars, or one
//! registrar and this process's own failed attempts.

mod evidence;
mod row;
mod state;
mod table;

pub use evidence::{EvidenceCache, PathEvidence};
pub use row::{MemberFacts, MemberKind, MemberPhase, MemberRow, Reachability, WitnessVote};
pub use table::{
    EVIDENCE_TTL, GONE_KEPT, LostRegistrar, MemberChange, MemberState, MemberTable, MemberView,
    REMOVAL_VOTES, SUSPECT_AFTER, TableDeltas, TableLimits, VmHint,
};
