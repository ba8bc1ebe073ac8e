//! Tests of rendezvous hashing.

use oatpier_membership::rendezvous::{choose, rank_of};

#[test]
fn removing_a_name_moves_only_its_own_duties() {
    let names: Vec<String> = (0..40).map(|index| format!("entry-{index}")).collect();
    let fewer: Vec<String> = names[1..].to_vec();
    let first =
        |names: &[String], key: &str| choose(key, names, 1, |name| name.as_str())[0].clone();
    for key in (0..500).map(|index| format!("agent-{index}")) {
        let before = first(&names, &key);
        if before != names[0] {
            assert_eq!(first(&fewer, &key), before);
        }
        let own = rank_of(&key, names.iter().map(String::as_str), &before);
        assert_eq!(own, Some(0));
    }
}
