//! Unit tests of the roster.

use super::*;

#[test]
fn a_roster_is_independent_of_the_order_of_names_and_rejects_invalid_names() {
    let roster = |names: &[&str], me| Roster::new("f", names.iter().map(|n| (*n).to_owned()), me);
    let (one, other) = (roster(&["b", "a", "c"], "c").unwrap(), roster(&["c", "b", "a"], "a").unwrap());
    assert_eq!(
        (one.tag(), one.local_member(), other.local_member()),
        (other.tag(), MemberId(2), MemberId(0))
    );
    assert_ne!(one.tag(), roster(&["a", "b"], "a").unwrap().tag());
    assert_eq!(roster(&[], "a"), Err(RosterError::Empty));
    assert_eq!(roster(&["a", "b", "a"], "a"), Err(RosterError::DuplicateName("a".into())));
    assert_eq!(roster(&["a", "b"], "c"), Err(RosterError::LocalNameMissing("c".into())));
}
