//! Unit tests of the list history.

use super::*;

#[test]
fn an_outdated_list_is_rejected_and_a_restarted_numbering_begins_a_new_epoch() {
    let mut history = ListHistory::default();
    assert_eq!(history.judge(41, 7), ListVerdict::NewEpoch, "nothing is known");
    history.record(ListVerdict::NewEpoch, 41, 7);
    for (seq, digest) in [(42, 8), (45, 9)] {
        assert_eq!(history.judge(seq, digest), ListVerdict::Current);
        history.record(ListVerdict::Current, seq, digest);
    }
    assert_eq!(history.judge(45, 9), ListVerdict::Current, "the same list once more");
    assert_eq!(history.judge(42, 8), ListVerdict::Outdated, "restored from a backup");
    assert_eq!(history.judge(42, 3), ListVerdict::NewEpoch, "another list had that number");
    assert_eq!(history.judge(45, 3), ListVerdict::NewEpoch);
    let before = history.entry_version(45);
    assert_eq!(history.judge(1, 5), ListVerdict::NewEpoch);
    history.record(ListVerdict::NewEpoch, 1, 5);
    assert!(history.entry_version(1) > before && history.judge(2, 6) == ListVerdict::Current);
    assert_eq!(history.judge(45, 9), ListVerdict::Current, "only far ahead in the new epoch");
    (2..200).for_each(|seq| history.record(ListVerdict::Current, seq, 1));
    assert_eq!((history.past.len(), history.judge(100, 1)), (MAX_VERSIONS, ListVerdict::NewEpoch));
}
