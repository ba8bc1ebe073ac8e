//! The table of entries and agents.
//!
//! A row joins what a process says of itself (its facts, ordered by incarnation) with what
//! entries say about hearing it (witness words). The state follows from both, so that tables
//! which got the same rows in any order are alike. One witness alone never removes anybody: with
//! a link cut in one direction it would be wrong. Two registrars, or one and this process's own
//! failed attempts, are needed.

mod evidence;
mod row;
mod state;
mod table;

pub use evidence::{PathEvidence, PathMemory};
pub use row::{Hearing, MemberFacts, MemberKind, MemberPhase, MemberRow, WitnessWord};
pub use table::{
    EVIDENCE_LASTS, GONE_KEPT, LostRegistrar, MemberChange, MemberState, MemberTable, MemberView,
    NEEDED_WORDS, TableDeltas, TableLimits, UNWITNESSED_SUSPECT, VmHint,
};
