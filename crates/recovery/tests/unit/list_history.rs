//! Unit tests of the list history.

use super::*;

#[test]
fn an_outdated_list_is_detected_and_a_restarted_numbering_begins_a_new_epoch() {
    let mut history = ListHistory::default();
    assert_eq!(history.classify(41, 7), ListFreshness::NewEpoch, "the first list");
    history.record(ListFreshness::NewEpoch, 41, 7);
    for (seq, digest) in [(42, 8), (45, 9)] {
        assert_eq!(history.classify(seq, digest), ListFreshness::Current);
        history.record(ListFreshness::Current, seq, digest);
    }
    assert_eq!(history.classify(45, 9), ListFreshness::Current, "the same list again");
    assert_eq!(history.classify(42, 8), ListFreshness::Outdated, "discovery was restored from a backup");
    assert_eq!(history.classify(42, 3), ListFreshness::NewEpoch, "another list is recorded for that number");
    assert_eq!(history.classify(45, 3), ListFreshness::NewEpoch);
    let before = history.entry_version(45);
    assert_eq!(history.classify(1, 5), ListFreshness::NewEpoch);
    history.record(ListFreshness::NewEpoch, 1, 5);
    assert!(history.entry_version(1) > before && history.classify(2, 6) == ListFreshness::Current);
    assert_eq!(history.classify(45, 9), ListFreshness::Current, "a higher number in the new epoch");
    (2..200).for_each(|seq| history.record(ListFreshness::Current, seq, 1));
    assert_eq!((history.past.len(), history.classify(100, 1)), (MAX_VERSIONS, ListFreshness::NewEpoch));
}
