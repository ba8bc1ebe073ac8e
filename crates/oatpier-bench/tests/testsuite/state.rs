//! Tests of the state bench.

use oatpier_bench::state::spread;

/// Guards against times that depend on the order of a hash map. Bounds on the spread of a change require that it is the
/// same in every run.
#[test]
fn equal_seeds_give_equal_times_of_spread() {
    let [small, _, _] = spread::sizes();
    let (first, second) = (spread::run(&small), spread::run(&small));
    assert_eq!(first, second);
    assert!(first.iter().all(|row| row.times_s.len() == 24));
}
