//! The fault matrix: faults by steps, each cell a proof or a listed gap.
