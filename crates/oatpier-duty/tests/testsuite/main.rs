//! Tests of the code shared by the duties.

mod process;
