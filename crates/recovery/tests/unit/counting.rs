//! Stories of `counting.rs` from within.

use super::*;

#[test]
fn an_older_list_is_not_gone_back_to_and_a_discovery_that_counts_from_one_again_is_believed() {
    let mut counting = Counting::default();
    assert_eq!(counting.judge(41, 7), Told::Anew, "nothing is known");
    counting.took(Told::Anew, 41, 7);
    for (seq, digest) in [(42, 8), (45, 9)] {
        assert_eq!(counting.judge(seq, digest), Told::Goes);
        counting.took(Told::Goes, seq, digest);
    }
    assert_eq!(counting.judge(45, 9), Told::Goes, "told again");
    assert_eq!(counting.judge(42, 8), Told::Older, "restored as it was");
    assert_eq!(counting.judge(42, 3), Told::Anew, "it was another list under that number");
    assert_eq!(counting.judge(45, 3), Told::Anew);
    let before = counting.stamp(45);
    assert_eq!(counting.judge(1, 5), Told::Anew);
    counting.took(Told::Anew, 1, 5);
    assert!(counting.stamp(1) > before && counting.judge(2, 6) == Told::Goes);
    assert_eq!(counting.judge(45, 9), Told::Goes, "of the new count it is only far ahead");
    (2..200).for_each(|seq| counting.took(Told::Goes, seq, 1));
    assert_eq!((counting.past.len(), counting.judge(100, 1)), (REMEMBERED, Told::Anew));
}
