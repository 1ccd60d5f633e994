//! Stories of `counting.rs` from within.

use super::*;

#[test]
fn an_older_list_is_not_gone_back_to_and_a_discovery_that_counts_from_one_again_is_believed() {
    let mut counting = ListHistory::default();
    assert_eq!(counting.judge(41, 7), ListVerdict::Anew, "nothing is known");
    counting.took(ListVerdict::Anew, 41, 7);
    for (seq, digest) in [(42, 8), (45, 9)] {
        assert_eq!(counting.judge(seq, digest), ListVerdict::Goes);
        counting.took(ListVerdict::Goes, seq, digest);
    }
    assert_eq!(counting.judge(45, 9), ListVerdict::Goes, "told again");
    assert_eq!(counting.judge(42, 8), ListVerdict::Older, "restored as it was");
    assert_eq!(counting.judge(42, 3), ListVerdict::Anew, "it was another list under that number");
    assert_eq!(counting.judge(45, 3), ListVerdict::Anew);
    let before = counting.stamp(45);
    assert_eq!(counting.judge(1, 5), ListVerdict::Anew);
    counting.took(ListVerdict::Anew, 1, 5);
    assert!(counting.stamp(1) > before && counting.judge(2, 6) == ListVerdict::Goes);
    assert_eq!(counting.judge(45, 9), ListVerdict::Goes, "of the new count it is only far ahead");
    (2..200).for_each(|seq| counting.took(ListVerdict::Goes, seq, 1));
    assert_eq!((counting.past.len(), counting.judge(100, 1)), (REMEMBERED, ListVerdict::Anew));
}
