//! Stories of `rules.rs` from within.

use super::*;

const GRANTS: &str = "version = 1\n[[grant]]\ncustomer = \"posta\"\nroom = 40\npart = { zones = [\"a*\"] }\n";
const SPACE: &str = "customer = \"posta\"\nversion = 2\n[[rule]]\nname = \"near\"\nofferings = [\"alarm\"]\n\
    to = { zones = [\"a1\"] }\nroom = 9\n[[rule]]\nname = \"rest\"\n";

fn fault(text: &str) -> String {
    let grants = Grants::parse(GRANTS).expect("good grants");
    let checked = Space::parse(text).and_then(|space| space.check(grants.grants.first()));
    checked.expect_err("a fault").to_string()
}

#[test]
fn a_namespace_is_taken_whole_or_refused_with_the_place_of_its_fault() {
    let grants = Grants::parse(GRANTS).expect("good grants");
    assert_eq!(Space::parse(SPACE).unwrap().check(grants.grants.first()), Ok(()));
    for (good, bad, words) in [
        ("room", "rooms", ["line 7, column 1", "unknown field", "correct it there"]),
        ("\"a1\"", "\"b1\"", ["rule near, zones", "\"b1\" is beyond what is granted", "correct it there"]),
        ("\"a1\"", "\"*\"", ["rule near, zones", "\"*\" is beyond what is granted", "correct it there"]),
        ("\"a1\"", "\"a*b\"", ["rule near, zones", "no name, nor one with a star", "correct it there"]),
        ("= 9", "= 41", ["rule near, room", "more than the 40", "correct it there"]),
        ("\"rest\"", "\"near\"", ["rule near, name", "no other has", "correct it there"]),
        ("posta", "upanga", ["upanga", "has no grant", "have the operator"]),
    ] {
        let fault = fault(&SPACE.replacen(good, bad, 1));
        assert!(words.iter().all(|word| fault.contains(word)), "{words:?} in {fault}");
    }
    let many: String = (0..65).map(|i| format!("[[rule]]\nname = \"r{i}\"\n")).collect();
    assert!(fault(&format!("customer = \"posta\"\nversion = 1\n{many}")).contains("65 rules where 64"));
    let twice = GRANTS.to_owned() + "[[grant]]\ncustomer = \"posta\"\nroom = 1\n";
    assert_eq!(Grants::parse(&twice), Err(SpaceError::GrantedTwice("posta".into())));
}

#[test]
fn a_rule_that_can_never_act_is_named_with_the_one_that_covers_it() {
    let rule = |name: &str, offerings: &[&str], groups: &[&str]| Rule {
        name: name.into(),
        offerings: offerings.iter().map(|o| (*o).to_owned()).collect(),
        groups: groups.iter().map(|g| Pattern((*g).to_owned())).collect(),
        to: Part::default(),
        room: None,
    };
    let rules = vec![
        rule("banks", &[], &["bank-*"]),
        rule("one-bank", &["alarm"], &["bank-7"]),
        rule("alarms", &["alarm", "fault"], &[]),
        rule("fault", &["fault"], &["shop-*"]),
        rule("all", &[], &[]),
        rule("late", &["status"], &[]),
        rule("wider", &["alarm"], &["b*"]),
    ];
    let space = Space { customer: "posta".into(), version: 1, rules };
    let shadowed = space.shadowed();
    assert_eq!(shadowed, [("one-bank", "banks"), ("fault", "alarms"), ("late", "all"), ("wider", "alarms")]);
}
