//! Tests which namespaces and grants are accepted, and the errors for those that are rejected.

use shelfgrade_namespaces::error::NamespaceError;
use shelfgrade_namespaces::grants::Grants;
use shelfgrade_namespaces::rules::{Namespace, Rule};
use shelfgrade_namespaces::selector::{Pattern, ServerSelector};

const GRANTS: &str = "version = 1\n[[grant]]\ncustomer = \"posta\"\nroom = 40\npart = { zones = [\"a*\"] }\n";
const NAMESPACE: &str =
    "customer = \"posta\"\nversion = 2\n[[rule]]\nname = \"near\"\nofferings = [\"alarm\"]\n\
    to = { zones = [\"a1\"] }\nroom = 9\n[[rule]]\nname = \"rest\"\n";

fn error_of(text: &str) -> String {
    let grants = Grants::parse(GRANTS).expect("valid grants");
    let checked = Namespace::parse(text).and_then(|namespace| namespace.check(grants.grants.first()));
    checked.expect_err("an error").to_string()
}

#[test]
fn an_invalid_namespace_is_rejected_with_the_location_of_the_error() {
    let grants = Grants::parse(GRANTS).expect("valid grants");
    assert_eq!(Namespace::parse(NAMESPACE).unwrap().check(grants.grants.first()), Ok(()));
    for (valid, invalid, words) in [
        ("room", "rooms", ["line 7, column 1", "unknown field", "correct it there"]),
        ("\"a1\"", "\"b1\"", ["rule near, zones", "\"b1\" is not covered by the grant", "correct it there"]),
        ("\"a1\"", "\"*\"", ["rule near, zones", "\"*\" is not covered by the grant", "correct it there"]),
        (
            "\"a1\"",
            "\"a*b\"",
            ["rule near, zones", "not a name or a prefix followed by a star", "correct it there"],
        ),
        ("= 9", "= 41", ["rule near, room", "more than the 40 granted", "correct it there"]),
        ("\"rest\"", "\"near\"", ["rule near, name", "needs a unique name", "correct it there"]),
        ("posta", "upanga", ["upanga", "has no grant", "the operator has to grant"]),
    ] {
        let error = error_of(&NAMESPACE.replacen(valid, invalid, 1));
        assert!(words.iter().all(|word| error.contains(word)), "{words:?} in {error}");
    }
    let many: String = (0..65).map(|i| format!("[[rule]]\nname = \"r{i}\"\n")).collect();
    assert!(error_of(&format!("customer = \"posta\"\nversion = 1\n{many}"))
        .contains("65 rules exceed the limit of 64"));
    let twice = GRANTS.to_owned() + "[[grant]]\ncustomer = \"posta\"\nroom = 1\n";
    assert_eq!(Grants::parse(&twice), Err(NamespaceError::DuplicateGrant("posta".into())));
}

#[test]
fn a_shadowed_rule_is_reported_with_the_rule_that_covers_it() {
    let rule = |name: &str, classes: &[&str], groups: &[&str]| Rule {
        name: name.into(),
        classes: classes.iter().map(|class| (*class).to_owned()).collect(),
        groups: groups.iter().map(|group| Pattern::new(group)).collect(),
        servers: ServerSelector::default(),
        max_connections: None,
    };
    let rules = vec![
        rule("banks", &[], &["bank-*"]),
        rule("one-bank", &["alarm"], &["bank-7"]),
        rule("alarms", &["alarm", "outage"], &[]),
        rule("outage", &["outage"], &["shop-*"]),
        rule("all", &[], &[]),
        rule("late", &["status"], &[]),
        rule("wider", &["alarm"], &["b*"]),
    ];
    let namespace = Namespace { customer: "posta".into(), version: 1, rules };
    let shadowed: Vec<_> =
        namespace.shadowed_rules().iter().map(|shadowed| (shadowed.rule, shadowed.covered_by)).collect();
    assert_eq!(shadowed, [("one-bank", "banks"), ("outage", "alarms"), ("late", "all"), ("wider", "alarms")]);
}
