//! Stories of `snapshot.rs` from within.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shelfgrade_fleet::{MemberId, Version};

fn saved(sequence: u64) -> Snapshot {
    let entry = |i: u64| Entry {
        key: format!("server/s-{i}"),
        version: Version { count: i, by: 7 },
        owner: MemberId(1),
        value: (!i.is_multiple_of(3)).then(|| vec![i as u8; 40]),
    };
    Snapshot {
        fleet: "dar".into(),
        name: "n3".into(),
        sequence,
        written_at_ms: 1_790_000_000_000,
        started_at: 17,
        entries: (0..sequence + 3).map(entry).collect(),
        held: vec![HeldSession { key: 5, server: "s-1".into(), started_ms: 12.5 }],
    }
}

#[test]
fn each_fault_of_a_file_is_told_from_the_others_and_the_other_generation_serves() {
    let good = encode(&saved(4));
    let fault = |bytes: &[u8]| decode(bytes, "dar", "n3").expect_err("a fault");
    assert_eq!(decode(&good, "dar", "n3"), Ok(saved(4)));
    assert_eq!(fault(&[]), SnapshotError::Empty);
    assert!(matches!(fault(&good[..good.len() - 1]), SnapshotError::Torn { .. }));
    assert!(matches!(fault(&good[..20]), SnapshotError::Torn { .. }));
    assert_eq!(fault(b"{\"json\":1}"), SnapshotError::NotASnapshot);
    let mut newer = good.clone();
    newer[8] = 9;
    assert_eq!(fault(&newer), SnapshotError::UnsupportedFormat(9));
    let mut damaged = good.clone();
    *damaged.last_mut().expect("bytes") ^= 1;
    assert_eq!(fault(&damaged), SnapshotError::Damaged);
    let whose = |fleet, name| decode(&good, fleet, name).expect_err("another's");
    assert_eq!(whose("moshi", "n3"), SnapshotError::OtherFleet("dar".into()));
    assert_eq!(whose("dar", "n4"), SnapshotError::OtherMember("n3".into()));

    let later = encode(&saved(5));
    let loaded = select_newest(&[Some(good.clone()), Some(later.clone())], "dar", "n3");
    assert_eq!((loaded.newest, loaded.rejected), (Some(saved(5)), Vec::new()));
    let loaded = select_newest(&[Some(good), Some(later[..40].to_vec())], "dar", "n3");
    assert_eq!((loaded.newest, loaded.rejected.len(), loaded.rejected[0].generation), (Some(saved(4)), 1, 1));
    assert_eq!(
        select_newest(&[None, None], "dar", "n3"),
        LoadedSnapshots::default(),
        "a first start is no fault"
    );
    assert_ne!(generation(4), generation(5), "never over the last good one");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever a disk gives back: it is read as it was written, or refused.
    #[test]
    fn a_file_is_whole_or_refused(
        number in 0..40u64,
        cut in any::<prop::sample::Index>(),
        flips in prop::collection::vec((any::<prop::sample::Index>(), 1..=255u8), 0..3),
    ) {
        let good = encode(&saved(number));
        let mut bytes = good[..=cut.index(good.len())].to_vec();
        for (at, flip) in flips {
            let at = at.index(bytes.len());
            bytes[at] ^= flip;
        }
        match decode(&bytes, "dar", "n3") {
            Ok(read) => prop_assert!(bytes == good && read == saved(number)),
            Err(fault) => prop_assert!(bytes != good && !fault.to_string().is_empty()),
        }
    }
}
