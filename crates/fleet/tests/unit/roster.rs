//! Stories of `roster.rs` from within.

use super::*;

#[test]
fn a_roster_is_the_same_in_any_order_and_says_what_is_wrong_with_it() {
    let of = |names: &[&str], me| Roster::new("f", names.iter().map(|n| (*n).to_owned()), me);
    let (one, other) = (of(&["b", "a", "c"], "c").unwrap(), of(&["c", "b", "a"], "a").unwrap());
    assert_eq!((one.tag(), one.me(), other.me()), (other.tag(), MemberId(2), MemberId(0)));
    assert_ne!(one.tag(), of(&["a", "b"], "a").unwrap().tag());
    assert_eq!(of(&[], "a"), Err(RosterError::Empty));
    assert_eq!(of(&["a", "b", "a"], "a"), Err(RosterError::DuplicateName("a".into())));
    assert_eq!(of(&["a", "b"], "c"), Err(RosterError::LocalNameMissing("c".into())));
}
