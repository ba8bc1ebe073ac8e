//! The state bench.

use oatpier_bench::state::spread;

/// Bounds on the spread of a change mean something only if it is the same in every run, whatever
/// a hash map's order is.
#[test]
fn equal_seeds_give_equal_times_of_spread() {
    let [small, _, _] = spread::sizes();
    let (first, second) = (spread::run(&small), spread::run(&small));
    assert_eq!(first, second);
    assert!(first.iter().all(|row| row.times_s.len() == 24));
}
