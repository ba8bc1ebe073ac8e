//! Tests of what the duties share.

mod process;
