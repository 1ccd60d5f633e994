//! Unit tests of the snapshot format.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shelfgrade_fleet::{MemberId, Version};

fn snapshot(sequence: u64) -> Snapshot {
    let entry = |i: u64| Entry {
        key: format!("server/s-{i}"),
        version: Version { count: i, writer_incarnation: 7 },
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
        sessions: vec![SessionRecord { key: 5, server: "s-1".into(), started_ms: 12.5 }],
    }
}

#[test]
fn each_kind_of_damage_has_its_own_error_and_the_other_generation_is_used() {
    let valid = encode(&snapshot(4));
    let error = |bytes: &[u8]| decode(bytes, "dar", "n3").expect_err("an error");
    assert_eq!(decode(&valid, "dar", "n3"), Ok(snapshot(4)));
    assert_eq!(error(&[]), SnapshotError::Empty);
    assert!(matches!(error(&valid[..valid.len() - 1]), SnapshotError::Torn { .. }));
    assert!(matches!(error(&valid[..20]), SnapshotError::Torn { .. }));
    assert_eq!(error(b"{\"json\":1}"), SnapshotError::NotASnapshot);
    let mut newer = valid.clone();
    newer[8] = 9;
    assert_eq!(error(&newer), SnapshotError::UnsupportedFormat(9));
    let mut damaged = valid.clone();
    *damaged.last_mut().expect("bytes") ^= 1;
    assert_eq!(error(&damaged), SnapshotError::Damaged);
    let error_for = |fleet, name| decode(&valid, fleet, name).expect_err("the snapshot of another process");
    assert_eq!(error_for("moshi", "n3"), SnapshotError::OtherFleet("dar".into()));
    assert_eq!(error_for("dar", "n4"), SnapshotError::OtherMember("n3".into()));

    let later = encode(&snapshot(5));
    let loaded = select_newest(&[Some(valid.clone()), Some(later.clone())], "dar", "n3");
    assert_eq!((loaded.newest, loaded.rejected), (Some(snapshot(5)), Vec::new()));
    let loaded = select_newest(&[Some(valid), Some(later[..40].to_vec())], "dar", "n3");
    assert_eq!(
        (loaded.newest, loaded.rejected.len(), loaded.rejected[0].generation),
        (Some(snapshot(4)), 1, 1)
    );
    assert_eq!(
        select_newest(&[None, None], "dar", "n3"),
        LoadedSnapshots::default(),
        "a first start has no files"
    );
    assert_ne!(generation(4), generation(5), "never overwrites the previous snapshot");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A file that was truncated or altered is either decoded to the original snapshot or rejected.
    #[test]
    fn a_damaged_file_is_never_decoded_to_another_snapshot(
        number in 0..40u64,
        cut in any::<prop::sample::Index>(),
        flips in prop::collection::vec((any::<prop::sample::Index>(), 1..=255u8), 0..3),
    ) {
        let valid = encode(&snapshot(number));
        let mut bytes = valid[..=cut.index(valid.len())].to_vec();
        for (at, flip) in flips {
            let at = at.index(bytes.len());
            bytes[at] ^= flip;
        }
        match decode(&bytes, "dar", "n3") {
            Ok(decoded) => prop_assert!(bytes == valid && decoded == snapshot(number)),
            Err(error) => prop_assert!(bytes != valid && !error.to_string().is_empty()),
        }
    }
}
