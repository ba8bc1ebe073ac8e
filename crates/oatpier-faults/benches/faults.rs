//! `cargo fault-matrix`: prints the grid.

fn main() {}
